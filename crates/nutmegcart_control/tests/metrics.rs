//! Guards against `docs/METRICS.md` listing other metrics than the code registers.

use nutmegcart_control::metrics::Metrics;

/// Returns the names of all exported metrics.
fn served() -> Vec<String> {
    let metrics = Metrics::default();
    // A labelled metric is exported only once it has a value.
    metrics
        .requests
        .with_label_values(&["submit", "accepted"])
        .inc();
    metrics
        .refusals
        .with_label_values(&["StoreUnavailable"])
        .inc();
    metrics.retries.with_label_values(&["lease_renewal"]).inc();
    metrics
        .store_calls
        .with_label_values(&["get", "answered"])
        .inc();
    metrics.orders.with_label_values(&["start", "done"]).inc();
    metrics.polls.with_label_values(&["answered"]).inc();
    metrics
        .machine_orders
        .with_label_values(&["move", "done"])
        .inc();
    metrics
        .ownership_changes
        .with_label_values(&["taken"])
        .inc();
    metrics.waiting_jobs.with_label_values(&["0"]).set(1);
    metrics
        .waiting_tasks
        .with_label_values(&["0", "blocked"])
        .set(1);
    metrics.longest_wait.with_label_values(&["0"]).set(1.0);
    metrics
        .stalled_jobs
        .with_label_values(&["0", "batch"])
        .set(1);
    metrics.blocking_workers.with_label_values(&["0"]).set(1);
    metrics.rejected_state.with_label_values(&["0"]).set(1);
    metrics.passed_jobs.with_label_values(&["0"]).inc();
    metrics
        .organisation_use
        .with_label_values(&["0", "ferries", "cpu"])
        .set(1);
    metrics.limit_moves.with_label_values(&["given"]).inc();
    metrics.jobs.with_label_values(&["0"]).set(1);
    let closed = &metrics.clients.closed;
    closed.with_label_values(&["bytes"]).inc();
    let connections = &metrics.clients.connections;
    connections.with_label_values(&["idle"]).set(1);
    let text = metrics.text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types
        .filter_map(|line| line.split(' ').next())
        .map(str::to_string)
        .collect()
}

#[test]
fn metrics_page_matches_registered_metrics() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = std::fs::read_to_string(path).expect("the page exists");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `nutmegcart_"));
    let mut listed: Vec<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(|name| format!("nutmegcart_{name}"))
        .collect();
    let mut served = served();
    listed.sort();
    served.sort();
    assert_eq!(listed, served);
}
