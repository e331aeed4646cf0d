//! Sends the final response of a request that no upstream has answered, and records the outcome of
//! requests in logs and metrics.

use std::{fmt::Display, io};

use tsw_base::time::Span;
use tsw_event::{emit, Event};
use tsw_flow::retry::FinalResponse;
use tsw_http::head;

use super::{Outcome, RequestRun};
use crate::{
    local_response::{LocalResponse, Refusal},
    reservation::Refused,
    responder::{Progress, Responder},
    router::Router,
};

/// Retry delay stated to a client whose request no upstream accepted. Upstreams that refuse requests
/// are avoided for about as long.
const RETRY_AFTER: Span = Span::from_millis(200);

impl RequestRun<'_, '_> {
    pub(super) async fn finish_without_slot(&mut self, refused: Refused) -> io::Result<Outcome> {
        match self.attempts.final_response() {
            FinalResponse::NotRun => self.refuse(refused).await,
            response => self.finish(response, refused.refusal.name()).await,
        }
    }

    pub(super) async fn finish(
        &mut self,
        response: FinalResponse,
        cause: &str,
    ) -> io::Result<Outcome> {
        if self.responder.progress() != Progress::NotStarted {
            return Ok(self.truncate(cause));
        }
        if let Some((head, body)) = self.failure.take() {
            self.forward_whole(head, &body).await?;
            self.record_completion("upstream-failed");
            return Ok(Outcome::Complete);
        }
        match response {
            FinalResponse::NotRun => {
                let now = self.router.now();
                let software = self.software();
                let pause = self.router.with_service(&self.request.service, |service| {
                    service
                        .pool
                        .shortest_pause(now, &self.avoid, software.as_ref())
                });
                let refused = match pause {
                    Some(pause) if pause > RETRY_AFTER => Refused::new(Refusal::Paused, pause),
                    _ => Refused::new(Refusal::NoUpstream, RETRY_AFTER),
                };
                self.refuse(refused).await
            }
            _ => self.respond_locally(LocalResponse::OutcomeUnknown).await,
        }
    }

    pub(super) async fn refuse(&mut self, refused: Refused) -> io::Result<Outcome> {
        let (router, team, now) = (self.router, self.request.team(), self.router.now());
        let (received, waiting) = router
            .with_service(&self.request.service, |service| {
                let received = service.accounts.team(now, team).served;
                (received, service.queue.len())
            })
            .unwrap_or_default();
        let fair_share = refused.fair_share.unwrap_or(f64::INFINITY);
        emit(
            Event::Refused,
            &[
                ("request", &self.request.id),
                ("team", &team),
                ("service", &self.request.service),
                ("cause", &refused.refusal.name()),
                ("resumes", &self.request.is_resume()),
                ("received", &received.round()),
                ("level", &fair_share.round()),
                ("waiting", &waiting),
                ("retry_after_us", &refused.retry_after.as_micros()),
                ("known_us", &router.oldest_report_age().as_micros()),
            ],
        );
        if self.request.is_resume() {
            router.count_resume_outcome(&self.request.service, refused.refusal.name());
            router.record_refused_resume(self.request, refused.refusal);
        }
        self.respond_locally(LocalResponse::NotRun(refused.refusal, refused.retry_after))
            .await
    }

    pub(super) async fn respond_locally(&mut self, response: LocalResponse) -> io::Result<Outcome> {
        if self.responder.progress() != Progress::NotStarted {
            return Ok(self.truncate(response));
        }
        if !matches!(response, LocalResponse::NotRun(..)) {
            emit(
                Event::Unknown,
                &[("request", &self.request.id), ("cause", &response)],
            );
        }
        send_local_response(
            self.router,
            self.responder,
            Some(&self.request.id),
            response,
        )
        .await?;
        self.count_outcome(match response {
            LocalResponse::NotRun(refusal, _) => refusal.name(),
            LocalResponse::TimedOut => "overdue",
            _ => "unknown",
        });
        Ok(Outcome::Complete)
    }

    pub(super) async fn forward_whole(
        &mut self,
        head: head::Response,
        body: &[u8],
    ) -> io::Result<()> {
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.respond(head.status, fields, body).await
    }

    pub(super) fn truncate(&self, cause: impl Display) -> Outcome {
        emit(
            Event::Cut,
            &[
                ("request", &self.request.id),
                ("cause", &cause),
                ("runs", &self.attempts.runs),
                ("resumable", &self.request.route.kind.may_repeat()),
            ],
        );
        self.count_outcome("cut");
        Outcome::Truncated
    }

    pub(super) fn record_completion(&self, outcome: &str) {
        let since = self.router.now().since(self.request.arrived);
        emit(
            Event::Completed,
            &[
                ("request", &self.request.id),
                ("outcome", &outcome),
                ("took_us", &since.as_micros()),
                (
                    "first_us",
                    &self.timing.first_event.unwrap_or(Span::ZERO).as_micros(),
                ),
                ("gap_us", &self.timing.max_gap.as_micros()),
                ("events", &self.timing.events),
            ],
        );
        self.count_outcome(outcome);
    }

    pub(super) fn count_outcome(&self, outcome: &str) {
        let labels = [&*self.request.service, outcome];
        self.router
            .metrics
            .requests
            .with_label_values(&labels)
            .inc();
    }
}

/// Sends a response that the router generates itself.
///
/// # Errors
///
/// Returns an error if the connection to the client broke.
pub async fn send_local_response(
    router: &Router,
    responder: &mut Responder<'_>,
    id: Option<&str>,
    response: LocalResponse,
) -> io::Result<()> {
    if response.closes_connection() {
        responder.close_after_response();
    }
    if matches!(response, LocalResponse::NotRun(..)) {
        responder.mark_not_run();
    }
    let fields = router
        .protocol
        .local_response_fields(id, response.retry_after_s());
    let body = format!("{{\"error\":\"{response}\"}}\n");
    responder
        .respond(response.status(), fields, body.as_bytes())
        .await
}
