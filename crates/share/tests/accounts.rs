//! Tests of the fair-share accounting, with random workloads where possible.

use proptest::prelude::*;
use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_share::{
    accounts::{Accounts, TeamKey, DEBT_CAP, IDLE_CREDIT},
    message::{Served, TeamTotal},
};

fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid")
}

fn service() -> name::Service {
    "reviews".parse().expect("valid")
}

fn accounts(home: u64, slots: u64, shares: &[u32]) -> (Accounts, Vec<TeamKey>) {
    let mut accounts = Accounts::new(service(), host::Incarnation::new(home, 0));
    let shares: Vec<_> = shares
        .iter()
        .enumerate()
        .map(|(t, s)| (team(t), *s))
        .collect();
    accounts.set_shares(slots, &shares);
    let keys = (0..shares.len()).map(|t| accounts.key(&team(t))).collect();
    (accounts, keys)
}

fn served(seq: u64, t: usize, charged: Span, lead_us: Option<i64>) -> Served {
    Served {
        service: service(),
        home: host::Incarnation::new(9, 0),
        seq,
        totals: vec![TeamTotal {
            team: team(t),
            charged,
            lead_us,
        }],
    }
}

proptest! {
    /// Guards against a waiting team that falls behind: with one slot and teams that always wait,
    /// service divided by share differs between two teams by at most one request of each.
    #[test]
    fn service_of_waiting_teams_stays_close(
        shares in prop::collection::vec(10_000_u32..100_000, 2..8),
        lengths in prop::collection::vec(1_u64..1_000, 50..400),
    ) {
        let (mut accounts, keys) = accounts(1, 1, &shares);
        keys.iter().for_each(|key| accounts.set_waiting(*key, true));
        let mut service = vec![0.0; keys.len()];
        let smallest_share = f64::from(*shares.iter().min().expect("teams")) / 1e6;
        for length in lengths {
            let key = accounts.by_priority().next().expect("all wait");
            accounts.charge(key, Span::from_millis(500));
            if length < 500 {
                accounts.refund(key, Span::from_millis(500 - length));
            } else {
                accounts.charge(key, Span::from_millis(length - 500));
            }
            let share = f64::from(shares[key.index()]) / 1e6;
            service[key.index()] += length as f64 / 1e3 / share;
            let largest = service.iter().copied().fold(0.0, f64::max);
            let smallest = service.iter().copied().fold(f64::MAX, f64::min);
            prop_assert!(largest - smallest <= 1.0 / smallest_share + 1e-6, "{service:?}");
        }
    }

    /// Guards against virtual time that decreases, which would give a team the idle credit twice.
    #[test]
    fn virtual_time_never_goes_back(
        steps in prop::collection::vec((0_usize..4, 0_u8..4, 1_u64..2_000), 1..200),
    ) {
        let (mut accounts, keys) = accounts(1, 4, &[400_000, 300_000, 200_000, 100_000]);
        let mut before = accounts.virtual_time();
        for (t, action, millis) in steps {
            match action {
                0 => accounts.set_waiting(keys[t], true),
                1 => accounts.set_waiting(keys[t], false),
                2 => accounts.charge(keys[t], Span::from_millis(millis)),
                _ => accounts.refund(keys[t], Span::from_millis(millis)),
            }
            prop_assert!(accounts.virtual_time() >= before);
            before = accounts.virtual_time();
        }
    }

    /// Guards against tags that depend on how reports are delivered: reordered and duplicated
    /// reports of a home must lead to the same tags.
    #[test]
    fn merge_tolerates_reordering_and_duplicates(
        charges in prop::collection::vec((0_usize..3, 0_u64..500), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let shares = [500_000, 300_000, 200_000];
        let (mut sender, keys) = accounts(2, 4, &shares);
        let mut messages = vec![sender.full_report()];
        for (t, millis) in charges {
            sender.charge(keys[t], Span::from_millis(millis));
            messages.push(sender.full_report());
        }
        let now = Timestamp::from_micros(100_000);
        let (mut in_order, _) = accounts(1, 4, &shares);
        let (mut reordered, _) = accounts(1, 4, &shares);
        keys.iter().for_each(|key| in_order.set_waiting(*key, true));
        keys.iter().for_each(|key| reordered.set_waiting(*key, true));
        messages.iter().for_each(|message| in_order.merge(now, message));
        reordered.merge(now, &messages[0]);
        order.iter().for_each(|index| reordered.merge(now, index.get(&messages)));
        reordered.merge(now, messages.last().expect("not empty"));
        order.iter().for_each(|index| reordered.merge(now, index.get(&messages)));
        let first = keys[0];
        for key in keys {
            // Virtual time may differ between the two, but the difference of two tags may not.
            let difference = |accounts: &Accounts| accounts.lead_us(key) - accounts.lead_us(first);
            prop_assert!((difference(&in_order) - difference(&reordered)).abs() <= 1);
        }
    }
}

/// Guards against a team that saves up idle time for a burst.
#[test]
fn idle_team_keeps_only_the_credit() {
    let (mut accounts, keys) = accounts(1, 1, &[500_000, 500_000]);
    accounts.set_waiting(keys[0], true);
    accounts.charge(keys[0], Span::from_secs(100));
    accounts.set_waiting(keys[1], true);
    let credit = i64::try_from(IDLE_CREDIT.as_micros()).expect("small");
    assert_eq!(accounts.lead_us(keys[1]), -credit);
}

/// Guards against a team that is held back long after a network partition heals because another
/// home served it in the meantime.
#[test]
fn service_during_a_partition_costs_at_most_the_cap() {
    let (mut accounts, keys) = accounts(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| accounts.set_waiting(*key, true));
    accounts.merge(Timestamp::ZERO, &served(1, 0, Span::ZERO, None));
    let healed = Timestamp::from_micros(600_000_000 - 1);
    accounts.merge(healed, &served(2, 0, Span::from_secs(600), None));
    let cap = i64::try_from(DEBT_CAP.as_micros()).expect("small");
    assert_eq!(accounts.lead_us(keys[0]), cap);
}

/// Guards against service at another home that is not counted in full although that home was never
/// silent.
#[test]
fn service_at_another_home_counts_in_full() {
    let (mut accounts, keys) = accounts(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| accounts.set_waiting(*key, true));
    accounts.merge(Timestamp::ZERO, &served(1, 0, Span::ZERO, None));
    let soon = Timestamp::from_micros(100_000);
    accounts.merge(soon, &served(2, 0, Span::from_secs(5), None));
    assert_eq!(accounts.lead_us(keys[0]), 10_000_000);
    accounts.merge(soon, &served(3, 0, Span::from_secs(3), None));
    assert_eq!(accounts.lead_us(keys[0]), 6_000_000);
}

/// Guards against a new home that ignores which teams are ahead or behind.
#[test]
fn new_home_takes_over_the_lead() {
    let (mut accounts, keys) = accounts(1, 1, &[500_000, 500_000]);
    accounts.merge(
        Timestamp::ZERO,
        &served(1, 0, Span::from_secs(70), Some(300_000)),
    );
    accounts.set_waiting(keys[1], true);
    accounts.set_waiting(keys[0], true);
    assert_eq!(accounts.by_priority().next(), Some(keys[1]));
    assert_eq!(accounts.lead_us(keys[0]), 300_000);
}

/// Guards against serving a team whose share was withdrawn.
#[test]
fn team_without_share_is_not_served() {
    let (mut accounts, keys) = accounts(1, 1, &[500_000, 500_000]);
    keys.iter().for_each(|key| accounts.set_waiting(*key, true));
    accounts.set_shares(1, &[(team(1), 500_000)]);
    assert_eq!(accounts.by_priority().collect::<Vec<_>>(), [keys[1]]);
    accounts.set_shares(1, &[(team(0), 500_000), (team(1), 500_000)]);
    assert_eq!(accounts.by_priority().count(), 2);
}
