//! Guards against a plan that does not play what it claims, so that a run without violations says nothing.

use std::time::Duration;

use tsw_soak::fault::{Fault, Plan, ScheduledFault};

const PLAN: Plan = Plan::Partitioned;
const LENGTH: Duration = Duration::from_secs(20);
const SEEDS: std::ops::Range<u64> = 0..60;
/// Indices of the upstreams that send streams.
const MODELS: std::ops::Range<usize> = 2..12;
/// Version that serves between the series.
const VERSION: u32 = 1;
/// Time for which a router that is cut off takes the others for live.
const LIVENESS: Duration = Duration::from_millis(1_800);

fn plays(faults: &[ScheduledFault], is_wanted: impl Fn(Fault) -> bool) -> bool {
    faults.iter().any(|fault| is_wanted(fault.fault))
}

/// Returns whether a router is out of step because of a fault.
fn is_out_of_step(fault: Fault, router: usize) -> bool {
    match fault {
        Fault::CutRouters => true,
        Fault::BlockStore(other) | Fault::CutRouter(other) | Fault::Pause(other) => router == other,
        _ => false,
    }
}

/// Guards against a kind of fault that hardly any seed draws.
#[test]
fn all_kinds_of_faults_are_drawn() {
    assert_eq!(PLAN.upstreams(), MODELS.end);
    let mut kinds = [0; 9];
    for seed in SEEDS {
        let faults = PLAN.draw(seed, LENGTH);
        let drawn = [
            plays(&faults, |fault| fault == Fault::CutRouters),
            plays(&faults, |fault| matches!(fault, Fault::CutRouter(_))),
            plays(&faults, |fault| matches!(fault, Fault::BlockStore(_))),
            plays(&faults, |fault| matches!(fault, Fault::Pause(_))),
            plays(&faults, |fault| matches!(fault, Fault::Kill(_))),
            plays(&faults, |fault| fault == Fault::StoreBusy),
            plays(&faults, |fault| fault == Fault::CompactStore),
            plays(&faults, |fault| matches!(fault, Fault::CrashUpstream(_))),
            plays(&faults, |fault| matches!(fault, Fault::LoseUpstream(..))),
        ];
        for (count, is_drawn) in kinds.iter_mut().zip(drawn) {
            *count += usize::from(is_drawn);
        }
    }
    let min = SEEDS.clone().count() / 6;
    assert!(kinds.iter().all(|count| *count >= min), "{kinds:?}");
}

/// Guards against clients that resume at a router that is in step, and against upstreams that join only after it knows
/// them.
#[test]
fn upstreams_join_while_the_router_that_clients_prefer_is_out_of_step() {
    for seed in SEEDS {
        let faults = PLAN.draw(seed, LENGTH);
        for preferred in &faults {
            let Fault::PreferRouter(router) = preferred.fault else {
                continue;
            };
            let mut away = faults
                .iter()
                .filter(|fault| is_out_of_step(fault.fault, router));
            let joins_meanwhile = away.any(|away| {
                let is_meanwhile = |fault: &ScheduledFault| {
                    fault.start >= away.start
                        && fault.start <= (away.start + away.duration).min(preferred.start)
                };
                let joins =
                    |fault: Fault| matches!(fault, Fault::Release(_, version) if version > VERSION);
                let mut joining = faults.iter().filter(|fault| joins(fault.fault));
                joining.any(is_meanwhile)
            });
            assert!(joins_meanwhile, "seed {seed}: {preferred:?}");
        }
    }
}

/// Guards against losses that come only after a router that is cut off has taken note that it no longer hears the
/// others, since it relies on what they said until then.
#[test]
fn some_upstreams_are_lost_soon_after_a_router_is_cut_off_from_all() {
    let loses_soon = |faults: &[ScheduledFault]| {
        let is_cut = |fault: &&ScheduledFault| {
            matches!(fault.fault, Fault::CutRouters | Fault::CutRouter(_))
        };
        faults.iter().filter(is_cut).any(|cut| {
            let is_blocked = |fault: &ScheduledFault| {
                matches!(fault.fault, Fault::BlockStore(_)) && fault.start == cut.start
            };
            let is_soon = |fault: &ScheduledFault| {
                matches!(fault.fault, Fault::LoseUpstream(..))
                    && fault.start > cut.start
                    && fault.start < cut.start + LIVENESS / 2
            };
            faults.iter().any(is_blocked) && faults.iter().any(is_soon)
        })
    };
    let seeds = SEEDS.filter(|seed| loses_soon(&PLAN.draw(*seed, LENGTH)));
    assert!(seeds.count() >= SEEDS.clone().count() / 3);
}

/// Guards against series that begin while routers still know several versions: each upstream that has joined goes back
/// to the first version before the series that come after the calm.
#[test]
fn one_version_is_left_between_series() {
    const CALM: Duration = Duration::from_secs(3);
    for seed in SEEDS {
        let faults = PLAN.draw(seed, LENGTH);
        let mut versions = [VERSION; MODELS.end];
        let mut calm_since = Duration::ZERO;
        let mut has_calm = false;
        for scheduled in &faults {
            let is_calm = versions.iter().all(|version| *version == VERSION);
            has_calm = has_calm || is_calm && scheduled.start > calm_since + CALM;
            match scheduled.fault {
                Fault::Release(index, version) | Fault::LoseUpstream(index, version) => {
                    assert!(MODELS.contains(&index));
                    versions[index] = version;
                    calm_since = scheduled.start + scheduled.duration;
                }
                _ => {}
            }
        }
        assert!(has_calm, "seed {seed}: {faults:?}");
    }
}
