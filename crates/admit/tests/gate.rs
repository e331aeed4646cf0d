//! Rules of admission.

use tsw_admit::gate::{Gate, Refusal};
use tsw_base::{
    name,
    time::{Span, Tick},
};

fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid")
}

fn ms(millis: u64) -> Tick {
    Tick::from_micros(millis * 1_000)
}

/// A gate whose team 0 has `waiting` requests left and got a grant every 100 ms.
fn busy(waiting: u64) -> Gate {
    let mut gate = Gate::new(100, 1_000_000);
    for _ in 0..waiting + 10 {
        gate.admit(ms(0), &team(0), 10, ms(100_000)).expect("room");
    }
    for step in 1..=10 {
        gate.grant(ms(step * 100), &team(0), 10);
    }
    gate
}

/// Guards against a request that waits in vain: it is rejected at once, with the expected wait.
#[test]
fn request_that_would_be_late_is_rejected_at_once() {
    let mut gate = busy(20);
    assert_eq!(gate.wait(ms(1_000), &team(0)), Span::from_secs(2));
    let refusal = gate.admit(ms(1_000), &team(0), 10, ms(2_999));
    let retry_after = Span::from_secs(2);
    assert_eq!(refusal, Err(Refusal::Late { retry_after }));
    assert_eq!(gate.admit(ms(1_000), &team(0), 10, ms(3_000)), Ok(()));
}

/// Guards against a flood of one team that causes rejections of another.
#[test]
fn flood_fills_only_its_own_queue() {
    let mut gate = busy(90);
    for _ in 0..50 {
        let _ = gate.admit(ms(1_000), &team(0), 10, ms(100_000));
    }
    let refusal = gate.admit(ms(1_000), &team(0), 10, ms(100_000));
    assert!(matches!(refusal, Err(Refusal::Full { .. })));
    assert_eq!(gate.admit(ms(1_000), &team(1), 10, ms(1_001)), Ok(()));
}

/// Guards against a few large requests that fill the memory.
#[test]
fn bytes_are_bounded() {
    let mut gate = Gate::new(100, 1_000);
    gate.admit(ms(0), &team(0), 900, ms(1_000)).expect("room");
    let refusal = gate.admit(ms(0), &team(0), 101, ms(1_000));
    assert!(matches!(refusal, Err(Refusal::Large { .. })));
    gate.leave(&team(0), 900);
    assert_eq!(gate.admit(ms(0), &team(0), 101, ms(1_000)), Ok(()));
}

/// Guards against an expected wait that stays short while no grants come.
#[test]
fn expected_wait_grows_while_no_grants_come() {
    let gate = busy(20);
    assert_eq!(gate.wait(ms(1_500), &team(0)), Span::from_secs(10));
}

/// Guards against idle time that counts as time between grants.
#[test]
fn idle_time_does_not_raise_the_expected_wait() {
    let mut gate = busy(0);
    gate.admit(ms(60_000), &team(0), 10, ms(61_000))
        .expect("room");
    gate.grant(ms(60_100), &team(0), 10);
    gate.admit(ms(60_100), &team(0), 10, ms(61_000))
        .expect("room");
    assert_eq!(gate.wait(ms(60_100), &team(0)), Span::from_millis(100));
}
