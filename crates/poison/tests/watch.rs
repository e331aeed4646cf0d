//! Requests that crash upstreams, among others that do not.

use tsw_base::{
    name,
    time::{Span, Tick},
};
use tsw_poison::{
    breaks::Breaks, watch, Command, Event, Finding, Fingerprint, Suspect, Treatment, Verdict, Watch,
};

fn upstream(number: usize) -> name::Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn at(secs: u64) -> Tick {
    Tick::ZERO + Span::from_secs(secs)
}

fn start(watch: &mut Watch, now: Tick, request: u128, on: usize) {
    let event = Event::Started {
        fingerprint: Fingerprint(request),
        upstream: upstream(on),
    };
    watch.handle(now, event);
}

fn crash(watch: &mut Watch, now: Tick, on: usize) -> Vec<Command> {
    let upstream = upstream(on);
    watch.handle(now, Event::Crashed { upstream })
}

/// Runs requests on an upstream that crashes.
fn run_and_crash(watch: &mut Watch, now: Tick, requests: &[u128], on: usize) -> Vec<Command> {
    for request in requests {
        start(watch, now, *request, on);
    }
    crash(watch, now, on)
}

fn treatment(watch: &Watch, now: Tick, request: u128) -> Treatment {
    watch.treatment(now, Fingerprint(request))
}

fn is_refused(watch: &Watch, now: Tick, request: u128) -> bool {
    matches!(treatment(watch, now, request), Treatment::Refused { .. })
}

/// Passes on what one router broadcasts to others.
fn tell(commands: &[Command], now: Tick, others: &mut [&mut Watch]) -> Vec<Command> {
    let mut answers = Vec::new();
    for command in commands {
        if let Command::Broadcast(message) = command {
            for other in others.iter_mut() {
                answers.extend(other.handle(now, Event::Message(message.clone())));
            }
        }
    }
    answers
}

/// Guards against a request that crashes upstream after upstream, retried at any router: it crashes
/// two.
#[test]
fn a_request_that_crashes_two_upstreams_is_refused_everywhere() {
    let (mut a, mut b, mut c) = (Watch::default(), Watch::default(), Watch::default());
    let first = run_and_crash(&mut a, at(1), &[1, 2, 3], 1);
    tell(&first, at(1), &mut [&mut b, &mut c]);
    for watch in [&a, &b, &c] {
        assert_eq!(treatment(watch, at(1), 1), Treatment::Solo);
    }
    let second = run_and_crash(&mut b, at(2), &[1], 2);
    tell(&second, at(2), &mut [&mut a, &mut c]);
    for watch in [&a, &b, &c] {
        assert!(is_refused(watch, at(3), 1));
        assert_eq!(treatment(watch, at(3), 2), Treatment::Solo);
    }
}

/// Guards against a request that is refused only because it ran beside another in two crashes.
#[test]
fn requests_beside_it_are_not_refused() {
    let mut watch = Watch::default();
    run_and_crash(&mut watch, at(1), &[1, 2, 3], 1);
    run_and_crash(&mut watch, at(5), &[1, 2], 2);
    assert_eq!(treatment(&watch, at(5), 1), Treatment::Solo);
    assert_eq!(treatment(&watch, at(5), 2), Treatment::Solo);
    start(&mut watch, at(6), 2, 3);
    watch.handle(
        at(7),
        Event::Ended {
            fingerprint: Fingerprint(2),
            upstream: upstream(3),
            completed: true,
        },
    );
    assert_eq!(treatment(&watch, at(7), 2), Treatment::Normal);
    run_and_crash(&mut watch, at(8), &[1], 3);
    assert!(is_refused(&watch, at(8), 1));
}

/// Guards against crashes without end by two requests that always run together.
#[test]
fn the_third_crash_confirms_in_any_case() {
    let mut watch = Watch::default();
    for number in 1..=3 {
        run_and_crash(&mut watch, at(5 * number as u64), &[1, 2], number);
    }
    assert!(is_refused(&watch, at(16), 1));
    assert!(is_refused(&watch, at(16), 2));
}

