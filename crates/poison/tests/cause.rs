//! Tests of the search for what requests that crash upstreams have in common, run together with sound
//! requests.

use proptest::prelude::*;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_poison::{
    cause::{self, Command, Event, Finder},
    detector, Candidates, CrashDetector, Findings, Fingerprint, Verdict,
};

const TEAM: &str = "north";
/// The part that crashes upstreams.
const DEADLY: u64 = 0xdead;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

fn upstream(number: u64) -> name::Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn request_of(team: &str, number: u128, parts: &[u64]) -> Candidates {
    let parts = parts.iter().map(|id| Fingerprint::of_part(b"reviews", *id));
    Candidates::new(team.as_bytes(), Fingerprint(number), parts.collect())
}

fn request(number: u128, parts: &[u64]) -> Candidates {
    request_of(TEAM, number, parts)
}

/// Reports a crash with one of the requests in flight.
fn report(finder: &mut Finder, now: u64, on: u64, request: Candidates) -> Vec<Command> {
    let upstream = upstream(on);
    let ran_for = Span::ZERO;
    finder.handle(
        at(now),
        Event::Crashed {
            upstream,
            request,
            ran_for,
        },
    )
}

/// Lets the routers derive rules from the crashes at `now`.
fn settle(finder: &mut Finder, now: u64) -> Vec<Command> {
    finder.handle(at(now) + cause::SETTLE_TIME, Event::Tick)
}

fn crash(finder: &mut Finder, now: u64, on: u64, request: Candidates) -> Vec<Command> {
    let mut commands = report(finder, now, on, request);
    commands.extend(settle(finder, now));
    commands
}

fn answer(finder: &mut Finder, now: u64, request: Candidates) -> Vec<Command> {
    finder.handle(at(now), Event::Answered { request })
}

fn is_refused(finder: &Finder, now: u64, request: &Candidates) -> bool {
    finder.refusal(at(now), request).is_some()
}

fn broadcasts(commands: &[Command]) -> Vec<Findings> {
    let findings = commands.iter().filter_map(|command| match command {
        Command::Broadcast(findings) => Some(findings.clone()),
        _ => None,
    });
    findings.collect()
}

fn deliver(messages: &[Findings], now: u64, to: &mut Finder) -> Vec<Command> {
    let commands = messages
        .iter()
        .flat_map(|message| to.handle(at(now), Event::Message(message.clone())));
    commands.collect()
}

/// Crashes three upstreams by different requests with the same parts.
fn crash_three(finder: &mut Finder, parts: &[u64]) -> Vec<Command> {
    let crashes = (1..=3).flat_map(|number| {
        let request = request(u128::from(number), parts);
        crash(finder, 1_000 * number, number, request)
    });
    crashes.collect()
}

/// Guards against different requests that crash one upstream after the other because of a shared part.
#[test]
fn different_requests_with_a_deadly_part_are_refused_after_three_crashes() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1, DEADLY, 2]);
    assert!(is_refused(&finder, 4_000, &request(4, &[1, DEADLY, 2])));
    for sound in [[1, 2].as_slice(), &[1, 3], &[DEADLY + 1]] {
        assert!(!is_refused(&finder, 4_000, &request(5, sound)), "{sound:?}");
    }
}

/// Guards against a rule that keeps the sound parts that occurred with the deadly one, so that requests
/// without them are sent to upstreams.
#[test]
fn answered_parts_are_removed_from_the_rule() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1, DEADLY, 2]);
    assert!(!is_refused(&finder, 4_000, &request(4, &[7, DEADLY])));
    let commands = answer(&mut finder, 4_000, request(5, &[1, 2]));
    assert_eq!(broadcasts(&commands).len(), 1, "peers need to know it too");
    assert!(is_refused(&finder, 4_000, &request(6, &[7, DEADLY])));
}

