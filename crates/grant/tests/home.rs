//! Tests of the home's scheduler, one rule at a time.

use tsw_base::{
    host, name,
    time::{Span, Timestamp},
};
use tsw_grant::{
    home::{Command, Event, Home, Options, HANDOVER_TIMEOUT, LONG_AGE_PENALTY, RECLAIM_AFTER},
    message::{Class, Demand, DemandLine, Grant, HeldGrant, Holdings, Id, Release, Report, State},
};
use tsw_share::message::{Served, TeamTotal};

fn router(index: u64) -> host::Id {
    host::Id {
        host: format!("r{index}").parse().expect("valid name"),
        incarnation: host::Incarnation::new(index, 0),
    }
}

fn team(index: usize) -> name::Team {
    format!("team-{index}").parse().expect("valid name")
}

fn upstream(index: usize) -> name::Upstream {
    format!("engine-{index}").parse().expect("valid name")
}

fn service() -> name::Service {
    "reviews".parse().expect("valid name")
}

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(10_000_000 + millis * 1_000)
}

/// A home that may issue grants from `ms(0)` on, and whose teams have equal shares.
struct Fixture {
    home: Home,
    seq: u64,
}

impl Fixture {
    fn new(upstreams: usize, slots: u32, teams: usize) -> Self {
        let me = host::Incarnation::new(100, 0);
        let mut home = Home::new(service(), me, Options::default());
        let shares = (0..teams).map(|t| (team(t), 1_000_000 / teams as u32));
        let event = Event::Shares {
            slots: upstreams as u64 * u64::from(slots),
            shares: shares.collect(),
        };
        let start = Timestamp::from_micros(1_000_000);
        home.handle(start, event);
        for u in 0..upstreams {
            home.handle(start, own_upstream(u, slots));
        }
        home.handle(ms(0), Event::Tick);
        Self { home, seq: 0 }
    }

    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Grant> {
        let commands = self.home.handle(now, event).into_iter();
        let grant = |command| match command {
            Command::Grant { grant, .. } => Some(grant),
            Command::Served { .. } => None,
        };
        commands.filter_map(grant).collect()
    }

    fn demand(
        &mut self,
        now: Timestamp,
        from: u64,
        t: usize,
        class: Class,
        age: u64,
    ) -> Vec<Grant> {
        self.demand_many(now, from, t, class, age, 1)
    }

    fn demand_many(
        &mut self,
        now: Timestamp,
        from: u64,
        t: usize,
        class: Class,
        age: u64,
        waiting: u32,
    ) -> Vec<Grant> {
        self.seq += 1;
        let line = DemandLine {
            team: team(t),
            class,
            waiting,
            oldest: Span::from_millis(age),
            newest: Span::from_millis(age),
        };
        let demand = Demand {
            service: service(),
            seq: self.seq,
            latest_grant: None,
            lines: vec![line],
        };
        let from = router(from);
        self.handle(now, Event::Demand { from, demand })
    }

    fn report(&mut self, now: Timestamp, from: u64, id: Id, state: State) -> Vec<Grant> {
        let reports = vec![Report { id, state }];
        let release = Release {
            service: service(),
            reports,
        };
        let from = router(from);
        self.handle(now, Event::Release { from, release })
    }

    fn finish(&mut self, now: Timestamp, from: u64, id: Id) -> Vec<Grant> {
        self.report(
            now,
            from,
            id,
            State::Finished {
                token_latency: None,
            },
        )
    }

    fn charged(&self, t: usize) -> Span {
        let mut accounts = self.home.accounts().clone();
        let key = accounts.key(&team(t));
        accounts.charged(key)
    }
}

fn own_upstream(u: usize, slots: u32) -> Event {
    Event::Upstream {
        upstream: upstream(u),
        slots,
        limit: slots,
    }
}

fn holdings(from: u64, latest_grant: Option<Id>, held: Vec<HeldGrant>) -> Event {
    Event::Holdings {
        from: router(from),
        holdings: Holdings {
            service: service(),
            latest_grant,
            held,
        },
    }
}

