//! Guards against frequent reports to the routers of a large fleet that no client uses, and
//! against routers that have no valid reports when clients arrive.

#[path = "support/member.rs"]
mod member;

use member::member;
use tsw_base::time::{Span, Timestamp};
use tsw_member::{
    audience::{report_lifetime, Audience, Load},
    roster::{Member, LIVENESS_TIMEOUT},
};

/// Interval of reports in a small group of routers.
const INTERVAL: Span = Span::from_millis(100);

/// Guards against routers without clients that increase the age of the reports at busy routers,
/// or the number of messages that each router sends.
#[test]
fn idle_routers_do_not_slow_reports_and_cost_few_messages() {
    for routers in [30, 100, 300] {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let live: Vec<&Member> = members.iter().collect();
        let mut audience = Audience::default();
        let start = Timestamp::from_micros(1);
        let (mut now, mut to_client_routers, mut to_others) = (start, 0, 0);
        while now.since(start) < Span::from_secs(60) {
            let recipients = audience.next_recipients(now, &live, &live[..10]);
            to_client_routers += recipients.len().min(10);
            to_others += recipients.len() - recipients.len().min(10);
            assert!(audience.report_interval(Load::Busy) <= Span::from_millis(200));
            now = now + audience.report_interval(Load::Busy);
        }
        assert!(
            to_client_routers <= 60 * 10 * 5 + 10,
            "{to_client_routers} to routers in use"
        );
        // The total does not depend on the number of routers: each receives fewer in a larger
        // fleet.
        assert!(to_others <= 60 * 25, "{to_others} to {routers} routers");
    }
}

/// Guards against a busy router outside the selection for clients that receives reports as
/// rarely as an idle one, and against one that keeps receiving them often after its load ended.
#[test]
fn router_that_reports_busy_receives_every_report() {
    let members: Vec<Member> = (0..30).map(member).collect();
    let live: Vec<&Member> = members.iter().collect();
    let mut audience = Audience::default();
    let mut now = Timestamp::from_micros(1);
    let receives = |audience: &mut Audience, now| {
        let recipients = audience.next_recipients(now, &live, &live[..3]);
        recipients.contains(&members[8].gossip)
    };
    assert!(receives(&mut audience, now), "the first report goes to all");
    for _ in 0..8 {
        now = now + INTERVAL;
        audience.record_load(now, "r8", Load::Busy);
        assert!(receives(&mut audience, now));
    }
    now = now + LIVENESS_TIMEOUT + INTERVAL;
    let later = (0..20).filter(|_| {
        now = now + INTERVAL;
        receives(&mut audience, now)
    });
    assert!(later.count() <= 2, "two reports to all in two seconds");
}

/// Guards against lightly used routers that lengthen the interval of reports among busy routers,
/// or that receive reports as rarely as idle ones.
#[test]
fn lightly_used_routers_receive_at_the_interval_of_the_whole_fleet() {
    let members: Vec<Member> = (0..95).map(member).collect();
    let live: Vec<&Member> = members.iter().collect();
    let mut audience = Audience::default();
    let start = Timestamp::from_micros(1);
    let (mut now, mut received) = (start, 0);
    while now.since(start) < Span::from_secs(24) {
        for member in &members[10..] {
            audience.record_load(now, &member.host, Load::Light);
        }
        let to = audience.next_recipients(now, &live, &live[..10]);
        received += usize::from(to.contains(&members[50].gossip));
        now = now + audience.report_interval(Load::Busy);
        assert!(audience.report_interval(Load::Busy) <= Span::from_millis(200));
    }
    assert!(
        (18..=21).contains(&received),
        "{received} in 20 intervals of 1.2 s"
    );
}

/// Guards against reports that expire at an idle router before the next one arrives.
#[test]
fn reports_stay_valid_if_one_broadcast_is_lost() {
    for routers in [3, 30, 95, 300] {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let live: Vec<&Member> = members.iter().collect();
        let mut audience = Audience::default();
        let mut now = Timestamp::from_micros(1);
        let mut last_to_all = now;
        let lifetime = report_lifetime(routers + 1);
        assert!(lifetime >= LIVENESS_TIMEOUT);
        for _ in 0..1_000 {
            if audience.next_recipients(now, &live, &live[..1]).len() == routers {
                assert!(lifetime >= now.since(last_to_all) * 2, "{routers} routers");
                last_to_all = now;
            }
            now = now + audience.report_interval(Load::Busy);
        }
    }
}
