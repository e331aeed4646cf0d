//! Pauses that upstreams ask for, in which they get no request.

use tsw_base::time::{Span, Timestamp};
use tsw_route::Name;

use super::{Choice, Pool, Upstream};
use crate::origin::Software;

/// Time after the end of a pause in which the number of requests grows to the slots of the upstream.
const RAMP: Span = Span::from_millis(1_000);

impl Pool {
    fn pause_end(&self, upstream: &Upstream) -> Option<Timestamp> {
        let entry = &upstream.entry;
        self.pauses.get(&entry.id, entry.started_at).copied()
    }

    /// Returns whether an upstream may get a request as far as its latest pause is concerned.
    pub(super) fn pause_permits(&self, now: Timestamp, upstream: &Upstream) -> bool {
        let Some(until) = self.pause_end(upstream) else {
            return true;
        };
        let elapsed = now.since(until).as_micros();
        let slots = u64::from(upstream.entry.slots);
        let ramp = RAMP.as_micros();
        let limit = 1 + slots * elapsed / ramp;
        now >= until && (elapsed >= ramp || u64::from(upstream.own.requests) < limit)
    }

    /// Records that an upstream asked for a pause. It does not shorten an earlier one.
    pub fn record_pause(&mut self, now: Timestamp, choice: &Choice, length: Span) {
        self.pauses.retain(|until| now.since(*until) < RAMP);
        let known = self.pauses.get(&choice.id, choice.started_at);
        let until = known.copied().max(Some(now + length)).unwrap_or(now);
        let is_listed = |name: &Name| self.upstreams.contains_key(name);
        self.pauses
            .insert(&choice.id, choice.started_at, until, is_listed);
    }

    /// Returns whether the chosen run of an upstream pauses.
    #[must_use]
    pub fn is_paused(&self, now: Timestamp, choice: &Choice) -> bool {
        let until = self.pauses.get(&choice.id, choice.started_at);
        until.is_some_and(|until| now < *until)
    }

    /// Returns the shortest time left of the pauses of the upstreams that accept requests, other than
    /// `avoid` if there are others. It is zero if one of them does not pause.
    #[must_use]
    pub fn shortest_pause(
        &self,
        now: Timestamp,
        avoid: &[Name],
        software: Option<&Software>,
    ) -> Span {
        self.shortest(avoid, software, |upstream| self.pause_left(now, upstream))
    }

    pub(super) fn pause_left(&self, now: Timestamp, upstream: &Upstream) -> Span {
        let until = self.pause_end(upstream);
        until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// Returns the shortest of the times of the upstreams that accept requests, other than `avoid` if there
    /// are others; zero if none accepts any.
    pub(super) fn shortest(
        &self,
        avoid: &[Name],
        software: Option<&Software>,
        time: impl Fn(&Upstream) -> Span,
    ) -> Span {
        let accepting = self.upstreams.values().filter(|upstream| {
            let is_same = |software: &Software| self.runs(upstream, software);
            !upstream.entry.leaving && software.is_none_or(is_same)
        });
        let times = accepting.map(|upstream| {
            let is_avoided = avoid.contains(&upstream.entry.id);
            (is_avoided, time(upstream))
        });
        // Upstreams to avoid come last.
        times.min().map_or(Span::ZERO, |(_, time)| time)
    }
}
