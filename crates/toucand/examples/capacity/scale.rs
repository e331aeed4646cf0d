//! Generators of names, messages and documents at the design scale.

use std::sync::Arc;

use eyre::{Result, WrapErr};
use tsw_base::{host, name, time::Span};
use tsw_config::bundle;
use tsw_grant::message::{Class, Demand, DemandLine, HeldGrant, Id, Release, Report, State};
use tsw_member::Ping;
use tsw_once::{permit, End, Response};
use tsw_share::message as share;

pub const ROUTERS: u64 = 1_200;
pub const WORKERS: u64 = 10_000;
pub const DOMAINS: u64 = 17;
pub const SERVICES: u64 = 14;
pub const TEAMS: u64 = 990;
pub const BUSY_TEAMS: u64 = 99;
/// Number of upstreams of one home. With `SLOTS` slots for each upstream, 10,000 workers can serve the
/// peak of 66,000 requests per second of 18 s each.
pub const GROUP: u64 = 32;
pub const SLOTS: u32 = 119;
/// Running requests of one entry router at peak load.
pub const RUNNING: u64 = 990;
pub const KEYS: u64 = 20_000;

pub fn host_id(number: u64) -> host::Id {
    host::Id {
        host: format!("r{number:04}").parse().expect("a name"),
        incarnation: host::Incarnation::new(1_700_000_000_000 + number, 7),
    }
}

pub fn team(number: u64) -> name::Team {
    format!("team-{number:03}").parse().expect("a name")
}

pub fn service(number: u64) -> name::Service {
    format!("service-{number:02}").parse().expect("a name")
}

pub fn upstream(number: u64) -> name::Upstream {
    format!("engine-{number:05}").parse().expect("a name")
}

pub fn domain(number: u64) -> name::Domain {
    format!("domain-{:02}", number % DOMAINS)
        .parse()
        .expect("a name")
}

pub fn update(number: u64) -> tsw_member::Update {
    tsw_member::Update {
        id: host_id(number),
        domain: domain(number),
        refutation: 1,
        state: tsw_member::State::Alive,
    }
}

pub fn ping(updates: u64) -> Ping {
    Ping {
        nonce: 1 << 40,
        bundle: 1 << 20,
        hosts: 1 << 20,
        sender: update(0),
        updates: (1..=updates).map(update).collect(),
    }
}

pub fn key(number: u64) -> permit::Key {
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

pub fn response() -> Response {
    Response {
        end: End::Complete,
        status: 200,
        code: Arc::from(""),
        content_type: Arc::from("application/json"),
        body: Arc::from([b'x'; 256]),
    }
}

pub fn grant_id(number: u64) -> Id {
    Id {
        home: host_id(1).incarnation,
        number,
    }
}

pub fn held(number: u64) -> HeldGrant {
    HeldGrant {
        id: grant_id(number),
        upstream: upstream(number % GROUP),
        team: team(number % TEAMS),
        class: Class::Short,
        age: Span::from_secs(9),
    }
}

pub fn demand(lines: u64) -> Demand {
    let line = |number| DemandLine {
        team: team(number),
        class: Class::Short,
        waiting: 3,
        oldest: Span::from_millis(700),
        newest: Span::from_millis(2),
    };
    Demand {
        service: service(0),
        seq: 1 << 20,
        latest_grant: Some(grant_id(1 << 20)),
        lines: (0..lines).map(line).collect(),
    }
}

pub fn release(state: State) -> Release {
    let report = Report {
        id: grant_id(1 << 20),
        state,
    };
    Release {
        service: service(0),
        reports: vec![report],
    }
}

pub fn served(teams: u64) -> share::Served {
    let total = |number| share::TeamTotal {
        team: team(number),
        charged: Span::from_secs(80_000),
        lead_us: Some(250_000),
    };
    share::Served {
        service: service(0),
        home: host_id(1).incarnation,
        seq: 1 << 20,
        totals: (0..teams).map(total).collect(),
    }
}

pub fn bundle() -> Result<bundle::Bundle> {
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
    bundle::Bundle::parse(text.as_bytes()).wrap_err("cannot parse the bundle of the design scale")
}

/// Returns a distinct string of 64 hexadecimal digits for each number.
pub fn token_digest(number: u64) -> String {
    format!("{number:064x}")
}

pub fn host_list() -> String {
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
