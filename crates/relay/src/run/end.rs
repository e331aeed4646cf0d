//! The final answer of a request that no upstream has answered, and its record in logs and metrics.

use std::io;

use tsw_base::time::Span;
use tsw_event::{emit, Event};
use tsw_flow::retry;
use tsw_http::head;

use super::{End, Life};
use crate::{
    answer::{Own, Refusal},
    responder::{Progress, Responder},
    router::Router,
    wait::Refused,
};

/// Time after which a client may come back whose request no upstream accepted. An upstream that
/// refuses is avoided for about as long.
const AGAIN: Span = Span::from_millis(200);

impl Life<'_, '_> {
    pub(super) async fn without_place(&mut self, refused: Refused) -> io::Result<End> {
        match self.tried.answer() {
            retry::Answer::NotRun => self.refuse(refused).await,
            answer => self.finish(answer).await,
        }
    }

    pub(super) async fn finish(&mut self, answer: retry::Answer) -> io::Result<End> {
        if self.responder.progress() != Progress::Unsent {
            return Ok(self.cut());
        }
        if let Some((head, body)) = self.failure.take() {
            self.whole(head, &body).await?;
            self.completed("upstream-failed");
            return Ok(End::Answered);
        }
        match answer {
            retry::Answer::NotRun => {
                let refused = Refused::new(Refusal::NoUpstream, AGAIN);
                self.refuse(refused).await
            }
            _ => self.give(Own::Unknown).await,
        }
    }

    pub(super) async fn refuse(&mut self, refused: Refused) -> io::Result<End> {
        let (router, team, now) = (self.router, self.request.team(), self.router.now());
        let (received, waiting) = router
            .with_service(&self.request.service, |service| {
                let received = service.accounts.team(now, team).served;
                (received, service.queue.len())
            })
            .unwrap_or_default();
        let level = refused.level.unwrap_or(f64::INFINITY);
        emit(
            Event::Refused,
            &[
                ("request", &self.request.id),
                ("team", &team),
                ("service", &self.request.service),
                ("cause", &refused.refusal.name()),
                ("received", &received.round()),
                ("level", &level.round()),
                ("waiting", &waiting),
                ("retry_after_us", &refused.after.as_micros()),
                ("known_us", &router.oldest_statement().as_micros()),
            ],
        );
        self.give(Own::NotRun(refused.refusal, refused.after)).await
    }

    pub(super) async fn give(&mut self, own: Own) -> io::Result<End> {
        if self.responder.progress() != Progress::Unsent {
            return Ok(self.cut());
        }
        if !matches!(own, Own::NotRun(..)) {
            emit(
                Event::Unknown,
                &[("request", &self.request.id), ("cause", &own)],
            );
        }
        give(self.router, self.responder, Some(&self.request.id), own).await?;
        self.count(match own {
            Own::NotRun(refusal, _) => refusal.name(),
            Own::Overdue => "overdue",
            _ => "unknown",
        });
        Ok(End::Answered)
    }

    pub(super) async fn whole(&mut self, head: head::Response, body: &[u8]) -> io::Result<()> {
        let mut fields = head.fields;
        fields.strip_hop_by_hop();
        self.responder.whole(head.status, fields, body).await
    }

    pub(super) fn cut(&self) -> End {
        emit(
            Event::Cut,
            &[
                ("request", &self.request.id),
                ("runs", &self.tried.runs),
                ("resumable", &self.request.route.kind.may_repeat()),
            ],
        );
        self.count("cut");
        End::Cut
    }

    pub(super) fn completed(&self, outcome: &str) {
        let since = self.router.now().since(self.request.arrived);
        emit(
            Event::Completed,
            &[
                ("request", &self.request.id),
                ("outcome", &outcome),
                ("took_us", &since.as_micros()),
                (
                    "first_us",
                    &self.pace.first.unwrap_or(Span::ZERO).as_micros(),
                ),
                ("gap_us", &self.pace.gap.as_micros()),
                ("events", &self.pace.events),
            ],
        );
        self.count(outcome);
    }

    pub(super) fn count(&self, outcome: &str) {
        let labels = [&*self.request.service, outcome];
        self.router.metrics.ended.with_label_values(&labels).inc();
    }
}

/// Writes an answer of the router itself.
///
/// # Errors
///
/// Returns an error if the connection to the client broke.
pub async fn give(
    router: &Router,
    responder: &mut Responder<'_>,
    id: Option<&str>,
    own: Own,
) -> io::Result<()> {
    if own.closes() {
        responder.close();
    }
    if matches!(own, Own::NotRun(..)) {
        responder.refuse();
    }
    let fields = router.dialect.answer(id, own.retry_after_s());
    let body = format!("{{\"error\":\"{own}\"}}\n");
    responder.whole(own.status(), fields, body.as_bytes()).await
}
