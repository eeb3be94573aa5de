//! Metrics of the process, exported in the Prometheus text format.

use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Upper bounds of the latency buckets in seconds. They range from a response out of memory to a
/// caller's deadline.
const LATENCY_BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Metrics of an entry instance. Clones share their values.
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
    pub store_calls: IntCounterVec,
    /// Orders to workers by kind and outcome.
    pub orders: IntCounterVec,
    /// Polls of workers by outcome.
    pub polls: IntCounterVec,
    /// Orders for machines by kind and outcome.
    pub machine_orders: IntCounterVec,
    /// Changes of the ownership of cells by kind.
    pub ownership_changes: IntCounterVec,
    /// Time in seconds until a caller's request was answered.
    pub request_latency: Histogram,
    /// Time in seconds until a job was stored or refused.
    pub acceptance_latency: Histogram,
    /// Time in seconds from a job's acceptance to its first start.
    pub first_start: Histogram,
    /// Time in seconds until an order to a worker was answered or timed out.
    pub order_latency: Histogram,
    /// Time in seconds until a transaction of an owner was answered or timed out.
    pub store_latency: Histogram,
    /// Jobs that have not ended, by cell; set by the cell's owner.
    pub jobs: IntGaugeVec,
    /// Jobs that have not started any task, by cell; set by the cell's owner.
    pub waiting_jobs: IntGaugeVec,
    /// Waiting long-running tasks by cell and reason; set by the cell's owner.
    pub waiting_tasks: IntGaugeVec,
    /// Longest wait of a long-running task in seconds, by cell; set by the cell's owner.
    pub longest_wait: GaugeVec,
    /// Jobs that have waited too long for a start, by cell and kind; set by the cell's owner.
    pub stalled_jobs: IntGaugeVec,
    /// Workers that block inherited jobs, by cell; set by the cell's owner.
    pub blocking_workers: IntGaugeVec,
    /// Size of a cell's state that the store does not accept, by cell; set by the cell's owner.
    pub rejected_state: IntGaugeVec,
    /// Jobs passed to another cell, by the number of that cell.
    pub passed_jobs: IntCounterVec,
    /// Messages and writes about allocations of organisations' limits, by outcome.
    pub limit_moves: IntCounterVec,
    /// What clients hold.
    pub clients: ClientMetrics,
    /// Use of limits in a cell by organisation and resource; set by the cell's owner.
    pub organisation_use: IntGaugeVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
}

/// Metrics of what clients hold.
#[derive(Clone, Debug)]
pub struct ClientMetrics {
    /// Bytes held in unfinished requests and unread responses.
    pub bytes: IntGauge,
    /// Connections of clients, peers and probes by state.
    pub connections: IntGaugeVec,
    /// Connections that were refused or closed because of a limit, by reason.
    pub closed: IntCounterVec,
}

impl ClientMetrics {
    /// Creates and registers the metrics.
    fn new(registry: &Registry) -> Self {
        let help = "Bytes reserved for unfinished requests and unread responses.";
        let bytes = IntGauge::new("nutmegcart_client_bytes", help);
        let bytes = bytes.expect("metric name is valid");
        register(registry, &bytes);
        let help = "Connections of clients, peers and probes, by state.";
        let connections = gauge(registry, "nutmegcart_client_connections", help, &["state"]);
        let closed = IntCounterVec::new(
            Opts::new(
                "nutmegcart_client_connections_closed_total",
                "Connections refused or closed because of a limit.",
            ),
            &["reason"],
        );
        let closed = closed.expect("metric name is valid");
        register(registry, &closed);
        Self {
            bytes,
            connections,
            closed,
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("metric name is valid");
            register(&registry, &counter);
            counter
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options).expect("histogram is valid");
            register(&registry, &histogram);
            histogram
        };
        let by_cell = |name: &str, help: &str| gauge(&registry, name, help, &["cell"]);
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
            store_calls: counter(
                "nutmegcart_store_calls_total",
                "Calls to the store.",
                &["kind", "outcome"],
            ),
            orders: counter(
                "nutmegcart_orders_total",
                "Orders to workers.",
                &["kind", "outcome"],
            ),
            polls: counter("nutmegcart_looks_total", "Looks at workers.", &["outcome"]),
            machine_orders: counter(
                "nutmegcart_machine_orders_total",
                "Orders for machines.",
                &["kind", "outcome"],
            ),
            ownership_changes: counter(
                "nutmegcart_ownership_changes_total",
                "Changes of the ownership of cells.",
                &["change"],
            ),
            request_latency: histogram(
                "nutmegcart_request_seconds",
                "Time until a caller's request was answered.",
            ),
            acceptance_latency: histogram(
                "nutmegcart_acceptance_seconds",
                "Time until a job was stored or refused.",
            ),
            first_start: histogram(
                "nutmegcart_first_start_seconds",
                "Time from a job's acceptance to its first start.",
            ),
            order_latency: histogram(
                "nutmegcart_order_seconds",
                "Time until an order to a worker was answered or given up.",
            ),
            store_latency: histogram(
                "nutmegcart_store_transaction_seconds",
                "Time until a transaction of an owner was answered or given up.",
            ),
            jobs: by_cell("nutmegcart_jobs", "Jobs of a cell that have not ended."),
            waiting_jobs: by_cell(
                "nutmegcart_jobs_waiting",
                "Jobs of a cell that have started no task.",
            ),
            waiting_tasks: gauge(
                &registry,
                "nutmegcart_long_running_waiting",
                "Long-running tasks that wait for a start, by reason.",
                &["cell", "reason"],
            ),
            longest_wait: longest_wait(&registry),
            stalled_jobs: stalled_jobs(&registry),
            blocking_workers: blocking_workers(&registry),
            rejected_state: rejected_state(&registry),
            passed_jobs: passed_jobs(&registry),
            limit_moves: limit_moves(&registry),
            clients: ClientMetrics::new(&registry),
            config_version: config_version(&registry),
            organisation_use: organisation_use(&registry),
            registry,
        }
    }
}

