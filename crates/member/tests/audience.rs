//! Guards against statements that each router of a large fleet hears though no client uses it, and
//! against routers that are ignorant when clients come.

use tsw_base::time::{Span, Tick};
use tsw_member::{
    audience::{stated_for, Audience, ALL_EVERY},
    roster::{Member, LIVE_FOR},
};

/// Period of statements in these tests.
const PERIOD: Span = Span::from_millis(700);

fn member(number: usize) -> Member {
    let number = u8::try_from(number).expect("small");
    let address = |port| ([10, 0, 0, number], port).into();
    Member {
        host: format!("r{number}"),
        domain: "north".to_owned(),
        run: 1,
        beat: 1,
        client: address(1),
        gossip: address(2),
        control: address(3),
        processor: 120,
        ready: true,
        reads_store: true,
        read_for_ms: 0,
        version: 0,
        revision: 0,
    }
}

/// Guards against messages of each router that grow with routers that no client uses.
#[test]
fn routers_without_clients_hear_one_statement_in_a_few() {
    let members: Vec<Member> = (0..200).map(member).collect();
    let live: Vec<&Member> = members.iter().collect();
    let mut audience = Audience::default();
    let mut now = Tick::from_micros(1);
    let mut told = 0;
    for _ in 0..40 {
        now = now + PERIOD;
        told += audience.next(now, &live, &live[..10]).len();
    }
    let to_all = 40 / usize::try_from(ALL_EVERY).expect("small");
    assert_eq!(told, to_all * 200 + (40 - to_all) * 10);
}

/// Guards against a flooded router outside the list that is told as rarely as one without clients, and
/// against one that is told often for good.
#[test]
fn router_that_states_work_hears_every_statement_while_it_does() {
    let members: Vec<Member> = (0..9).map(member).collect();
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
        audience.worked(now, "r8");
        assert!(hears(&mut audience, now));
    }
    now = now + LIVE_FOR + PERIOD;
    let later = (0..ALL_EVERY).filter(|_| hears(&mut audience, now));
    assert_eq!(later.count(), 1);
}

/// Guards against the knowledge of a router without clients that ends between two statements to it.
#[test]
fn statements_count_until_the_next_but_one_that_goes_to_all() {
    for millis in [100, 700, 1_200, 3_800] {
        let period = Span::from_millis(millis);
        assert!(stated_for(period) > Span::from_micros(period.as_micros() * 2 * ALL_EVERY));
        assert!(stated_for(period) >= LIVE_FOR);
    }
}
