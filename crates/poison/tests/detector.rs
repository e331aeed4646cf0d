//! Tests of the detection of requests that crash upstreams, run together with harmless requests.

use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_poison::{
    broken_connections::BrokenConnections, detector, Command, CrashDetector, Event, Finding,
    Findings, Fingerprint, Treatment, Verdict,
};

fn upstream(number: usize) -> name::Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn at(secs: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(secs)
}

fn start(detector: &mut CrashDetector, now: Timestamp, request: u128, on: usize) {
    let event = Event::Started {
        fingerprint: Fingerprint(request),
        upstream: upstream(on),
    };
    detector.handle(now, event);
}

fn crash(detector: &mut CrashDetector, now: Timestamp, on: usize) -> Vec<Command> {
    let upstream = upstream(on);
    detector.handle(now, Event::Crashed { upstream })
}

/// Starts requests on an upstream, which then crashes.
fn run_and_crash(
    detector: &mut CrashDetector,
    now: Timestamp,
    requests: &[u128],
    on: usize,
) -> Vec<Command> {
    for request in requests {
        start(detector, now, *request, on);
    }
    crash(detector, now, on)
}

fn treatment(detector: &CrashDetector, now: Timestamp, request: u128) -> Treatment {
    detector.treatment(now, Fingerprint(request))
}

fn is_refused(detector: &CrashDetector, now: Timestamp, request: u128) -> bool {
    matches!(treatment(detector, now, request), Treatment::Refused { .. })
}

/// Delivers the broadcasts of one router to others and returns the resulting commands.
fn deliver(
    commands: &[Command],
    now: Timestamp,
    others: &mut [&mut CrashDetector],
) -> Vec<Command> {
    let mut resulting = Vec::new();
    for command in commands {
        if let Command::Broadcast(message) = command {
            for other in others.iter_mut() {
                resulting.extend(other.handle(now, Event::Message(message.clone())));
            }
        }
    }
    resulting
}

/// Guards against a request that crashes one upstream after the other because it is retried at
/// different routers. After two crashes all routers refuse it.
#[test]
fn a_request_that_crashes_two_upstreams_is_refused_everywhere() {
    let (mut a, mut b, mut c) = (
        CrashDetector::default(),
        CrashDetector::default(),
        CrashDetector::default(),
    );
    let first = run_and_crash(&mut a, at(1), &[1, 2, 3], 1);
    deliver(&first, at(1), &mut [&mut b, &mut c]);
    for detector in [&a, &b, &c] {
        assert_eq!(treatment(detector, at(1), 1), Treatment::Solo);
    }
    let second = run_and_crash(&mut b, at(2), &[1], 2);
    deliver(&second, at(2), &mut [&mut a, &mut c]);
    for detector in [&a, &b, &c] {
        assert!(is_refused(detector, at(3), 1));
        assert_eq!(treatment(detector, at(3), 2), Treatment::Solo);
    }
}

/// Guards against refusing a harmless request that ran on the same upstream as a crashing request
/// in two crashes.
#[test]
fn harmless_requests_in_the_same_crashes_are_not_refused() {
    let mut detector = CrashDetector::default();
    run_and_crash(&mut detector, at(1), &[1, 2, 3], 1);
    run_and_crash(&mut detector, at(5), &[1, 2], 2);
    assert_eq!(treatment(&detector, at(5), 1), Treatment::Solo);
    assert_eq!(treatment(&detector, at(5), 2), Treatment::Solo);
    start(&mut detector, at(6), 2, 3);
    detector.handle(
        at(7),
        Event::Ended {
            fingerprint: Fingerprint(2),
            upstream: upstream(3),
            completed: true,
        },
    );
    assert_eq!(treatment(&detector, at(7), 2), Treatment::Normal);
    run_and_crash(&mut detector, at(8), &[1], 3);
    assert!(is_refused(&detector, at(8), 1));
}

/// Guards against unlimited crashes by two requests that always run together, so that neither is
/// the only suspect.
#[test]
fn the_third_crash_confirms_each_suspect() {
    let mut detector = CrashDetector::default();
    for number in 1..=3 {
        run_and_crash(&mut detector, at(5 * number as u64), &[1, 2], number);
    }
    assert!(is_refused(&detector, at(16), 1));
    assert!(is_refused(&detector, at(16), 2));
}

