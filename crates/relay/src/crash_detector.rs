//! Detects requests that crash the upstreams that run them, and what such requests have in common.

use std::{io, net::SocketAddr, time::Instant};

use tsw_base::{name, time::Span};
use tsw_event::{emit, Event};
use tsw_http::{connection::Connection, exchange::ReusableConnection};
use tsw_poison::{
    cause, detector, Candidates, Command, Finding, Findings, Fingerprint, Treatment, Verdict,
};
use tsw_route::Name;

use crate::{attempt::CONNECT_TIMEOUT, request::Request, router::Router};

/// Minimum time between two reminders of the other routers of what is refused. They may have missed
/// the findings, since datagrams are lost.
const REMINDER_INTERVAL: Span = Span::from_secs(1);

/// Interval at which crashes are checked whose reports are still arriving.
const SETTLE_CHECK_INTERVAL: Span = Span::from_millis(25);
/// Maximum number of findings in one message. A finding has at most 60 bytes.
const MAX_FINDINGS: usize = 128;

fn fingerprint(request: &Request) -> Fingerprint {
    let parts = [
        request.team().as_bytes(),
        request.service.as_bytes(),
        &request.target,
    ];
    Fingerprint::of_parts(&parts, &request.body)
}

/// Returns the candidates of a request, or `None` if its prompt has no parts that other prompts may
/// have as well.
fn candidates(request: &Request) -> Option<Candidates> {
    let service = request.service.as_bytes();
    let parts = request.prompt.as_ref()?.shared_parts().iter();
    let parts: Vec<Fingerprint> = parts
        .map(|part| Fingerprint::of_part(service, part.id))
        .collect();
    let team = request.team().as_bytes();
    (!parts.is_empty()).then(|| Candidates::new(team, fingerprint(request), parts))
}

/// Returns the crash detector's name for an upstream: a hash of the platform's name, since that may
/// hold characters that [`name::Upstream`] rejects. The detector only compares names.
fn detector_name(upstream: &Name) -> name::Upstream {
    let hash = Fingerprint::of_parts(&[upstream.as_bytes()], b"").0;
    let name = format!("{hash:032x}");
    name.parse().expect("hexadecimal digits are allowed")
}

/// Returns whether a failure to connect shows that nothing accepts connections at the address. Others
/// are failures of this router, such as a lack of file descriptors.
fn is_down(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset | io::ErrorKind::TimedOut
    )
}

/// Splits findings into messages that fit into a datagram.
fn split(findings: Vec<Finding>) -> impl Iterator<Item = Findings> {
    let messages: Vec<Findings> = findings
        .chunks(MAX_FINDINGS)
        .map(|findings| Findings {
            findings: findings.to_vec(),
        })
        .collect();
    messages.into_iter()
}

/// Why a request is refused because it crashes upstreams.
struct PoisonRefusal {
    remaining: Span,
    /// Messages that remind other routers.
    reminder: Vec<Findings>,
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
    /// while nothing is suspected.
    pub(crate) fn poison_refusal(&self, request: &Request) -> Option<Span> {
        let refusal = self
            .request_refusal(request)
            .or_else(|| self.cause_refusal(request))?;
        if self.now().since(self.reminded_at.get()) >= REMINDER_INTERVAL {
            self.reminded_at.set(self.now());
            self.messages_to_peers.borrow_mut().extend(refusal.reminder);
            self.findings_ready.notify_one();
        }
        Some(refusal.remaining)
    }

    fn request_refusal(&self, request: &Request) -> Option<PoisonRefusal> {
        let detector = self.crash_detector.borrow();
        if detector.is_empty() {
            return None;
        }
        let fingerprint = fingerprint(request);
        let Treatment::Refused { remaining } = detector.treatment(self.now(), fingerprint) else {
            return None;
        };
        let verdict = Verdict::Confirmed { remaining };
        let findings = vec![Finding {
            fingerprint,
            verdict,
        }];
        Some(PoisonRefusal {
            remaining,
            reminder: vec![Findings { findings }],
        })
    }

