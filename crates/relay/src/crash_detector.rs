//! Detects requests that crash the upstreams that run them, and what such requests have in common.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time;
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_event::{contained, emit, Event};
use tsw_flow::{pool::Choice, prompt::Prompt, service::Service};
use tsw_http::{connection::Connection, exchange::ReusableConnection};
use tsw_poison::{
    cause, detector, Candidates, Command, EndedRun, Finding, Findings, Fingerprint, Treatment,
    Verdict,
};
use tsw_route::Name;

use crate::{attempt::CONNECT_TIMEOUT, request::Request, router::Router};

/// Minimum time between two reminders of the other routers of what is refused. They may have missed
/// the findings, since datagrams are lost.
const REMINDER_INTERVAL: Span = Span::from_secs(1);

/// Interval at which crashes are checked whose reports are still arriving.
const SETTLE_CHECK_INTERVAL: Span = Span::from_millis(25);
/// Maximum time for which a retry waits to learn whether an upstream has crashed. A response takes one
/// round trip.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(50);
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

/// Returns the candidates of a request: the request itself, and the parts of its prompt that other prompts
/// may have as well.
fn candidates(request: &Request) -> Candidates {
    let service = request.service.as_bytes();
    let parts = request.prompt.iter().flat_map(Prompt::shared_parts);
    let parts = parts.map(|part| Fingerprint::of_part(service, part.id));
    let team = request.team().as_bytes();
    Candidates::new(team, fingerprint(request), parts.collect())
}

/// Returns the crash detector's name for an upstream: a hash of the platform's name, since that may
/// hold characters that [`name::Upstream`] rejects. The detector only compares names.
fn detector_name(upstream: &Name) -> name::Upstream {
    let hash = Fingerprint::of_parts(&[upstream.as_bytes()], b"").0;
    let name = format!("{hash:032x}");
    name.parse().expect("hexadecimal digits are allowed")
}

/// Returns whether a failure to connect shows that nothing accepts connections at the address. Without a
/// response, the host or the network may have failed, which no request causes. Others are failures of this
/// router, such as a lack of file descriptors.
pub(crate) fn is_down(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}

/// A connection that broke before the response to a request was whole.
#[derive(Clone, Debug)]
pub(crate) struct BrokenConnection {
    pub(crate) upstream: Name,
    pub(crate) address: SocketAddr,
    /// Start of the run of the upstream.
    pub(crate) started_at: u64,
    /// When the request was sent.
    pub(crate) sent: Timestamp,
    /// Whether a part of the response was forwarded.
    pub(crate) has_begun: bool,
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

fn log_ended_run(upstream: &Name, started_at: u64, source: &str) {
    emit(
        Event::UpstreamRunEnded,
        &[
            ("upstream", upstream),
            ("run", &started_at),
            ("source", &source),
        ],
    );
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
        let (now, request) = (self.now(), candidates(request));
        Some(PoisonRefusal {
            remaining: finder.refusal(now, &request)?,
            reminder: finder.reminder(now, &request),
        })
    }

    /// Returns whether a request may run although it is refused, to find out whether it crashes upstreams.
    pub(crate) fn start_poison_trial(&self, request: &Request) -> bool {
        if self.request_refusal(request).is_some() {
            return false;
        }
        let candidates = candidates(request);
        let mut finder = self.cause_finder.borrow_mut();
        let starts = finder.start_trial(self.now(), &candidates);
        if starts {
            emit(Event::PoisonTrial, &[("request", &request.id)]);
        }
        starts
    }

    /// Returns what is refused, and which listed runs have ended, as messages for a router that has just started.
    #[must_use]
    pub fn refusals(&self) -> Vec<Findings> {
        let now = self.now();
        let mut messages = self.cause_finder.borrow().rules(now);
        messages.extend(self.ended_runs());
        let confirmed = self.crash_detector.borrow().confirmed(now);
        messages.extend(split(confirmed.findings));
        messages
    }

    /// Checks whether an upstream that broke the connection of a request has crashed. Returns when that is
    /// known, but does not hold up a retry for long.
    pub(crate) async fn check_crash(
        self: &Rc<Self>,
        request: &Rc<Request>,
        broken: BrokenConnection,
    ) {
        self.runs.record_broken(&broken.upstream);
        let (router, request) = (self.clone(), request.clone());
        let check = async move { router.find_crash(&request, &broken).await };
        let check = actix_rt::spawn(contained::run(check));
        // Otherwise the check goes on.
        let _ = time::timeout(MAX_CHECK_WAIT, check).await;
    }

