//! Which routers hear what a router does.
//!
//! A router that clients use needs the newest statements of the others for each of its choices. One
//! that no client uses needs them only so that it is not ignorant when a client comes. In a large
//! fleet most routers are of the second kind.

use std::net::SocketAddr;

use indexmap::IndexMap;
use tsw_base::time::{Span, Tick};

use crate::roster::{Member, LIVE_FOR};

/// Statements of which one goes to every running router.
pub const ALL_EVERY: u64 = 4;

/// Returns the time for which a statement counts if no newer one arrives, at a period of statements:
/// one to every router may be lost.
#[must_use]
pub fn stated_for(period: Span) -> Span {
    let all = Span::from_micros(period.as_micros() * (2 * ALL_EVERY + 1));
    all.max(LIVE_FOR)
}

/// The routers that clients use, as far as statements tell.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    used: IndexMap<String, Tick>,
    statements: u64,
}

impl Audience {
    /// Notes that a router stated work.
    pub fn worked(&mut self, now: Tick, router: &str) {
        match self.used.get_mut(router) {
            Some(at) => *at = now,
            None => {
                self.used.insert(router.to_owned(), now);
            }
        }
    }

    /// Returns whom to tell the next statement, given the routers that run and those of them that
    /// clients are sent to.
    ///
    /// ```
    /// use tsw_base::time::{Span, Tick};
    /// use tsw_member::{audience::Audience, roster::{Member, Roster}};
    /// let member = |number: u8| Member {
    ///     host: format!("r{number}"), domain: "north".to_owned(), run: 1, beat: 1,
    ///     client: ([10, 0, 0, number], 1).into(), gossip: ([10, 0, 0, number], 2).into(),
    ///     control: ([10, 0, 0, number], 3).into(), processor: 250, ready: true,
    ///     reads_store: true, read_for_ms: 0, version: 0, revision: 0,
    /// };
    /// let all: Vec<Member> = (1..6).map(member).collect();
    /// let live: Vec<&Member> = all.iter().collect();
    /// let mut audience = Audience::default();
    /// let now = Tick::from_micros(1);
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 5, "all of them at first");
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 2);
    /// audience.worked(now, "r5");
    /// assert_eq!(audience.next(now, &live, &live[..2]).len(), 3);
    /// ```
    pub fn next(&mut self, now: Tick, live: &[&Member], listed: &[&Member]) -> Vec<SocketAddr> {
        self.used.retain(|_, at| now.since(*at) <= LIVE_FOR);
        let all = self.statements.is_multiple_of(ALL_EVERY);
        self.statements += 1;
        let hears = |member: &&&Member| {
            let listed = listed.iter().any(|listed| listed.host == member.host);
            all || listed || self.used.contains_key(&member.host)
        };
        live.iter()
            .filter(hears)
            .map(|member| member.gossip)
            .collect()
    }
}
