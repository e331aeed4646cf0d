//! Guards against statements that each router of a large fleet hears though no client uses it, and
//! against routers that are ignorant when clients come.

#[path = "support/member.rs"]
mod member;

use member::member;
use tsw_base::time::{Span, Tick};
use tsw_member::{
    audience::{stated_for, Audience, Load},
    roster::{Member, LIVE_FOR},
};

/// Period of statements among few routers.
const PERIOD: Span = Span::from_millis(100);

/// Guards against knowledge that ages, and against messages of each router that grow, with routers
/// that no client uses.
#[test]
fn routers_without_clients_cost_no_age_and_few_messages() {
    for routers in [30, 100, 300] {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let live: Vec<&Member> = members.iter().collect();
        let mut audience = Audience::default();
        let start = Tick::from_micros(1);
        let (mut now, mut to_used, mut to_others) = (start, 0, 0);
        while now.since(start) < Span::from_secs(60) {
            let told = audience.next(now, &live, &live[..10]);
            to_used += told.len().min(10);
            to_others += told.len() - told.len().min(10);
            assert!(audience.period(Load::Busy) <= Span::from_millis(200));
            now = now + audience.period(Load::Busy);
        }
        assert!(to_used <= 60 * 10 * 5 + 10, "{to_used} to routers in use");
        // Each of many hears as much in all as each of few.
        assert!(to_others <= 60 * 25, "{to_others} to {routers} routers");
    }
}

/// Guards against a flooded router outside the list that is told as rarely as one without clients, and
/// against one that is told often for good.
#[test]
fn router_that_states_work_hears_every_statement_while_it_does() {
    let members: Vec<Member> = (0..30).map(member).collect();
    let live: Vec<&Member> = members.iter().collect();
    let mut audience = Audience::default();
    let mut now = Tick::from_micros(1);
    let hears = |audience: &mut Audience, now| {
        let told = audience.next(now, &live, &live[..3]);
        told.contains(&members[8].gossip)
    };
    assert!(hears(&mut audience, now), "the first statement goes to all");
    for _ in 0..8 {
        now = now + PERIOD;
        audience.note(now, "r8", Load::Busy);
        assert!(hears(&mut audience, now));
    }
    now = now + LIVE_FOR + PERIOD;
    let later = (0..20).filter(|_| {
        now = now + PERIOD;
        hears(&mut audience, now)
    });
    assert!(later.count() <= 2, "two statements to all in two seconds");
}

/// Guards against routers with a request now and then that slow the statements of all down, and that
/// know nothing newer than those without any.
#[test]
fn lightly_used_routers_hear_at_the_pace_of_the_fleet() {
    let members: Vec<Member> = (0..95).map(member).collect();
    let live: Vec<&Member> = members.iter().collect();
    let mut audience = Audience::default();
    let start = Tick::from_micros(1);
    let (mut now, mut told) = (start, 0);
    while now.since(start) < Span::from_secs(24) {
        for member in &members[10..] {
            audience.note(now, &member.host, Load::Light);
        }
        let to = audience.next(now, &live, &live[..10]);
        told += usize::from(to.contains(&members[50].gossip));
        now = now + audience.period(Load::Busy);
        assert!(audience.period(Load::Busy) <= Span::from_millis(200));
    }
    assert!((18..=21).contains(&told), "{told} in 20 periods of 1.2 s");
}

/// Guards against the knowledge of a router without clients that ends between two statements to it.
#[test]
fn statements_count_until_the_next_but_one_that_goes_to_all() {
    for routers in [3, 30, 95, 300] {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let live: Vec<&Member> = members.iter().collect();
        let mut audience = Audience::default();
        let mut now = Tick::from_micros(1);
        let mut heard = now;
        let counts = stated_for(routers + 1);
        assert!(counts >= LIVE_FOR);
        for _ in 0..1_000 {
            if audience.next(now, &live, &live[..1]).len() == routers {
                assert!(counts >= now.since(heard) * 2, "{routers} routers");
                heard = now;
            }
            now = now + audience.period(Load::Busy);
        }
    }
}
