//! Guards against reports with many upstreams, teams or prompts that are truncated in transit, so
//! that other routers consider the sender idle, and against reports reassembled from fragments of
//! different reports.

use proptest::prelude::*;
use rand::{rngs::StdRng, SeedableRng as _};
use tsw_base::{stated, time::Timestamp};
use tsw_flow::{account::Work, pool::Usage, prompt::Part};
use tsw_gate::report::{split, Activity, Error, Reassembler, MAX_DATAGRAM};
use tsw_member::roster::{Member, Roster, RosterUpdate};
use tsw_relay::router;

/// The largest usage of an upstream that a router accepts from another one.
const MAX_USAGE: Usage = Usage {
    requests: stated::MAX_COUNT,
    pending_tokens: stated::MAX_AMOUNT,
};

fn activity(service: &str, upstreams: usize, reads: usize, teams: usize) -> router::ServiceReport {
    let part = Part {
        id: u64::MAX,
        tokens: 1 << 24,
    };
    let usage = Usage {
        requests: u32::MAX,
        pending_tokens: u64::MAX,
    };
    let work = Work {
        requested: 1e6,
        served: 2.5,
    };
    let name = |kind: &str, number: usize| format!("{kind}-{number:010}").as_str().into();
    router::ServiceReport {
        service: service.into(),
        usage: (0..upstreams).map(|n| (name("i", n), usage)).collect(),
        prefills: (0..reads).map(|n| (name("i", n), vec![part; 3])).collect(),
        teams: (0..teams).map(|n| (name("team", n), work)).collect(),
    }
}

proptest! {
    /// Covers fleets of up to hundreds of routers with 1,000 upstreams and 990 teams.
    #[test]
    fn reports_of_any_size_arrive_whole_in_datagrams_of_bounded_size(
        sizes in proptest::collection::vec((0usize..1_000, 0usize..300, 0usize..1_000), 0..4),
        reverse: bool,
    ) {
        let activities: Vec<router::ServiceReport> = sizes
            .iter()
            .enumerate()
            .map(|(at, (upstreams, reads, teams))| {
                activity(&format!("s{at}"), *upstreams, *reads, *teams)
            })
            .filter(|activity| !activity.usage.is_empty() || !activity.prefills.is_empty() || !activity.teams.is_empty())
            .collect();
        let sent: Vec<Activity> = activities.iter().map(Activity::from).collect();
        let mut fragments = split(7, sent).expect("short names");
        for fragment in &fragments {
            let bytes = postcard::to_allocvec(fragment).expect("encoded").len();
            prop_assert!(bytes + 1_024 <= MAX_DATAGRAM, "{bytes}");
        }
        if reverse {
            fragments.reverse();
        }
        let mut reassembler = Reassembler::default();
        let last = fragments.pop().expect("at least one");
        for fragment in fragments {
            prop_assert_eq!(reassembler.add(&"r1".into(), fragment), None);
        }
        let whole = reassembler.add(&"r1".into(), last).expect("complete");
        let mut whole: Vec<router::ServiceReport> = whole.into_iter().map(Into::into).collect();
        whole.sort_by(|a, b| a.service.cmp(&b.service));
        for (found, expected) in whole.iter_mut().zip(&activities) {
            let mut expected = expected.clone();
            // The receiver limits numbers.
            for (_, usage) in &mut expected.usage {
                *usage = MAX_USAGE;
            }
            for activity in [&mut *found, &mut expected] {
                activity.usage.sort_by(|a, b| a.0.cmp(&b.0));
                activity.teams.sort_by(|a, b| a.0.cmp(&b.0));
                activity.prefills.sort_by(|a, b| a.0.cmp(&b.0));
            }
            prop_assert_eq!(&*found, &expected);
        }
        prop_assert_eq!(whole.len(), activities.len());
    }
}