/// Guards against callers that wait longer only because of the entry router they connected to.
#[test]
fn oldest_request_of_a_team_goes_first() {
    let mut fixture = Fixture::new(1, 1, 1);
    let first = fixture.demand(ms(0), 1, 0, Class::Short, 0).remove(0);
    fixture.demand(ms(1), 2, 0, Class::Short, 10);
    fixture.demand(ms(2), 3, 0, Class::Short, 500);
    fixture.demand(ms(3), 4, 0, Class::Short, 100);
    let next = fixture.home.handle(
        ms(4),
        Event::Release {
            from: router(1),
            release: Release {
                service: service(),
                reports: vec![Report {
                    id: first.id,
                    state: State::Finished {
                        token_latency: None,
                    },
                }],
            },
        },
    );
    assert!(matches!(&next[0], Command::Grant { to, .. } if *to == router(3)));
}

/// Guards against short requests that wait for long ones, and against long requests that starve.
#[test]
fn short_goes_before_long_until_long_has_aged() {
    let mut fixture = Fixture::new(1, 1, 1);
    let first = fixture.demand(ms(0), 1, 0, Class::Short, 0).remove(0);
    fixture.demand(ms(1), 1, 0, Class::Long, 100);
    fixture.demand(ms(2), 2, 0, Class::Short, 0);
    let next = fixture.finish(ms(3), 1, first.id).remove(0);
    assert_eq!(next.class, Class::Short);

    fixture.demand(ms(4), 1, 0, Class::Long, 100);
    fixture.demand(ms(5), 3, 0, Class::Short, 0);
    let aged = 200 + LONG_AGE_PENALTY.as_millis();
    fixture.demand(ms(6), 1, 0, Class::Long, aged);
    let next = fixture.finish(ms(7), 2, next.id).remove(0);
    assert_eq!(next.class, Class::Long);
}

/// Guards against a request suspected of crashing upstreams that runs beside others, and against
/// one that starves because no upstream is ever idle.
#[test]
fn solo_runs_alone_and_is_not_starved() {
    let mut fixture = Fixture::new(2, 2, 2);
    let mut running = fixture.demand_many(ms(0), 1, 0, Class::Short, 0, 50);
    assert_eq!(running.len(), 4);
    fixture.demand(ms(1), 2, 1, Class::Solo, 0);
    let mut solo = None;
    for step in 0..8 {
        let grant = running.remove(0);
        let next = fixture.finish(ms(10 + step * 10), 1, grant.id);
        for grant in next {
            if grant.class == Class::Solo {
                solo = Some(grant);
            } else {
                running.push(grant);
            }
        }
        if solo.is_some() {
            break;
        }
    }
    let solo = solo.expect("granted within eight completions");
    let concurrent = running
        .iter()
        .filter(|grant| grant.upstream == solo.upstream);
    assert_eq!(concurrent.count(), 0);
    for grant in running {
        let next = fixture.finish(ms(200), 1, grant.id);
        assert!(next.iter().all(|grant| grant.upstream != solo.upstream));
    }
    let next = fixture.finish(ms(300), 2, solo.id);
    assert_eq!(
        next.len(),
        2,
        "both slots of the upstream are granted again"
    );
}

/// Guards against more requests on an upstream than it has slots.
#[test]
fn limit_is_never_above_the_slots() {
    let mut fixture = Fixture::new(1, 2, 1);
    let event = Event::Upstream {
        upstream: upstream(0),
        slots: 2,
        limit: 100,
    };
    fixture.handle(ms(0), event);
    assert_eq!(
        fixture.demand_many(ms(1), 1, 0, Class::Short, 0, 9).len(),
        2
    );
}

/// Guards against a new home that grants slots that are already in use.
#[test]
fn new_home_waits_for_holdings_and_counts_them() {
    let mut fixture = Fixture::new(0, 0, 1);
    let live = vec![router(1), router(2)];
    fixture.handle(ms(0), Event::Routers { live });
    fixture.handle(ms(1), own_upstream(0, 2));
    assert!(fixture
        .demand_many(ms(2), 1, 0, Class::Short, 0, 5)
        .is_empty());
    let old = Id {
        home: host::Incarnation::new(50, 0),
        number: 7,
    };
    let held = HeldGrant {
        id: old,
        upstream: upstream(0),
        team: team(0),
        class: Class::Short,
        age: Span::from_millis(100),
    };
    assert!(fixture
        .handle(ms(3), holdings(2, None, vec![held]))
        .is_empty());
    let granted = fixture.handle(ms(4), holdings(1, None, Vec::new()));
    assert_eq!(granted.len(), 1, "one of the two slots is in use");
    assert_eq!(fixture.finish(ms(5), 2, old).len(), 1);
}

