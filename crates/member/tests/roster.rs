//! Guards against running routers that drop out of the lists of others, so that clients are sent to
//! the few that are left, and against routers of a large fleet that never find each other.

#[path = "support/member.rs"]
mod member;

use member::member;
use rand::{rngs::StdRng, Rng, SeedableRng};
use tsw_base::time::{Span, Tick};
use tsw_member::roster::{Member, News, Roster, LIVE_FOR};

/// Period of gossip, as the gate sends it.
const PERIOD: Span = Span::from_millis(250);

/// Lets a fleet gossip and returns, for each round after the first ten seconds, the fewest peers
/// that any router lists. All of them know three seeds, and a part of the datagrams is lost.
fn fewest_listed(routers: usize, rounds: usize, loss: f64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(7);
    let seeds: Vec<_> = (0..3).map(|number| member(number).gossip).collect();
    let mut fleet: Vec<Roster> = (0..routers)
        .map(|number| Roster::new(member(number), seeds.clone()))
        .collect();
    let mut now = Tick::from_micros(1);
    let mut fewest = Vec::new();
    for round in 0..rounds {
        now = now + PERIOD;
        for number in 0..routers {
            let from = fleet[number].me.host.clone();
            let (to, news) = fleet[number].round(now, &mut rng);
            for address in to {
                if rng.gen_bool(loss) {
                    continue;
                }
                let target = fleet.iter_mut().find(|other| other.me.gossip == address);
                let target = target.expect("a router");
                let answer = target.hear(now, &from, &news);
                let host = target.me.host.clone();
                if let Some(answer) = answer {
                    fleet[number].hear(now, &host, &answer);
                }
            }
        }
        if round >= 40 {
            let listed = fleet.iter().map(|roster| roster.live(now).count());
            fewest.push(listed.min().expect("routers"));
        }
    }
    fewest
}

#[test]
fn all_running_routers_stay_listed_in_small_and_large_fleets() {
    for (routers, rounds) in [
        (3, 80),
        (7, 80),
        (30, 80),
        (73, 80),
        (95, 80),
        (100, 80),
        (300, 56),
    ] {
        let fewest = fewest_listed(routers, rounds, 0.02);
        let worst = fewest.iter().min().copied();
        assert_eq!(worst, Some(routers - 1), "{routers} routers: {fewest:?}");
    }
}

/// Guards against a router that ended and is listed again because others ask for it.
#[test]
fn router_that_ended_is_not_told_to_others() {
    let mut known = Roster::new(member(0), Vec::new());
    let mut asks = Roster::new(member(2), Vec::new());
    let now = Tick::from_micros(1);
    let mut rng = StdRng::seed_from_u64(7);
    let mut ended = Roster::new(member(1), vec![known.me.gossip]);
    known.hear(now, "r1", &ended.round(now, &mut rng).1);
    let news = known.round(now, &mut rng).1;
    asks.hear(now, "r0", &news);
    assert_eq!(asks.live(now).count(), 2);
    let later = now + LIVE_FOR + PERIOD;
    asks.hear(later, "r0", &known.round(later, &mut rng).1);
    let live: Vec<_> = asks.live(later).map(|peer| peer.host.clone()).collect();
    assert_eq!(live, ["r0"]);
}

/// Returns the hosts that a router lists for clients in a fleet of three failure domains.
fn listed(processors: &[u32]) -> Vec<String> {
    let members = processors
        .iter()
        .enumerate()
        .map(|(number, processor)| Member {
            processor: *processor,
            ..member(number)
        });
    let members: Vec<Member> = members.collect();
    let mut roster = Roster::new(members[0].clone(), Vec::new());
    let now = Tick::from_micros(1);
    let news = News {
        members: members[1..].to_vec(),
        ..News::default()
    };
    roster.hear(now, "r1", &news);
    let hosts = roster.listed(now).into_iter();
    let mut hosts: Vec<String> = hosts.map(|member| member.host.clone()).collect();
    hosts.sort();
    hosts
}

