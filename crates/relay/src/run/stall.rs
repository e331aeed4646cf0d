//! Waits for the progress of an attempt, and moves a request away from a silent upstream.

use std::{future::Future, pin::pin, time::Duration};

use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_route::{table::Kind, Name};

use super::{AttemptFailure, RequestRun};
use crate::{
    attempt::AttemptError,
    reservation::{Needs, Reservation},
};

/// Stall timeout of a plain upstream, as a multiple of the route's objective, if the request may be
/// repeated.
const STALL_OBJECTIVES: u64 = 4;
/// Stall timeout between events, as a multiple of the route's gap objective, after which a stream is
/// resumed at another upstream if that is allowed. Clients disconnect after eight gap objectives.
const STALL_GAPS: u64 = 3;
/// Minimum stall timeout before the first event of a stream. A shorter one would send more prompts to
/// engines that are busy with prefill; clients wait for three seconds or longer.
const MIN_FIRST_EVENT_TIMEOUT: Span = Span::from_millis(2_000);
/// Minimum stall timeout. Engines pause for this long during the prefill of other requests.
const MIN_STALL_TIMEOUT: Span = Span::from_millis(1_000);
/// Interval at which a request of a silent upstream looks for a retry in the budget.
const MOVE_INTERVAL: Duration = Duration::from_millis(50);

impl RequestRun<'_, '_> {
    /// Returns when an attempt that has made no progress since `since` may be abandoned.
    fn stall_deadline(&self, since: Timestamp) -> Timestamp {
        let (route, due) = (&self.request.route, self.request.due());
        let may_retry = self.attempts.runs < route.max_attempts;
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let limit = match route.kind {
            Kind::Idempotent => micros(route.objective) * STALL_OBJECTIVES,
            Kind::Stream { resumable: true } if self.last_event_id.is_some() => {
                micros(route.gap_objective.unwrap_or(route.objective)) * STALL_GAPS
            }
            Kind::Stream { resumable: true } => {
                (micros(route.objective) * 2).max(MIN_FIRST_EVENT_TIMEOUT.as_micros())
            }
            _ => return due,
        };
        if may_retry {
            due.min(since + Span::from_micros(limit).max(MIN_STALL_TIMEOUT))
        } else {
            due
        }
    }

    /// Waits for the progress of an attempt, the last of which was made at `since`.
    ///
    /// A silent upstream may be sound and go on. From the stall deadline on, the attempt is therefore
    /// still awaited until another upstream has room for the request and the retry budget lets it move.
    pub(super) async fn wait_for_progress<T>(
        &self,
        upstream: &Name,
        since: Timestamp,
        progress: impl Future<Output = T>,
    ) -> Result<T, AttemptFailure> {
        let left = |until: Timestamp| until.since(self.router.now()).as_duration();
        let mut progress = pin!(progress);
        let stalled_at = self.stall_deadline(since);
        if let Ok(done) = time::timeout(left(stalled_at), &mut progress).await {
            return Ok(done);
        }
        let due = self.request.due();
        if stalled_at >= due {
            return Err(AttemptError::timeout().into());
        }
        if self.stalled_since.replace(Some(since)) != Some(since) {
            self.record_stall(upstream);
        }
        let progress_or_move = async {
            tokio::select! {
                biased;
                done = progress => Ok(done),
                reservation = self.reserve_elsewhere(upstream, true) => {
                    Err(AttemptFailure::Stalled(reservation))
                }
            }
        };
        match time::timeout(left(due), progress_or_move).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::timeout().into()),
        }
    }

    fn record_stall(&self, upstream: &Name) {
        let (router, now) = (self.router, self.router.now());
        let has_retry = router.with_service(&self.request.service, |service| {
            service.pool.record_failure(now, upstream);
            service.retries.has_retry(now, router.router_count())
        });
        emit(
            Event::UpstreamSilent,
            &[
                ("request", &self.request.id),
                ("upstream", upstream),
                ("runs", &self.attempts.runs),
                ("has_retry", &has_retry.unwrap_or_default()),
            ],
        );
    }

    /// Waits until another upstream than the last one has a free slot and, if the use of it is a retry,
    /// the retry budget allows that. A request that is known to crash upstreams waits where it is.
    pub(super) async fn reserve_elsewhere(&self, last: &Name, is_retry: bool) -> Reservation {
        let avoid: Vec<Name> = self.avoid.iter().chain([last]).cloned().collect();
        let (router, request) = (self.router, self.request);
        loop {
            let has_retry = router.with_service(&request.service, |service| {
                let now = router.now();
                service.retries.has_retry(now, router.router_count())
            });
            let may_move = !is_retry || has_retry == Some(true);
            if may_move && router.poison_refusal(request).is_none() {
                let software = self.software();
                let needs = Needs {
                    avoid: &avoid,
                    software: software.as_ref(),
                    last_event_at: self.last_event_at(),
                };
                if let Ok(reservation) = router.reserve_for_move(request, needs).await {
                    // The upstreams may have changed while the request waited.
                    let is_current = self.software() == software;
                    if is_current && (!is_retry || self.acquire_retry()) {
                        return reservation;
                    }
                }
            }
            time::sleep(MOVE_INTERVAL).await;
        }
    }
}