/// Guards against counting one crash twice because two routers report it.
#[test]
fn reports_of_one_crash_count_once() {
    let (mut a, mut b) = (CrashDetector::default(), CrashDetector::default());
    start(&mut a, at(1), 1, 1);
    start(&mut b, at(1), 1, 1);
    let by_a = crash(&mut a, at(1), 1);
    let by_b = crash(&mut b, at(1), 1);
    deliver(&by_a, at(1), &mut [&mut b]);
    deliver(&by_b, at(1), &mut [&mut a]);
    assert_eq!(treatment(&a, at(1), 1), Treatment::Solo);
    assert_eq!(treatment(&b, at(1), 1), Treatment::Solo);
}

/// Guards against not counting a second crash because the findings on the first arrived after it.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let (mut a, mut b) = (CrashDetector::default(), CrashDetector::default());
    let by_a = run_and_crash(&mut a, at(1), &[1, 2], 1);
    let by_b = run_and_crash(&mut b, at(1), &[1, 3], 2);
    let resulting = deliver(&by_a, at(1), &mut [&mut b]);
    assert!(resulting.contains(&Command::Confirmed(Fingerprint(1))));
    deliver(&by_b, at(1), &mut [&mut a]);
    assert!(is_refused(&a, at(2), 1));
    assert!(is_refused(&b, at(2), 1));
    assert_eq!(treatment(&a, at(2), 2), Treatment::Solo);
}

/// Guards against a request that is refused because copies of it ran on upstreams that crashed at the same
/// time, as when a failure domain loses power.
#[test]
fn copies_of_a_request_in_a_common_crash_count_once() {
    for mut detector in [CrashDetector::default(), CrashDetector::without_isolation()] {
        for on in 1..=4 {
            start(&mut detector, at(1), 1, on);
        }
        for on in 1..=4 {
            crash(&mut detector, at(2) + Span::from_millis(on as u64), on);
        }
        assert!(!is_refused(&detector, at(3), 1));
        // Further crashes are not excused.
        for turn in 2..=3 {
            let now = at(10 * turn);
            run_and_crash(&mut detector, now, &[1], 10 + turn as usize);
        }
        assert!(is_refused(&detector, at(31), 1));
    }
}

/// Guards against a refusal that never ends, or that lasts longer than 10 min because a peer
/// reports a longer remaining time.
#[test]
fn a_refusal_ends_after_ten_minutes() {
    let mut detector = CrashDetector::default();
    run_and_crash(&mut detector, at(0), &[1], 1);
    run_and_crash(&mut detector, at(5), &[1], 2);
    assert!(is_refused(&detector, at(604), 1));
    assert_eq!(treatment(&detector, at(605), 1), Treatment::Normal);
    let verdict = Verdict::Confirmed {
        remaining: Span::MAX,
    };
    let findings = vec![Finding {
        fingerprint: Fingerprint(9),
        verdict,
    }];
    detector.handle(at(1_000), Event::Message(Findings { findings }));
    assert!(is_refused(&detector, at(1_599), 9));
    assert_eq!(treatment(&detector, at(1_600), 9), Treatment::Normal);
    detector.handle(at(2_000), Event::Tick);
    assert!(detector.is_empty());
}

/// Guards against a request that remains a suspect although it completed, here or at a peer.
#[test]
fn a_suspect_that_completes_is_cleared_everywhere() {
    let (mut a, mut b) = (CrashDetector::default(), CrashDetector::default());
    let first = run_and_crash(&mut a, at(1), &[1], 1);
    deliver(&first, at(1), &mut [&mut b]);
    start(&mut b, at(2), 1, 2);
    let event = Event::Ended {
        fingerprint: Fingerprint(1),
        upstream: upstream(2),
        completed: true,
    };
    let cleared = b.handle(at(3), event);
    deliver(&cleared, at(3), &mut [&mut a]);
    assert_eq!(treatment(&a, at(3), 1), Treatment::Normal);
    assert_eq!(treatment(&b, at(3), 1), Treatment::Normal);
}

/// Guards against memory that grows with the number of suspects, and against suspects that evict a
/// confirmed request.
#[test]
fn memory_is_bounded_and_keeps_confirmed_requests() {
    let mut detector = CrashDetector::default();
    run_and_crash(&mut detector, at(0), &[0], 1);
    run_and_crash(&mut detector, at(5), &[0], 2);
    let many: Vec<u128> = (1..=2 * detector::MAX_RECORDS as u128).collect();
    run_and_crash(&mut detector, at(6), &many, 3);
    assert_eq!(detector.len(), detector::MAX_RECORDS);
    assert!(is_refused(&detector, at(7), 0));
}

