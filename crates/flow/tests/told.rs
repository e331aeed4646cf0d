//! Guards against sums over other routers that drift from what these routers last told, as
//! statements replace each other, routers end and upstreams come and go.

use proptest::prelude::*;
use tsw_base::time::{Span, Tick};
use tsw_flow::{
    account::{Accounts, Work, MEMORY_S},
    pool::{Ask, Entry, Pool, Use},
};

fn entry(number: u8) -> Entry {
    Entry {
        id: format!("u{number}").as_str().into(),
        service: "desk".into(),
        address: ([10, 0, 0, number], 80).into(),
        domain: "north".into(),
        slots: 1_000,
        leaving: false,
        born: 1,
        seq: 1,
    }
}

proptest! {
    #[test]
    fn work_of_other_routers_is_the_sum_of_their_last_statements(
        // Time step in milliseconds, router, whether it ended, work of two teams.
        steps in prop::collection::vec((0_u64..700, 0_usize..5, any::<bool>(), 0_u32..9_000, 0_u32..9_000), 1..60),
    ) {
        let mut accounts = Accounts::default();
        let mut told = [None; 5];
        let mut now = 1_000;
        for (step, router, ended, first, second) in steps {
            now += step;
            let at = Tick::ZERO + Span::from_millis(now);
            let name = format!("r{router}").as_str().into();
            let work = |received: u32| Work { asked: f64::from(received) * 2.0, received: f64::from(received) };
            let teams = if ended {
                Vec::new()
            } else {
                vec![("a".into(), work(first)), ("b".into(), work(second))]
            };
            told[router] = (!ended).then_some((now, first, second));
            accounts.set_others(at, &name, teams);
            let expected = |pick: fn(&(u64, u32, u32)) -> u32| -> f64 {
                let told = told.iter().flatten();
                told.map(|told| f64::from(pick(told)) * (-((now - told.0) as f64) / 1e3 / MEMORY_S).exp()).sum()
            };
            for (team, expected) in [("a", expected(|told| told.1)), ("b", expected(|told| told.2))] {
                let found = accounts.team(at, team);
                prop_assert!((found.received - expected).abs() < 1e-3, "{found:?}, expected {expected}");
                prop_assert!((found.asked - 2.0 * expected).abs() < 1e-3, "{found:?}");
            }
        }
    }

    #[test]
    fn use_by_other_routers_is_the_sum_of_their_last_statements(
        // Router, what it uses, and the upstreams that are listed then.
        steps in prop::collection::vec((0_usize..4, prop::collection::vec((0_u8..4, 1_u32..9), 0..4), 1_u8..16), 1..40),
    ) {
        let mut pool = Pool::default();
        let mut told: [Vec<(tsw_route::Name, Use)>; 4] = Default::default();
        let now = Tick::from_micros(1);
        for (router, uses, listed) in steps {
            let uses: Vec<_> = uses
                .into_iter()
                .map(|(upstream, requests)| (entry(upstream).id, Use { requests, unread: 0 }))
                .collect();
            pool.set_others(&format!("r{router}").as_str().into(), uses.clone());
            told[router] = uses;
            let listed: Vec<Entry> = (0..4).filter(|n| listed & (1 << n) != 0).map(entry).collect();
            pool.set_entries(listed.clone(), None);
            // The least used upstream is chosen, which shows the sums.
            let requests = |entry: &Entry| -> u32 {
                let told = told.iter().flatten().filter(|(id, _)| *id == entry.id);
                told.map(|(_, used)| used.requests).sum()
            };
            let least = listed.iter().map(requests).min();
            let ask = Ask { domain: "north", prompt: None, avoid: &[], most_unread: 0, can_fetch: false, spare: 0, statement_age: Span::from_millis(100) };
            let chosen = pool.choose(now, &ask).expect("there is room");
            let chosen = listed.iter().find(|entry| entry.id == chosen.id).expect("listed");
            prop_assert_eq!(Some(requests(chosen)), least);
        }
    }
}
