//! Tracks requests that run on an upstream, for the crash detector.

use std::{io, rc::Rc, time::Duration};

use actix_rt::{net::TcpStream, time};
use tsw_base::{name, time::Timestamp};
use tsw_event::{emit, Event};
use tsw_poison::{cause, Fingerprint, Treatment};

use crate::{call::Call, crash_detector, router::Router, slot::Slot};

/// Timeout for the connection that shows whether an upstream has crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// A request that runs on an upstream. Dropping it reports the end of the run to the crash
/// detector.
pub struct Running {
    router: Rc<Router>,
    fingerprint: Fingerprint,
    upstream: name::Upstream,
    sent: Timestamp,
    completed: bool,
}

impl Running {
    /// Returns when the request was sent.
    #[must_use]
    pub const fn sent(&self) -> Timestamp {
        self.sent
    }

    /// Marks the run as completed by the upstream.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.router.notify_crash_detector(tsw_poison::Event::Ended {
            fingerprint: self.fingerprint,
            upstream: self.upstream.clone(),
            completed: self.completed,
        });
    }
}

impl Router {
    /// Logs that a call is sent to an upstream and tracks the run until the result is dropped.
    #[must_use]
    pub fn record_dispatch(
        self: &Rc<Self>,
        call: &Call,
        upstream: &name::Upstream,
        resume_from: u64,
    ) -> Running {
        let waited = self.age(call);
        if resume_from == 0 {
            self.metrics
                .wait
                .with_label_values(&[call.service.as_str()])
                .observe(waited.as_secs_f64());
        }
        self.record_event(
            Event::Dispatched,
            &call.request_id,
            &[
                ("upstream", upstream),
                ("team", &call.team),
                ("waited_us", &waited.as_micros()),
                ("from", &resume_from),
            ],
        );
        let fields = [
            ("request", &*call.request_id),
            ("team", call.team.as_str()),
            ("service", call.service.as_str()),
            ("upstream", upstream.as_str()),
        ];
        self.audit("dispatched", &call.request_id, &fields);
        let fingerprint = crash_detector::fingerprint(call);
        self.notify_crash_detector(tsw_poison::Event::Started {
            fingerprint,
            upstream: upstream.clone(),
        });
        Running {
            router: self.clone(),
            fingerprint,
            upstream: upstream.clone(),
            sent: self.now(),
            completed: false,
        }
    }

    fn notify_crash_detector(&self, event: tsw_poison::Event) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.crash_detector.handle(&mut turn, event);
        });
    }

    /// Checks whether an upstream that broke the connection of a call has crashed: it refuses another
    /// connection then.
    pub fn check_crash(self: &Rc<Self>, call: &Call, slot: &Slot, sent: Timestamp) {
        let request = crash_detector::candidates(call);
        let (upstream, address) = (slot.upstream().clone(), slot.address());
        let (router, ran_for) = (self.clone(), self.now().since(sent));
        actix_rt::spawn(async move {
            let opened = time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
            match opened {
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    router.record_ended_run(&upstream);
                    if let Some(request) = request {
                        router.notify_cause_finder(cause::Event::Crashed {
                            upstream,
                            request,
                            ran_for,
                        });
                    }
                }
                Ok(Err(error)) => emit(
                    Event::CrashUnknown,
                    &[("upstream", &upstream), ("cause", &error)],
                ),
                Err(error) => emit(
                    Event::CrashUnknown,
                    &[("upstream", &upstream), ("cause", &error)],
                ),
                Ok(Ok(_)) => {}
            }
        });
    }

    /// Records that an engine refused a connection, so that the run which the host list names has ended.
    pub fn record_ended_run(&self, upstream: &name::Upstream) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.engine_runs.record_ended(&mut turn, upstream);
        });
    }

    /// Records that an engine responds to a request that was sent at a time.
    pub fn record_response(&self, upstream: &name::Upstream, sent: Timestamp) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control
                .engine_runs
                .record_response(&mut turn, upstream, sent);
        });
    }

    /// Records the version that an engine states in its response to a request that was sent at a time.
    pub fn record_stated_version(&self, upstream: &name::Upstream, sent: Timestamp, version: &str) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control
                .engine_runs
                .record_stated(&mut turn, upstream, sent, version);
        });
    }

    /// Records that an upstream responded to a call in full.
    pub fn record_whole_response(&self, call: &Call) {
        if self.read_state(|state| state.board.cause_finder.is_empty()) {
            return;
        }
        if let Some(request) = crash_detector::candidates(call) {
            self.notify_cause_finder(cause::Event::Answered { request });
        }
    }

    /// Returns whether a call is refused because it crashes upstreams.
    #[must_use]
    pub fn is_poison(&self, call: &Call) -> bool {
        if call.on_trial.get() {
            return false;
        }
        let now = self.now();
        let treatment =
            self.read_state(|state| crash_detector::Controller::treatment(&state.board, now, call));
        matches!(treatment, Treatment::Refused { .. })
    }

    /// Returns whether a call may run although it is refused, to find out whether it crashes upstreams.
    #[must_use]
    pub fn start_poison_trial(&self, call: &Call) -> bool {
        let Some(candidates) = crash_detector::candidates(call) else {
            return false;
        };
        let starts = self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control
                .crash_detector
                .start_trial(&mut turn, call, &candidates)
        });
        if starts {
            self.record_event(Event::PoisonTrial, &call.request_id, &[]);
            call.on_trial.set(true);
        }
        starts
    }

    fn notify_cause_finder(&self, event: cause::Event) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.crash_detector.handle_cause(&mut turn, event);
        });
    }

    /// Reports to the crash detector that an upstream may have crashed.
    pub fn record_crash(&self, upstream: &name::Upstream) {
        self.notify_crash_detector(tsw_poison::Event::Crashed {
            upstream: upstream.clone(),
        });
    }
}
