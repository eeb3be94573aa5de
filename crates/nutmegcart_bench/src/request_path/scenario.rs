//! Demand, faults and counts of a run.

use std::time::Duration;

/// Entry instances.
pub const ENTRIES: usize = 9;

/// Callers; the first one sends half of all requests.
pub const CALLERS: usize = 8;

/// What goes wrong after 10 s.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A third of the runners, rounded down, answers with errors.
    FailThird,
    /// Runner 0 refuses new work; the list tells later.
    Leave,
    /// The open connections of runner 0 go silent.
    Silence,
}

/// Arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second outside the burst.
    pub rate: f64,
    /// Factor during the burst.
    pub factor: f64,
    /// Start and end of the burst.
    pub burst: (Duration, Duration),
    /// End of arrivals.
    pub end: Duration,
    /// Entry instances that receive the requests.
    pub entries: usize,
}

impl Load {
    /// Half of the pool's capacity, then five times as much for 5 s.
    pub const fn burst() -> Self {
        Self {
            rate: 400.0,
            factor: 5.0,
            burst: (Duration::from_secs(5), Duration::from_secs(10)),
            end: Duration::from_secs(15),
            entries: ENTRIES,
        }
    }

    /// Half of the pool's capacity.
    pub const fn steady() -> Self {
        Self {
            rate: 400.0,
            factor: 1.0,
            end: Duration::from_secs(30),
            ..Self::burst()
        }
    }

    /// Nearly the pool's capacity, so that many connections are open.
    pub const fn dense() -> Self {
        Self {
            rate: 700.0,
            ..Self::steady()
        }
    }

    /// A twentieth of the mean.
    pub const fn quiet() -> Self {
        Self {
            rate: 20.0,
            ..Self::steady()
        }
    }

    /// Returns the requests per second at a time.
    pub fn rate_at(&self, now: Duration) -> f64 {
        let (start, end) = self.burst;
        self.rate
            * if now >= start && now < end {
                self.factor
            } else {
                1.0
            }
    }
}

/// What was counted; shares refer to the burst or to the time after the fault.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests per caller.
    pub requests: [f64; CALLERS],
    /// Useful answers per caller.
    pub answered: [f64; CALLERS],
    /// Answers of runners, useful or not.
    pub answers: f64,
    /// Answers after the deadline.
    pub overdue: f64,
    /// Attempts sent.
    pub attempts: f64,
    /// Attempts that a runner refused.
    pub refused: f64,
    /// Attempts sent to the leaving runner more than 3 s after it began to leave.
    pub after_leaving: f64,
    /// Attempts sent on silent connections.
    pub silent: f64,
    /// Longest time of an entry instance between its first and last attempt on silent connections
    /// in seconds.
    pub silent_for: f64,
}

impl Tally {
    /// Share of requests with a whole answer within the deadline.
    pub fn useful(&self) -> f64 {
        self.answered.iter().sum::<f64>() / self.requests.iter().sum::<f64>()
    }

    /// Share of answers after the deadline among all answers of runners.
    pub fn late(&self) -> f64 {
        self.overdue / self.answers
    }

    /// Share of useful answers of all callers but the one that sends half of the requests.
    pub fn modest(&self) -> f64 {
        self.answered[1..].iter().sum::<f64>() / self.requests[1..].iter().sum::<f64>()
    }

    /// Jain's index of the useful answers per caller: 1 when all are equal.
    pub fn fairness(&self) -> f64 {
        let sum: f64 = self.answered.iter().sum();
        let squares: f64 = self.answered.iter().map(|count| count * count).sum();
        sum * sum / (CALLERS as f64 * squares)
    }

    /// Attempts per request.
    pub fn amplification(&self) -> f64 {
        self.attempts / self.requests.iter().sum::<f64>()
    }
}
