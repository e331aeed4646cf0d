//! Guards against sums over the other routers that drift from the last reports of these routers, while
//! reports are replaced, routers end and upstreams are added and removed.

use proptest::prelude::*;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::{
    account::{Accounts, Work, DECAY_S},
    pool::{Constraints, Entry, Pool, Usage},
};

fn entry(number: u8) -> Entry {
    Entry {
        id: format!("u{number}").as_str().into(),
        service: "desk".into(),
        address: ([10, 0, 0, number], 80).into(),
        domain: "north".into(),
        slots: 1_000,
        leaving: false,
        started_at: 1,
        seq: 1,
        version: None,
    }
}

proptest! {
    #[test]
    fn work_of_other_routers_is_the_sum_of_their_last_reports(
        // Time step in milliseconds, router, whether it ended, work of two teams.
        steps in prop::collection::vec((0_u64..700, 0_usize..5, any::<bool>(), 0_u32..9_000, 0_u32..9_000), 1..60),
    ) {
        let mut accounts = Accounts::default();
        let mut reports = [None; 5];
        let mut now = 1_000;
        for (step, router, ended, first, second) in steps {
            now += step;
            let at = Timestamp::ZERO + Span::from_millis(now);
            let name = format!("r{router}").as_str().into();
            let work = |served: u32| Work { requested: f64::from(served) * 2.0, served: f64::from(served) };
            let teams = if ended {
                Vec::new()
            } else {
                vec![("a".into(), work(first)), ("b".into(), work(second))]
            };
            reports[router] = (!ended).then_some((now, first, second));
            accounts.set_peer_report(at, &name, teams);
            let expected = |pick: fn(&(u64, u32, u32)) -> u32| -> f64 {
                let reports = reports.iter().flatten();
                reports.map(|report| f64::from(pick(report)) * (-((now - report.0) as f64) / 1e3 / DECAY_S).exp()).sum()
            };
            for (team, expected) in [("a", expected(|report| report.1)), ("b", expected(|report| report.2))] {
                let found = accounts.team(at, team);
                prop_assert!((found.served - expected).abs() < 1e-3, "{found:?}, expected {expected}");
                prop_assert!((found.requested - 2.0 * expected).abs() < 1e-3, "{found:?}");
            }
        }
    }

    #[test]
    fn usage_by_other_routers_is_the_sum_of_their_last_reports(
        // Router, its usage, and the upstreams listed after its report.
        steps in prop::collection::vec((0_usize..4, prop::collection::vec((0_u8..4, 1_u32..9), 0..4), 1_u8..16), 1..40),
    ) {
        let mut pool = Pool::default();
        let mut reports: [Vec<(tsw_route::Name, Usage)>; 4] = Default::default();
        let now = Timestamp::from_micros(1);
        for (router, usages, listed) in steps {
            let usages: Vec<_> = usages
                .into_iter()
                .map(|(upstream, requests)| (entry(upstream).id, Usage { requests, pending_tokens: 0 }))
                .collect();
            pool.set_peer_report(&format!("r{router}").as_str().into(), usages.clone());
            reports[router] = usages;
            let listed: Vec<Entry> = (0..4).filter(|n| listed & (1 << n) != 0).map(entry).collect();
            pool.set_entries(listed.clone(), None);
            // The pool chooses the least used upstream, which makes the sums observable.
            let requests = |entry: &Entry| -> u32 {
                let reports = reports.iter().flatten().filter(|(id, _)| *id == entry.id);
                reports.map(|(_, usage)| usage.requests).sum()
            };
            let least = listed.iter().map(requests).min();
            let constraints = Constraints { domain: "north", prompt: None, avoid: &[], software: None, max_pending_tokens: 0, can_fetch: false, extra_slots: 0, report_age: Span::from_millis(100) };
            let chosen = pool.choose(now, &constraints).expect("there is room");
            let chosen = listed.iter().find(|entry| entry.id == chosen.id).expect("listed");
            prop_assert_eq!(Some(requests(chosen)), least);
        }
    }
}