/// Guards against a new home that waits forever for a router that sends no holdings.
#[test]
fn new_home_waits_no_longer_than_the_handover_time() {
    let mut fixture = Fixture::new(0, 0, 1);
    let live = vec![router(1), router(2)];
    fixture.handle(ms(0), Event::Routers { live });
    fixture.handle(ms(0), own_upstream(0, 2));
    fixture.demand_many(ms(1), 1, 0, Class::Short, 0, 5);
    assert!(fixture.handle(ms(99), Event::Tick).is_empty());
    assert_eq!(
        fixture.handle(ms(0) + HANDOVER_TIMEOUT, Event::Tick).len(),
        2
    );
}

/// Guards against slots that stay taken after a session was lost. Holdings that account for a grant
/// without listing it must free its slot; grants issued later must stay in use.
#[test]
fn holdings_free_grants_that_were_lost() {
    let mut fixture = Fixture::new(1, 2, 1);
    let grants = fixture.demand_many(ms(0), 1, 0, Class::Short, 0, 2);
    fixture.demand_many(ms(1), 2, 0, Class::Short, 0, 5);
    let latest_grant = Some(grants[0].id);
    assert_eq!(
        fixture
            .handle(ms(2), holdings(1, latest_grant, Vec::new()))
            .len(),
        1
    );
    assert_eq!(fixture.home.running(), 2);
}

/// Guards against a charge that ignores the caller's cost hint. Once slot times have followed the
/// hints, a costly request must be charged more at its start than a cheap one.
#[test]
fn hint_replaces_the_estimate() {
    let mut fixture = Fixture::new(1, 1, 1);
    let (mut at, mut waiting) = (0, 0);
    let mut charge_of = |cost: u32| {
        at += 10;
        // The demand messages acknowledge no grants, so the count includes all requests so far.
        waiting += 1;
        let before = fixture.charged(0);
        let grants = fixture.demand_many(ms(at), 1, 0, Class::Short, 0, waiting);
        let grant = grants.into_iter().next().expect("a slot is free");
        fixture.report(ms(at), 1, grant.id, State::Hinted { cost });
        let charged = fixture.charged(0);
        at += u64::from(cost) * 10;
        fixture.finish(ms(at), 1, grant.id);
        charged.saturating_sub(before)
    };
    for round in 0..20 {
        charge_of(10 + 30 * (round % 2));
    }
    let (cheap, costly) = (charge_of(10), charge_of(40));
    assert!(
        costly.saturating_sub(cheap) >= Span::from_millis(200),
        "{cheap} for the cheap request, {costly} for the costly one"
    );
}

/// Guards against a slot that stays taken because its grant was lost on the way.
#[test]
fn unconfirmed_grant_is_reclaimed() {
    let mut fixture = Fixture::new(1, 1, 1);
    fixture.demand(ms(0), 1, 0, Class::Short, 0);
    fixture.demand(ms(900), 2, 0, Class::Short, 0);
    assert!(fixture.handle(ms(1_000), Event::Tick).is_empty());
    assert_eq!(fixture.handle(ms(1_500), Event::Tick).len(), 1);
}

/// Guards against slots that stay taken after their router died, and against their reuse while its
/// requests are still running.
#[test]
fn grants_of_a_dead_router_are_reclaimed() {
    let mut fixture = Fixture::new(1, 2, 1);
    let live = vec![router(1), router(2)];
    fixture.handle(ms(0), Event::Routers { live });
    let grants = fixture.demand_many(ms(0), 1, 0, Class::Short, 0, 2);
    for grant in grants {
        fixture.report(ms(1), 1, grant.id, State::Started);
    }
    let live = vec![router(2)];
    assert!(fixture.handle(ms(10), Event::Routers { live }).is_empty());
    assert!(fixture
        .demand_many(ms(20), 2, 0, Class::Short, 0, 2)
        .is_empty());
    let event = Event::Load {
        upstream: upstream(0),
        running: 1,
        age: Span::from_millis(5),
    };
    let granted = fixture.handle(ms(30), event);
    assert_eq!(granted.len(), 1);
    fixture.report(ms(31), 2, granted[0].id, State::Started);
    fixture.demand_many(ms(1_900), 2, 0, Class::Short, 0, 2);
    assert_eq!(fixture.handle(ms(10) + RECLAIM_AFTER, Event::Tick).len(), 1);
}