/// Guards against a rule that is never widened although upstreams crash on the part without the sound
/// parts that occurred with it at first.
#[test]
fn crash_without_the_companions_of_a_part_widens_the_rule() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1, DEADLY, 2]);
    crash(&mut finder, 4_000, 4, request(4, &[7, DEADLY]));
    assert!(is_refused(&finder, 4_000, &request(5, &[8, DEADLY])));
    assert!(!is_refused(&finder, 4_000, &request(6, &[1, 2])));
}

/// Guards against refusing sound requests because a request that crashes upstreams as a whole, and not
/// by a part, is repeated.
#[test]
fn repeats_of_one_request_cause_the_refusal_of_this_request_only() {
    let mut finder = Finder::default();
    for number in 1..=3 {
        crash(&mut finder, 1_000 * number, number, request(9, &[1, 2]));
    }
    assert!(is_refused(&finder, 4_000, &request(9, &[1, 2])));
    assert!(!is_refused(&finder, 4_000, &request(10, &[1, 2])));
}

/// Guards against counting one crash several times because several routers report it.
#[test]
fn reports_of_one_crash_count_once() {
    let mut finder = Finder::default();
    for number in 1..=3 {
        let crashing = request(number, &[DEADLY]);
        crash(&mut finder, 1_000 + number as u64, 1, crashing);
    }
    assert!(!is_refused(&finder, 1_010, &request(4, &[DEADLY])));
}

/// Guards against refusing requests that were in flight in the same crashes as the deadly ones.
#[test]
fn requests_in_flight_in_the_same_crashes_are_not_refused() {
    let mut finder = Finder::default();
    for number in 1..=3 {
        let now = 1_000 * number;
        report(&mut finder, now, number, request(100, &[1, 5]));
        let crashing = request(u128::from(number), &[1, DEADLY, 10 + number]);
        crash(&mut finder, now, number, crashing);
    }
    assert!(!is_refused(&finder, 3_500, &request(101, &[1, 6])));
    // As often in flight as the deadly part, so it takes one more crash or a response to tell.
    crash(&mut finder, 4_000, 4, request(4, &[1, DEADLY, 14]));
    assert!(is_refused(&finder, 4_000, &request(5, &[1, DEADLY, 15])));
    assert!(!is_refused(&finder, 4_000, &request(102, &[1, 5])));
}

/// Guards against a team whose requests crash upstreams and that names the parts of another team's
/// prompts, so that the other team's requests are refused.
#[test]
fn one_team_causes_no_refusal_of_another_team() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1]);
    let other = request_of("south", 4, &[1]);
    assert!(!is_refused(&finder, 4_000, &other));
    let commands = crash(&mut finder, 4_000, 4, other);
    assert!(!broadcasts(&commands).is_empty());
    for team in ["south", "west"] {
        assert!(
            is_refused(&finder, 4_000, &request_of(team, 5, &[1])),
            "{team}"
        );
    }
}

/// Guards against a team whose requests crash upstreams while requests of another team with the same
/// parts are in flight there, so that the other team's requests are refused.
#[test]
fn team_in_flight_in_the_crashes_of_another_team_is_not_refused() {
    let mut finder = Finder::default();
    for number in 1..=5 {
        let now = 1_000 * number;
        let sound = request_of("south", 100 + u128::from(number), &[1, 2]);
        report(&mut finder, now, number, sound);
        crash(
            &mut finder,
            now,
            number,
            request(u128::from(number), &[1, 2]),
        );
        // In some crashes only the request of the team at fault is in flight.
        let alone = request(50 + u128::from(number), &[1, 2]);
        crash(&mut finder, now + 500, 10 * number, alone);
    }
    assert!(is_refused(&finder, 6_000, &request(7, &[1, 2])));
    assert!(!is_refused(
        &finder,
        6_000,
        &request_of("south", 8, &[1, 2])
    ));
}

