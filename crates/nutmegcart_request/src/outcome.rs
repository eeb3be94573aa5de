//! What happened to an attempt and what follows from it.

use nutmegcart_model::Code;

/// How an attempt at a runner ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// A whole answer with a status below 500 arrived.
    Success,
    /// A whole answer with a status of 500 or above arrived.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before the first byte of the request was sent.
    NotSent,
    /// The runner stated that it did not start the request.
    RefusedBeforeStart,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No first byte arrived in time on a connection that had been used before.
    SilentReused,
    /// No first byte arrived in time on a new connection.
    SilentNew,
    /// The answer was shorter than announced.
    Truncated,
    /// The answer exceeded the size limit.
    TooLarge,
    /// The answer belongs to another request.
    Mismatched,
    /// The caller went away; nothing is known of the runner.
    Cancelled,
}

impl Outcome {
    /// Returns whether the request provably did not run.
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

    /// Returns whether the outcome counts against the runner.
    ///
    /// A refusal means that the runner leaves, not that it fails. A connection that had been used
    /// before may have gone silent or been closed while the runner is healthy.
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

    /// Returns whether the outcome says nothing about the runner's health.
    #[must_use]
    pub const fn is_neutral(self) -> bool {
        !self.is_failure() && !matches!(self, Self::Success)
    }

    /// Returns the code that a caller receives when the attempt was the last one.
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