/// Guards against one crash that counts twice because two routers report it.
#[test]
fn reports_of_one_crash_count_once() {
    let (mut a, mut b) = (Watch::default(), Watch::default());
    start(&mut a, at(1), 1, 1);
    start(&mut b, at(1), 1, 1);
    let by_a = crash(&mut a, at(1), 1);
    let by_b = crash(&mut b, at(1), 1);
    tell(&by_a, at(1), &mut [&mut b]);
    tell(&by_b, at(1), &mut [&mut a]);
    assert_eq!(treatment(&a, at(1), 1), Treatment::Solo);
    assert_eq!(treatment(&b, at(1), 1), Treatment::Solo);
}

/// Guards against a second crash that is not counted because the news of the first came late.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let (mut a, mut b) = (Watch::default(), Watch::default());
    let by_a = run_and_crash(&mut a, at(1), &[1, 2], 1);
    let by_b = run_and_crash(&mut b, at(1), &[1, 3], 2);
    let answers = tell(&by_a, at(1), &mut [&mut b]);
    assert!(answers.contains(&Command::Confirmed(Fingerprint(1))));
    tell(&by_b, at(1), &mut [&mut a]);
    assert!(is_refused(&a, at(2), 1));
    assert!(is_refused(&b, at(2), 1));
    assert_eq!(treatment(&a, at(2), 2), Treatment::Solo);
}

/// Guards against a refusal that lasts for ever, or longer than 10 min when peers repeat it.
#[test]
fn a_refusal_ends_after_ten_minutes() {
    let mut watch = Watch::default();
    run_and_crash(&mut watch, at(0), &[1], 1);
    run_and_crash(&mut watch, at(5), &[1], 2);
    assert!(is_refused(&watch, at(604), 1));
    assert_eq!(treatment(&watch, at(605), 1), Treatment::Normal);
    let verdict = Verdict::Confirmed {
        remaining: Span::MAX,
    };
    let findings = vec![Finding {
        fingerprint: Fingerprint(9),
        verdict,
    }];
    watch.handle(at(1_000), Event::Message(Suspect { findings }));
    assert!(is_refused(&watch, at(1_599), 9));
    assert_eq!(treatment(&watch, at(1_600), 9), Treatment::Normal);
    watch.handle(at(2_000), Event::Tick);
    assert!(watch.is_empty());
}

/// Guards against a suspect that stays one although it completed, here or at a peer.
#[test]
fn a_suspect_that_completes_is_cleared_everywhere() {
    let (mut a, mut b) = (Watch::default(), Watch::default());
    let first = run_and_crash(&mut a, at(1), &[1], 1);
    tell(&first, at(1), &mut [&mut b]);
    start(&mut b, at(2), 1, 2);
    let event = Event::Ended {
        fingerprint: Fingerprint(1),
        upstream: upstream(2),
        completed: true,
    };
    let cleared = b.handle(at(3), event);
    tell(&cleared, at(3), &mut [&mut a]);
    assert_eq!(treatment(&a, at(3), 1), Treatment::Normal);
    assert_eq!(treatment(&b, at(3), 1), Treatment::Normal);
}

/// Guards against memory that grows with the number of suspects, and against suspects that push out
/// a confirmed request.
#[test]
fn memory_is_bounded_and_keeps_confirmed_requests() {
    let mut watch = Watch::default();
    run_and_crash(&mut watch, at(0), &[0], 1);
    run_and_crash(&mut watch, at(5), &[0], 2);
    let many: Vec<u128> = (1..=2 * watch::RECORDS as u128).collect();
    run_and_crash(&mut watch, at(6), &many, 3);
    assert_eq!(watch.len(), watch::RECORDS);
    assert!(is_refused(&watch, at(7), 0));
}

/// Guards against news that echo between routers without end.
#[test]
fn news_are_not_passed_on_by_those_that_only_heard_them() {
    let (mut a, mut b, mut c) = (Watch::default(), Watch::default(), Watch::default());
    let by_a = run_and_crash(&mut a, at(1), &[1], 1);
    let by_b = run_and_crash(&mut b, at(1), &[1], 2);
    assert_eq!(tell(&by_a, at(1), &mut [&mut c]), Vec::new());
    let answers = tell(&by_b, at(1), &mut [&mut c]);
    assert_eq!(answers, vec![Command::Confirmed(Fingerprint(1))]);
}

