//! Remembers at which software streams began, for their resumption.

use std::rc::Rc;

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    origin::{Key, Origin, Source},
    pool::Entry,
    service::Service,
};
use tsw_route::{table::Table, Name};

use crate::{
    local_response::Refusal,
    request::Request,
    reservation::{Refused, RETRY_AFTER_DIVISOR},
    router::Router,
};

/// Minimum time for which a client may try to obtain a stream. Clients set their own deadlines, which
/// may be later than the timeout of the route.
const MIN_CLIENT_TIME: Span = Span::from_secs(15);
/// Maximum delay with which routers learn of changed upstreams.
const MAX_LIST_DELAY: Span = Span::from_secs(5);

/// Time after the start in which a router may still learn from others where streams began, and the
/// retry delay stated to clients meanwhile.
const STARTUP: Span = Span::from_secs(3);
const STARTUP_RETRY_AFTER: Span = Span::from_millis(300);

/// Maximum number of streams that are kept after they ended early, the oldest of which are dropped first.
const MAX_ENDED: usize = 4_096;

/// The streams of resumable routes that have sent an event at this router and still run, or that clients
/// may resume because they ended early.
#[derive(Debug, Default)]
pub(crate) struct Running {
    streams: IndexMap<u64, (Key, Origin)>,
    /// Streams that ended without a complete response, and when, in that order.
    ended: IndexMap<Key, (Origin, Timestamp)>,
    next: u64,
}

/// A running stream. If it is dropped before it is complete, it stays in [`Router::resumable_origins`]
/// for as long as clients may resume it.
pub(crate) struct RunningStream {
    router: Rc<Router>,
    number: u64,
    is_complete: bool,
}

impl RunningStream {
    /// Replaces the unknown software that began the stream by one that has become known.
    pub(crate) fn set_origin(&self, origin: Origin) {
        let mut running = self.router.running.borrow_mut();
        if let Some((_, known)) = running.streams.get_mut(&self.number) {
            *known = origin;
        }
    }

    /// Records that the client was sent the whole response.
    pub(crate) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let (now, lifetime) = (self.router.now(), self.router.origin_lifetime());
        let mut running = self.router.running.borrow_mut();
        let Some((key, origin)) = running.streams.swap_remove(&self.number) else {
            return;
        };
        running.ended.shift_remove(&key);
        if self.is_complete {
            return;
        }
        self.router.record_unknown_software(&origin);
        running.ended.insert(key, (origin, now));
        let is_expired = |at: Timestamp| now.since(at) > lifetime;
        let expired = running.ended.values();
        let expired = expired.take_while(|(_, at)| is_expired(*at)).count();
        let excess = running.ended.len() > MAX_ENDED;
        let excess = if excess { MAX_ENDED / 8 } else { 0 };
        // Each removal moves all streams that remain.
        drop(running.ended.drain(..expired.max(excess)));
    }
}

impl Router {
    /// Returns the time for which a client may resume a stream after its first event.
    #[must_use]
    pub fn origin_lifetime(&self) -> Span {
        self.longest_client_time() + MAX_LIST_DELAY
    }

    /// Returns the time for which a client may try to obtain a stream, as far as the configuration tells.
    pub(crate) fn longest_client_time(&self) -> Span {
        self.longest_stream.get().max(MIN_CLIENT_TIME)
    }

    /// Takes the timeouts of an active table into account. Streams that began before keep theirs.
    pub(crate) fn record_stream_timeouts(&self, table: &Table) {
        let streams = table.routes().filter(|route| route.kind.is_stream());
        let timeouts = streams.filter_map(|route| u64::try_from(route.timeout.as_micros()).ok());
        let longest = timeouts.max().map_or(Span::ZERO, Span::from_micros);
        let known = self.longest_stream.get();
        self.longest_stream.set(known.max(longest));
    }

    /// Records where a stream began, at this router or at another one.
    pub fn record_origin(&self, key: Key, origin: Origin) {
        let (now, lifetime) = (self.now(), self.origin_lifetime());
        let mut origins = self.origins.borrow_mut();
        origins.record(now, lifetime, key, origin);
    }

    /// Records that a stream that a client resumes goes on.
    pub(crate) fn record_resumption(&self, request: &Request) {
        if !request.is_resume() {
            return;
        }
        let (now, lifetime, key) = (self.now(), self.origin_lifetime(), request.key());
        let mut resumptions = self.resumptions.borrow_mut();
        match request.resumed_key() {
            Some(resumed) if request.is_verified => {
                resumptions.record_verified(now, lifetime, key, resumed);
            }
            resumed => resumed
                .into_iter()
                .chain([key])
                .for_each(|key| resumptions.record_claimed(now, lifetime, key)),
        }
    }

    /// Returns where a stream began, if this was recorded.
    #[must_use]
    pub fn origin(&self, key: Key) -> Option<Origin> {
        let origins = self.origins.borrow();
        let origin = origins.get(self.now(), self.origin_lifetime(), key);
        origin.cloned()
    }

    /// Returns the streams of resumable routes that have sent an event at this router, and still run or
    /// ended early.
    #[must_use]
    pub fn resumable_origins(&self) -> Vec<(Key, Origin)> {
        let (now, lifetime) = (self.now(), self.origin_lifetime());
        let running = self.running.borrow();
        let ended = running.ended.iter();
        let ended = ended.filter(|(_, (_, at))| now.since(*at) <= lifetime);
        let ended = ended.map(|(key, (origin, _))| (*key, origin.clone()));
        running.streams.values().cloned().chain(ended).collect()
    }

