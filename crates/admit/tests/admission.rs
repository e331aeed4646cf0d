//! Tests of admission control.

use tsw_admit::admission::{AdmissionControl, Refusal};
use tsw_base::{
    name,
    time::{Span, Timestamp},
};

fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid")
}

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// Returns an admission control whose team 0 got a grant every 100 ms for 1 s and still has
/// `waiting` requests in its queue.
fn with_waiting(waiting: u64) -> AdmissionControl {
    let mut admission = AdmissionControl::new(100, 1_000_000);
    for _ in 0..waiting + 10 {
        admission
            .admit(ms(0), &team(0), 10, ms(100_000))
            .expect("room");
    }
    for step in 1..=10 {
        admission.record_grant(ms(step * 100), &team(0), 10);
    }
    admission
}

/// Guards against queueing a request that can't be served before its deadline. It is refused at
/// once with the expected wait as its retry time.
#[test]
fn request_that_would_be_late_is_rejected_at_once() {
    let mut admission = with_waiting(20);
    assert_eq!(
        admission.expected_wait(ms(1_000), &team(0)),
        Span::from_secs(2)
    );
    let refusal = admission.admit(ms(1_000), &team(0), 10, ms(2_999));
    let retry_after = Span::from_secs(2);
    assert_eq!(refusal, Err(Refusal::DeadlineTooSoon { retry_after }));
    assert_eq!(admission.admit(ms(1_000), &team(0), 10, ms(3_000)), Ok(()));
}

/// Guards against a flood of requests from one team that causes refusals for another.
#[test]
fn flood_fills_only_its_own_queue() {
    let mut admission = with_waiting(90);
    for _ in 0..50 {
        let _ = admission.admit(ms(1_000), &team(0), 10, ms(100_000));
    }
    let refusal = admission.admit(ms(1_000), &team(0), 10, ms(100_000));
    assert!(matches!(refusal, Err(Refusal::QueueFull { .. })));
    assert_eq!(admission.admit(ms(1_000), &team(1), 10, ms(1_001)), Ok(()));
}

/// Guards against a few large requests that use up the memory.
#[test]
fn bytes_are_bounded() {
    let mut admission = AdmissionControl::new(100, 1_000);
    admission
        .admit(ms(0), &team(0), 900, ms(1_000))
        .expect("room");
    let refusal = admission.admit(ms(0), &team(0), 101, ms(1_000));
    assert!(matches!(refusal, Err(Refusal::QueueBytesExceeded { .. })));
    admission.record_departure(&team(0), 900);
    assert_eq!(admission.admit(ms(0), &team(0), 101, ms(1_000)), Ok(()));
}

/// Guards against an expected wait that does not grow while no grants arrive.
#[test]
fn expected_wait_grows_while_no_grants_come() {
    let admission = with_waiting(20);
    assert_eq!(
        admission.expected_wait(ms(1_500), &team(0)),
        Span::from_secs(10)
    );
}

/// Guards against counting idle time, when no request was waiting, as time between grants.
#[test]
fn idle_time_does_not_raise_the_expected_wait() {
    let mut admission = with_waiting(0);
    admission
        .admit(ms(60_000), &team(0), 10, ms(61_000))
        .expect("room");
    admission.record_grant(ms(60_100), &team(0), 10);
    admission
        .admit(ms(60_100), &team(0), 10, ms(61_000))
        .expect("room");
    assert_eq!(
        admission.expected_wait(ms(60_100), &team(0)),
        Span::from_millis(100)
    );
}