/// Guards against sums that overflow, or that are no numbers from then on, because of the report of one router.
#[test]
fn numbers_in_a_report_are_limited() {
    for number in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 1e300] {
        let mut sent = activity("s", 3, 1, 1);
        sent.teams[0].1 = Work {
            requested: number,
            served: number,
        };
        let fragment = split(1, vec![Activity::from(&sent)]).expect("short names");
        let whole = Reassembler::default().add(&"r1".into(), fragment[0].clone());
        let received: router::ServiceReport = whole.expect("whole").remove(0).into();
        assert!(received.usage.iter().all(|(_, usage)| *usage == MAX_USAGE));
        let Work { requested, served } = received.teams[0].1;
        for work in [requested, served] {
            let range = 0.0..=stated::MAX_AMOUNT as f64;
            assert!(range.contains(&work), "{number}: {work}");
        }
    }
}

/// Guards against a reassembled report that mixes the content of two consecutive ones.
#[test]
fn incomplete_report_is_replaced_by_the_next_one() {
    let report = |number, teams| {
        let sent = vec![Activity::from(&activity("s", 400, 0, teams))];
        split(number, sent).expect("short names")
    };
    let (former, latter) = (report(1, 700), report(2, 710));
    let mut reassembler = Reassembler::default();
    let from = "r1".into();
    for fragment in former.into_iter().skip(1) {
        assert_eq!(reassembler.add(&from, fragment), None);
    }
    let mut whole = None;
    for fragment in latter {
        whole = whole.or(reassembler.add(&from, fragment));
    }
    let whole: router::ServiceReport = whole.expect("complete").remove(0).into();
    assert_eq!((whole.usage.len(), whole.teams.len()), (400, 710));
}

/// Guards against an overlong name that suppresses all reports without an error.
#[test]
fn name_that_fits_into_no_fragment_is_an_error() {
    let mut long = activity("s", 1, 0, 0);
    long.usage[0].0 = "x".repeat(5_000).as_str().into();
    let error = split(1, vec![Activity::from(&long)]).expect_err("too long");
    assert!(
        matches!(error, Error::Item { bytes } if bytes > 5_000),
        "{error}"
    );
}

/// Guards against a prompt with many parts that suppresses all reports.
#[test]
fn prompt_with_many_parts_is_reported_in_part() {
    let mut long = activity("s", 400, 1, 3);
    let part = long.prefills[0].1[0];
    long.prefills[0].1 = vec![part; 5_000];
    let mut reassembler = Reassembler::default();
    let fragments = split(1, vec![Activity::from(&long)]).expect("no name is long");
    let mut whole = None;
    for fragment in fragments {
        let bytes = postcard::to_allocvec(&fragment).expect("encoded").len();
        assert!(bytes + 1_024 <= MAX_DATAGRAM, "{bytes}");
        whole = whole.or(reassembler.add(&"r1".into(), fragment));
    }
    let whole: router::ServiceReport = whole.expect("complete").remove(0).into();
    assert_eq!((whole.usage.len(), whole.teams.len()), (400, 3));
    assert!(whole.prefills[0].1.len() > 100);
}

/// Guards against roster updates of a large fleet that exceed a datagram, so that the routers never
/// learn of each other.
#[test]
fn roster_update_about_hundreds_of_members_fits_into_a_datagram() {
    let member = |number: u16| {
        let [high, low] = number.to_be_bytes();
        let address = |port| ([10, 7, high, low], port).into();
        Member {
            host: format!("front-harbor-ridge-of-new-england-{number}"),
            domain: "harbor-ridge-of-new-england".to_owned(),
            incarnation: u64::MAX,
            heartbeat: 1_000_000,
            client: address(8_783),
            gossip: address(7_400),
            control: address(8_785),
            processor: 500,
            ready: true,
            reads_store: true,
            read_for_ms: 86_400_000,
            version: 1 << 40,
            revision: 1 << 40,
            era: Some(1_000),
        }
    };
    let mut roster = Roster::new(member(0), Vec::new());
    let now = Timestamp::from_micros(1);
    let members = (1..1_200).map(member).collect();
    let update = RosterUpdate {
        members,
        ..RosterUpdate::default()
    };
    roster.receive(now, "r", &update);
    let (_, update) = roster.next_round(now, &mut StdRng::seed_from_u64(7));
    let bytes = postcard::to_allocvec(&(&update, update.eras()));
    let bytes = bytes.expect("encoded").len();
    assert!(
        update.heartbeats.len() > 400 && bytes + 512 <= MAX_DATAGRAM,
        "{bytes}"
    );
}
