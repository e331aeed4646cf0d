//! Cost of one decision of the book: choose the most deserving team, charge it and refund it.

// The macro at the end makes an undocumented public function.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion};
use tsw_base::{
    host, name,
    time::{Span, Tick},
};
use tsw_share::{book::Book, message::Served};

fn book(home: u64, teams: usize, slots: u64) -> Book {
    let incarnation = host::Incarnation::new(home, 0);
    let service: name::Service = "reviews".parse().expect("valid");
    let mut book = Book::new(service, incarnation);
    let share = 1_000_000 / teams as u32;
    let team = |index| -> name::Team { format!("team-{index}").parse().expect("valid") };
    let shares: Vec<_> = (0..teams).map(|index| (team(index), share)).collect();
    book.set_shares(slots, &shares);
    for (team, _) in shares {
        let key = book.key(&team);
        book.set_waiting(key, true);
    }
    book
}

fn decide(criterion: &mut Criterion) {
    for (name, teams, slots) in [("16 teams", 16, 48), ("990 teams", 990, 80_000)] {
        let mut book = book(1, teams, slots);
        criterion.bench_function(&format!("decide/{name}"), |bencher| {
            bencher.iter(|| {
                let key = book.order().next().expect("all wait");
                book.charge(key, Span::from_millis(500));
                book.refund(key, Span::from_millis(100));
            });
        });
    }
}

fn exchange(criterion: &mut Criterion) {
    for (name, teams, slots) in [("16 teams", 16, 48), ("990 teams", 990, 80_000)] {
        let (mut sender, mut receiver) = (book(1, teams, slots), book(2, teams, slots));
        let first: Served = sender.served();
        receiver.merge(Tick::ZERO, &first);
        let mut now = Tick::ZERO;
        criterion.bench_function(&format!("exchange/{name}"), |bencher| {
            bencher.iter(|| {
                now = now + Span::from_millis(100);
                let key = sender.order().next().expect("all wait");
                sender.charge(key, Span::from_millis(500));
                receiver.merge(now, &sender.served());
            });
        });
    }
}

criterion_group!(benches, decide, exchange);
criterion_main!(benches);
