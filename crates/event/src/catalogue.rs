use log::Level;

/// Logger name of the daemon's events.
pub const TARGET: &str = "toucand";
/// Logger name of audit lines.
pub const AUDIT_TARGET: &str = "toucand::audit";

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal;)*) => {
        /// A log event of the daemon.
        ///
        /// Numbers are never reused. The hundreds digit is the group: 1 process, 2 configuration,
        /// 3 requests, 4 upstreams and scheduling, 5 peers, 6 non-idempotent calls, 7 placement,
        /// 8 audit.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number that identifies the event.
            ///
            /// ```
            /// assert_eq!(tsw_event::Event::Started.number(), 101);
            /// ```
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Returns the name of the logger of the event.
            #[must_use]
            pub const fn target(self) -> &'static str {
                match self {
                    Self::Audit => AUDIT_TARGET,
                    _ => TARGET,
                }
            }

            /// Returns the name of the event as it is logged.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The process listens on its addresses.
    Started = 101 Info "started";
    /// The router accepts calls.
    Ready = 102 Info "ready";
    /// The router accepts no more work and finishes the requests in flight.
    Draining = 103 Info "draining";
    /// The process ends.
    Stopped = 104 Info "stopped";
    /// The time limit of the graceful shutdown passed while requests are in flight.
    DrainOverdue = 105 Error "drain-overdue";
    /// A connection cannot be accepted.
    AcceptFailed = 106 Error "accept-failed";
    /// A task panicked; unless the panic is contained the process ends.
    Panicked = 107 Error "panicked";
    /// Changed settings are in use.
    SettingsReloaded = 108 Info "settings-reloaded";
    /// Changed settings cannot be used; the previous ones stay in use.
    SettingsRejected = 109 Error "settings-rejected";
    /// A call to the router itself, or the gossip between routers, failed.
    InternalFailed = 110 Warn "internal-failed";
    /// A bundle is in use.
    BundleAdopted = 201 Info "bundle-adopted";
    /// A bundle failed its checks; the active one stays.
    BundleRejected = 202 Error "bundle-rejected";
    /// A bundle with the active revision but different content was offered; the active one stays.
    BundleConflict = 203 Error "bundle-conflict";
    /// A service of the platform does not answer; the last accepted state stays in use.
    PlatformDown = 204 Warn "platform-down";
    /// A service of the platform answers again.
    PlatformUp = 205 Info "platform-up";
    /// A host list is in use.
    HostsAdopted = 206 Info "hosts-adopted";
    /// A host list cannot be read; the previous one stays in use.
    HostsRejected = 207 Error "hosts-rejected";
    /// An older bundle was offered and refused.
    BundleOlder = 208 Warn "bundle-older";
    /// A configuration of the platform is in use.
    ConfigurationAdopted = 209 Info "configuration-adopted";
    /// A configuration of the platform cannot be interpreted; the previous one stays in use.
    ConfigurationRejected = 210 Error "configuration-rejected";
    /// An entry of the platform does not specify a usable upstream.
    EntryRejected = 211 Warn "entry-rejected";
    /// The platform's store was restored from a copy that lacks its latest changes.
    StoreRestored = 212 Warn "store-restored";
    /// The content of an entry contradicts what is known of its upstream and was ignored.
    EntryIgnored = 213 Info "entry-ignored";
    /// The platform's store, or a peer, answered from before the latest restore.
    StoreOutdated = 214 Warn "store-outdated";
    /// An older configuration of the platform was offered and not adopted.
    ConfigurationOlder = 215 Info "configuration-older";
    /// The store's history of the time before the start was read.
    HistoryRead = 216 Info "history-read";
    /// The store's history cannot be read: nothing is known of the time before the start.
    HistoryUnavailable = 217 Warn "history-unavailable";
    /// The changes of the list of upstreams that a request needs cannot be read.
    ListCheckFailed = 218 Info "list-check-failed";
    /// The configurations before the start cannot be read: nothing is known of where routes went before.
    ConfigurationHistoryUnavailable = 219 Warn "configuration-history-unavailable";
    /// A failure domain is evacuated; its upstreams get no new requests.
    DomainEvacuated = 220 Info "domain-evacuated";
    /// The evacuation of a failure domain has ended.
    DomainReturned = 221 Info "domain-returned";
    /// The store cannot be read; the list counts as complete by what the other routers have stated.
    ListAssumed = 222 Info "list-assumed";
    /// The list of upstreams differs from that of another router at the same revision.
    ListDiffers = 223 Warn "list-differs";
    /// Upstreams may have come and gone unseen between two reads of the list.
    ChangesHidden = 224 Info "changes-hidden";
    /// Neither the store nor a majority of the routers was reached for some time: no streams begin by the list of upstreams.
    ListExpired = 225 Warn "list-expired";
    /// Streams begin by the list of upstreams again.
    ListRenewed = 226 Info "list-renewed";
    /// A request waits for a slot.
    Queued = 301 Info "queued";
    /// A request was refused without being run.
    Refused = 302 Info "refused";
    /// A request received a grant.
    Granted = 303 Info "granted";
    /// A request was sent to an upstream.
    Dispatched = 304 Info "dispatched";
    /// A request was answered in full.
    Completed = 305 Info "completed";
    /// A response ended before it was complete.
    Cut = 306 Warn "cut";
    /// The outcome of a request is unknown.
    Unknown = 307 Warn "unknown";
    /// A second upstream was requested for a stalled stream.
    Hedged = 308 Info "hedged";
    /// A stream continues on another upstream.
    Resumed = 309 Info "resumed";
    /// The caller closed its connection.
    Disconnected = 310 Info "disconnected";
    /// A request is tried on another upstream.
    Retried = 311 Info "retried";
    /// A grant was returned unused.
    GrantUnused = 312 Debug "grant-unused";
    /// A connection of a client ended before the request on it was read.
    RequestLost = 313 Warn "request-lost";
    /// A retry was not made because the retry budget is used up.
    RetryDenied = 314 Warn "retry-denied";
    /// A client resumes a stream whose origin is known.
    ClientResumed = 315 Info "client-resumed";
    /// A request that resumes a stream was refused.
    ResumeRefused = 316 Info "resume-refused";
    /// A slot was returned because its engine is not known to run the software version of the stream.
    SlotReturned = 321 Info "slot-returned";
    /// A home granted a slot to an entry router.
    SlotGranted = 401 Info "slot-granted";
    /// An upstream is scheduled.
    UpstreamAdded = 402 Info "upstream-added";
    /// An upstream is leaving and gets no new work.
    UpstreamLeaving = 403 Info "upstream-leaving";
    /// An upstream was removed from the host list.
    UpstreamGone = 404 Info "upstream-gone";
    /// The concurrency limit of an upstream changed.
    LimitChanged = 405 Info "limit-changed";
    /// An upstream failed a request.
    UpstreamFailed = 406 Warn "upstream-failed";
    /// This router became the home of a group.
    HomeGained = 407 Info "home-gained";
    /// This router is no longer the home of a group.
    HomeLost = 408 Info "home-lost";
    /// A fingerprint is suspected of crashing upstreams.
    PoisonSuspected = 409 Warn "poison-suspected";
    /// A fingerprint is refused fleet-wide.
    PoisonConfirmed = 410 Error "poison-confirmed";
    /// A suspected fingerprint was cleared.
    PoisonCleared = 411 Info "poison-cleared";
    /// An upstream accepts no connection; it gets one request at a time until one succeeds.
    UpstreamDown = 412 Warn "upstream-down";
    /// An upstream that accepted no connection answers again.
    UpstreamUp = 413 Info "upstream-up";
    /// A broken connection is not counted as evidence against the request that used it.
    BreakIgnored = 414 Info "break-ignored";
    /// Requests with certain prompt parts are refused, because they crash upstreams.
    CauseRefused = 415 Error "cause-refused";
    /// Requests with certain prompt parts are no longer refused, because an upstream responded to one.
    CauseAllowed = 416 Info "cause-allowed";
    /// An upstream made no progress until the stall timeout. Its request moves to another one that has
    /// room if the retry budget allows it, and waits otherwise.
    UpstreamSilent = 417 Warn "upstream-silent";
    /// An upstream stated in a response that it leaves; it gets no further request.
    UpstreamStatedLeaving = 418 Info "upstream-stated-leaving";
    /// An upstream asked for a pause; it gets no request until the pause is over.
    UpstreamPaused = 419 Info "upstream-paused";
    /// An upstream asked for a pause that is shortened or ignored.
    PauseUnusable = 420 Warn "pause-unusable";
    /// An upstream states the request rate that it takes from all routers together.
    UpstreamLimited = 421 Info "upstream-limited";
    /// An upstream no longer states a request rate.
    UpstreamUnlimited = 422 Info "upstream-unlimited";
    /// An upstream states a request rate that is ignored, or several, the lowest of which is used.
    RateUnusable = 423 Warn "rate-unusable";
    /// A request that is refused because it crashes upstreams runs once more, to find out whether it does.
    PoisonTrial = 424 Warn "poison-trial";
    /// It is unknown whether an upstream that broke a connection has crashed.
    CrashUnknown = 425 Info "crash-unknown";
    /// The listed run of an upstream has ended in a crash, so that its software is unknown.
    UpstreamRunEnded = 426 Warn "upstream-run-ended";
    /// An upstream did not say when its run started.
    RunUnknown = 427 Info "run-unknown";
    /// A host list was ignored because it is older than the one in use.
    HostsIgnored = 428 Warn "hosts-ignored";
    /// The service of the host list went back to an earlier state; its list is in use.
    HostsWentBack = 429 Warn "hosts-went-back";
    /// A run of an upstream that counted as ended answers.
    UpstreamRunFound = 431 Info "upstream-run-found";
    /// An upstream is cold and gets requests at a limited rate until it is warm.
    UpstreamCold = 432 Info "upstream-cold";
    /// A session with a peer is open.
    PeerUp = 501 Info "peer-up";
    /// A session with a peer ended.
    PeerDown = 502 Info "peer-down";
    /// A peer was refused.
    PeerRefused = 503 Warn "peer-refused";
    /// A malformed frame was dropped together with its session.
    FrameDropped = 504 Warn "frame-dropped";
    /// The state of a router changed.
    MemberChanged = 505 Info "member-changed";
    /// A message was dropped because the queue to the peer is full.
    PeerQueueFull = 506 Warn "peer-queue-full";
    /// The fleet knows a later incarnation of this host; this process has to be restarted.
    Superseded = 507 Error "superseded";
    /// Another router knows where a stream began that a client resumes.
    OriginKnown = 508 Info "origin-known";
    /// No router that was asked knows where a stream began that a client resumes.
    OriginUnknown = 509 Info "origin-unknown";
    /// Where a stream began that a client resumes does not follow from what is known.
    OriginNotDerived = 510 Info "origin-not-derived";
    /// Upstreams were asked whether they keep the prompt of a stream whose origin was derived.
    PromptKeepers = 511 Info "prompt-keepers";
    /// An intent was sent to the witnesses.
    IntentSent = 601 Info "intent-sent";
    /// A witness accepted an intent.
    IntentNoted = 602 Info "intent-noted";
    /// A call was forwarded to the owner of its permit.
    Forwarded = 603 Info "forwarded";
    /// Witnesses were asked to seal a key.
    SealSent = 604 Info "seal-sent";
    /// A key was sealed, so its call can no longer run.
    Sealed = 605 Info "sealed";
    /// A call was answered immediately: from the stored response of its key, or because the key can
    /// no longer run.
    Replayed = 606 Info "replayed";
    /// An order was sent to an engine.
    OrderSent = 701 Info "order-sent";
    /// An engine refused an order.
    OrderRefused = 702 Warn "order-refused";
    /// An order could not be delivered and will be retried.
    OrderFailed = 703 Warn "order-failed";
    /// A line of the audit log.
    Audit = 801 Info "audit";
    /// A chain head was signed and sent to peers.
    HeadSent = 802 Debug "head-sent";
    /// A chain head of a peer was refused.
    HeadRefused = 803 Warn "head-refused";
}
