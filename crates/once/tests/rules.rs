//! Single rules of the tables, which the random schedules in `fleet.rs` seldom isolate.

use tsw_base::{
    host,
    time::{Span, Timestamp},
};
use tsw_once::{
    message::{Digest, End, Finding, Intent, Reply, Seal, Verdict, WitnessReply},
    owner, permit, survivor, witness, Key, Limits,
};

const DIGEST: Digest = Digest([1; 32]);

fn id(host: &str, incarnation: u64) -> host::Id {
    host::Id {
        host: host.parse().unwrap(),
        incarnation: host::Incarnation::new(incarnation, 0),
    }
}

fn issuer() -> permit::Issuer {
    let signer = permit::Signer::new([1; 32]);
    permit::Issuer::new(signer, id("r0", 1), Span::from_secs(300))
}

fn key(issuer: &mut permit::Issuer, suffix: &str) -> Key {
    let (team, service) = ("t".parse().unwrap(), "s".parse().unwrap());
    let witnesses = vec![id("r1", 1), id("r2", 1)];
    let permit = issuer.issue(Timestamp::ZERO, 1, &team, &service, witnesses);
    format!("{permit}.{suffix}").parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

fn call(table: &mut owner::Table, ticket: u64, now: Timestamp, key: &Key) -> Vec<owner::Command> {
    let event = owner::Event::Call {
        ticket,
        key: key.clone(),
        digest: DIGEST,
    };
    table.handle(now, event)
}

fn is_not_run(commands: &[owner::Command], code: &str) -> bool {
    commands.iter().any(|command| match command {
        owner::Command::Reply {
            reply: Reply::Final(response),
            ..
        } => response.end == End::NotRun && &*response.code == code,
        _ => false,
    })
}

fn witness_reply(key: &Key, witness: host::Id, verdict: Verdict) -> owner::Event {
    owner::Event::WitnessReply {
        from: witness.clone(),
        reply: WitnessReply {
            key: key.clone(),
            witness,
            verdict,
        },
    }
}

/// Guards against a key that is refused because the table is full, and run later when a late copy
/// of the call arrives after a record was dropped.
#[test]
fn a_key_refused_for_lack_of_room_is_never_run() {
    let limits = Limits {
        records: 1,
        ..Limits::default()
    };
    let timing = owner::Timing {
        retain: Span::ZERO,
        ..owner::Timing::default()
    };
    let mut issuer = issuer();
    let first = key(&mut issuer, "a");
    let permit = &first.permit;
    let later = issuer.issue(at(10_000), 1, &permit.team, &permit.service, Vec::new());
    let second: Key = format!("{later}.a").parse().unwrap();
    let mut table = owner::Table::new(id("r0", 1), timing, limits);
    assert!(call(&mut table, 1, at(1), &first).len() > 1);
    let full = call(&mut table, 2, at(10_001), &second);
    assert!(is_not_run(&full, "table-full"));
    // The first key is refused and dropped, which makes room before the second permit expires.
    table.handle(
        at(10_002),
        witness_reply(&first, id("r1", 1), Verdict::Full),
    );
    table.handle(at(301_000), owner::Event::Tick);
    assert!(table.is_empty());
    let late = call(&mut table, 3, at(301_001), &second);
    assert!(is_not_run(&late, "permit-closed"));
}

/// Guards against a team that fills the table, so that calls of other teams are refused.
#[test]
fn a_team_cannot_use_up_the_table() {
    let limits = Limits {
        records: 4,
        team_records: 2,
        ..Limits::default()
    };
    let mut issuer = issuer();
    let mut table = owner::Table::new(id("r0", 1), owner::Timing::default(), limits);
    for ticket in 0..8 {
        let key = key(&mut issuer, "a");
        call(&mut table, ticket, at(1), &key);
    }
    assert_eq!(table.len(), 2);
    let service = "s".parse().unwrap();
    let permit = issuer.issue(at(1), 1, &"other".parse().unwrap(), &service, Vec::new());
    let key: Key = format!("{permit}.a").parse().unwrap();
    let commands = call(&mut table, 9, at(1), &key);
    assert!(commands
        .iter()
        .any(|command| matches!(command, owner::Command::Dispatch { .. })));
}

/// Guards against a restarted witness that accepts an intent or gives a seal although its previous
/// incarnation may have given the opposite answer.
#[test]
fn a_restarted_witness_neither_accepts_nor_seals() {
    let key = key(&mut issuer(), "a");
    let mut table = witness::Table::new(id("r1", 2), Span::from_secs(1), Limits::default());
    let intent = Intent {
        key: key.clone(),
        digest: DIGEST,
    };
    let from = id("r0", 1);
    let commands = table.handle(at(1), witness::Event::Intent { from, intent });
    assert!(matches!(
        &commands[..],
        [witness::Command::WitnessReply { reply, .. }] if reply.verdict == Verdict::Restarted
    ));
    let seal = Seal {
        ticket: 1,
        key,
        digest: DIGEST,
    };
    let from = id("r3", 1);
    let commands = table.handle(at(1), witness::Event::Seal { from, seal });
    assert!(matches!(
        &commands[..],
        [witness::Command::Sealed { sealed, .. }] if sealed.finding == Finding::Unknown
    ));
}

/// Guards against a witness that records an intent sent by a peer other than the owner.
#[test]
fn a_witness_takes_intents_from_the_owner_only() {
    let key = key(&mut issuer(), "a");
    let mut table = witness::Table::new(id("r1", 1), Span::from_secs(1), Limits::default());
    let intent = Intent {
        key,
        digest: DIGEST,
    };
    for from in [id("r3", 1), id("r0", 2)] {
        let intent = intent.clone();
        let commands = table.handle(at(1), witness::Event::Intent { from, intent });
        assert_eq!(commands, Vec::new());
    }
    assert!(table.is_empty());
}

/// Guards against an owner that waits for a silent witness without a timeout, longer than callers
/// wait.
#[test]
fn a_silent_witness_ends_the_wait_as_not_run() {
    let key = key(&mut issuer(), "a");
    let timing = owner::Timing::default();
    let mut table = owner::Table::new(id("r0", 1), timing, Limits::default());
    call(&mut table, 1, at(1), &key);
    table.handle(at(2), witness_reply(&key, id("r1", 1), Verdict::Accepted));
    let resent = table.handle(at(500), owner::Event::Tick);
    assert!(matches!(&resent[..], [owner::Command::Intent { to, .. }] if *to == id("r2", 1)));
    let commands = table.handle(at(1_001), owner::Event::Tick);
    assert!(is_not_run(&commands, "witness-silent"));
    let late = table.handle(
        at(1_002),
        witness_reply(&key, id("r2", 1), Verdict::Accepted),
    );
    assert_eq!(late, Vec::new());
}

/// Guards against accepting a permit that a caller forged or changed.
#[test]
fn a_changed_permit_is_refused() {
    let signer = permit::Signer::new([1; 32]);
    let (team, service) = ("t".parse().unwrap(), "s".parse().unwrap());
    let key = key(&mut issuer(), "a");
    assert_eq!(signer.verify(&key, &team, &service), Ok(()));
    let mut changed = [key.clone(), key.clone(), key.clone(), key.clone()];
    changed[0].permit.owner = id("r9", 1);
    changed[1].permit.witnesses.pop();
    changed[2].permit.expires = Span::MAX;
    changed[3].permit.number += 1;
    for key in &changed {
        let verdict = signer.verify(key, &team, &service);
        assert_eq!(verdict, Err(permit::Error::InvalidTag));
    }
    let other = "u".parse().unwrap();
    assert!(matches!(
        signer.verify(&key, &other, &service),
        Err(permit::Error::WrongScope { .. })
    ));
}

/// Guards against malformed texts that are parsed as keys.
#[test]
fn refuses_what_is_not_a_key() {
    let long = "a".repeat(permit::MAX_KEY_LEN + 1);
    let suffix = format!("AAAA.{}", "b".repeat(permit::MAX_SUFFIX_LEN + 1));
    let texts = [
        ("", permit::Error::MissingDot),
        ("AAAA", permit::Error::MissingDot),
        ("AAAA.", permit::Error::InvalidSuffix),
        ("AAAA.a b", permit::Error::InvalidSuffix),
        (&suffix, permit::Error::InvalidSuffix),
        ("AAAA.x", permit::Error::InvalidPermit),
        ("!.x", permit::Error::InvalidPermit),
        (&long, permit::Error::TooLong { len: long.len() }),
    ];
    for (text, error) in texts {
        assert_eq!(text.parse::<Key>(), Err(error), "{text:?}");
    }
}

/// Guards against a survivor that asks the witnesses while the owner is still processing the call,
/// and one that keeps waiting for an owner whose process ended.
#[test]
fn a_survivor_waits_for_an_owner_at_work_only() {
    let key = key(&mut issuer(), "a");
    let mut table = survivor::Table::new(survivor::Timing::default());
    let event = survivor::Event::Call {
        ticket: 1,
        key: key.clone(),
        digest: DIGEST,
        deadline: at(10_000),
    };
    table.handle(at(0), event);
    let from = id("r0", 1);
    let reply = Reply::Pending;
    table.handle(
        at(5),
        survivor::Event::Answer {
            from: from.clone(),
            ticket: 1,
            reply,
        },
    );
    assert_eq!(table.handle(at(5_000), survivor::Event::Tick), Vec::new());
    let commands = table.handle(at(5_001), survivor::Event::ProcessEnded { id: from });
    assert_eq!(commands.len(), 2);
    let commands = table.handle(at(5_600), survivor::Event::Tick);
    assert!(matches!(
        &commands[..],
        [survivor::Command::Reply { reply: Reply::Final(response), .. }]
            if response.end == End::Unknown
    ));
}
