//! Rules of the book, on random workloads where they fit.

use proptest::prelude::*;
use tsw_base::{
    host, name,
    time::{Span, Tick},
};
use tsw_share::{
    book::{Book, Key, DEBT_CAP, IDLE_CREDIT},
    message::{Line, Served},
};

fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid")
}

fn service() -> name::Service {
    "reviews".parse().expect("valid")
}

fn book(home: u64, slots: u64, shares: &[u32]) -> (Book, Vec<Key>) {
    let mut book = Book::new(service(), host::Incarnation::new(home, 0));
    let shares: Vec<_> = shares
        .iter()
        .enumerate()
        .map(|(t, s)| (team(t), *s))
        .collect();
    book.set_shares(slots, &shares);
    let keys = (0..shares.len()).map(|t| book.key(&team(t))).collect();
    (book, keys)
}

fn served(seq: u64, t: usize, charged: Span, lag_us: Option<i64>) -> Served {
    Served {
        service: service(),
        home: host::Incarnation::new(9, 0),
        seq,
        lines: vec![Line {
            team: team(t),
            charged,
            lag_us,
        }],
    }
}

proptest! {
    /// Guards against an order that lets a waiting team fall behind: with one slot and teams that
    /// always wait, service over share differs by at most one request of each of the two.
    #[test]
    fn service_of_waiting_teams_stays_close(
        shares in prop::collection::vec(10_000_u32..100_000, 2..8),
        lengths in prop::collection::vec(1_u64..1_000, 50..400),
    ) {
        let (mut book, keys) = book(1, 1, &shares);
        keys.iter().for_each(|key| book.set_waiting(*key, true));
        let mut service = vec![0.0; keys.len()];
        let least = f64::from(*shares.iter().min().expect("teams")) / 1e6;
        for length in lengths {
            let key = book.order().next().expect("all wait");
            book.charge(key, Span::from_millis(500));
            if length < 500 {
                book.refund(key, Span::from_millis(500 - length));
            } else {
                book.charge(key, Span::from_millis(length - 500));
            }
            let share = f64::from(shares[key.index()]) / 1e6;
            service[key.index()] += length as f64 / 1e3 / share;
            let most = service.iter().copied().fold(0.0, f64::max);
            let fewest = service.iter().copied().fold(f64::MAX, f64::min);
            prop_assert!(most - fewest <= 1.0 / least + 1e-6, "{service:?}");
        }
    }

    /// Guards against virtual time that goes back, which would give credit twice.
    #[test]
    fn virtual_time_never_goes_back(
        steps in prop::collection::vec((0_usize..4, 0_u8..4, 1_u64..2_000), 1..200),
    ) {
        let (mut book, keys) = book(1, 4, &[400_000, 300_000, 200_000, 100_000]);
        let mut before = book.virtual_time();
        for (t, action, millis) in steps {
            match action {
                0 => book.set_waiting(keys[t], true),
                1 => book.set_waiting(keys[t], false),
                2 => book.charge(keys[t], Span::from_millis(millis)),
                _ => book.refund(keys[t], Span::from_millis(millis)),
            }
            prop_assert!(book.virtual_time() >= before);
            before = book.virtual_time();
        }
    }

    /// Guards against a count that depends on the path of messages: any order and repetition of
    /// the messages of a home leads to the same tags.
    #[test]
    fn merge_tolerates_reordering_and_duplicates(
        charges in prop::collection::vec((0_usize..3, 0_u64..500), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let shares = [500_000, 300_000, 200_000];
        let (mut sender, keys) = book(2, 4, &shares);
        let mut messages = vec![sender.served()];
        for (t, millis) in charges {
            sender.charge(keys[t], Span::from_millis(millis));
            messages.push(sender.served());
        }
        let now = Tick::from_micros(100_000);
        let (mut plain, _) = book(1, 4, &shares);
        let (mut mixed, _) = book(1, 4, &shares);
        keys.iter().for_each(|key| plain.set_waiting(*key, true));
        keys.iter().for_each(|key| mixed.set_waiting(*key, true));
        messages.iter().for_each(|message| plain.merge(now, message));
        mixed.merge(now, &messages[0]);
        order.iter().for_each(|index| mixed.merge(now, index.get(&messages)));
        mixed.merge(now, messages.last().expect("not empty"));
        order.iter().for_each(|index| mixed.merge(now, index.get(&messages)));
        let first = keys[0];
        for key in keys {
            // Virtual time may differ on the way, the difference of two tags may not.
            let difference = |book: &Book| book.lead_us(key) - book.lead_us(first);
            prop_assert!((difference(&plain) - difference(&mixed)).abs() <= 1);
        }
    }
}

/// Guards against a team that saves up idle time for a burst.
#[test]
fn idle_team_keeps_only_the_credit() {
    let (mut book, keys) = book(1, 1, &[500_000, 500_000]);
    book.set_waiting(keys[0], true);
    book.charge(keys[0], Span::from_secs(100));
    book.set_waiting(keys[1], true);
    let credit = i64::try_from(IDLE_CREDIT.as_micros()).expect("small");
    assert_eq!(book.lead_us(keys[1]), -credit);
}

/// Guards against a team that pays for a partition long after it heals.
#[test]
fn service_during_a_partition_costs_at_most_the_cap() {
    let (mut book, keys) = book(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| book.set_waiting(*key, true));
    book.merge(Tick::ZERO, &served(1, 0, Span::ZERO, None));
    let healed = Tick::from_micros(600_000_000 - 1);
    book.merge(healed, &served(2, 0, Span::from_secs(600), None));
    let cap = i64::try_from(DEBT_CAP.as_micros()).expect("small");
    assert_eq!(book.lead_us(keys[0]), cap);
}

/// Guards against service at other homes that is not counted, in the usual case without silence.
#[test]
fn service_at_another_home_counts_in_full() {
    let (mut book, keys) = book(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| book.set_waiting(*key, true));
    book.merge(Tick::ZERO, &served(1, 0, Span::ZERO, None));
    let soon = Tick::from_micros(100_000);
    book.merge(soon, &served(2, 0, Span::from_secs(5), None));
    assert_eq!(book.lead_us(keys[0]), 10_000_000);
    book.merge(soon, &served(3, 0, Span::from_secs(3), None));
    assert_eq!(book.lead_us(keys[0]), 6_000_000);
}

/// Guards against a new home that forgets which team is behind.
#[test]
fn new_home_takes_over_the_lag() {
    let (mut book, keys) = book(1, 1, &[500_000, 500_000]);
    book.merge(
        Tick::ZERO,
        &served(1, 0, Span::from_secs(70), Some(300_000)),
    );
    book.set_waiting(keys[1], true);
    book.set_waiting(keys[0], true);
    assert_eq!(book.order().next(), Some(keys[1]));
    assert_eq!(book.lead_us(keys[0]), 300_000);
}

/// Guards against service for a team whose share was withdrawn.
#[test]
fn team_without_share_is_not_served() {
    let (mut book, keys) = book(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| book.set_waiting(*key, true));
    book.set_shares(1, &[(team(1), 500_000)]);
    assert_eq!(book.order().collect::<Vec<_>>(), [keys[1]]);
    book.set_shares(1, &[(team(0), 500_000), (team(1), 500_000)]);
    assert_eq!(book.order().count(), 2);
}
