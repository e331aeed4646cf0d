//! Applies what upstreams state about themselves in their responses.

use std::rc::Rc;

use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{pool::Statement, rate::Rate};

use crate::{
    credits::Target,
    protocol::{Pause, ResponseInfo, StatedRate},
    request::Request,
    reservation::Reservation,
    router::Router,
};

impl Router {
    /// Applies what the upstream of a reservation states about itself in its response.
    pub(crate) fn record_statements(
        self: &Rc<Self>,
        request: &Request,
        reservation: &Reservation,
        info: ResponseInfo,
        sent_at: Timestamp,
    ) {
        self.record_rate(request, reservation, info.rate, sent_at);
        if let Some(load) = info.load {
            let (name, now) = (reservation.service(), self.now());
            self.with_service(name, |service| {
                service.pool.record_load(now, reservation.choice(), load);
            });
        }
        if info.leaving {
            self.record_leaving(request, reservation);
        }
        let (length, is_usable) = match info.pause {
            None => return,
            Some(Pause::For(length)) => (length, true),
            Some(Pause::Shortened(length)) => (length, false),
            Some(Pause::Unusable) => (Span::ZERO, false),
        };
        let event = if is_usable {
            Event::UpstreamPaused
        } else {
            Event::PauseUnusable
        };
        emit(
            event,
            &[
                ("request", &request.id),
                ("upstream", &reservation.choice().id),
                ("service", reservation.service()),
                ("pause_us", &length.as_micros()),
            ],
        );
        if length > Span::ZERO {
            self.record_pause(reservation, length);
        }
    }

    fn record_rate(
        self: &Rc<Self>,
        request: &Request,
        reservation: &Reservation,
        stated: Option<StatedRate>,
        sent_at: Timestamp,
    ) {
        let (name, choice) = (reservation.service(), reservation.choice());
        let now = self.now();
        let (rate, is_unusable) = match stated {
            None => (None, false),
            Some(StatedRate::Usable(rate)) => (Some(rate), false),
            Some(StatedRate::Unusable(rate)) => (rate, true),
        };
        let changes = self.with_service(name, |service| {
            let is_first = is_unusable && service.pool.record_unusable_rate(choice);
            // A value that cannot be used states nothing, neither a limit nor its end.
            let is_stated = !is_unusable || rate.is_some();
            let changed = is_stated && service.pool.record_rate(now, choice, sent_at, rate);
            (is_first, changed)
        });
        let (is_first, changed) = changes.unwrap_or_default();
        if is_first {
            emit(
                Event::RateUnusable,
                &[
                    ("request", &request.id),
                    ("upstream", &choice.id),
                    ("service", name),
                    ("per_s", &rate.map_or(-1.0, Rate::per_s)),
                ],
            );
        }
        if changed {
            let (service, upstream) = (name.clone(), choice.id.clone());
            let statement = Statement {
                run: choice.started_at,
                rate,
                age: Span::ZERO,
            };
            self.log_rate(&Target { service, upstream }, statement, &request.id);
        }
    }

    fn record_pause(self: &Rc<Self>, reservation: &Reservation, length: Span) {
        let (name, now) = (reservation.service().clone(), self.now());
        self.with_service(&name, |service| {
            service.pool.record_pause(now, reservation.choice(), length);
        });
        let pauses = &self.metrics.pauses;
        pauses.with_label_values(&[&*name]).inc();
        self.refuse_waiting(&name);
        let router = self.clone();
        actix_rt::spawn(async move {
            time::sleep(length.as_duration()).await;
            router.start_queued(&name);
        });
    }

    /// Returns whether the upstream of a reservation pauses.
    pub(crate) fn is_paused(&self, reservation: &Reservation) -> bool {
        let (name, now) = (reservation.service(), self.now());
        let paused = self.with_service(name, |service| {
            service.pool.is_paused(now, reservation.choice())
        });
        paused == Some(true)
    }

    /// Records that the upstream of a reservation stated in its response that it leaves.
    fn record_leaving(&self, request: &Request, reservation: &Reservation) {
        let (name, choice) = (reservation.service(), reservation.choice());
        if self.with_service(name, |service| service.pool.record_leaving(choice)) != Some(true) {
            return;
        }
        self.metrics
            .stated_leaving
            .with_label_values(&[&**name])
            .inc();
        self.count_upstreams();
        emit(
            Event::UpstreamStatedLeaving,
            &[
                ("request", &request.id),
                ("upstream", &choice.id),
                ("service", name),
                ("run", &choice.started_at),
            ],
        );
    }

    /// Returns whether the upstream of a reservation stated that it leaves.
    pub(crate) fn stated_leaving(&self, reservation: &Reservation) -> bool {
        let stated = self.with_service(reservation.service(), |service| {
            service.pool.stated_leaving(reservation.choice())
        });
        stated == Some(true)
    }
}
