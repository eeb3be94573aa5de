//! What clients outside our control hold, for metrics, the log and operators.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_http::BodyError;
use nutmegcart_http::ClientGuard;
use nutmegcart_http::CloseReason;
use nutmegcart_http::ConnectionState;
use nutmegcart_http::GuardStatus;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use serde::Serialize;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::port::CallerLimits;

/// Interval at which the metrics are updated.
const METRICS_PERIOD: Duration = Duration::from_secs(1);
/// Number of updates between two log lines, so that an attack does not fill the log.
const UPDATES_PER_LINE: u64 = 10;

/// Bodies of the permitted size for which the byte budget must suffice: four copies of one that is
/// handled, and what its connection holds.
const BODIES_IN_BUDGET: usize = 5;

/// What clients hold, as `nutmegcart status` shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ClientsReport {
    /// Bytes held in unfinished requests and unread responses.
    pub bytes: usize,
    /// Limit of these bytes.
    pub max_bytes: usize,
    /// Open connections of clients, peers and probes.
    pub connections: usize,
    /// Connections refused or closed because of a limit since the start.
    pub closed: u64,
}

impl From<&GuardStatus> for ClientsReport {
    fn from(status: &GuardStatus) -> Self {
        Self {
            bytes: status.bytes,
            max_bytes: status.max_bytes,
            connections: status.by_state.iter().sum(),
            closed: closed_by_limit(&status.closed),
        }
    }
}

/// Applies the limits of a configuration, and logs if the byte budget is too small for them.
pub(crate) fn apply_limits(guard: &ClientGuard, limits: &CallerLimits) {
    guard.set_request_limits(limits.of_requests());
    let budget = guard.limits().bytes;
    if limits.body_bytes > budget / BODIES_IN_BUDGET {
        log::warn!(
            "requests with bodies of up to {} bytes are permitted, and a byte budget of {budget} does \
             not suffice for one of them",
            limits.body_bytes
        );
    }
}

/// Returns the code of the refusal of a body.
///
/// ```
/// use nutmegcart_control::clients::body_code;
/// use nutmegcart_http::BodyError;
/// use nutmegcart_model::Code;
/// assert_eq!(body_code(BodyError::TooLarge), Code::BodyTooLarge);
/// ```
#[must_use]
pub const fn body_code(error: BodyError) -> Code {
    match error {
        BodyError::Incomplete => Code::BadRequest,
        BodyError::Timeout => Code::BodyTooSlow,
        BodyError::TooLarge => Code::BodyTooLarge,
        BodyError::NoSpace => Code::MemoryLimit,
    }
}

/// Counts the closed connections except for idle ones, whose end is the usual one.
fn closed_by_limit(closed: &[u64; CloseReason::ALL.len()]) -> u64 {
    let counts = CloseReason::ALL.iter().zip(closed);
    let counts = counts.filter(|(reason, _)| **reason != CloseReason::Idle);
    counts.map(|(_, count)| count).sum()
}

/// Updates the metrics of what clients hold, given what was closed by the previous update.
pub fn update_metrics(metrics: &Metrics, status: &GuardStatus, before: &GuardStatus) {
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    metrics.clients.bytes.set(gauge(status.bytes));
    for (state, count) in ConnectionState::ALL.iter().zip(status.by_state) {
        let connections = &metrics.clients.connections;
        let connections = connections.with_label_values(&[state.label()]);
        connections.set(gauge(count));
    }
    for (number, reason) in CloseReason::ALL.iter().enumerate() {
        let more = status.closed[number].saturating_sub(before.closed[number]);
        let closed = metrics.clients.closed.with_label_values(&[reason.label()]);
        closed.inc_by(more);
    }
}

/// Keeps the metrics up to date, and logs what was closed, at most one line in ten seconds.
pub(crate) async fn report(node: Rc<Node>) {
    let mut updated = GuardStatus::default();
    let mut logged = GuardStatus::default();
    for update in 1_u64.. {
        tokio::time::sleep(METRICS_PERIOD).await;
        let status = node.clients.status();
        update_metrics(&node.metrics, &status, &updated);
        updated = status;
        let closed = closed_by_limit(&updated.closed);
        if update.is_multiple_of(UPDATES_PER_LINE) && closed > closed_by_limit(&logged.closed) {
            log_closed(&updated, &logged);
            logged = updated.clone();
        }
    }
}

fn log_closed(status: &GuardStatus, before: &GuardStatus) {
    let more = |reason: CloseReason| {
        let number = reason as usize;
        status.closed[number].saturating_sub(before.closed[number])
    };
    log_event!(
        Event::ClientsClosed,
        bytes = more(CloseReason::Bytes),
        connections = more(CloseReason::Connections),
        slow_head = more(CloseReason::SlowHead),
        slow_body = more(CloseReason::SlowBody),
        slow_reader = more(CloseReason::SlowReader),
        held_bytes = status.bytes,
        open = status.by_state.iter().sum::<usize>()
    );
}
