//! The policy and the baselines behind one interface.

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

/// Attempts of one request under random choice.
const RANDOM_ATTEMPTS: u32 = 3;

/// Which code decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Round robin without limits or retries.
    RoundRobin,
    /// Random choice with up to three attempts.
    Random,
    /// The request path of nutmegcart.
    Policy,
}

impl Kind {
    pub const fn label(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::Random => "random choice",
            Self::Policy => "policy",
        }
    }
}

/// The code of one entry instance.
#[expect(clippy::large_enum_variant, reason = "there are nine of them")]
pub enum Policy {
    /// Runners not listed as leaving are used in turn or at random.
    Plain {
        live: Vec<usize>,
        next: usize,
        attempts: u32,
    },
    Real(RequestPath),
}

impl Policy {
    pub fn new(kind: Kind, own: usize, entries: &[EntrySpec], runners: &[RunnerSpec]) -> Self {
        match kind {
            Kind::RoundRobin | Kind::Random => Self::Plain {
                live: (0..runners.len()).collect(),
                next: own,
                attempts: if kind == Kind::Random {
                    RANDOM_ATTEMPTS
                } else {
                    1
                },
            },
            Kind::Policy => {
                let mut path =
                    RequestPath::new(RequestPathSettings::default(), entries[own].clone());
                path.router.set_runners(runners, Duration::ZERO);
                path.router.set_entries(entries.to_vec(), Duration::ZERO);
                path.router.set_spare(&"portal".into(), true);
                Self::Real(path)
            }
        }
    }

    /// Takes the instance list's word for a runner.
    pub fn listed_leaving(&mut self, runner: usize, id: &InstanceId, now: Duration) {
        match self {
            Self::Plain { live, .. } => live.retain(|&index| index != runner),
            Self::Real(path) => path.router.update_listing(id, false, Duration::ZERO, now),
        }
    }
}

/// What an attempt is for its policy.
pub enum Handle {
    Plain { attempts: u32 },
    Real(Box<Attempt>),
}

/// A retry that waits.
pub enum Waiting {
    Plain { attempts: u32 },
    Real(Box<PendingRetry>),
}

/// The connections to one runner: with the rules, or a plain pool of idle ones.
pub enum Pool {
    Plain {
        idle: Vec<ConnectionId>,
        next: ConnectionId,
    },
    Real(Connections),
}

impl Pool {
    pub fn new(kind: Kind) -> Self {
        match kind {
            Kind::Policy => Self::Real(Connections::default()),
            _ => Self::Plain {
                idle: Vec::new(),
                next: 0,
            },
        }
    }

    /// Returns a connection and whether it was used before.
    pub fn acquire(&mut self, now: Duration) -> (ConnectionId, bool) {
        match self {
            Self::Plain { idle, next } => {
                if let Some(id) = idle.pop() {
                    return (id, true);
                }
                *next += 1;
                (*next - 1, false)
            }
            // The world's runners limit connections themselves.
            Self::Real(connections) => {
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
            Self::Plain { idle, .. } => idle.push(id),
            Self::Real(connections) => {
                // A closed connection needs nothing further here.
                let _kept = connections.release(id, now);
            }
        }
    }

    pub fn silent(&mut self, id: ConnectionId) {
        if let Self::Real(connections) = self {
            connections.remove_unresponsive(id, &mut Vec::new());
        }
    }

    /// Returns the identifier that the next new connection gets.
    pub fn next(&self) -> ConnectionId {
        match self {
            Self::Plain { next, .. } => *next,
            Self::Real(connections) => connections.next_id(),
        }
    }
}
