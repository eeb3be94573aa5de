//! Outcome of an attempt at a runner and its consequences.

use nutmegcart_model::Code;

/// How an attempt at a runner ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// A complete answer with a status below 500 arrived.
    Success,
    /// A complete answer with a status of 500 or above arrived.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before the first byte of the request was sent.
    NotSent,
    /// The runner refused the request and stated that it did not start it.
    RefusedBeforeStart,
    /// The connection was lost after at least a part of the request was sent.
    ConnectionLost,
    /// The first byte of the answer did not arrive in time on a reused connection.
    SilentReused,
    /// The first byte of the answer did not arrive in time on a new connection.
    SilentNew,
    /// The answer was shorter than its announced length.
    Truncated,
    /// The answer exceeded the size limit.
    TooLarge,
    /// The answer belongs to another request.
    Mismatched,
    /// The caller disconnected; the attempt says nothing about the runner.
    Cancelled,
}

impl Outcome {
    /// Returns whether the outcome proves that the request did not run.
    ///
    /// ```
    /// # use nutmegcart_request::outcome::Outcome;
    /// assert!(Outcome::RefusedBeforeStart.did_not_run());
    /// assert!(!Outcome::ConnectionLost.did_not_run());
    /// ```
    #[must_use]
    pub const fn did_not_run(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::NotSent | Self::RefusedBeforeStart
        )
    }

    /// Returns whether the outcome counts as a failure of the runner.
    ///
    /// A refusal means that the runner is draining or overloaded, not that it fails. A reused
    /// connection may have been dropped on the network path while the runner is healthy.
    ///
    /// ```
    /// # use nutmegcart_request::outcome::Outcome;
    /// assert!(Outcome::SilentNew.is_failure());
    /// assert!(!Outcome::SilentReused.is_failure());
    /// ```
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(
            self,
            Self::ServerError
                | Self::ConnectFailed
                | Self::ConnectionLost
                | Self::SilentNew
                | Self::Truncated
                | Self::Mismatched
        )
    }

    /// Returns whether the outcome is neither a success nor a failure of the runner.
    #[must_use]
    pub const fn is_neutral(self) -> bool {
        !self.is_failure() && !matches!(self, Self::Success)
    }

    /// Returns the code that the caller receives if this was the last attempt.
    ///
    /// ```
    /// # use nutmegcart_model::Code;
    /// # use nutmegcart_request::outcome::Outcome;
    /// assert_eq!(Outcome::SilentNew.code(), Code::AnswerTimeout);
    /// ```
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::Success | Self::Cancelled => Code::Ok,
            Self::ServerError => Code::RunnerFailed,
            Self::ConnectFailed | Self::NotSent => Code::ConnectFailed,
            Self::RefusedBeforeStart => Code::RefusedByRunner,
            Self::ConnectionLost => Code::ConnectionLost,
            Self::SilentReused | Self::SilentNew => Code::AnswerTimeout,
            Self::Truncated => Code::AnswerTruncated,
            Self::TooLarge => Code::AnswerTooLarge,
            Self::Mismatched => Code::AnswerMismatch,
        }
    }
}