    fn cause_refusal(&self, request: &Request) -> Option<PoisonRefusal> {
        let finder = self.cause_finder.borrow();
        if finder.is_empty() {
            return None;
        }
        let (now, request) = (self.now(), candidates(request)?);
        Some(PoisonRefusal {
            remaining: finder.refusal(now, &request)?,
            reminder: finder.reminder(now, &request),
        })
    }

    /// Returns what is refused as messages for a router that has just started.
    #[must_use]
    pub fn refusals(&self) -> Vec<Findings> {
        let now = self.now();
        let mut messages = self.cause_finder.borrow().rules(now);
        let confirmed = self.crash_detector.borrow().confirmed(now);
        messages.extend(split(confirmed.findings));
        messages
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

    /// Checks whether an upstream that broke the connection of a request accepts another one. If it
    /// does not, it has crashed.
    pub(crate) async fn check_crash(
        &self,
        request: &Request,
        upstream: &Name,
        address: SocketAddr,
    ) {
        let Some(candidates) = candidates(request) else {
            return;
        };
        match Connection::open(address, CONNECT_TIMEOUT).await {
            Ok(connection) => self.keep_checked(&request.service, address, connection),
            Err(error) if is_down(&error) => self.handle_cause_event(cause::Event::Crashed {
                upstream: detector_name(upstream),
                request: candidates,
            }),
            Err(error) => emit(
                Event::InternalFailed,
                &[("upstream", upstream), ("cause", &error)],
            ),
        }
    }

    /// Keeps the connection of a check for later requests.
    fn keep_checked(&self, service: &Name, address: SocketAddr, connection: Connection) {
        let routers = self.router_count();
        let max_idle = self.with_service(service, |service| service.idle_connections(routers));
        let reusable = ReusableConnection {
            connection,
            idle_timeout: None,
        };
        let mut connections = self.connections.borrow_mut();
        connections.put(
            address,
            reusable,
            Instant::now(),
            max_idle.unwrap_or_default(),
        );
    }

    /// Records that an upstream began its response to a request.
    pub(crate) fn record_response_start(&self, request: &Request, upstream: &Name) {
        if !self.cause_finder.borrow().is_empty() {
            if let Some(request) = candidates(request) {
                self.handle_cause_event(cause::Event::Answered { request });
            }
        }
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
                    self.findings_ready.notify_one();
                }
                Command::Confirmed(fingerprint) => {
                    let text = format!("{:032x}", fingerprint.0);
                    emit(Event::PoisonConfirmed, &[("fingerprint", &text)]);
                }
            }
        }
    }

    fn handle_cause_event(&self, event: cause::Event) {
        let commands = self.cause_finder.borrow_mut().handle(self.now(), event);
        for command in commands {
            match command {
                cause::Command::Broadcast(findings) => {
                    self.messages_to_peers.borrow_mut().push(findings);
                    self.findings_ready.notify_one();
                }
                cause::Command::Refused(causes) => {
                    let causes = cause::display(&causes);
                    emit(Event::CauseRefused, &[("causes", &causes)]);
                }
                cause::Command::Allowed(causes) => {
                    let causes = cause::display(&causes);
                    emit(Event::CauseAllowed, &[("causes", &causes)]);
                }
            }
        }
    }

    /// Returns the findings since the last call, as messages for the other routers.
    pub fn take_findings(&self) -> Vec<Findings> {
        let mut messages = self.messages_to_peers.take();
        messages.extend(split(self.findings.take()));
        messages
    }

    /// Applies time-dependent changes to the findings. Returns the time after which this is needed
    /// again if it is soon.
    pub fn tick_findings(&self) -> Option<Span> {
        self.handle_detector_event(detector::Event::Tick);
        self.handle_cause_event(cause::Event::Tick);
        let is_settling = self.cause_finder.borrow().is_settling();
        is_settling.then_some(SETTLE_CHECK_INTERVAL)
    }

    /// Applies the findings of another router.
    pub fn apply_findings(&self, findings: Findings) {
        let (requests, causes) = findings.split();
        self.handle_detector_event(detector::Event::Message(requests));
        self.handle_cause_event(cause::Event::Message(causes));
        if self.cause_finder.borrow().is_settling() {
            // The task that calls `tick_findings` may wait for longer than the crash takes to settle.
            self.findings_ready.notify_one();
        }
    }
}