/// Guards against a large team whose clients all use one router with little processor time.
#[test]
fn clients_are_sent_to_the_strong_routers_of_an_unequal_fleet() {
    let unequal: Vec<u32> = (0..69).map(|n| if n < 6 { 500 } else { 120 }).collect();
    assert_eq!(listed(&unequal), ["r0", "r1", "r2", "r3", "r4", "r5"]);
    // The loss of one must not change where all others are used.
    let lost: Vec<u32> = (0..68).map(|n| if n < 5 { 500 } else { 120 }).collect();
    assert_eq!(listed(&lost), ["r0", "r1", "r2", "r3", "r4"]);
}

/// Guards against failure domains without a reader of the store, whose routers all read peers in others,
/// and against readers that are too few after some of them ended.
#[test]
fn readers_of_the_store_are_spread_over_the_failure_domains() {
    let now = Tick::from_micros(1);
    let all: Vec<Member> = (0..95).map(member).collect();
    let readers = |running: &[Member]| -> Vec<Member> {
        let is_reader = |own: &&Member| {
            let mut roster = Roster::new((*own).clone(), Vec::new());
            let members = running.to_vec();
            let news = News {
                members,
                ..News::default()
            };
            roster.hear(now, "r", &news);
            roster.is_reader(now, 4)
        };
        running.iter().filter(is_reader).cloned().collect()
    };
    let mut running = all;
    for _ in 0..5 {
        let found = readers(&running);
        assert_eq!(found.len(), 4);
        for domain in ["d0", "d1", "d2"] {
            assert!(
                found.iter().any(|reader| reader.domain == domain),
                "{domain}"
            );
        }
        running.retain(|member| !found.contains(member));
    }
}

/// Guards against lists that are too short to bear the load or the loss of a router.
#[test]
fn all_routers_are_listed_if_the_strong_ones_are_equal_few_or_missing_somewhere() {
    assert_eq!(listed(&[250; 7]).len(), 7);
    let few: Vec<u32> = (0..69).map(|n| if n < 3 { 500 } else { 240 }).collect();
    assert_eq!(listed(&few).len(), 69, "they have less than an eighth");
    let apart: Vec<u32> = (0..69).map(|n| if n < 2 { 900 } else { 120 }).collect();
    assert_eq!(listed(&apart).len(), 69, "one failure domain has none");
}

/// Guards against gossip that mostly crosses failure domains or whose part that does grows with the
/// routers, and against a router that is alone in its own and tells nobody.
#[test]
fn most_gossip_stays_in_the_failure_domain() {
    const ROUNDS: usize = 400;
    let now = Tick::from_micros(1);
    let mut rng = StdRng::seed_from_u64(7);
    for (routers, far_of_domain) in [(9, 3), (30, 6), (150, 6)] {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let mut roster = Roster::new(members[0].clone(), Vec::new());
        let alone = Member {
            domain: "alone".to_owned(),
            ..members[0].clone()
        };
        let mut apart = Roster::new(alone, Vec::new());
        let news = News {
            members: members[1..].to_vec(),
            ..News::default()
        };
        roster.hear(now, "r1", &news);
        apart.hear(now, "r1", &news);
        let near = |address: &std::net::SocketAddr| {
            let found = members.iter().find(|member| member.gossip == *address);
            found.is_some_and(|member| member.domain == "d0")
        };
        let mut far = 0;
        for _ in 0..ROUNDS {
            let (to, _) = roster.round(now, &mut rng);
            let most_near = 3.min(routers / 3 - 1);
            let to_near = to.iter().filter(|address| near(address)).count();
            assert_eq!(to_near, most_near);
            far += to.len() - 3;
            assert_eq!(apart.round(now, &mut rng).0.len(), 4);
        }
        let usual = ROUNDS * far_of_domain / (routers / 3);
        assert!(
            (usual * 3 / 4..=usual * 5 / 4).contains(&far),
            "{far} of {usual}"
        );
    }
}
