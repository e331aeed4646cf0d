//! Counters and latency histograms.

use prometheus::{
    exponential_buckets, Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

/// Counters and latency histograms of a router.
pub struct Metrics {
    registry: Registry,
    /// Finished requests by service and outcome.
    pub requests: IntCounterVec,
    /// Streams that clients resumed, by service and outcome: the cause of a refusal, or `began`.
    pub resume_outcomes: IntCounterVec,
    /// Attempts beyond the first, by service and cause.
    pub retries: IntCounterVec,
    /// Streams that clients resume, by service and by how their origin is known.
    pub resumes: IntCounterVec,
    /// Refused ones of known origin, by service and by whether an upstream of their software accepts
    /// requests.
    pub resumes_refused: IntCounterVec,
    /// Connections that broke before the first event, by whether that counts against the request.
    pub breaks: IntCounterVec,
    /// Requests that wait for an upstream.
    pub waiting: IntGauge,
    /// Upstreams that accept requests.
    pub upstreams: IntGauge,
    /// Upstreams that stated in a response that they leave, by service.
    pub stated_leaving: IntCounterVec,
    /// Pauses that upstreams asked for, by service.
    pub pauses: IntCounterVec,
    /// Upstreams that state a request rate.
    pub limited: IntGauge,
    /// Credits for requests to such upstreams, by service and step: asked for, granted.
    pub credits: IntCounterVec,
    /// Requests that clients sent again after a refusal, by service and whether their objective can be met.
    pub repeated: IntCounterVec,
    /// Requests that were started at engines with few slots, by service and balance of their kind.
    pub started_kinds: IntCounterVec,
    /// Open connections of clients.
    pub clients: IntGauge,
    /// Connections that were closed to make room for others, by what was short.
    pub evicted: IntCounterVec,
    /// Age of the oldest report of a busy router when an upstream was chosen, in seconds.
    pub report_age: Histogram,
    /// Length of messages to other routers, in bytes. A message to several routers counts once.
    pub message_bytes: Histogram,
    /// Records of where streams began, sent to other routers and received from them.
    pub origin_records: IntCounterVec,
    /// Queries to other routers for where a stream began, by outcome.
    pub origin_queries: IntCounterVec,
    /// Reads of the list that did not show whether upstreams came and went since the one before.
    pub hidden_changes: IntCounter,
    /// Comparisons of the list of upstreams with that of another router at the same revision, by result.
    pub list_comparisons: IntCounterVec,
    /// Time before the start of the process for which the store's history was known, in milliseconds.
    pub history_ms: IntGauge,
    /// Time from arrival until a slot was reserved, in seconds.
    pub wait: Histogram,
    /// Time until the first event, or until a whole plain response, in seconds.
    pub first_event: Histogram,
    /// Time until the end of the response, in seconds.
    pub total: Histogram,
}

/// Upper bound of the first latency bucket in seconds, factor between bounds, and number of buckets:
/// 14 buckets reach from 2 ms to 16 s, the longest timeout.
const FIRST_BUCKET_S: f64 = 0.002;
const BUCKET_FACTOR: f64 = 2.0;
const LATENCY_BUCKETS: usize = 14;
/// Upper bound of the first bucket for message lengths in bytes, and number of buckets: they reach to
/// the longest datagram.
const FIRST_BUCKET_BYTES: f64 = 128.0;
const BYTES_BUCKETS: usize = 8;

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    let buckets = exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, LATENCY_BUCKETS)?;
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("relay_requests_total", "Requests by service and outcome"),
                &["service", "outcome"],
            )?,
            resume_outcomes: IntCounterVec::new(
                Opts::new(
                    "relay_resume_outcomes_total",
                    "Streams that clients resume by service and outcome",
                ),
                &["service", "outcome"],
            )?,
            retries: IntCounterVec::new(
                Opts::new("relay_retries_total", "Attempts beyond the first by cause"),
                &["service", "cause"],
            )?,
            resumes: IntCounterVec::new(
                Opts::new(
                    "relay_resumes_total",
                    "Streams that clients resume, by how their origin is known",
                ),
                &["service", "origin"],
            )?,
            resumes_refused: IntCounterVec::new(
                Opts::new(
                    "relay_resumes_refused_total",
                    "Resumed streams of known origin that were refused, by whether it is listed",
                ),
                &["service", "listed"],
            )?,
            breaks: IntCounterVec::new(
                Opts::new(
                    "relay_breaks_total",
                    "Connections that broke before the first event, by whether that is evidence",
                ),
                &["outcome"],
            )?,
            waiting: IntGauge::new("relay_waiting", "Requests that wait for an upstream")?,
            upstreams: IntGauge::new("relay_upstreams", "Upstreams that take requests")?,
            stated_leaving: IntCounterVec::new(
                Opts::new(
                    "relay_upstreams_stated_leaving_total",
                    "Upstreams that stated in a response that they leave, by service",
                ),
                &["service"],
            )?,
            pauses: IntCounterVec::new(
                Opts::new(
                    "relay_upstream_pauses_total",
                    "Pauses that upstreams asked for, by service",
                ),
                &["service"],
            )?,
            limited: IntGauge::new(
                "relay_upstreams_limited",
                "Upstreams that state the request rate that they take",
            )?,
            credits: IntCounterVec::new(
                Opts::new(
                    "relay_credits_total",
                    "Credits for requests to upstreams that state a rate, by service and step",
                ),
                &["service", "step"],
            )?,
            repeated: IntCounterVec::new(
                Opts::new(
                    "relay_repeated_total",
                    "Requests sent again after a refusal, by service and whether they are overdue",
                ),
                &["service", "objective"],
            )?,
            started_kinds: IntCounterVec::new(
                Opts::new(
                    "relay_started_kinds_total",
                    "Requests started at engines with few slots, by service and balance of their kind",
                ),
                &["service", "balance"],
            )?,
            clients: IntGauge::new("relay_clients", "Open connections of clients")?,
            evicted: IntCounterVec::new(
                Opts::new(
                    "relay_clients_evicted_total",
                    "Connections closed to make room for others, by what was short",
                ),
                &["short"],
            )?,
            report_age: histogram(
                "relay_statement_age_seconds",
                "Age of what other routers stated when an upstream was chosen",
            )?,
            message_bytes: Histogram::with_opts(
                HistogramOpts::new("relay_message_bytes", "Length of messages to other routers")
                    .buckets(exponential_buckets(
                        FIRST_BUCKET_BYTES,
                        BUCKET_FACTOR,
                        BYTES_BUCKETS,
                    )?),
            )?,
            origin_records: IntCounterVec::new(
                Opts::new(
                    "relay_origin_records_total",
                    "Records of where streams began, sent to routers and received from them",
                ),
                &["direction"],
            )?,
            origin_queries: IntCounterVec::new(
                Opts::new(
                    "relay_origin_queries_total",
                    "Queries to other routers for where a stream began, by outcome",
                ),
                &["outcome"],
            )?,
            hidden_changes: IntCounter::new(
                "relay_hidden_changes_total",
                "Reads of the list that did not show whether upstreams came and went since the one before",
            )?,
            list_comparisons: IntCounterVec::new(
                Opts::new(
                    "relay_list_comparisons_total",
                    "Comparisons of the list of upstreams with that of another router at the same revision, by result",
                ),
                &["result"],
            )?,
            history_ms: IntGauge::new(
                "relay_history_milliseconds",
                "Time before the start for which the history of the store was known",
            )?,
            wait: histogram("relay_wait_seconds", "Time until an upstream had room")?,
            first_event: histogram(
                "relay_first_seconds",
                "Time until the first event or answer",
            )?,
            total: histogram("relay_whole_seconds", "Time until the end of the answer")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.resume_outcomes.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.resumes.clone()))?;
        registry.register(Box::new(metrics.resumes_refused.clone()))?;
        registry.register(Box::new(metrics.breaks.clone()))?;
        registry.register(Box::new(metrics.origin_records.clone()))?;
        registry.register(Box::new(metrics.origin_queries.clone()))?;
        registry.register(Box::new(metrics.hidden_changes.clone()))?;
        registry.register(Box::new(metrics.list_comparisons.clone()))?;
        registry.register(Box::new(metrics.history_ms.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.upstreams.clone()))?;
        registry.register(Box::new(metrics.stated_leaving.clone()))?;
        registry.register(Box::new(metrics.pauses.clone()))?;
        registry.register(Box::new(metrics.limited.clone()))?;
        registry.register(Box::new(metrics.credits.clone()))?;
        registry.register(Box::new(metrics.repeated.clone()))?;
        registry.register(Box::new(metrics.started_kinds.clone()))?;
        registry.register(Box::new(metrics.clients.clone()))?;
        registry.register(Box::new(metrics.evicted.clone()))?;
        registry.register(Box::new(metrics.report_age.clone()))?;
        registry.register(Box::new(metrics.message_bytes.clone()))?;
        registry.register(Box::new(metrics.wait.clone()))?;
        registry.register(Box::new(metrics.first_event.clone()))?;
        registry.register(Box::new(metrics.total.clone()))?;
        Ok(metrics)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }
}