/// Guards against conclusions that take long because many requests with long prompts were in flight in
/// many crashes.
#[test]
fn conclusions_from_the_largest_number_of_candidates_are_quick() {
    let mut finder = Finder::default();
    for number in 0..cause::MAX_CRASHES as u64 {
        for other in 0..cause::MAX_REQUESTS as u64 {
            let parts = (0..120)
                .map(|part| part + 60 * (other % 8))
                .collect::<Vec<u64>>();
            let crashing = request(u128::from(1_000 * number + other), &parts);
            report(&mut finder, 10 * number, number, crashing);
        }
    }
    let started = std::time::Instant::now();
    settle(&mut finder, 10 * cause::MAX_CRASHES as u64);
    let took = started.elapsed();
    assert!(
        took < std::time::Duration::from_secs(5),
        "{took:?} in a debug build"
    );
}

/// Guards against routers that learn the same part one after the other, each from crashes of its own.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut routers = [Finder::default(), Finder::default(), Finder::default()];
    for number in 1..=3u64 {
        let index = number as usize - 1;
        let crashing = request(u128::from(number), &[1, DEADLY]);
        let commands = crash(&mut routers[index], 1_000 * number, number, crashing);
        for (other, router) in routers.iter_mut().enumerate() {
            if other != index {
                deliver(&broadcasts(&commands), 1_000 * number, router);
                settle(router, 1_000 * number);
            }
        }
    }
    for router in &routers {
        assert!(is_refused(router, 3_000, &request(4, &[1, DEADLY])));
    }
}

/// Guards against a restarted router that sends deadly requests to upstreams again.
#[test]
fn rules_are_passed_on_to_a_router_that_starts() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1, DEADLY]);
    let mut started = Finder::default();
    deliver(&finder.rules(at(4_000)), 4_000, &mut started);
    assert!(is_refused(&started, 4_000, &request(4, &[1, DEADLY])));
    assert!(!is_refused(&started, 4_000, &request(5, &[1])));
    // What it learns from a response is applied by the others as well.
    let answered = answer(&mut started, 4_000, request(6, &[1]));
    deliver(&broadcasts(&answered), 4_000, &mut finder);
    assert!(is_refused(&finder, 4_000, &request(7, &[DEADLY])));
}

/// Guards against a rule that returns with the candidates that were cleared, and is logged again and
/// again, because a peer sends it that does not know yet that they were.
#[test]
fn outdated_rule_of_a_peer_changes_nothing() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[1, DEADLY]);
    let outdated = finder.rules(at(4_000));
    answer(&mut finder, 4_000, request(4, &[1]));
    let before = finder.rules(at(4_000));
    assert_eq!(deliver(&outdated, 4_000, &mut finder), []);
    assert_eq!(finder.rules(at(4_000)), before);
}

/// Guards against findings about causes that have an effect at a router of an older version: it takes
/// them for findings about requests.
#[test]
fn router_of_an_older_version_ignores_findings_about_causes() {
    let mut finder = Finder::default();
    let mut messages = broadcasts(&crash_three(&mut finder, &[1, DEADLY]));
    messages.extend(finder.rules(at(4_000)));
    messages.extend(broadcasts(&answer(&mut finder, 4_000, request(4, &[1]))));
    assert_eq!(
        messages.len(),
        6,
        "three crashes, twice the rule, and the response"
    );
    for mut old in [CrashDetector::default(), CrashDetector::without_isolation()] {
        for message in &messages {
            let event = detector::Event::Message(message.clone());
            assert_eq!(old.handle(at(4_000), event), []);
        }
        assert!(old.is_empty());
    }
}

/// Guards against a change of the encoding, which routers of other versions read by position.
#[test]
fn findings_keep_their_encoding() {
    let mut finder = Finder::default();
    let commands = report(&mut finder, 1_000, 1, request(1, &[DEADLY]));
    let findings = broadcasts(&commands).remove(0).findings;
    let fingerprints = findings.iter().map(|finding| finding.fingerprint.0);
    let expected: [u128; 4] = [
        0x75707374_723b70e1_ced5d68a_f5b83c1b,
        0x7465616d_d64570f8_de7d9ff1_5428d9de,
        0x63617573_00000000_00000000_00000001,
        0x63617573_ecb0d660_00000000_0000dead,
    ];
    assert_eq!(fingerprints.collect::<Vec<u128>>(), expected);
    let mut verdicts = findings.iter().map(|finding| &finding.verdict);
    assert!(verdicts.all(|verdict| *verdict == Verdict::Cleared));
}