/// Creates and registers the gauge of the configuration's version.
fn config_version(registry: &Registry) -> IntGauge {
    let gauge = IntGauge::new(
        "nutmegcart_config_version",
        "Version of the configuration in force.",
    );
    let gauge = gauge.expect("metric name is valid");
    register(registry, &gauge);
    gauge
}

/// Creates and registers the gauge of workers that block inherited jobs.
fn blocking_workers(registry: &Registry) -> IntGaugeVec {
    gauge(
        registry,
        "nutmegcart_blocking_workers",
        "Workers on which inherited jobs may still run, and which have not answered.",
        &["cell"],
    )
}

/// Creates and registers the gauge of the use of organisations.
fn organisation_use(registry: &Registry) -> IntGaugeVec {
    gauge(
        registry,
        "nutmegcart_organisation_use",
        "Use of an organisation with a limit in a cell, and its allocation in millionths.",
        &["cell", "organisation", "kind"],
    )
}

/// Creates and registers the counter of moves of allocations.
fn limit_moves(registry: &Registry) -> IntCounterVec {
    let options = Opts::new(
        "nutmegcart_limit_moves_total",
        "Requests for allocation of organisations' limits, and writes of donors, by outcome.",
    );
    let counter = IntCounterVec::new(options, &["outcome"]).expect("metric name is valid");
    register(registry, &counter);
    counter
}

/// Creates and registers the counter of jobs that passed to another cell.
fn passed_jobs(registry: &Registry) -> IntCounterVec {
    let options = Opts::new(
        "nutmegcart_jobs_passed_total",
        "Waiting jobs passed to another cell, by that cell.",
    );
    let counter = IntCounterVec::new(options, &["cell"]).expect("metric name is valid");
    register(registry, &counter);
    counter
}

/// Creates and registers the gauge of cell states that the store does not accept.
fn rejected_state(registry: &Registry) -> IntGaugeVec {
    let help = "Size of a cell's state that the store does not accept in bytes, 0 if it does.";
    gauge(
        registry,
        "nutmegcart_cell_state_rejected_bytes",
        help,
        &["cell"],
    )
}

/// Creates and registers the gauge of stalled jobs.
fn stalled_jobs(registry: &Registry) -> IntGaugeVec {
    let help = "Jobs of a cell that have waited too long for a start.";
    gauge(registry, "nutmegcart_jobs_stalled", help, &["cell", "kind"])
}

/// Creates and registers a gauge with labels.
fn gauge(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    register(registry, &gauge);
    gauge
}

/// Creates and registers the gauge of the longest wait.
fn longest_wait(registry: &Registry) -> GaugeVec {
    let options = Opts::new(
        "nutmegcart_long_running_wait_seconds",
        "Longest wait of a long-running task for a start, under the present owner.",
    );
    let gauge = GaugeVec::new(options, &["cell"]).expect("metric name is valid");
    register(registry, &gauge);
    gauge
}

/// Registers a clone of a metric; clones share their values.
fn register<T: Collector + Clone + 'static>(registry: &Registry, metric: &T) {
    let added = registry.register(Box::new(metric.clone()));
    added.expect("metric name is unique");
}

impl Metrics {
    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::error!("cannot encode the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
