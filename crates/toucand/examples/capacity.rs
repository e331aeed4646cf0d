//! Measures sizes, memory and processor time of the parts of a router at the design scale.
//!
//! Prints one Markdown table each for messages, tables in memory and operations. The tables are
//! built in this process; memory is the growth of its resident set.
//!
//! Run it with `cargo run --release -p toucand --example capacity`.

use std::{fs, hint, sync::Arc, time::Instant};

use bytes::BytesMut;
use eyre::{eyre, Result, WrapErr};
use tsw_audit::{Chain, Fields, Signer as RecordSigner};
use tsw_base::{
    host, name,
    time::{Span, Tick},
};
use tsw_config::bundle;
use tsw_grant::{
    home,
    message::{Class, Demand, Grant, Held, Holdings, Id, Line, Release, Report, State},
};
use tsw_member::{event, Event, Ping, Timing, View};
use tsw_once::{owner, permit, witness, Digest, End, Note, Noted, Outcome, Response, Verdict};
use tsw_share::message as share;
use tsw_wire::{frame, message::Message};

const ROUTERS: u64 = 1_200;
const WORKERS: u64 = 10_000;
const DOMAINS: u64 = 17;
const SERVICES: u64 = 14;
const TEAMS: u64 = 990;
const BUSY_TEAMS: u64 = 99;
/// Upstreams of one home, and slots of an upstream that carry the peak: 66,000 requests a second
/// of 18 s each on 10,000 workers.
const GROUP: u64 = 32;
const SLOTS: u32 = 119;
/// Running requests of one entry router at the peak.
const RUNNING: u64 = 990;
const KEYS: u64 = 20_000;
const PAGE_BYTES: u64 = 4_096;

fn host_id(number: u64) -> host::Id {
    host::Id {
        host: format!("r{number:04}").parse().expect("a name"),
        incarnation: host::Incarnation::new(1_700_000_000_000 + number, 7),
    }
}

fn team(number: u64) -> name::Team {
    format!("team-{number:03}").parse().expect("a name")
}

fn service(number: u64) -> name::Service {
    format!("service-{number:02}").parse().expect("a name")
}

fn upstream(number: u64) -> name::Upstream {
    format!("engine-{number:05}").parse().expect("a name")
}

fn domain(number: u64) -> name::Domain {
    format!("domain-{:02}", number % DOMAINS)
        .parse()
        .expect("a name")
}

fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("the resident set is unknown")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    let pages: u64 = pages.ok_or_else(|| eyre!("statm has another form: {text}"))?;
    Ok(pages * PAGE_BYTES)
}

/// Builds a table and prints how much the resident set grew.
fn memory<T>(label: &str, items: u64, build: impl FnOnce() -> T) -> Result<T> {
    let before = resident_bytes()?;
    let table = hint::black_box(build());
    let grown = resident_bytes()?.saturating_sub(before);
    let each = grown / items;
    println!("| {label} | {items} | {} | {each} |", grown / 1_000);
    Ok(table)
}

/// Prints the mean time of an operation.
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

fn update(number: u64) -> tsw_member::Update {
    tsw_member::Update {
        id: host_id(number),
        domain: domain(number),
        refutation: 1,
        state: tsw_member::State::Alive,
    }
}

fn ping(updates: u64) -> Ping {
    Ping {
        nonce: 1 << 40,
        bundle: 1 << 20,
        hosts: 1 << 20,
        sender: update(0),
        updates: (1..=updates).map(update).collect(),
    }
}

fn key(number: u64) -> permit::Key {
    let permit = permit::Permit {
        owner: host_id(0),
        witnesses: vec![host_id(1), host_id(2)],
        team: team(number % TEAMS),
        service: service(0),
        number,
        expires: Span::from_secs(300),
        tag: [7; 32],
    };
    permit::Key {
        permit,
        suffix: Arc::from("1"),
    }
}

fn response() -> Response {
    Response {
        end: End::Complete,
        status: 200,
        code: Arc::from(""),
        content_type: Arc::from("application/json"),
        body: Arc::from([b'x'; 256]),
    }
}

fn grant_id(number: u64) -> Id {
    Id {
        home: host_id(1).incarnation,
        number,
    }
}

fn held(number: u64) -> Held {
    Held {
        id: grant_id(number),
        upstream: upstream(number % GROUP),
        team: team(number % TEAMS),
        class: Class::Short,
        age: Span::from_secs(9),
    }
}

fn demand(lines: u64) -> Demand {
    let line = |number| Line {
        team: team(number),
        class: Class::Short,
        waiting: 3,
        oldest: Span::from_millis(700),
        newest: Span::from_millis(2),
    };
    Demand {
        service: service(0),
        seq: 1 << 20,
        seen: Some(grant_id(1 << 20)),
        lines: (0..lines).map(line).collect(),
    }
}

fn release(state: State) -> Release {
    let report = Report {
        id: grant_id(1 << 20),
        state,
    };
    Release {
        service: service(0),
        reports: vec![report],
    }
}