    /// An upstream that accepts another connection has not crashed, but may close connections because of a
    /// request. One that refuses it has crashed.
    async fn find_crash(&self, request: &Request, broken: &BrokenConnection) {
        let ran_for = self.now().since(broken.sent);
        let outcome = match Connection::open(broken.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                self.keep_checked(&request.service, broken.address, connection);
                if broken.has_begun {
                    return;
                }
                self.record_broken_connection(request, broken)
            }
            Err(error) if is_down(&error) => {
                self.record_ended_run(&request.service, &broken.upstream, broken.started_at);
                self.handle_cause_event(cause::Event::Crashed {
                    upstream: detector_name(&broken.upstream),
                    request: candidates(request),
                    ran_for,
                });
                "crash"
            }
            Err(error) => {
                emit(
                    Event::CrashUnknown,
                    &[
                        ("request", &request.id),
                        ("upstream", &broken.upstream),
                        ("cause", &error),
                    ],
                );
                "unknown"
            }
        };
        self.metrics.breaks.with_label_values(&[outcome]).inc();
    }

    /// Records that the run of an upstream has ended, and tells the other routers.
    pub(crate) fn record_ended_run(&self, service: &Name, id: &Name, started_at: u64) {
        let now = self.now();
        let is_new = self.with_service(service, |service| {
            service.pool.record_run_ended(now, id, started_at)
        });
        if is_new == Some(true) {
            let run = EndedRun::new(&detector_name(id), started_at);
            self.messages_to_peers.borrow_mut().push(run.findings());
            self.findings_ready.notify_one();
            log_ended_run(id, started_at, "seen");
        }
    }

    /// Records that an upstream states another run than the chosen one. Other routers ask it themselves.
    pub(crate) fn record_other_run(&self, service: &Name, choice: &Choice) {
        let record = |service: &mut Service| service.pool.record_other_run(choice);
        if self.with_service(service, record) == Some(true) {
            log_ended_run(&choice.id, choice.started_at, "stated");
        }
    }

    /// Records that an upstream states the chosen run, and returns whether it had stated another one.
    pub(crate) fn record_stated_run(&self, service: &Name, choice: &Choice) -> bool {
        let record = |service: &mut Service| service.pool.record_stated_run(choice);
        let is_new = self.with_service(service, record) == Some(true);
        if is_new {
            emit(
                Event::UpstreamRunFound,
                &[("upstream", &choice.id), ("run", &choice.started_at)],
            );
        }
        is_new
    }

    /// Returns the ended runs whose entries are still listed, as messages.
    fn ended_runs(&self) -> Vec<Findings> {
        let services = self.services.borrow();
        let ended = services
            .values()
            .flat_map(|service| service.pool.ended_runs());
        let runs = ended.map(|(id, started_at)| EndedRun::new(&detector_name(id), started_at));
        runs.map(|run| run.findings()).collect()
    }

    /// Applies that another router has seen the run of an upstream end.
    fn apply_ended_run(&self, run: &EndedRun) {
        let now = self.now();
        for service in self.services.borrow_mut().values_mut() {
            let found = service.pool.find(|id| run.is_of(&detector_name(id)));
            let Some(id) = found.cloned() else {
                continue;
            };
            if service.pool.record_run_ended(now, &id, run.started_at) {
                log_ended_run(&id, run.started_at, "told");
            }
        }
    }

    /// Records that an upstream that has not crashed broke the connection of a request before it began its
    /// response. Returns whether this counts against the request.
    fn record_broken_connection(
        &self,
        request: &Request,
        broken: &BrokenConnection,
    ) -> &'static str {
        let (fingerprint, upstream) = (fingerprint(request), detector_name(&broken.upstream));
        let mut broken_connections = self.broken_connections.borrow_mut();
        if !broken_connections.record_and_check(self.now(), &upstream, fingerprint) {
            emit(Event::BreakIgnored, &[("request", &request.id)]);
            return "ignored";
        }
        drop(broken_connections);
        let started = detector::Event::Started {
            fingerprint,
            upstream: upstream.clone(),
        };
        let mut detector = self.crash_detector.borrow_mut();
        // Has no commands.
        detector.handle(broken.sent, started);
        drop(detector);
        self.handle_detector_event(detector::Event::Crashed { upstream });
        "counted"
    }

    /// Keeps the connection of a check for later requests.
    pub(crate) fn keep_checked(&self, service: &Name, address: SocketAddr, connection: Connection) {
        let reusable = ReusableConnection {
            connection,
            idle_timeout: None,
        };
        self.keep_connection(service, address, reusable);
    }

    /// Keeps a connection for later requests of a service.
    pub(crate) fn keep_connection(
        &self,
        service: &Name,
        address: SocketAddr,
        reusable: ReusableConnection,
    ) {
        let routers = self.router_count();
        let max_idle = self.with_service(service, |service| service.idle_connections(routers));
        let mut connections = self.connections.borrow_mut();
        connections.put(
            address,
            reusable,
            Instant::now(),
            max_idle.unwrap_or_default(),
        );
    }

    /// Records that an upstream began its response to a request, so that it has not crashed.
    pub(crate) fn record_response_start(&self, upstream: &Name) {
        if !self.crash_detector.borrow().is_empty() {
            let upstream = detector_name(upstream);
            self.handle_detector_event(detector::Event::Responded { upstream });
        }
    }

    /// Records that an upstream responded to a request in full, so that the request crashes no upstream.
    pub(crate) fn record_whole_response(&self, request: &Request, upstream: &Name) {
        if !self.cause_finder.borrow().is_empty() {
            let request = candidates(request);
            self.handle_cause_event(cause::Event::Answered { request });
        }
        if !self.crash_detector.borrow().is_empty() {
            self.handle_detector_event(detector::Event::Ended {
                fingerprint: fingerprint(request),
                upstream: detector_name(upstream),
                completed: true,
            });
        }
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
        if let Some(run) = EndedRun::parse(&findings) {
            return self.apply_ended_run(&run);
        }
        let (requests, causes) = findings.split();
        self.handle_detector_event(detector::Event::Message(requests));
        self.handle_cause_event(cause::Event::Message(causes));
        if self.cause_finder.borrow().is_settling() {
            // The task that calls `tick_findings` may wait for longer than the crash takes to settle.
            self.findings_ready.notify_one();
        }
    }
}
