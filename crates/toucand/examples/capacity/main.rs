//! Measures message sizes, memory and CPU time of the router's components at the design scale.
//!
//! Prints three Markdown tables: message sizes, memory of the data structures, and time per operation.
//! The data structures are built in this process; their memory is the growth of its resident set.
//!
//! Run it with `cargo run --release -p toucand --example capacity`.

use std::{fs, hint, time::Instant};

use bytes::BytesMut;
use eyre::{eyre, Result, WrapErr};
use tsw_audit::{Chain, Fields, Signer as RecordSigner};
use tsw_base::time::{Span, Timestamp};
use tsw_config::bundle;
use tsw_grant::{
    home,
    message::{Class, Grant, Holdings, State},
};
use tsw_member::{event, Event, Timing, View};
use tsw_once::{owner, witness, Digest, Intent, Outcome, Verdict, WitnessReply};
use tsw_wire::{frame, message::Message};

mod scale;

const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("cannot read /proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    let pages: u64 =
        pages.ok_or_else(|| eyre!("unexpected content of /proc/self/statm: {text}"))?;
    Ok(pages * PAGE_BYTES)
}

/// Builds a data structure and prints the growth of the resident set.
fn memory<T>(label: &str, items: u64, build: impl FnOnce() -> T) -> Result<T> {
    let before = resident_bytes()?;
    let table = hint::black_box(build());
    let grown = resident_bytes()?.saturating_sub(before);
    let each = grown / items;
    println!("| {label} | {items} | {} | {each} |", grown / 1_000);
    Ok(table)
}

