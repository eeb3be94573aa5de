//! One interface to the request path and to the baselines.

use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_request::connection::ConnectionChoice;
use nutmegcart_request::connection::ConnectionId;
use nutmegcart_request::connection::Connections;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::PendingRetry;
use nutmegcart_request::request_path::RequestPath;
use nutmegcart_request::request_path::RequestPathSettings;
use nutmegcart_request::share::EntrySpec;
use nutmegcart_request::share::RunnerSpec;

/// Largest number of attempts per request under random choice.
const RANDOM_MAX_ATTEMPTS: u32 = 3;

/// Which implementation decides about requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// Round robin without limits on load and without retries.
    RoundRobin,
    /// Random choice with up to three attempts.
    Random,
    /// The request path of nutmegcart.
    RequestPath,
}

impl PolicyKind {
    pub const fn label(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::Random => "random choice",
            Self::RequestPath => "policy",
        }
    }
}

/// The request path or the baseline of one entry instance.
#[expect(clippy::large_enum_variant, reason = "a run has only nine values")]
pub enum Policy {
    /// Uses the runners that the instance list does not show as draining, in turn or at random.
    Baseline {
        runners: Vec<usize>,
        next_runner: usize,
        max_attempts: u32,
    },
    RequestPath(RequestPath),
}

impl Policy {
    pub fn new(
        kind: PolicyKind,
        own: usize,
        entries: &[EntrySpec],
        runners: &[RunnerSpec],
    ) -> Self {
        match kind {
            PolicyKind::RoundRobin | PolicyKind::Random => Self::Baseline {
                runners: (0..runners.len()).collect(),
                next_runner: own,
                max_attempts: if kind == PolicyKind::Random {
                    RANDOM_MAX_ATTEMPTS
                } else {
                    1
                },
            },
            PolicyKind::RequestPath => {
                let mut path =
                    RequestPath::new(RequestPathSettings::default(), entries[own].clone());
                path.router.set_runners(runners, Duration::ZERO);
                path.router.set_entries(entries.to_vec(), Duration::ZERO);
                path.router.set_spare(&"portal".into(), true);
                Self::RequestPath(path)
            }
        }
    }

    /// Applies an instance list that shows a runner as draining.
    pub fn set_listed_draining(&mut self, runner: usize, id: &InstanceId, now: Duration) {
        match self {
            Self::Baseline { runners, .. } => runners.retain(|&index| index != runner),
            Self::RequestPath(path) => path.router.update_listing(id, false, Duration::ZERO, now),
        }
    }
}

/// State that the policy keeps with an attempt in flight.
pub enum AttemptHandle {
    Baseline { attempts: u32 },
    RequestPath(Box<Attempt>),
}

/// A retry that waits for its backoff.
pub enum DelayedRetry {
    Baseline { attempts: u32 },
    RequestPath(Box<PendingRetry>),
}

/// The connections from an entry instance to a runner: with the rules of [`Connections`], or as a
/// simple list of idle ones.
pub enum ConnectionPool {
    Baseline {
        idle: Vec<ConnectionId>,
        next_id: ConnectionId,
    },
    RequestPath(Connections),
}

impl ConnectionPool {
    pub fn new(kind: PolicyKind) -> Self {
        match kind {
            PolicyKind::RequestPath => Self::RequestPath(Connections::default()),
            _ => Self::Baseline {
                idle: Vec::new(),
                next_id: 0,
            },
        }
    }

    /// Returns a connection, and whether it was used before.
    pub fn acquire(&mut self, now: Duration) -> (ConnectionId, bool) {
        match self {
            Self::Baseline { idle, next_id } => {
                if let Some(id) = idle.pop() {
                    return (id, true);
                }
                *next_id += 1;
                (*next_id - 1, false)
            }
            // No limit here: the simulated runners limit the connections themselves.
            Self::RequestPath(connections) => {
                match connections.acquire(usize::MAX, now, &mut Vec::new()) {
                    ConnectionChoice::Reuse(id) => (id, true),
                    ConnectionChoice::Open(id) => (id, false),
                    ConnectionChoice::Full => unreachable!("no limit is given"),
                }
            }
        }
    }

    pub fn release(&mut self, id: ConnectionId, now: Duration) {
        match self {
            Self::Baseline { idle, .. } => idle.push(id),
            Self::RequestPath(connections) => {
                // The simulation has nothing to do when the connection is closed instead of kept.
                let _kept = connections.release(id, now);
            }
        }
    }

    pub fn remove_unresponsive(&mut self, id: ConnectionId) {
        if let Self::RequestPath(connections) = self {
            connections.remove_unresponsive(id, &mut Vec::new());
        }
    }

    /// Returns the identifier of the next connection to be opened.
    pub fn next_id(&self) -> ConnectionId {
        match self {
            Self::Baseline { next_id, .. } => *next_id,
            Self::RequestPath(connections) => connections.next_id(),
        }
    }
}
