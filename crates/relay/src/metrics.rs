//! Counters and latency histograms.

use prometheus::{
    exponential_buckets, Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Counters and latency histograms of a router.
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub ended: IntCounterVec,
    /// Attempts beyond the first by cause.
    pub retries: IntCounterVec,
    /// Requests that wait for an upstream.
    pub waiting: IntGauge,
    /// Upstreams that take requests.
    pub upstreams: IntGauge,
    /// Open connections of clients.
    pub clients: IntGauge,
    /// Age of what other routers stated when an upstream was chosen, in seconds.
    pub age: Histogram,
    /// Length of messages to other routers, in bytes. One that goes to several counts once.
    pub message: Histogram,
    /// Time until an upstream had room, in seconds.
    pub wait: Histogram,
    /// Time until the first event or the whole plain answer, in seconds.
    pub first: Histogram,
    /// Time until the end of the answer, in seconds.
    pub whole: Histogram,
}

/// Shortest latency that a histogram tells apart, in seconds, and the factor between its bounds:
/// 14 buckets reach from 2 ms to 16 s, the longest time limit.
const LEAST_S: f64 = 0.002;
const FACTOR: f64 = 2.0;
const BUCKETS: usize = 14;
/// Shortest message that a histogram tells apart, in bytes, and its buckets: they reach to the longest
/// datagram.
const LEAST_BYTES: f64 = 128.0;
const BYTES_BUCKETS: usize = 8;

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    let buckets = exponential_buckets(LEAST_S, FACTOR, BUCKETS)?;
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            ended: IntCounterVec::new(
                Opts::new("relay_requests_total", "Requests by service and outcome"),
                &["service", "outcome"],
            )?,
            retries: IntCounterVec::new(
                Opts::new("relay_retries_total", "Attempts beyond the first by cause"),
                &["service", "cause"],
            )?,
            waiting: IntGauge::new("relay_waiting", "Requests that wait for an upstream")?,
            upstreams: IntGauge::new("relay_upstreams", "Upstreams that take requests")?,
            clients: IntGauge::new("relay_clients", "Open connections of clients")?,
            age: histogram(
                "relay_statement_age_seconds",
                "Age of what other routers stated when an upstream was chosen",
            )?,
            message: Histogram::with_opts(
                HistogramOpts::new("relay_message_bytes", "Length of messages to other routers")
                    .buckets(exponential_buckets(LEAST_BYTES, FACTOR, BYTES_BUCKETS)?),
            )?,
            wait: histogram("relay_wait_seconds", "Time until an upstream had room")?,
            first: histogram(
                "relay_first_seconds",
                "Time until the first event or answer",
            )?,
            whole: histogram("relay_whole_seconds", "Time until the end of the answer")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.ended.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.upstreams.clone()))?;
        registry.register(Box::new(metrics.clients.clone()))?;
        registry.register(Box::new(metrics.age.clone()))?;
        registry.register(Box::new(metrics.message.clone()))?;
        registry.register(Box::new(metrics.wait.clone()))?;
        registry.register(Box::new(metrics.first.clone()))?;
        registry.register(Box::new(metrics.whole.clone()))?;
        Ok(metrics)
    }

    /// Returns all metrics in the text form of Prometheus.
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