/// Prints the mean duration of an operation.
fn time(label: &str, runs: u32, mut operation: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..runs {
        operation();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(runs);
    println!("| {label} | {micros:.1} |");
}

fn size(label: &str, message: &Message) -> Result<()> {
    let mut buffer = BytesMut::new();
    frame::encode(message, &mut buffer)?;
    println!("| {label} | {} |", buffer.len());
    Ok(())
}

fn view() -> View {
    let mut view = View::new(scale::host_id(0), scale::domain(0), Timing::default(), 1);
    let hosts = (0..scale::ROUTERS)
        .map(|number| event::ListedRouter {
            host: scale::host_id(number).host,
            domain: scale::domain(number),
            leaving: false,
        })
        .collect();
    view.handle(
        Timestamp::from_micros(1),
        Event::Hosts { revision: 1, hosts },
    );
    for number in 1..scale::ROUTERS {
        let (id, domain) = (scale::host_id(number), scale::domain(number));
        view.handle(Timestamp::from_micros(2), Event::Hello { id, domain });
    }
    view
}

/// Creates a home at peak load: all slots in use, a tenth of the teams waiting.
fn home() -> home::Home {
    let options = home::Options::default();
    let mut home = home::Home::new(scale::service(0), scale::host_id(1).incarnation, options);
    let now = Timestamp::from_micros(1_000_000);
    let shares = (0..scale::TEAMS)
        .map(|number| (scale::team(number), 1_010))
        .collect();
    let slots = scale::WORKERS / scale::SERVICES * u64::from(scale::SLOTS);
    home.handle(now, home::Event::Shares { slots, shares });
    let live = (0..scale::ROUTERS).map(scale::host_id).collect();
    home.handle(now, home::Event::Routers { live });
    for number in 0..scale::GROUP {
        let upstream = scale::upstream(number);
        let event = home::Event::Upstream {
            upstream,
            slots: scale::SLOTS,
            limit: scale::SLOTS,
        };
        home.handle(now, event);
    }
    let later = now + home::HANDOVER_TIMEOUT;
    for number in 0..scale::ROUTERS {
        let from = scale::host_id(number);
        let mut demand = scale::demand(scale::BUSY_TEAMS);
        demand.latest_grant = None;
        home.handle(later, home::Event::Demand { from, demand });
    }
    home
}

fn owner_table() -> owner::Table {
    let (timing, limits) = (owner::Timing::default(), tsw_once::Limits::default());
    let mut table = owner::Table::new(scale::host_id(0), timing, limits);
    let now = Timestamp::from_micros(1);
    for number in 1..=scale::KEYS {
        run_key(&mut table, now, number);
    }
    table
}

/// Runs one key from the call to the recorded response.
fn run_key(table: &mut owner::Table, now: Timestamp, number: u64) {
    let (key, digest) = (scale::key(number), Digest([1; 32]));
    let call = owner::Event::Call {
        ticket: number,
        key: key.clone(),
        digest,
    };
    table.handle(now, call);
    let mut dispatched = Vec::new();
    for from in [scale::host_id(1), scale::host_id(2)] {
        let reply = WitnessReply {
            key: key.clone(),
            witness: from.clone(),
            verdict: Verdict::Accepted,
        };
        dispatched.extend(table.handle(now, owner::Event::WitnessReply { from, reply }));
    }
    for command in dispatched {
        if let owner::Command::Dispatch { run } = command {
            let response = scale::response();
            table.handle(now, owner::Event::Finished { run, response });
        }
    }
}

fn witness_table() -> witness::Table {
    let keep = Span::from_secs(3_600);
    let mut table = witness::Table::new(scale::host_id(1), keep, tsw_once::Limits::default());
    let (now, digest) = (Timestamp::from_micros(1), Digest([1; 32]));
    for number in 1..=scale::KEYS {
        let from = scale::host_id(0);
        let intent = Intent {
            key: scale::key(number),
            digest,
        };
        table.handle(now, witness::Event::Intent { from, intent });
        let outcome = Outcome {
            key: scale::key(number),
            digest,
            response: scale::response(),
        };
        let from = scale::host_id(0);
        table.handle(now, witness::Event::Outcome { from, outcome });
    }
    table
}

fn messages() -> Result<()> {
    println!("| message | bytes |\n|---|---|");
    let (key, digest) = (scale::key(1), Digest([1; 32]));
    size("Ping, no news", &Message::Ping(scale::ping(0)))?;
    size("Ping, 8 updates", &Message::Ping(scale::ping(8)))?;
    size("Demand, 1 team", &Message::Demand(scale::demand(1)))?;
    size(
        "Demand, 99 teams",
        &Message::Demand(scale::demand(scale::BUSY_TEAMS)),
    )?;
    let grant = Grant {
        service: scale::service(0),
        id: scale::grant_id(1 << 20),
        upstream: scale::upstream(1),
        team: scale::team(1),
        class: Class::Short,
        seq: 1 << 20,
    };
    size("Grant", &Message::Grant(grant))?;
    size(
        "Release, started",
        &Message::Release(scale::release(State::Started)),
    )?;
    let token_latency = Some(Span::from_millis(74));
    let finished = scale::release(State::Finished { token_latency });
    size("Release, finished", &Message::Release(finished))?;
    let holdings = Holdings {
        service: scale::service(0),
        latest_grant: Some(scale::grant_id(1 << 20)),
        held: (0..scale::RUNNING).map(scale::held).collect(),
    };
    size("Holdings, 990 requests", &Message::Holdings(holdings))?;
    size(
        "Served, 99 teams",
        &Message::Served(scale::served(scale::BUSY_TEAMS)),
    )?;
    size(
        "Served, 990 teams",
        &Message::Served(scale::served(scale::TEAMS)),
    )?;
    let intent = Intent {
        key: key.clone(),
        digest,
    };
    size("Note", &Message::Intent(intent))?;
    let reply = WitnessReply {
        key: key.clone(),
        witness: scale::host_id(1),
        verdict: Verdict::Accepted,
    };
    size("Noted", &Message::WitnessReply(reply))?;
    let outcome = Outcome {
        key,
        digest,
        response: scale::response(),
    };
    size("Outcome, 256 bytes of body", &Message::Outcome(outcome))?;
    let mut chain = Chain::new(scale::host_id(0), RecordSigner::from_bytes(&[1; 32]));
    let head = chain.sign_head(Timestamp::from_micros(1));
    size("Head", &Message::Head(head))?;
    println!(
        "| bundle, 990 teams x 14 services | {} |",
        scale::bundle()?.to_bytes()?.len()
    );
    println!(
        "| host list, 1,200 routers and 10,000 workers | {} |\n",
        scale::host_list().len()
    );
    Ok(())
}

fn tables() -> Result<()> {
    println!("| table | items | kB | bytes an item |\n|---|---|---|---|");
    let list = scale::host_list();
    let kept = (
        memory("membership view, routers", scale::ROUTERS, view)?,
        memory(
            "home at the peak, running requests",
            scale::GROUP * u64::from(scale::SLOTS),
            home,
        )?,
        memory("owner's keys", scale::KEYS, owner_table)?,
        memory("witness's keys", scale::KEYS, witness_table)?,
        memory(
            "bundle, team shares",
            scale::TEAMS * scale::SERVICES,
            scale::bundle,
        )?,
        memory("host list, hosts", scale::ROUTERS + scale::WORKERS, || {
            toucand::hosts::parse(list.as_bytes())
        })?,
    );
    drop(kept);
    println!();
    Ok(())
}

fn operations() -> Result<()> {
    println!("| operation | µs |\n|---|---|");
    let mut view = view();
    let mut now = Timestamp::from_micros(10);
    time(
        "membership: tick of 50 ms with its probes, 1,200 routers",
        2_000,
        || {
            now = now + Span::from_millis(50);
            hint::black_box(view.handle(now, Event::Tick));
        },
    );
    time("membership: a ping with 8 updates", 2_000, || {
        let from = scale::host_id(1).host;
        hint::black_box(view.handle(
            now,
            Event::Ping {
                from,
                ping: scale::ping(8),
            },
        ));
    });
    let mut table = owner_table();
    let mut number = scale::KEYS;
    time("owner: a key from call to response", 5_000, || {
        number += 1;
        run_key(&mut table, Timestamp::from_micros(2), number);
    });
    let mut chain = Chain::new(scale::host_id(0), RecordSigner::from_bytes(&[1; 32]));
    time("audit: a line", 5_000, || {
        let mut fields = Fields::new();
        fields.insert("request".to_owned(), "7d4ac1".into());
        fields.insert("team".to_owned(), "team-001".into());
        fields.insert("upstream".to_owned(), "engine-00001".into());
        let line = chain.append(1_700_000_000_000, "completed", fields);
        hint::black_box(line.is_ok());
    });
    let line = chain.append(1_700_000_000_000, "completed", Fields::new())?;
    time("audit: a receipt", 2_000, || {
        hint::black_box(chain.receipt(&line));
    });
    let content = scale::bundle()?.to_bytes()?;
    time("bundle: parse and check", 50, || {
        hint::black_box(bundle::Bundle::parse(&content).is_ok());
    });
    let bundle = scale::bundle()?;
    time("bundle: digest", 50, || {
        hint::black_box(bundle.digest());
    });
    let list = scale::host_list();
    time("host list: parse", 20, || {
        hint::black_box(toucand::hosts::parse(list.as_bytes()).is_ok());
    });
    Ok(())
}

fn main() -> Result<()> {
    // The memory measurements come first, since later ones would reuse memory freed by other work.
    tables()?;
    messages()?;
    operations()
}
