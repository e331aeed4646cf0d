//! Prometheus metrics.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// A metric could not be registered or encoded.
#[derive(Debug, thiserror::Error)]
#[error("cannot register the metrics: {0}")]
pub struct Error(#[from] prometheus::Error);

/// The metrics of this process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Refusals by code.
    pub refusals: IntCounterVec,
    /// Time from arrival to grant, by service.
    pub wait: HistogramVec,
    /// Time from arrival to the final response, by service.
    pub duration: HistogramVec,
    /// Time from arrival to the first token.
    pub first_token: Histogram,
    /// Queued requests, by service.
    pub waiting: IntGaugeVec,
    /// Requests in flight at this router.
    pub in_flight: IntGauge,
    /// Active grants of this home, by service.
    pub granted: IntGaugeVec,
    /// Hedged streams.
    pub hedges: IntCounter,
    /// Resumed streams.
    pub resumes: IntCounter,
    /// Requests retried on another upstream.
    pub retries: IntCounter,
    /// Tokens relayed.
    pub tokens: IntCounter,
    /// UDP payload bytes sent to peers.
    pub peer_sent: IntGauge,
    /// UDP payload bytes received from peers.
    pub peer_received: IntGauge,
    /// Messages exchanged with peers, by direction.
    pub peer_frames: IntGaugeVec,
    /// Messages to or from peers that were dropped.
    pub peer_dropped: IntGauge,
    /// Malformed frames received from peers.
    pub peer_malformed: IntGauge,
    /// Peer sessions that were refused.
    pub peer_refused: IntGauge,
    /// Messages queued for peers.
    pub peer_queued: IntGauge,
    /// Revision of the active bundle.
    pub bundle: IntGauge,
    /// Revision of the current host list.
    pub hosts: IntGauge,
    /// Placement orders, by result.
    pub orders: IntCounterVec,
}

struct Builder(Registry);

impl Builder {
    fn add<C: prometheus::core::Collector + Clone + 'static>(
        &self,
        collector: C,
    ) -> Result<C, Error> {
        self.0.register(Box::new(collector.clone()))?;
        Ok(collector)
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, Error> {
        self.add(IntCounter::new(name, help)?)
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, Error> {
        self.add(IntGauge::new(name, help)?)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, Error> {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, Error> {
        let buckets = prometheus::exponential_buckets(0.001, 2.0, 18)?;
        self.add(Histogram::with_opts(
            HistogramOpts::new(name, help).buckets(buckets),
        )?)
    }

    fn histograms(&self, name: &str, help: &str) -> Result<HistogramVec, Error> {
        let buckets = prometheus::exponential_buckets(0.001, 2.0, 18)?;
        let opts = HistogramOpts::new(name, help).buckets(buckets);
        self.add(HistogramVec::new(opts, &["service"])?)
    }
}

impl Metrics {
    /// Registers all metrics with the value zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, Error> {
        let b = Builder(Registry::new());
        Ok(Self {
            requests: b.counters(
                "toucan_requests_total",
                "Requests by service and outcome",
                &["service", "outcome"],
            )?,
            refusals: b.counters("toucan_refusals_total", "Refusals by code", &["code"])?,
            wait: b.histograms("toucan_wait_seconds", "Time from arrival to grant")?,
            duration: b.histograms("toucan_duration_seconds", "Time from arrival to answer")?,
            first_token: b.histogram("toucan_first_token_seconds", "Time to the first token")?,
            waiting: b.gauges("toucan_waiting", "Requests that wait", &["service"])?,
            in_flight: b.gauge("toucan_in_flight", "Requests in flight at this router")?,
            granted: b.gauges("toucan_granted", "Grants in use at this home", &["service"])?,
            hedges: b.counter("toucan_hedges_total", "Hedged streams")?,
            resumes: b.counter("toucan_resumes_total", "Resumed streams")?,
            retries: b.counter("toucan_retries_total", "Requests tried again")?,
            tokens: b.counter("toucan_tokens_total", "Tokens relayed")?,
            peer_sent: b.gauge("toucan_peer_sent_bytes", "UDP bytes sent to peers")?,
            peer_received: b.gauge("toucan_peer_received_bytes", "UDP bytes from peers")?,
            peer_frames: b.gauges("toucan_peer_frames", "Messages", &["direction"])?,
            peer_dropped: b.gauge("toucan_peer_dropped", "Messages dropped")?,
            peer_malformed: b.gauge("toucan_peer_malformed", "Malformed frames")?,
            peer_refused: b.gauge("toucan_peer_refused", "Sessions refused")?,
            peer_queued: b.gauge("toucan_peer_queued", "Messages that wait for peers")?,
            bundle: b.gauge("toucan_bundle_revision", "Revision of the bundle in force")?,
            hosts: b.gauge("toucan_hosts_revision", "Revision of the host list in use")?,
            orders: b.counters("toucan_orders_total", "Orders by result", &["result"])?,
            registry: b.0,
        })
    }

    /// Sets the gauges about traffic with peers.
    pub fn set_traffic(&self, traffic: &tsw_link::Traffic) {
        let set =
            |gauge: &IntGauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.peer_sent, traffic.sent_bytes);
        set(&self.peer_received, traffic.received_bytes);
        set(&self.peer_dropped, traffic.dropped);
        set(&self.peer_malformed, traffic.malformed);
        set(&self.peer_refused, traffic.refused);
        set(&self.peer_queued, traffic.queued);
        let frames = |direction| self.peer_frames.with_label_values(&[direction]);
        set(&frames("sent"), traffic.sent_frames);
        set(&frames("received"), traffic.received_frames);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(bytes)
    }
}
