//! Guards against records of where streams began that do not fit into a datagram, cost more as the
//! fleet grows, or are not found by the routers that lack them.

use indexmap::{IndexMap, IndexSet};
use tsw_base::time::Timestamp;
use tsw_flow::origin::{Key, Origin, Software};
use tsw_gate::{
    origin_batch::{Batch, Outgoing},
    origin_sync::{ASKED, KEEPERS},
    report::MAX_DATAGRAM,
};
use tsw_member::roster::{Member, Roster, RosterUpdate};

fn origin(service: &str, version: &str) -> Origin {
    let software = Software::Version(version.into());
    Origin {
        service: service.into(),
        software,
    }
}

fn records(count: u64) -> Vec<(Key, Origin)> {
    let version = |number: u64| ["v1", "v2"][(number % 2) as usize];
    let record = |number: u64| {
        let key = Key::new("counter", &number.to_string());
        (key, origin("engines", version(number)))
    };
    (0..count).map(record).collect()
}

fn host(number: usize) -> String {
    format!("r{number}")
}

/// Returns what each router of a fleet knows of it.
fn rosters(count: usize) -> Vec<Roster> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let member = |number: usize| Member {
        host: host(number),
        domain: "north".to_owned(),
        incarnation: 1,
        heartbeat: 1,
        client: address,
        gossip: address,
        control: address,
        processor: 250,
        ready: true,
        reads_store: true,
        read_for_ms: 0,
        version: 0,
        revision: 0,
        era: None,
    };
    let members: Vec<Member> = (0..count).map(member).collect();
    let roster = |number| {
        let mut roster = Roster::new(member(number), Vec::new());
        let members = members.clone();
        let update = RosterUpdate {
            members,
            ..RosterUpdate::default()
        };
        roster.receive(Timestamp::from_micros(1), "r0", &update);
        roster
    };
    (0..count).map(roster).collect()
}

#[test]
fn batches_fit_into_datagrams_and_lose_nothing() {
    let mut all = records(5_000);
    let long = "n".repeat(250);
    all.extend((0..200).map(|number| (Key(number), origin(&format!("{long}{number}"), &long))));
    let batches = Batch::split(&all);
    for batch in &batches {
        let bytes = postcard::to_allocvec(batch).expect("encoded");
        assert!(bytes.len() < MAX_DATAGRAM, "{}", bytes.len());
        assert_eq!(postcard::from_bytes::<Batch>(&bytes).as_ref(), Ok(batch));
    }
    assert!(batches.iter().flat_map(Batch::records).eq(all));
    let too_long = origin(&"n".repeat(257), "v1");
    assert_eq!(Batch::split(&[(Key(1), too_long)]), []);
}

/// Takes the records that a router sends to three others of the given incarnations.
fn take(outgoing: &mut Outgoing, running: &[(Key, Origin)], incarnations: [u64; 3]) -> usize {
    let members = incarnations.map(|incarnation| Member {
        incarnation,
        ..rosters(1)[0].me.clone()
    });
    let keepers = |_| members.iter().collect();
    let live = incarnations.into_iter().collect();
    let taken = outgoing.take(running.to_vec(), live, |_| true, keepers);
    taken.values().map(Vec::len).sum()
}

#[test]
fn each_record_is_sent_once_to_each_keeper_while_its_stream_runs() {
    let mut outgoing = Outgoing::default();
    let all = records(3);
    let unneeded = outgoing.take(all.clone(), IndexSet::new(), |_| false, |_| Vec::new());
    assert!(unneeded.is_empty());
    // The service has become mixed: the streams that run already are sent as well.
    assert_eq!(take(&mut outgoing, &all[..2], [1, 2, 3]), 2 * 3);
    assert_eq!(take(&mut outgoing, &all, [1, 2, 3]), 3);
    assert_eq!(take(&mut outgoing, &all, [1, 2, 3]), 0);
    // A keeper has started again.
    assert_eq!(take(&mut outgoing, &all, [1, 2, 4]), 3);
    assert_eq!(take(&mut outgoing, &[], [1, 2, 5]), 0);
}

