//! Metrics in the Prometheus text format.

use nutmegcart_model::Code;
use prometheus::Encoder;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// All metrics of an entry instance.
pub struct Metrics {
    registry: Registry,
    /// Caller requests by result code.
    pub requests: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Requests refused or dropped by admission, by code.
    pub refusals: IntCounterVec,
    /// Failed attempts that were not retried, by reason.
    pub denials: IntCounterVec,
    /// Attempts at runners.
    pub attempts: IntCounter,
    /// Runners ejected by their outcomes.
    pub ejections: IntCounter,
    /// Caller requests in flight.
    pub active: IntGauge,
    /// Generation of the configuration in force.
    pub generation: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            let counter = counter.expect("metric name is valid");
            let boxed = Box::new(counter.clone());
            registry.register(boxed).expect("metric name is unique");
            counter
        };
        let plain = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric name is valid");
            let boxed = Box::new(counter.clone());
            registry.register(boxed).expect("metric name is unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric name is valid");
            let boxed = Box::new(gauge.clone());
            registry.register(boxed).expect("metric name is unique");
            gauge
        };
        Self {
            requests: counter(
                "nutmegcart_requests_total",
                "Caller requests by result code.",
                "code",
            ),
            retries: counter("nutmegcart_retries_total", "Retries by reason.", "reason"),
            refusals: counter(
                "nutmegcart_refusals_total",
                "Requests refused or dropped by admission, by code.",
                "code",
            ),
            denials: counter(
                "nutmegcart_retries_denied_total",
                "Failed attempts that were not retried, by reason.",
                "reason",
            ),
            attempts: plain("nutmegcart_attempts_total", "Attempts at runners."),
            ejections: plain("nutmegcart_ejections_total", "Runners ejected by outcomes."),
            active: gauge("nutmegcart_requests_active", "Caller requests in flight."),
            generation: gauge(
                "nutmegcart_config_generation",
                "Generation of the configuration in force.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a caller request by its result.
    pub fn count(&self, code: Code) {
        self.requests.with_label_values(&[code.label()]).inc();
    }

    /// Returns all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding to memory fails only for malformed metrics, which registration rejects.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
