//! Retry decisions: retry budget, reasons for and against a retry, and backoff.

use std::time::Duration;

use crate::outcome::Outcome;

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Budget in retries that every new request adds.
    pub retry_ratio: f64,
    /// Maximum budget in retries; also the initial budget.
    pub max_tokens: f64,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Backoff before the first retry; doubles with each further one.
    pub base_backoff: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            max_tokens: 10.0,
            max_attempts: 3,
            base_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The runner answered with a status of 500 or above.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before the first byte of the request was sent.
    NotSent,
    /// The runner refused the request before it started it.
    Refused,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The first byte of the answer did not arrive in time.
    Silent,
    /// The answer was shorter than its announced length.
    Truncated,
    /// The answer belongs to another request.
    Mismatched,
}

impl RetryReason {
    /// All reasons, for example to initialise counters.
    pub const ALL: [Self; 8] = [
        Self::ServerError,
        Self::ConnectFailed,
        Self::NotSent,
        Self::Refused,
        Self::ConnectionLost,
        Self::Silent,
        Self::Truncated,
        Self::Mismatched,
    ];

    /// Returns the reason for a retry after this outcome, or `None` if the outcome is final.
    ///
    /// An answer that exceeds the size limit is final, as it would exceed it again.
    ///
    /// ```
    /// # use nutmegcart_request::{outcome::Outcome, retry::RetryReason};
    /// assert_eq!(RetryReason::of(Outcome::SilentNew), Some(RetryReason::Silent));
    /// assert_eq!(RetryReason::of(Outcome::Success), None);
    /// ```
    #[must_use]
    pub const fn of(outcome: Outcome) -> Option<Self> {
        match outcome {
            Outcome::Success | Outcome::TooLarge | Outcome::Cancelled => None,
            Outcome::ServerError => Some(Self::ServerError),
            Outcome::ConnectFailed => Some(Self::ConnectFailed),
            Outcome::NotSent => Some(Self::NotSent),
            Outcome::RefusedBeforeStart => Some(Self::Refused),
            Outcome::ConnectionLost => Some(Self::ConnectionLost),
            Outcome::SilentReused | Outcome::SilentNew => Some(Self::Silent),
            Outcome::Truncated => Some(Self::Truncated),
            Outcome::Mismatched => Some(Self::Mismatched),
        }
    }

    /// Returns the name used as a metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ServerError => "server_error",
            Self::ConnectFailed => "connect_failed",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::ConnectionLost => "connection_lost",
            Self::Silent => "silent",
            Self::Truncated => "truncated",
            Self::Mismatched => "mismatched",
        }
    }
}

/// Why a failed request is not retried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryDenial {
    /// No retry can change the outcome.
    Final,
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// The request is a retry by another layer.
    RetriedElsewhere,
    /// The request has used all of its attempts.
    AttemptsUsed,
    /// The backoff would end after the deadline.
    DeadlineClose,
    /// The retry budget of the service is used up.
    BudgetUsed,
}

impl RetryDenial {
    /// All reasons, for example to initialise counters.
    pub const ALL: [Self; 6] = [
        Self::Final,
        Self::NotIdempotent,
        Self::RetriedElsewhere,
        Self::AttemptsUsed,
        Self::DeadlineClose,
        Self::BudgetUsed,
    ];

    /// Returns the name used as a metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Final => "final",
            Self::NotIdempotent => "not_idempotent",
            Self::RetriedElsewhere => "retried_elsewhere",
            Self::AttemptsUsed => "attempts_used",
            Self::DeadlineClose => "deadline_close",
            Self::BudgetUsed => "budget_used",
        }
    }
}

/// The properties of a failed attempt that decide on a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request is a retry by another layer.
    pub already_retried: bool,
    /// Number of attempts of the request so far, this one included.
    pub attempts: u32,
    /// Time by which the answer must arrive.
    pub deadline: Duration,
}

/// Retry budget of one service, a token bucket that new requests fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            tokens: settings.max_tokens,
        }
    }

    /// Adds the share of a new request to the budget.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.retry_ratio).min(self.settings.max_tokens);
    }

    /// Decides on a retry and returns the earliest time for it, with its reason.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not retried.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::outcome::Outcome;
    /// # use nutmegcart_request::retry::{RetryBudget, RetryDenial, FailedAttempt, RetrySettings};
    /// let mut budget = RetryBudget::new(RetrySettings::default());
    /// let attempt = FailedAttempt {
    ///     outcome: Outcome::ConnectionLost,
    ///     idempotent: false,
    ///     already_retried: false,
    ///     attempts: 1,
    ///     deadline: Duration::from_secs(1),
    /// };
    /// assert_eq!(budget.decide(attempt, Duration::ZERO, 0), Err(RetryDenial::NotIdempotent));
    /// ```
    pub fn decide(
        &mut self,
        attempt: FailedAttempt,
        now: Duration,
        random: u64,
    ) -> Result<(Duration, RetryReason), RetryDenial> {
        let reason = RetryReason::of(attempt.outcome).ok_or(RetryDenial::Final)?;
        if !attempt.idempotent && !attempt.outcome.did_not_run() {
            return Err(RetryDenial::NotIdempotent);
        }
        if attempt.already_retried {
            return Err(RetryDenial::RetriedElsewhere);
        }
        if attempt.attempts >= self.settings.max_attempts {
            return Err(RetryDenial::AttemptsUsed);
        }
        let at = now + self.backoff(attempt.attempts, random);
        if at >= attempt.deadline {
            return Err(RetryDenial::DeadlineClose);
        }
        // Tolerates rounding errors: ten additions of 0.1 give slightly less than 1.
        if self.tokens < 1.0 - 1e-9 {
            return Err(RetryDenial::BudgetUsed);
        }
        self.tokens -= 1.0;
        Ok((at, reason))
    }

    /// Returns a random duration between half of the exponential backoff and all of it.
    fn backoff(&self, attempts: u32, random: u64) -> Duration {
        let doubled = 1_u32 << attempts.saturating_sub(1).min(16);
        let full = self
            .settings
            .base_backoff
            .saturating_mul(doubled)
            .min(self.settings.max_backoff);
        let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
        full.mul_f64(0.5 + fraction / 2.0)
    }
}
