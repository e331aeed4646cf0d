//! Detects requests that crash the upstreams that run them.

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

/// Returns the crash detector's name for an upstream: a hash of the platform's name, since that may
/// hold characters that [`name::Upstream`] rejects. The detector only compares names.
fn detector_name(upstream: &Name) -> name::Upstream {
    let hash = Fingerprint::of_parts(&[upstream.as_bytes()], b"").0;
    let name = format!("{hash:032x}");
    name.parse().expect("hexadecimal digits are allowed")
}

fn log_finding(finding: &Finding) {
    let text = format!("{:032x}", finding.fingerprint.0);
    match &finding.verdict {
        Verdict::Suspected { upstream } => emit(
            Event::PoisonSuspected,
            &[("fingerprint", &text), ("upstream", upstream)],
        ),
        Verdict::Cleared => emit(Event::PoisonCleared, &[("fingerprint", &text)]),
        Verdict::Confirmed { .. } => {}
    }
}

impl Router {
    /// Returns for how long a request is refused because it crashes upstreams. Computes no fingerprint
    /// while no request is suspected.
    pub(crate) fn poison_refusal(&self, request: &Request) -> Option<Span> {
        let detector = self.crash_detector.borrow();
        if detector.is_empty() {
            return None;
        }
        let fingerprint = fingerprint(request);
        let Treatment::Refused { remaining } = detector.treatment(self.now(), fingerprint) else {
            return None;
        };
        // The client retries at another router, which may not have received the finding yet.
        self.findings.borrow_mut().push(Finding {
            fingerprint,
            verdict: Verdict::Confirmed { remaining },
        });
        Some(remaining)
    }

    /// Records that the connection to an upstream broke before the upstream began its response.
    pub(crate) fn record_broken_connection(&self, request: &Request, upstream: &Name) {
        let (fingerprint, upstream) = (fingerprint(request), detector_name(upstream));
        let mut broken_connections = self.broken_connections.borrow_mut();
        let is_evidence = broken_connections.record_and_check(self.now(), &upstream, fingerprint);
        let outcome = if is_evidence { "counted" } else { "ignored" };
        self.metrics.breaks.with_label_values(&[outcome]).inc();
        if !is_evidence {
            emit(Event::BreakIgnored, &[("request", &request.id)]);
            return;
        }
        drop(broken_connections);
        self.handle_detector_event(detector::Event::Started {
            fingerprint,
            upstream: upstream.clone(),
        });
        self.handle_detector_event(detector::Event::Crashed { upstream });
    }

    /// Records that an upstream began its response to a request.
    pub(crate) fn record_response_start(&self, request: &Request, upstream: &Name) {
        if self.crash_detector.borrow().is_empty() {
            return;
        }
        let upstream = detector_name(upstream);
        self.handle_detector_event(detector::Event::Responded {
            upstream: upstream.clone(),
        });
        self.handle_detector_event(detector::Event::Ended {
            fingerprint: fingerprint(request),
            upstream,
            completed: true,
        });
    }

    fn handle_detector_event(&self, event: detector::Event) {
        let commands = self.crash_detector.borrow_mut().handle(self.now(), event);
        for command in commands {
            match command {
                Command::Broadcast(new) => {
                    new.findings.iter().for_each(log_finding);
                    self.findings.borrow_mut().extend(new.findings);
                }
                Command::Confirmed(fingerprint) => {
                    let text = format!("{:032x}", fingerprint.0);
                    emit(Event::PoisonConfirmed, &[("fingerprint", &text)]);
                }
            }
        }
    }

    /// Returns the findings since the last call, for the other routers.
    pub fn take_findings(self: &Rc<Self>) -> Findings {
        self.handle_detector_event(detector::Event::Tick);
        let mut findings = self.findings.take();
        // A client that keeps retrying must not fill the datagram with copies of one finding.
        findings.dedup_by_key(|finding| finding.fingerprint);
        Findings { findings }
    }

    /// Applies the findings of another router.
    pub fn apply_findings(&self, findings: Findings) {
        self.handle_detector_event(detector::Event::Message(findings));
    }
}