    /// Lists a stream in [`Router::resumable_origins`].
    pub(crate) fn begin_stream(self: &Rc<Self>, key: Key, origin: Origin) -> RunningStream {
        let mut running = self.running.borrow_mut();
        running.next += 1;
        let number = running.next;
        running.streams.insert(number, (key, origin));
        RunningStream {
            router: self.clone(),
            number,
            is_complete: false,
        }
    }

    /// Returns whether the streams that clients may still resume can have begun at different software
    /// of a service.
    #[must_use]
    pub fn is_mixed(&self, service: &Name) -> bool {
        let history = self.software.borrow();
        history.is_mixed(self.now(), self.origin_lifetime(), service)
    }

    /// Records that an upstream was listed at a time, whether or not it was leaving.
    pub fn record_software(&self, at: Timestamp, entry: &Entry) {
        let lifetime = self.origin_lifetime();
        self.software.borrow_mut().record(at, lifetime, entry);
    }

    /// Records that a stream began at an upstream whose run is unknown. Other software than that of its entry
    /// may have written it.
    pub(crate) fn record_unknown_software(&self, origin: &Origin) {
        if origin.software.is_unknown() {
            let (now, lifetime) = (self.now(), self.origin_lifetime());
            let (service, software) = (&origin.service, origin.software.clone());
            let mut history = self.software.borrow_mut();
            history.record_software(now, lifetime, service, software);
        }
    }

    /// Records that all upstreams that any router can use now were recorded.
    pub fn set_software_complete(&self) {
        self.software.borrow_mut().set_complete(self.now());
    }

    /// Sets the time from which the recorded software is complete.
    pub fn set_software_known_since(&self, since: Timestamp) {
        self.software.borrow_mut().set_known_since(since);
    }

    /// Binds a request that resumes a stream to the origin of the stream, if this router knows it.
    pub fn bind_known(&self, request: &mut Request) {
        if !request.is_resume() {
            if request.route.kind.is_stream() {
                self.record_wait(request);
            }
            return;
        }
        if let Some(origin) = request.resumed_key().and_then(|key| self.origin(key)) {
            self.bind(request, origin, Source::Record);
        }
    }

    /// Returns why a request that resumes a stream is refused, unless an upstream may continue it.
    ///
    /// The client may try again when most of its time has passed: no router learns of streams that
    /// began earlier, but an upstream of their software may start.
    pub(crate) fn resume_refusal(&self, request: &Request) -> Option<Refused> {
        if !request.is_resume() {
            return None;
        }
        let now = self.now();
        let left = request.deadline.since(now).as_micros();
        let longest = Span::from_micros(left / RETRY_AFTER_DIVISOR);
        if request.origin.is_none() {
            let retry_after = if self.uptime() < STARTUP {
                STARTUP_RETRY_AFTER.min(longest)
            } else {
                longest
            };
            return Some(Refused::new(Refusal::UnknownOrigin, retry_after));
        }
        let refused = Refused::new(Refusal::NoUpstream, longest);
        (!self.accepts_resume(request)).then_some(refused)
    }

    /// Returns whether an upstream of the software that began the resumed stream accepts requests.
    pub(crate) fn accepts_resume(&self, request: &Request) -> bool {
        let Some(origin) = &request.origin else {
            return false;
        };
        let accepts = |service: &mut Service| service.pool.accepts_at(&origin.software, &[]);
        origin.service == request.service
            && self.with_service(&origin.service, accepts) == Some(true)
    }

    /// Binds a request that resumes a stream to the origin of the stream. It goes to the service that
    /// began the stream unless its route has been moved to others.
    pub fn bind(&self, request: &mut Request, origin: Origin, source: Source) {
        let mut services = request.route.services.iter().map(|(service, _)| service);
        if services.any(|service| *service == origin.service) {
            request.service = origin.service.clone();
        }
        let is_recorded = matches!(source, Source::Record | Source::Peer);
        let key = request.resumed_key().filter(|_| is_recorded);
        request.is_verified = key.is_some_and(|key| {
            let mut resumptions = self.resumptions.borrow_mut();
            resumptions.count(self.now(), self.origin_lifetime(), key)
        });
        self.count_resume(&request.service, source.name());
        emit(
            Event::ClientResumed,
            &[
                ("request", &request.id),
                ("resumes", &request.resumes.as_deref().unwrap_or("-")),
                ("service", &origin.service),
                ("software", &origin.software),
                ("known", &source.name()),
                ("age_ms", &self.oldest_age(request).as_millis()),
            ],
        );
        request.origin = Some(origin);
    }

    fn count_resume(&self, service: &Name, origin: &str) {
        let resumes = &self.metrics.resumes;
        resumes.with_label_values(&[&**service, origin]).inc();
    }

    /// Records that a request that resumes a stream was refused.
    pub(crate) fn record_refused_resume(&self, request: &Request, refusal: Refusal) {
        let listed = self.accepts_resume(request);
        let labels = [&*request.service, if listed { "true" } else { "false" }];
        match &request.origin {
            Some(_) => self
                .metrics
                .resumes_refused
                .with_label_values(&labels)
                .inc(),
            None => self.count_resume(&request.service, "unknown"),
        }
        let software = request.origin.as_ref().map(|origin| &origin.software);
        let software = software.map_or("-".to_owned(), ToString::to_string);
        emit(
            Event::ResumeRefused,
            &[
                ("request", &request.id),
                ("resumes", &request.resumes.as_deref().unwrap_or("-")),
                ("service", &request.service),
                ("software", &software),
                ("listed", &listed),
                ("cause", &refusal.name()),
            ],
        );
    }
}
