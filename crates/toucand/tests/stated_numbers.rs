//! Extreme numbers that upstreams, clients and operators state, with a router process.

#[path = "support/fleet.rs"]
mod fleet;

use std::{net::UdpSocket, time::Duration};

use actix_rt::time;
use fleet::{configuration, Call, Site};
use serde_json::Value;
use tsw_fake::worker::Behaviour;
use tsw_member::roster::{Member, RosterUpdate};

/// Numbers at the limits of common types, and text that is no number.
const NUMBERS: [&str; 12] = [
    "18446744073709551615",
    "18446744073709551616",
    "15000000000000000000",
    "9223372036854775807",
    "4294967296",
    "0",
    "-1",
    "1e308",
    "inf",
    "NaN",
    "",
    "x",
];

async fn site() -> Site {
    Site::start(Behaviour::Plain, Behaviour::Stream(3)).await
}

/// Checks that the router has not ended since its start.
fn assert_runs(site: &mut Site, what: &str) {
    let status = site.router.process.try_wait().expect("a process");
    assert_eq!(status, None, "the router ended: {what}");
}

/// Guards against a router that ends, with all of its requests, because of a time or number that one
/// upstream states, such as an idle timeout beyond the range of the clock.
#[actix_rt::test]
async fn numbers_that_upstreams_state_end_no_router() {
    let mut site = site().await;
    for field in [
        "Keep-Alive: timeout=",
        "Keep-Alive: max=5, timeout=",
        "Server-Load: ",
        "Weight-Versions: ",
        "Retry-After: ",
        // Stays in force after the response.
        "Server-Limit: ",
    ] {
        for number in NUMBERS {
            // Each response states it, whichever upstream sends it.
            let line = format!("{field}{number}\r\n");
            site.desk.set_fields(&line);
            site.models.iter().for_each(|model| model.set_fields(&line));
            for call in [
                Call::valid("GET", "/lookup/1", "a1"),
                Call::prompt("/draft/1", "a2"),
            ] {
                let sent = call.send_to(site.router.client).await;
                assert_runs(&mut site, &line);
                // A rate may refuse a request; the idle timeout of a connection may not.
                let status = sent.expect("a response").status;
                assert!([200, 503].contains(&status), "{line:?}: {status}");
                assert!(status == 200 || field == "Server-Limit: ", "{line:?}");
            }
        }
    }
}

/// Guards against a router that ends because of a number that one client states.
#[actix_rt::test]
async fn numbers_that_clients_state_end_no_router() {
    let mut site = site().await;
    for number in NUMBERS {
        for (name, value) in [
            ("Deadline-Ms", number.to_owned()),
            ("Token-Count", format!("{number},{number}")),
            ("Prompt-Prefix", format!("aa:{number},{number}:{number}")),
            ("Length-Hint", number.to_owned()),
            ("Last-Event-Id", number.to_owned()),
        ] {
            for mut call in [
                Call::valid("GET", "/lookup/1", "a1"),
                Call::prompt("/draft/1", "a2"),
            ] {
                call.head.fields.remove(name);
                call.head.fields.push(name, value.clone());
                let sent = call.send_to(site.router.client).await;
                assert_runs(&mut site, &format!("{name}: {value}"));
                sent.expect("a response");
            }
        }
    }
    let after = Call::valid("GET", "/lookup/1", "a3")
        .send(&site.router)
        .await;
    assert_eq!(after.status, 200);
}

/// Guards against a router that ends, or serves nothing, because of a large number in the configuration.
#[actix_rt::test]
async fn numbers_of_the_configuration_end_no_router() {
    let mut site = site().await;
    let mut version = 1;
    for number in [u64::MAX, i64::MAX as u64, 1 << 32] {
        for (list, field) in [
            ("routes", "timeoutMs"),
            ("routes", "targetLatencyMs"),
            ("routes", "gapAimMs"),
            ("routes", "maxAttempts"),
            ("routes", "priority"),
            ("services", "maxConnections"),
            ("limits", "headerTimeoutMs"),
            ("limits", "idleTimeoutMs"),
            ("limits", "maxHeaderBytes"),
            ("limits", "maxBodyBytes"),
            ("limits", "tokensPerS"),
            ("engine", "slots"),
            ("engine", "kvCapacityTokens"),
        ] {
            version += 1;
            let mut changed = configuration(version);
            match list {
                "limits" => changed[list][field] = Value::from(number),
                "engine" => changed["services"][1][list][field] = Value::from(number),
                _ => {
                    let entries = changed[list].as_array_mut().expect("a list");
                    entries
                        .iter_mut()
                        .for_each(|entry| entry[field] = Value::from(number));
                }
            }
            site.reconfigure(changed).await;
            for call in [
                Call::valid("GET", "/lookup/1", "a1"),
                Call::prompt("/draft/1", "a2"),
            ] {
                let status = call.send(&site.router).await.status;
                assert_eq!(status, 200, "{field}: {number}");
            }
            assert_runs(&mut site, field);
        }
    }
}

/// Guards against a router that ends because of a number that a peer states.
#[actix_rt::test]
async fn numbers_of_a_peer_end_no_router() {
    let mut site = site().await;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for (processor, read_for_ms) in [(u32::MAX, u64::MAX), (1 << 31, u64::MAX / 1_000 + 1)] {
        let member = Member {
            host: "r9".to_owned(),
            domain: "north".to_owned(),
            incarnation: u64::MAX,
            heartbeat: u64::MAX - 1,
            client: site.router.client,
            gossip: socket.local_addr().expect("bound"),
            control: site.router.control,
            processor,
            ready: true,
            reads_store: true,
            read_for_ms,
            version: u64::MAX,
            revision: u64::MAX,
            era: None,
        };
        let update = RosterUpdate {
            members: vec![member],
            ..RosterUpdate::default()
        };
        // The first kind of message that a datagram holds.
        let datagram = postcard::to_allocvec(&("r9", 0u32, update)).expect("encoded");
        socket.send_to(&datagram, site.router.gossip).expect("sent");
        time::sleep(Duration::from_millis(600)).await;
        let locate = "/api/resolution?name=h&region=r&zone=north";
        let located = site.router.get(site.router.locate, locate).await;
        assert_runs(&mut site, "numbers of a peer");
        assert!(located.expect("a response").text().contains("addresses"));
        let after = Call::valid("GET", "/lookup/1", "a1")
            .send(&site.router)
            .await;
        assert_eq!(after.status, 200);
    }
}