/// Guards against refusing a request because its connections broke twice for other reasons, by a
/// router that does not run suspects alone.
#[test]
fn request_beside_others_is_confirmed_by_its_third_crash_only() {
    let mut here = Watch::beside_others();
    let mut there = Watch::beside_others();
    for (crash, expected) in [(1, false), (2, false), (3, true)] {
        let now = at(10 * crash);
        let commands = run_and_crash(&mut here, now, &[7], crash as usize);
        tell(&commands, now, &mut [&mut there]);
        for watch in [&here, &there] {
            assert_eq!(is_refused(watch, now, 7), expected, "after crash {crash}");
            if !expected {
                assert_eq!(treatment(watch, now, 7), Treatment::Normal);
            }
        }
    }
}

/// Guards against a suspicion that outlives the proof of the contrary.
#[test]
fn request_beside_others_that_was_answered_is_no_suspect() {
    let mut watch = Watch::beside_others();
    run_and_crash(&mut watch, at(1), &[7], 1);
    run_and_crash(&mut watch, at(2), &[7], 2);
    let event = Event::Ended {
        fingerprint: Fingerprint(7),
        upstream: upstream(3),
        completed: true,
    };
    watch.handle(at(3), event);
    run_and_crash(&mut watch, at(4), &[7], 1);
    assert!(!is_refused(&watch, at(4), 7));
}

/// Pattern: many upstreams lose answers for a while, and many clients ask for the same. Guards against a
/// sound request that is refused for minutes, since its connections broke at three upstreams that
/// went on with others.
#[test]
fn upstream_that_answers_others_has_not_crashed() {
    let mut here = Watch::beside_others();
    let mut there = Watch::beside_others();
    for turn in 1..6 {
        let now = at(turn);
        let on = turn as usize;
        let commands = run_and_crash(&mut here, now, &[7], on);
        tell(&commands, now, &mut [&mut there]);
        let upstream = upstream(on);
        let later = now + watch::SETTLED;
        let commands = here.handle(later, Event::Answered { upstream });
        tell(&commands, later, &mut [&mut there]);
        assert!(here.is_empty() && there.is_empty(), "turn {turn}");
    }
}

/// Guards against a crash that is forgotten for an answer that was under way when it happened.
#[test]
fn answers_given_before_a_crash_prove_nothing() {
    let mut watch = Watch::beside_others();
    for turn in 1..4 {
        let now = at(turn);
        run_and_crash(&mut watch, now, &[7], turn as usize);
        let upstream = upstream(turn as usize);
        watch.handle(now + Span::from_millis(20), Event::Answered { upstream });
    }
    assert!(is_refused(&watch, at(3), 7));
}

/// Pattern: all upstreams lose a part of their answers for a few seconds, and many clients ask for the
/// same. Guards against a sound request that is refused for minutes because it broke as often as others.
#[test]
fn breaks_of_all_requests_tell_nothing_about_one() {
    let mut breaks = Breaks::default();
    let mut watch = Watch::beside_others();
    for number in 0..300u64 {
        let now = Tick::from_micros(1) + Span::from_millis(30 * number);
        let on = upstream((number % 5) as usize);
        let request = if number % 3 == 0 {
            7
        } else {
            u128::from(100 + number)
        };
        if breaks.is_evidence(now, &on, Fingerprint(request)) {
            run_and_crash(&mut watch, now, &[request], (number % 5) as usize);
        }
        assert!(!is_refused(&watch, now, 7), "break {number}");
    }
}

/// Guards against a request that is overlooked because others break with it.
#[test]
fn request_that_breaks_each_upstream_is_found_among_its_victims() {
    let mut breaks = Breaks::default();
    let mut watch = Watch::beside_others();
    for turn in 1..4usize {
        let now = at(turn as u64);
        for request in [7, 100 + turn as u128, 200 + turn as u128] {
            if breaks.is_evidence(now, &upstream(turn), Fingerprint(request)) {
                run_and_crash(&mut watch, now, &[request], turn);
            }
        }
    }
    assert!(is_refused(&watch, at(3), 7));
}