fn served(teams: u64) -> share::Served {
    let line = |number| share::Line {
        team: team(number),
        charged: Span::from_secs(80_000),
        lag_us: Some(250_000),
    };
    share::Served {
        service: service(0),
        home: host_id(1).incarnation,
        seq: 1 << 20,
        lines: (0..teams).map(line).collect(),
    }
}

fn bundle() -> Result<bundle::Bundle> {
    let services: Vec<String> = (0..SERVICES)
        .map(|number| {
            let name = service(number);
            format!(
                r#""{name}":{{"service":"{name}","kind":"model","repeatable":true,"slots":{SLOTS},"models":[{{"model":"model-{number}"}}]}}"#
            )
        })
        .collect();
    let teams: Vec<String> = (0..TEAMS)
        .map(|number| {
            let name = team(number);
            let token = token_digest(number);
            let shares: Vec<String> = (0..SERVICES)
                .map(|number| format!(r#""{}":0.001"#, service(number)))
                .collect();
            let shares = shares.join(",");
            format!(r#""{name}":{{"team":"{name}","tokens":["{token}"],"shares":{{{shares}}}}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"revision":1,"services":{{{}}},"teams":{{{}}}}}"#,
        services.join(","),
        teams.join(",")
    );
    bundle::Bundle::parse(text.as_bytes()).wrap_err("the bundle of the design scale")
}

/// Returns 64 hexadecimal digits that differ for each number.
fn token_digest(number: u64) -> String {
    format!("{number:064x}")
}

fn host_list() -> String {
    let router = |number: u64| {
        format!(
            r#"{{"host":"r{number:04}","domain":"{}","role":"router","state":"live","address":"10.0.{}.{}:8080","peer_address":"10.0.{}.{}:8081"}}"#,
            domain(number),
            number / 250,
            number % 250,
            number / 250,
            number % 250
        )
    };
    let worker = |number: u64| {
        format!(
            r#"{{"host":"{}","domain":"{}","role":"upstream","service":"{}","state":"live","address":"10.1.{}.{}:8080","slots":{SLOTS}}}"#,
            upstream(number),
            domain(number),
            service(number % SERVICES),
            number / 250,
            number % 250
        )
    };
    let mut entries: Vec<String> = (0..ROUTERS).map(router).collect();
    entries.extend((0..WORKERS).map(worker));
    format!(r#"{{"revision":1,"hosts":[{}]}}"#, entries.join(","))
}

fn view() -> View {
    let mut view = View::new(host_id(0), domain(0), Timing::default(), 1);
    let hosts = (0..ROUTERS)
        .map(|number| event::Listed {
            host: host_id(number).host,
            domain: domain(number),
            leaving: false,
        })
        .collect();
    view.handle(Tick::from_micros(1), Event::Hosts { revision: 1, hosts });
    for number in 1..ROUTERS {
        let (id, domain) = (host_id(number), domain(number));
        view.handle(Tick::from_micros(2), Event::Hello { id, domain });
    }
    view
}

/// Makes a home at the peak: all slots in use, a tenth of the teams waiting.
fn home() -> home::Home {
    let tuning = home::Tuning::default();
    let mut home = home::Home::new(service(0), host_id(1).incarnation, tuning);
    let now = Tick::from_micros(1_000_000);
    let shares = (0..TEAMS).map(|number| (team(number), 1_010)).collect();
    let slots = WORKERS / SERVICES * u64::from(SLOTS);
    home.handle(now, home::Event::Shares { slots, shares });
    let live = (0..ROUTERS).map(host_id).collect();
    home.handle(now, home::Event::Routers { live });
    for number in 0..GROUP {
        let upstream = upstream(number);
        let event = home::Event::Upstream {
            upstream,
            slots: SLOTS,
            limit: SLOTS,
        };
        home.handle(now, event);
    }
    let later = now + home::HANDOVER;
    for number in 0..ROUTERS {
        let from = host_id(number);
        let mut demand = demand(BUSY_TEAMS);
        demand.seen = None;
        home.handle(later, home::Event::Demand { from, demand });
    }
    home
}

fn owner_table() -> owner::Table {
    let (timing, limits) = (owner::Timing::default(), tsw_once::Limits::default());
    let mut table = owner::Table::new(host_id(0), timing, limits);
    let now = Tick::from_micros(1);
    for number in 1..=KEYS {
        run_key(&mut table, now, number);
    }
    table
}

/// Takes one key from the call to its response.
fn run_key(table: &mut owner::Table, now: Tick, number: u64) {
    let (key, digest) = (key(number), Digest([1; 32]));
    let call = owner::Event::Call {
        ticket: number,
        key: key.clone(),
        digest,
    };
    table.handle(now, call);
    let mut dispatched = Vec::new();
    for from in [host_id(1), host_id(2)] {
        let noted = Noted {
            key: key.clone(),
            witness: from.clone(),
            verdict: Verdict::Accepted,
        };
        dispatched.extend(table.handle(now, owner::Event::Noted { from, noted }));
    }
    for command in dispatched {
        if let owner::Command::Dispatch { run } = command {
            let response = response();
            table.handle(now, owner::Event::Finished { run, response });
        }
    }
}

fn witness_table() -> witness::Table {
    let keep = Span::from_secs(3_600);
    let mut table = witness::Table::new(host_id(1), keep, tsw_once::Limits::default());
    let (now, digest) = (Tick::from_micros(1), Digest([1; 32]));
    for number in 1..=KEYS {
        let from = host_id(0);
        let note = Note {
            key: key(number),
            digest,
        };
        table.handle(now, witness::Event::Note { from, note });
        let outcome = Outcome {
            key: key(number),
            digest,
            response: response(),
        };
        let from = host_id(0);
        table.handle(now, witness::Event::Outcome { from, outcome });
    }
    table
}

fn messages() -> Result<()> {
    println!("| message | bytes |\n|---|---|");
    let (key, digest) = (key(1), Digest([1; 32]));
    size("Ping, no news", &Message::Ping(ping(0)))?;
    size("Ping, 8 updates", &Message::Ping(ping(8)))?;
    size("Demand, 1 team", &Message::Demand(demand(1)))?;
    size("Demand, 99 teams", &Message::Demand(demand(BUSY_TEAMS)))?;
    let grant = Grant {
        service: service(0),
        id: grant_id(1 << 20),
        upstream: upstream(1),
        team: team(1),
        class: Class::Short,
        seq: 1 << 20,
    };
    size("Grant", &Message::Grant(grant))?;
    size(
        "Release, started",
        &Message::Release(release(State::Started)),
    )?;
    let pace = Some(Span::from_millis(74));
    let finished = release(State::Finished { pace });
    size("Release, finished", &Message::Release(finished))?;
    let holdings = Holdings {
        service: service(0),
        seen: Some(grant_id(1 << 20)),
        held: (0..RUNNING).map(held).collect(),
    };
    size("Holdings, 990 requests", &Message::Holdings(holdings))?;
    size("Served, 99 teams", &Message::Served(served(BUSY_TEAMS)))?;
    size("Served, 990 teams", &Message::Served(served(TEAMS)))?;
    let note = Note {
        key: key.clone(),
        digest,
    };
    size("Note", &Message::Note(note))?;
    let noted = Noted {
        key: key.clone(),
        witness: host_id(1),
        verdict: Verdict::Accepted,
    };
    size("Noted", &Message::Noted(noted))?;
    let outcome = Outcome {
        key,
        digest,
        response: response(),
    };
    size("Outcome, 256 bytes of body", &Message::Outcome(outcome))?;
    let mut chain = Chain::new(host_id(0), RecordSigner::from_bytes(&[1; 32]));
    let head = chain.sign(Tick::from_micros(1));
    size("Head", &Message::Head(head))?;
    println!(
        "| bundle, 990 teams x 14 services | {} |",
        bundle()?.to_bytes()?.len()
    );
    println!(
        "| host list, 1,200 routers and 10,000 workers | {} |\n",
        host_list().len()
    );
    Ok(())
}

fn tables() -> Result<()> {
    println!("| table | items | kB | bytes an item |\n|---|---|---|---|");
    let list = host_list();
    let kept = (
        memory("membership view, routers", ROUTERS, view)?,
        memory(
            "home at the peak, running requests",
            GROUP * u64::from(SLOTS),
            home,
        )?,
        memory("owner's keys", KEYS, owner_table)?,
        memory("witness's keys", KEYS, witness_table)?,
        memory("bundle, team shares", TEAMS * SERVICES, bundle)?,
        memory("host list, hosts", ROUTERS + WORKERS, || {
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
    let mut now = Tick::from_micros(10);
    time(
        "membership: tick of 50 ms with its probes, 1,200 routers",
        2_000,
        || {
            now = now + Span::from_millis(50);
            hint::black_box(view.handle(now, Event::Tick));
        },
    );
    time("membership: a ping with 8 updates", 2_000, || {
        let from = host_id(1).host;
        hint::black_box(view.handle(
            now,
            Event::Ping {
                from,
                ping: ping(8),
            },
        ));
    });
    let mut table = owner_table();
    let mut number = KEYS;
    time("owner: a key from call to response", 5_000, || {
        number += 1;
        run_key(&mut table, Tick::from_micros(2), number);
    });
    let mut chain = Chain::new(host_id(0), RecordSigner::from_bytes(&[1; 32]));
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
    let content = bundle()?.to_bytes()?;
    time("bundle: parse and check", 50, || {
        hint::black_box(bundle::Bundle::parse(&content).is_ok());
    });
    let bundle = bundle()?;
    time("bundle: digest", 50, || {
        hint::black_box(bundle.digest());
    });
    let list = host_list();
    time("host list: parse", 20, || {
        hint::black_box(toucand::hosts::parse(list.as_bytes()).is_ok());
    });
    Ok(())
}

fn main() -> Result<()> {
    // The tables come first: memory that earlier work freed would be reused by them.
    tables()?;
    messages()?;
    operations()
}
