//! Arrival patterns and faults of a run, and the statistics that it collects.

use std::time::Duration;

/// Number of entry instances.
pub const ENTRY_INSTANCES: usize = 9;

/// Number of callers; the first one sends half of all requests.
pub const CALLERS: usize = 8;

/// A fault, injected 10 s after the start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A third of the runners, rounded down, answers every request with an error.
    FailThirdOfRunners,
    /// Runner 0 starts to drain and refuses new requests; the instance list shows it with a lag.
    DrainRunner,
    /// The open connections to runner 0 go silent: they stay open but deliver nothing. New ones
    /// work.
    SilenceConnections,
}

/// Arrivals of requests over time.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalPattern {
    /// Requests per second outside the burst.
    pub base_rate: f64,
    /// Multiple of the rate during the burst.
    pub burst_factor: f64,
    /// Start and end of the burst.
    pub burst: (Duration, Duration),
    /// End of arrivals.
    pub end: Duration,
    /// Number of entry instances that receive requests.
    pub entry_instances: usize,
}

impl ArrivalPattern {
    /// Half of the pool's capacity, with a burst of five times that rate for 5 s.
    pub const fn burst() -> Self {
        Self {
            base_rate: 400.0,
            burst_factor: 5.0,
            burst: (Duration::from_secs(5), Duration::from_secs(10)),
            end: Duration::from_secs(15),
            entry_instances: ENTRY_INSTANCES,
        }
    }

    /// Half of the pool's capacity.
    pub const fn steady() -> Self {
        Self {
            base_rate: 400.0,
            burst_factor: 1.0,
            end: Duration::from_secs(30),
            ..Self::burst()
        }
    }

    /// Close to the pool's capacity, so that many connections are open.
    pub const fn near_capacity() -> Self {
        Self {
            base_rate: 700.0,
            ..Self::steady()
        }
    }

    /// A twentieth of the rate of [`Self::steady`].
    pub const fn low() -> Self {
        Self {
            base_rate: 20.0,
            ..Self::steady()
        }
    }

    /// Returns the rate in requests per second at a point in time.
    pub fn rate_at(&self, now: Duration) -> f64 {
        let (start, end) = self.burst;
        self.base_rate
            * if now >= start && now < end {
                self.burst_factor
            } else {
                1.0
            }
    }
}

/// Statistics of a run.
///
/// Only requests that arrive in the burst, or after the fault in runs with one, are counted with
/// their attempts and answers. Attempts to a draining runner or on silent connections all count.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Requests by caller.
    pub requests: [f64; CALLERS],
    /// Complete answers within the deadline, by caller.
    pub useful_answers: [f64; CALLERS],
    /// Successful answers of runners, on time or late.
    pub runner_answers: f64,
    /// Successful answers after the deadline.
    pub late_answers: f64,
    /// Attempts sent.
    pub attempts: f64,
    /// Attempts that a runner refused or that could not connect.
    pub refused_attempts: f64,
    /// Attempts sent to the draining runner more than 3 s after it started to drain.
    pub draining_attempts: f64,
    /// Attempts sent on silent connections.
    pub silent_attempts: f64,
    /// Seconds between the first and the last attempt of an entry instance on silent connections;
    /// largest value of all entry instances.
    pub silent_seconds: f64,
}

impl RunStats {
    /// Share of requests with a complete answer within the deadline.
    pub fn useful_share(&self) -> f64 {
        self.useful_answers.iter().sum::<f64>() / self.requests.iter().sum::<f64>()
    }

    /// Share of late answers among the successful answers of runners.
    pub fn late_share(&self) -> f64 {
        self.late_answers / self.runner_answers
    }

    /// Share of useful answers for all callers except the one that sends half of the requests.
    pub fn other_share(&self) -> f64 {
        self.useful_answers[1..].iter().sum::<f64>() / self.requests[1..].iter().sum::<f64>()
    }

    /// Jain's fairness index of the useful answers per caller: 1 if all callers get equally many.
    pub fn fairness(&self) -> f64 {
        let sum: f64 = self.useful_answers.iter().sum();
        let squares: f64 = self.useful_answers.iter().map(|count| count * count).sum();
        sum * sum / (CALLERS as f64 * squares)
    }

    /// Mean number of attempts per request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts / self.requests.iter().sum::<f64>()
    }
}
