//! Retry budget, reasons and backoff.

use std::time::Duration;

use crate::outcome::Outcome;

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries per fresh request.
    pub retry_ratio: f64,
    /// Largest saved budget in retries, also the budget at start.
    pub max_tokens: f64,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Backoff before the first retry; it doubles with each further one.
    pub base_backoff: Duration,
    /// Longest backoff.
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

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The runner answered with a server error.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before anything was sent.
    NotSent,
    /// The runner refused before it started.
    Refused,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No first byte arrived in time.
    Silent,
    /// The answer was shorter than announced.
    Truncated,
    /// The answer belongs to another request.
    Mismatched,
}

impl RetryReason {
    /// Every reason, for counters.
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

    /// Returns the reason for which a request with this outcome may be retried.
    ///
    /// An answer that exceeds the size limit would exceed it again.
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

/// Why a failed request is not sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryDenial {
    /// The outcome is final.
    Final,
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// Another layer already retried the request.
    RetriedElsewhere,
    /// The request used all of its attempts.
    AttemptsUsed,
    /// The backoff would end after the deadline.
    DeadlineClose,
    /// The retry budget of the service is used.
    BudgetUsed,
}

impl RetryDenial {
    /// Every denial, for counters.
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

/// A failed attempt, as far as it matters for a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether another layer already retried the request.
    pub already_retried: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Time by which the answer must arrive.
    pub deadline: Duration,
}

/// The retry budget of one service.
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

    /// Counts a fresh request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.retry_ratio).min(self.settings.max_tokens);
    }

    /// Decides on a retry and returns the time at which it may be sent.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is not sent again.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::outcome::Outcome;
    /// # use nutmegcart_request::retry::{RetryBudget, RetryDenial, FailedAttempt, RetrySettings};
    /// let mut budget = RetryBudget::new(RetrySettings::default());
    /// let failed = FailedAttempt {
    ///     outcome: Outcome::ConnectionLost,
    ///     idempotent: false,
    ///     already_retried: false,
    ///     attempts: 1,
    ///     deadline: Duration::from_secs(1),
    /// };
    /// assert_eq!(budget.decide(failed, Duration::ZERO, 0), Err(RetryDenial::NotIdempotent));
    /// ```
    pub fn decide(
        &mut self,
        failed: FailedAttempt,
        now: Duration,
        random: u64,
    ) -> Result<(Duration, RetryReason), RetryDenial> {
        let reason = RetryReason::of(failed.outcome).ok_or(RetryDenial::Final)?;
        if !failed.idempotent && !failed.outcome.did_not_run() {
            return Err(RetryDenial::NotIdempotent);
        }
        if failed.already_retried {
            return Err(RetryDenial::RetriedElsewhere);
        }
        if failed.attempts >= self.settings.max_attempts {
            return Err(RetryDenial::AttemptsUsed);
        }
        let at = now + self.backoff(failed.attempts, random);
        if at >= failed.deadline {
            return Err(RetryDenial::DeadlineClose);
        }
        // Sums of a share such as 0.1 fall short of whole numbers by rounding.
        if self.tokens < 1.0 - 1e-9 {
            return Err(RetryDenial::BudgetUsed);
        }
        self.tokens -= 1.0;
        Ok((at, reason))
    }

    /// Returns a random time between half and all of the exponential backoff.
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
