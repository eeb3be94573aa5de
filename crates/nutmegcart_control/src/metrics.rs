//! Counters and latency histograms in the Prometheus text format.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets in seconds, from an answer out of memory to a deadline.
const LATENCY_BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Metrics of an entry instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Refused requests by reason.
    pub refusals: IntCounterVec,
    /// Repeated calls by reason.
    pub retries: IntCounterVec,
    /// Calls to the store by kind and outcome.
    pub store: IntCounterVec,
    /// Orders to workers by kind and outcome.
    pub orders: IntCounterVec,
    /// Looks at workers by outcome.
    pub looks: IntCounterVec,
    /// Orders for machines by outcome.
    pub machines: IntCounterVec,
    /// Time in seconds until a caller's request was answered.
    pub latency: Histogram,
    /// Jobs that have not ended, by cell, on its owner.
    pub jobs: IntGaugeVec,
    /// Version of the configuration in force.
    pub version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("metric name is valid");
            let added = registry.register(Box::new(counter.clone()));
            added.expect("metric name is unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric name is valid");
            let added = registry.register(Box::new(gauge.clone()));
            added.expect("metric name is unique");
            gauge
        };
        let options = HistogramOpts::new(
            "nutmegcart_request_seconds",
            "Time until a caller's request was answered.",
        );
        let latency = Histogram::with_opts(options.buckets(LATENCY_BUCKETS.to_vec()));
        let latency = latency.expect("histogram is valid");
        let added = registry.register(Box::new(latency.clone()));
        added.expect("metric name is unique");
        Self {
            requests: counter(
                "nutmegcart_job_requests_total",
                "Callers' requests about jobs.",
                &["kind", "outcome"],
            ),
            refusals: counter(
                "nutmegcart_job_refusals_total",
                "Refused requests about jobs.",
                &["reason"],
            ),
            retries: counter(
                "nutmegcart_job_retries_total",
                "Repeated calls.",
                &["reason"],
            ),
            store: counter(
                "nutmegcart_store_calls_total",
                "Calls to the store.",
                &["kind", "outcome"],
            ),
            orders: counter(
                "nutmegcart_orders_total",
                "Orders to workers.",
                &["kind", "outcome"],
            ),
            looks: counter("nutmegcart_looks_total", "Looks at workers.", &["outcome"]),
            machines: counter(
                "nutmegcart_machine_orders_total",
                "Orders for machines.",
                &["outcome"],
            ),
            jobs: {
                let options = Opts::new("nutmegcart_jobs", "Jobs of a cell that have not ended.");
                let gauge = IntGaugeVec::new(options, &["cell"]).expect("metric name is valid");
                let added = registry.register(Box::new(gauge.clone()));
                added.expect("metric name is unique");
                gauge
            },
            version: gauge(
                "nutmegcart_config_version",
                "Version of the configuration in force.",
            ),
            latency,
            registry,
        }
    }
}

impl Metrics {
    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::error!("metrics cannot be encoded: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
