//! The run of a request at an upstream, watched for crashes.

use std::rc::Rc;

use tsw_base::name;
use tsw_event::Event;
use tsw_poison::Fingerprint;

use crate::{call::Call, poison, router::Router};

/// A request that runs at an upstream. Dropping it notes the end of the run.
pub struct Running {
    router: Rc<Router>,
    fingerprint: Fingerprint,
    upstream: name::Upstream,
    completed: bool,
}

impl Running {
    /// Notes that the upstream answered in full.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.router.watch_poison(tsw_poison::Event::Ended {
            fingerprint: self.fingerprint,
            upstream: self.upstream.clone(),
            completed: self.completed,
        });
    }
}

impl Router {
    /// Notes that a call is sent to an upstream. It runs there until the result is dropped.
    #[must_use]
    pub fn dispatched(
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
        let fingerprint = poison::fingerprint(call);
        self.watch_poison(tsw_poison::Event::Started {
            fingerprint,
            upstream: upstream.clone(),
        });
        Running {
            router: self.clone(),
            fingerprint,
            upstream: upstream.clone(),
            completed: false,
        }
    }

    fn watch_poison(&self, event: tsw_poison::Event) {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.poison.handle(&mut turn, event);
        });
    }

    /// Notes that an upstream may have crashed.
    pub fn crashed(&self, upstream: &name::Upstream) {
        self.watch_poison(tsw_poison::Event::Crashed {
            upstream: upstream.clone(),
        });
    }
}