/// Guards against grants to a paused router, which no longer refreshes its demand.
#[test]
fn old_demand_gets_no_grant() {
    let mut fixture = Fixture::new(1, 1, 1);
    let first = fixture.demand(ms(0), 1, 0, Class::Short, 0).remove(0);
    fixture.report(ms(1), 1, first.id, State::Started);
    fixture.demand(ms(2), 2, 0, Class::Short, 0);
    assert!(fixture.finish(ms(1_100), 1, first.id).is_empty());
}

/// Guards against a late demand message that restores requests which were already served.
#[test]
fn older_demand_does_not_replace_newer() {
    let mut fixture = Fixture::new(1, 4, 1);
    fixture.seq = 10;
    fixture.demand_many(ms(0), 1, 0, Class::Short, 0, 0);
    fixture.seq = 3;
    assert!(fixture
        .demand_many(ms(1), 1, 0, Class::Short, 0, 4)
        .is_empty());
}

/// Guards against hedges of one team that displace the requests of others.
#[test]
fn urgent_grants_before_the_order_of_teams_are_bounded() {
    let mut fixture = Fixture::new(1, 1, 10);
    let mut last = fixture
        .demand_many(ms(0), 1, 1, Class::Short, 0, 1)
        .remove(0);
    for t in 1..10 {
        fixture.demand_many(ms(1), 1, t, Class::Short, 0, 900);
    }
    fixture.demand_many(ms(1), 2, 0, Class::Urgent, 0, 900);
    let mut urgent = 0;
    for step in 0..200 {
        let now = ms(2 + step);
        last = fixture
            .finish(now, 1 + u64::from(last.class == Class::Urgent), last.id)
            .remove(0);
        urgent += u32::from(last.class == Class::Urgent);
    }
    // The team's share is a tenth, and the urgent budget is another tenth of the grants.
    assert!(
        (18..=44).contains(&urgent),
        "{urgent} of 200 grants are urgent"
    );
}

/// Guards against a charge that is not refunded for an unused grant.
#[test]
fn unused_grants_are_not_charged() {
    let mut fixture = Fixture::new(1, 1, 1);
    let grant = fixture.demand(ms(0), 1, 0, Class::Short, 0).remove(0);
    fixture.report(ms(1), 1, grant.id, State::Unused);
    let mut accounts = fixture.home.accounts().clone();
    let key = accounts.key(&team(0));
    assert_eq!(accounts.charged(key), Span::ZERO);
}

/// Guards against a repeated report that frees a slot twice.
#[test]
fn repeated_reports_free_a_slot_once() {
    let mut fixture = Fixture::new(1, 1, 1);
    let first = fixture
        .demand_many(ms(0), 1, 0, Class::Short, 0, 9)
        .remove(0);
    assert_eq!(fixture.finish(ms(1), 1, first.id).len(), 1);
    assert!(fixture.finish(ms(2), 1, first.id).is_empty());
    assert_eq!(fixture.home.running(), 1);
}

/// Guards against a team that gets its share at one home although it received more at another.
#[test]
fn service_at_another_home_counts() {
    let mut fixture = Fixture::new(1, 1, 2);
    let mut last = fixture
        .demand_many(ms(0), 1, 0, Class::Short, 0, 1)
        .remove(0);
    fixture.demand_many(ms(1), 1, 0, Class::Short, 0, 50);
    fixture.demand_many(ms(1), 1, 1, Class::Short, 0, 50);
    for (seq, charged) in [(1, Span::ZERO), (2, Span::from_secs(5))] {
        let totals = vec![TeamTotal {
            team: team(0),
            charged,
            lead_us: None,
        }];
        let served = Served {
            service: service(),
            home: host::Incarnation::new(9, 0),
            seq,
            totals,
        };
        fixture.handle(ms(1 + seq), Event::Served { served });
    }
    for step in 0..5 {
        last = fixture.finish(ms(500 * (step + 1)), 1, last.id).remove(0);
        assert_eq!(last.team, team(1));
        fixture.demand_many(ms(500 * (step + 1)), 1, 0, Class::Short, 0, 50);
        fixture.demand_many(ms(500 * (step + 1)), 1, 1, Class::Short, 0, 50);
    }
}
