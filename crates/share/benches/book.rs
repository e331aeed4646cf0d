//! Cost of one scheduling decision (choose the next team, charge it and refund it) and of
//! exchanging reports between two homes.

// `criterion_group!` generates an undocumented public function.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion};
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_share::{accounts::Accounts, message::Served};

fn accounts(home: u64, teams: usize, slots: u64) -> Accounts {
    let incarnation = host::Incarnation::new(home, 0);
    let service: name::Service = "reviews".parse().expect("valid");
    let mut accounts = Accounts::new(service, incarnation);
    let share = 1_000_000 / teams as u32;
    let team = |index| -> name::Team { format!("team-{index}").parse().expect("valid") };
    let shares: Vec<_> = (0..teams).map(|index| (team(index), share)).collect();
    accounts.set_shares(slots, &shares);
    for (team, _) in shares {
        let key = accounts.key(&team);
        accounts.set_waiting(key, true);
    }
    accounts
}

fn decide(criterion: &mut Criterion) {
    for (name, teams, slots) in [("16 teams", 16, 48), ("990 teams", 990, 80_000)] {
        let mut accounts = accounts(1, teams, slots);
        criterion.bench_function(&format!("decide/{name}"), |bencher| {
            bencher.iter(|| {
                let key = accounts.by_priority().next().expect("all wait");
                accounts.charge(key, Span::from_millis(500));
                accounts.refund(key, Span::from_millis(100));
            });
        });
    }
}

fn exchange(criterion: &mut Criterion) {
    for (name, teams, slots) in [("16 teams", 16, 48), ("990 teams", 990, 80_000)] {
        let (mut sender, mut receiver) = (accounts(1, teams, slots), accounts(2, teams, slots));
        let first: Served = sender.full_report();
        receiver.merge(Timestamp::ZERO, &first);
        let mut now = Timestamp::ZERO;
        criterion.bench_function(&format!("exchange/{name}"), |bencher| {
            bencher.iter(|| {
                now = now + Span::from_millis(100);
                let key = sender.by_priority().next().expect("all wait");
                sender.charge(key, Span::from_millis(500));
                receiver.merge(now, &sender.full_report());
            });
        });
    }
}

criterion_group!(benches, decide, exchange);
criterion_main!(benches);