/// Guards against a part that crashes three upstreams again each time its rule expires.
#[test]
fn one_crash_renews_an_expired_rule() {
    let mut finder = Finder::default();
    crash_three(&mut finder, &[DEADLY]);
    let confirmed = at(3_000) + cause::SETTLE_TIME;
    let expired = (confirmed + detector::REFUSAL_PERIOD)
        .since(Timestamp::ZERO)
        .as_millis();
    assert!(is_refused(&finder, expired - 1, &request(4, &[DEADLY])));
    assert!(!is_refused(&finder, expired, &request(4, &[DEADLY])));
    finder.handle(at(expired), Event::Tick);
    crash(&mut finder, expired, 4, request(4, &[DEADLY]));
    assert!(is_refused(&finder, expired + 1, &request(5, &[DEADLY])));
    let later = expired + cause::MEMORY_PERIOD.as_millis() * 2;
    finder.handle(at(later), Event::Tick);
    assert!(finder.is_empty());
}

/// Guards against memory that grows with the number of crashes or of the prompt parts.
#[test]
fn memory_is_bounded() {
    let mut finder = Finder::default();
    let parts: Vec<u64> = (0..10_000).collect();
    for number in 0..3 * cause::MAX_CRASHES as u64 {
        let crashing = request(u128::from(number), &parts);
        let commands = crash(&mut finder, number, number, crashing);
        for findings in broadcasts(&commands) {
            assert!(findings.findings.len() <= tsw_poison::candidates::MAX_PARTS + 3);
        }
    }
    let rules = finder.rules(at(3_000));
    assert!(rules.len() <= cause::MAX_RULES);
}

/// Maximum number of requests that operators allow at upstreams after the fifth crash.
const MAX_LATE_CRASHES: usize = 3;

fn sound_parts() -> impl Strategy<Value = Vec<u64>> {
    proptest::collection::btree_set(1..9u64, 1..4).prop_map(|parts| parts.into_iter().collect())
}

proptest! {
    /// Guards against mixes of requests in which the deadly part is found too late, or for which sound
    /// requests are refused.
    #[test]
    fn deadly_part_is_found_among_any_others(
        steps in proptest::collection::vec((sound_parts(), any::<bool>(), proptest::collection::vec(sound_parts(), 0..3)), 60..120),
    ) {
        let mut finder = Finder::default();
        let (mut crashes, mut sound, mut served) = (0, 0, 0);
        for (number, (mut parts, is_deadly, in_flight)) in steps.into_iter().enumerate() {
            let now = 1_000 * number as u64;
            if is_deadly {
                parts.push(DEADLY);
            }
            let candidates = request(number as u128, &parts);
            if is_refused(&finder, now, &candidates) {
                sound += usize::from(!is_deadly);
                continue;
            }
            if !is_deadly {
                answer(&mut finder, now, candidates);
                sound += 1;
                served += 1;
                continue;
            }
            crashes += 1;
            let others = in_flight.iter().enumerate();
            let others = others.map(|(other, parts)| request((1_000 + 10 * number + other) as u128, parts));
            let others: Vec<Candidates> = others.collect();
            for other in &others {
                report(&mut finder, now, number as u64, other.clone());
            }
            crash(&mut finder, now, number as u64, candidates);
            // The routers retry them.
            for other in others {
                sound += 1;
                if !is_refused(&finder, now + 200, &other) {
                    answer(&mut finder, now + 200, other);
                    served += 1;
                }
            }
        }
        prop_assert!(crashes <= 5 + MAX_LATE_CRASHES, "{crashes} crashes");
        prop_assert!(2 * served >= sound, "{served} of {sound} sound requests served");
    }
}