/// Guards against routers that derive the origin of a stream whose software another one does not know, and against records
/// that stay unknown at the keepers.
#[test]
fn record_of_unknown_software_is_always_sent_and_again_when_it_is_known() {
    let mut outgoing = Outgoing::default();
    let keeper = rosters(1)[0].me.clone();
    let live = || IndexSet::from([keeper.incarnation]);
    let mut send = |origin: &Origin, is_needed: bool| {
        let streams = vec![(Key(1), origin.clone())];
        let taken = outgoing.take(streams, live(), |_| is_needed, |_| vec![&keeper]);
        taken.values().map(Vec::len).sum::<usize>()
    };
    let known = origin("engines", "v1");
    let unknown = Origin {
        software: Software::unknown(&"i-1".into()),
        ..known.clone()
    };
    assert_eq!((send(&unknown, false), send(&unknown, false)), (1, 0));
    assert_eq!((send(&known, true), send(&known, true)), (1, 0));
}

/// Two fleets with the same number of streams at each router in one interval.
#[test]
fn messages_and_bytes_per_router_do_not_grow_with_the_fleet() {
    const STREAMS: u64 = 8;
    /// Largest message with one record, without the names of the sender and the origin.
    const MESSAGE_BYTES: usize = 40;
    for fleet in [7, 95] {
        let now = Timestamp::from_micros(1);
        let (mut messages, mut bytes) = (0, 0);
        let mut received: IndexMap<String, usize> = IndexMap::new();
        let all = records(STREAMS * fleet);
        let rosters = rosters(fleet as usize);
        for (roster, records) in rosters.iter().zip(all.chunks(STREAMS as usize)) {
            let mut by_keeper: IndexMap<&str, Vec<(Key, Origin)>> = IndexMap::new();
            for (key, origin) in records {
                let keepers = roster.keepers(now, key.0, KEEPERS);
                assert_eq!(keepers.len(), KEEPERS);
                for keeper in keepers {
                    assert_ne!(keeper.host, roster.me.host);
                    let records = by_keeper.entry(&keeper.host).or_default();
                    records.push((*key, origin.clone()));
                }
            }
            for (keeper, records) in by_keeper {
                for batch in Batch::split(&records) {
                    messages += 1;
                    bytes += postcard::to_allocvec(&batch).expect("encoded").len();
                }
                *received.entry(keeper.to_owned()).or_default() += records.len();
            }
        }
        let streams = all.len();
        println!("{fleet} routers: {messages} messages, {bytes} bytes, {streams} streams");
        assert!(messages <= streams * KEEPERS);
        assert!(bytes <= streams * KEEPERS * MESSAGE_BYTES);
        let most = received.values().max().copied().unwrap_or(0);
        assert!(
            most <= 3 * STREAMS as usize * KEEPERS,
            "{most} at one router"
        );
    }
}

#[test]
fn routers_that_lack_a_record_ask_those_that_keep_it() {
    let now = Timestamp::from_micros(1);
    let rosters = rosters(20);
    for (key, _) in records(100) {
        let keepers = rosters[0].keepers(now, key.0, KEEPERS);
        let keepers: Vec<&str> = keepers.iter().map(|keeper| &*keeper.host).collect();
        for roster in &rosters[1..] {
            let asked = roster.keepers(now, key.0, ASKED + 1);
            // The one that recorded the stream has ended.
            let asked = asked.iter().filter(|peer| peer.host != rosters[0].me.host);
            let asked: Vec<&str> = asked.take(ASKED).map(|peer| &*peer.host).collect();
            let is_found = |keeper: &&str| asked.contains(keeper) || *keeper == roster.me.host;
            assert!(keepers.iter().all(is_found), "{keepers:?} {asked:?}");
        }
    }
}
