//! Guards against a fleet that exceeds its retry budget in some window.

use proptest::prelude::*;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::budget::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;

proptest! {
    /// Every router retries as often as its budget allows, at arbitrary times.
    #[test]
    fn fleet_stays_within_its_budget_in_every_window(
        routers in 1_usize..8,
        // Time step in milliseconds, whether a request arrives, and the number of attempted retries.
        steps in prop::collection::vec((0_u64..400, any::<bool>(), 0_u32..6), 0..300),
    ) {
        let window = Span::from_millis(WINDOW_MS);
        let mut budgets = vec![RetryBudget::new(window, RATIO, SLACK); routers];
        let mut now = 1_000;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (index, (step, arrives, tries)) in steps.into_iter().enumerate() {
            now += step;
            let at = Timestamp::ZERO + Span::from_millis(now);
            let budget = &mut budgets[index % routers];
            if arrives {
                budget.record_request(at);
                requests.push(now);
            }
            for _ in 0..tries {
                if budget.try_acquire(at, routers) {
                    retries.push(now);
                }
            }
        }
        for end in &retries {
            let within = |time: &&u64| **time <= *end && *end - **time < WINDOW_MS;
            let retried = retries.iter().filter(within).count() as f64;
            let arrived = requests.iter().filter(within).count() as f64;
            prop_assert!(
                retried <= RATIO * arrived + SLACK,
                "{retried} retries for {arrived} requests"
            );
        }
    }
}

/// Guards against dropping the bucket in which the current window begins: its retries would not
/// count, and the budget would be granted twice within one window.
#[test]
fn budget_is_not_granted_twice_within_one_window() {
    let mut budget = RetryBudget::new(Span::from_millis(WINDOW_MS), RATIO, SLACK);
    let at = |millis| Timestamp::ZERO + Span::from_millis(millis);
    let early = (0..100).filter(|_| budget.try_acquire(at(499), 1)).count();
    let late = (0..100)
        .filter(|_| budget.try_acquire(at(10_000), 1))
        .count();
    assert!(early > 0);
    assert_eq!(late, 0, "{early} retries were granted 9.5 s earlier");
}

#[test]
fn budget_is_available_again_after_the_window() {
    let mut budget = RetryBudget::new(Span::from_millis(WINDOW_MS), RATIO, SLACK);
    let at = |millis| Timestamp::ZERO + Span::from_millis(millis);
    while budget.try_acquire(at(1_000), 1) {}
    assert!(!budget.try_acquire(at(9_000), 1));
    assert!(budget.try_acquire(at(11_500), 1));
}
