//! Requests that crash the upstreams that begin to run them.

use std::rc::Rc;

use tsw_base::{name, time::Span};
use tsw_event::{emit, Event};
use tsw_poison::{detector, Command, Finding, Findings, Fingerprint, Treatment, Verdict};
use tsw_route::Name;

use crate::{request::Request, router::Router};

fn fingerprint(request: &Request) -> Fingerprint {
    let parts = [
        request.team().as_bytes(),
        request.service.as_bytes(),
        &request.target,
    ];
    Fingerprint::of_parts(&parts, &request.body)
}

/// Returns the name under which the watch knows an upstream. It compares names only, and those of a
/// platform may hold characters that names of this project may not.
fn watched(upstream: &Name) -> name::Upstream {
    let hash = Fingerprint::of_parts(&[upstream.as_bytes()], b"").0;
    let name = format!("{hash:032x}");
    name.parse().expect("hexadecimal digits are allowed")
}

impl Router {
    /// Returns for how long a request is refused because it crashes upstreams. Costs nothing while
    /// no request is suspected.
    pub(crate) fn poison(&self, request: &Request) -> Option<Span> {
        let watch = self.watch.borrow();
        if watch.is_empty() {
            return None;
        }
        let fingerprint = fingerprint(request);
        let Treatment::Refused { remaining } = watch.treatment(self.now(), fingerprint) else {
            return None;
        };
        // Another router may not have heard of it yet, and the client tries there next.
        self.findings.borrow_mut().push(Finding {
            fingerprint,
            verdict: Verdict::Confirmed { remaining },
        });
        Some(remaining)
    }

    /// Notes that the connection to an upstream broke before the upstream began to answer.
    pub(crate) fn broke(&self, request: &Request, upstream: &Name) {
        let (fingerprint, upstream) = (fingerprint(request), watched(upstream));
        let mut breaks = self.breaks.borrow_mut();
        if !breaks.record_and_check(self.now(), &upstream, fingerprint) {
            return;
        }
        drop(breaks);
        self.watch(detector::Event::Started {
            fingerprint,
            upstream: upstream.clone(),
        });
        self.watch(detector::Event::Crashed { upstream });
    }

    /// Notes that an upstream began to answer a request.
    pub(crate) fn began(&self, request: &Request, upstream: &Name) {
        if self.watch.borrow().is_empty() {
            return;
        }
        let upstream = watched(upstream);
        self.watch(detector::Event::Answered {
            upstream: upstream.clone(),
        });
        self.watch(detector::Event::Ended {
            fingerprint: fingerprint(request),
            upstream,
            completed: true,
        });
    }

    fn watch(&self, event: detector::Event) {
        let commands = self.watch.borrow_mut().handle(self.now(), event);
        for command in commands {
            match command {
                Command::Broadcast(suspect) => {
                    self.findings.borrow_mut().extend(suspect.findings);
                }
                Command::Confirmed(fingerprint) => {
                    let text = format!("{:032x}", fingerprint.0);
                    emit(Event::PoisonConfirmed, &[("fingerprint", &text)]);
                }
            }
        }
    }

    /// Returns what was found out since the last call, for the other routers.
    pub fn take_findings(self: &Rc<Self>) -> Findings {
        self.watch(detector::Event::Tick);
        let mut findings = self.findings.take();
        // A client that keeps trying must not fill the datagram.
        findings.dedup_by_key(|finding| finding.fingerprint);
        Findings { findings }
    }

    /// Takes what another router found out.
    pub fn set_findings(&self, suspect: Findings) {
        self.watch(detector::Event::Message(suspect));
    }
}