/// Guards against findings that routers rebroadcast to each other without end.
#[test]
fn received_findings_are_not_rebroadcast() {
    let (mut a, mut b, mut c) = (
        CrashDetector::default(),
        CrashDetector::default(),
        CrashDetector::default(),
    );
    let by_a = run_and_crash(&mut a, at(1), &[1], 1);
    let by_b = run_and_crash(&mut b, at(1), &[1], 2);
    assert_eq!(deliver(&by_a, at(1), &mut [&mut c]), Vec::new());
    let resulting = deliver(&by_b, at(1), &mut [&mut c]);
    assert_eq!(resulting, vec![Command::Confirmed(Fingerprint(1))]);
}

/// Guards against refusing a request because its connections broke twice for other reasons, at a
/// router that does not run suspects alone.
#[test]
fn request_without_isolation_is_confirmed_only_by_its_third_crash() {
    let mut here = CrashDetector::without_isolation();
    let mut there = CrashDetector::without_isolation();
    for (crash, expected) in [(1, false), (2, false), (3, true)] {
        let now = at(10 * crash);
        let commands = run_and_crash(&mut here, now, &[7], crash as usize);
        deliver(&commands, now, &mut [&mut there]);
        for detector in [&here, &there] {
            assert_eq!(
                is_refused(detector, now, 7),
                expected,
                "after crash {crash}"
            );
            if !expected {
                assert_eq!(treatment(detector, now, 7), Treatment::Normal);
            }
        }
    }
}

/// Guards against counting crashes from before a request completed.
#[test]
fn request_without_isolation_that_completed_is_no_suspect() {
    let mut detector = CrashDetector::without_isolation();
    run_and_crash(&mut detector, at(1), &[7], 1);
    run_and_crash(&mut detector, at(2), &[7], 2);
    let event = Event::Ended {
        fingerprint: Fingerprint(7),
        upstream: upstream(3),
        completed: true,
    };
    detector.handle(at(3), event);
    run_and_crash(&mut detector, at(4), &[7], 1);
    assert!(!is_refused(&detector, at(4), 7));
}

/// Guards against refusing a harmless request for minutes because its connections broke at three
/// upstreams that continued to respond to other requests. This happens when many upstreams lose
/// responses for a while and many clients send the same request.
#[test]
fn upstream_that_answers_others_has_not_crashed() {
    let mut here = CrashDetector::without_isolation();
    let mut there = CrashDetector::without_isolation();
    for turn in 1..6 {
        let now = at(turn);
        let on = turn as usize;
        let commands = run_and_crash(&mut here, now, &[7], on);
        deliver(&commands, now, &mut [&mut there]);
        let upstream = upstream(on);
        let later = now + detector::SETTLE_TIME;
        let commands = here.handle(later, Event::Responded { upstream });
        deliver(&commands, later, &mut [&mut there]);
        assert!(here.is_empty() && there.is_empty(), "turn {turn}");
    }
}

/// Guards against clearing the suspects of a crash because of a response that was sent before the
/// crash and arrived after it.
#[test]
fn answers_sent_before_a_crash_clear_no_suspect() {
    let mut detector = CrashDetector::without_isolation();
    for turn in 1..4 {
        let now = at(turn);
        run_and_crash(&mut detector, now, &[7], turn as usize);
        let upstream = upstream(turn as usize);
        detector.handle(now + Span::from_millis(20), Event::Responded { upstream });
    }
    assert!(is_refused(&detector, at(3), 7));
}

/// Guards against refusing a harmless request for minutes although connections of other requests
/// break just as often. This happens when all upstreams lose a part of their responses for a few
/// seconds and many clients send the same request.
#[test]
fn breaks_of_many_requests_are_no_evidence_against_one() {
    let mut broken_connections = BrokenConnections::default();
    let mut detector = CrashDetector::without_isolation();
    for number in 0..300u64 {
        let now = Timestamp::from_micros(1) + Span::from_millis(30 * number);
        let on = upstream((number % 5) as usize);
        let request = if number % 3 == 0 {
            7
        } else {
            u128::from(100 + number)
        };
        if broken_connections.record_and_check(now, &on, Fingerprint(request)) {
            run_and_crash(&mut detector, now, &[request], (number % 5) as usize);
        }
        assert!(!is_refused(&detector, now, 7), "break {number}");
    }
}

/// Guards against missing a crashing request because the connections of other requests break in the
/// same crashes.
#[test]
fn crashing_request_is_detected_among_others_in_the_same_crashes() {
    let mut broken_connections = BrokenConnections::default();
    let mut detector = CrashDetector::without_isolation();
    for turn in 1..4usize {
        let now = at(turn as u64);
        for request in [7, 100 + turn as u128, 200 + turn as u128] {
            if broken_connections.record_and_check(now, &upstream(turn), Fingerprint(request)) {
                run_and_crash(&mut detector, now, &[request], turn);
            }
        }
    }
    assert!(is_refused(&detector, at(3), 7));
}
