//! Guards against a fleet that repeats requests beyond its budget, in any window.

use proptest::prelude::*;
use tsw_base::time::{Span, Tick};
use tsw_flow::budget::Budget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;

proptest! {
    /// All routers repeat whatever their budgets allow, at any times.
    #[test]
    fn fleet_stays_within_its_budget_in_every_window(
        routers in 1_usize..8,
        // Time step in milliseconds, whether a request arrives, and attempts to repeat one.
        steps in prop::collection::vec((0_u64..400, any::<bool>(), 0_u32..6), 0..300),
    ) {
        let window = Span::from_millis(WINDOW_MS);
        let mut budgets = vec![Budget::new(window, RATIO, SLACK); routers];
        let mut now = 1_000;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (index, (step, arrives, tries)) in steps.into_iter().enumerate() {
            now += step;
            let at = Tick::ZERO + Span::from_millis(now);
            let budget = &mut budgets[index % routers];
            if arrives {
                budget.earn(at);
                requests.push(now);
            }
            for _ in 0..tries {
                if budget.spend(at, routers) {
                    repeats.push(now);
                }
            }
        }
        for end in &repeats {
            let within = |time: &&u64| **time <= *end && *end - **time < WINDOW_MS;
            let repeated = repeats.iter().filter(within).count() as f64;
            let arrived = requests.iter().filter(within).count() as f64;
            prop_assert!(
                repeated <= RATIO * arrived + SLACK,
                "{repeated} repeats of {arrived} requests"
            );
        }
    }
}

/// Guards against a window that begins within a part of which the budget forgets the repeats.
#[test]
fn budget_is_not_granted_twice_within_one_window() {
    let mut budget = Budget::new(Span::from_millis(WINDOW_MS), RATIO, SLACK);
    let at = |millis| Tick::ZERO + Span::from_millis(millis);
    let early = (0..100).filter(|_| budget.spend(at(499), 1)).count();
    let late = (0..100).filter(|_| budget.spend(at(10_000), 1)).count();
    assert!(early > 0);
    assert_eq!(late, 0, "after {early} repeats 9.5 s before");
}

#[test]
fn budget_comes_back_after_the_window() {
    let mut budget = Budget::new(Span::from_millis(WINDOW_MS), RATIO, SLACK);
    let at = |millis| Tick::ZERO + Span::from_millis(millis);
    while budget.spend(at(1_000), 1) {}
    assert!(!budget.spend(at(9_000), 1));
    assert!(budget.spend(at(11_500), 1));
}
