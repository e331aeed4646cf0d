//! Guards against a plan that does not play what it claims, so that a run without violations says nothing.

use std::time::Duration;

use tsw_soak::fault::{Fault, Plan, ScheduledFault};

const PLAN: Plan = Plan::Mixed;
const LENGTH: Duration = Duration::from_secs(60);
const SEEDS: std::ops::Range<u64> = 0..60;
/// Indices of the upstreams that send streams.
const MODELS: std::ops::Range<usize> = 2..14;

fn plays(faults: &[ScheduledFault], is_wanted: impl Fn(Fault) -> bool) -> bool {
    faults.iter().any(|fault| is_wanted(fault.fault))
}

/// Guards against a kind of fault that no seed draws, and against versions that change nowhere.
#[test]
fn all_kinds_of_faults_are_drawn() {
    assert_eq!(PLAN.upstreams(), MODELS.end);
    let mut kinds = [0; 8];
    for seed in SEEDS {
        let faults = PLAN.draw(seed, LENGTH);
        assert!(plays(
            &faults,
            |fault| matches!(fault, Fault::Release(index, _) if MODELS.contains(&index))
        ));
        let drawn = [
            plays(&faults, |fault| {
                fault == Fault::KillGroup(0, PLAN.routers())
            }),
            plays(&faults, |fault| matches!(fault, Fault::Pause(_))),
            plays(&faults, |fault| matches!(fault, Fault::Slow(_))),
            plays(&faults, |fault| {
                matches!(fault, Fault::StoreBusy | Fault::StoreSilent)
            }),
            plays(&faults, |fault| fault == Fault::StoreSlow),
            plays(&faults, |fault| matches!(fault, Fault::BlockStore(_))),
            plays(&faults, |fault| matches!(fault, Fault::LoseUpstream(..))),
            plays(&faults, |fault| matches!(fault, Fault::DelayReport(_))),
        ];
        for (count, is_drawn) in kinds.iter_mut().zip(drawn) {
            *count += usize::from(is_drawn);
        }
    }
    assert!(
        kinds
            .iter()
            .all(|count| *count >= SEEDS.clone().count() / 6),
        "{kinds:?}"
    );
}

/// Guards against upstreams that state their run at once whenever they return while the store is away.
#[test]
fn upstreams_return_with_late_reports_while_the_store_is_away() {
    let returns_late = |faults: &[ScheduledFault]| {
        let away = faults
            .iter()
            .filter(|fault| matches!(fault.fault, Fault::StoreBusy | Fault::StoreSilent));
        away.into_iter().any(|away| {
            let is_beside = |fault: &&ScheduledFault| {
                fault.start >= away.start && fault.start <= away.start + away.duration
            };
            let mut beside = faults.iter().filter(is_beside);
            beside.any(|fault| matches!(fault.fault, Fault::DelayReport(_)))
        })
    };
    let seeds = SEEDS.filter(|seed| returns_late(&PLAN.draw(*seed, LENGTH)));
    assert!(seeds.count() >= SEEDS.clone().count() / 4);
}
