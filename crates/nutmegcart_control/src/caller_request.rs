//! Callers' requests about jobs, the responses to them, and the time limits that all kinds share.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobError;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Queue;
use nutmegcart_model::Code;

/// Delay before a failed call to the store or to a peer is repeated.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a request to a peer that calls the store on behalf of this instance.
pub(crate) const HELPER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after which a caller should retry while the store is unavailable. Outages last seconds,
/// and one second is the smallest value of the `Retry-After` header.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerRequest {
    /// Submits a job to a queue.
    Submit(Arc<Queue>, JobId, Box<Job>),
    /// Returns the state of a job.
    Show(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Counts the jobs of a queue that have not started any task.
    Count(Arc<Queue>),
}

impl CallerRequest {
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submit",
            Self::Show(_) => "show",
            Self::Cancel(_) => "cancel",
            Self::Count(_) => "count",
        }
    }
}

/// The response to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The number of jobs that have not started any task.
    Waiting(u64),
    /// No such job exists.
    NotFound,
    /// The job breaks a limit; it was not stored, and will not be accepted later.
    Invalid(JobError),
    /// The request was refused, or its outcome is unknown.
    Refused {
        /// Reason; its verdict says whether the outcome is unknown.
        code: Code,
        /// Delay after which the caller should retry, if a retry may succeed.
        retry_after: Option<Duration>,
    },
}

impl CallerResponse {
    /// Creates a refusal without a retry delay.
    #[must_use]
    pub const fn refused(code: Code) -> Self {
        Self::Refused {
            code,
            retry_after: None,
        }
    }

    /// Creates a refusal by an instance that cannot serve requests at the moment.
    #[must_use]
    pub const fn unavailable(code: Code) -> Self {
        Self::Refused {
            code,
            retry_after: Some(RETRY_AFTER),
        }
    }

    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "shown",
            Self::Cancelled => "cancelled",
            Self::Waiting(_) => "counted",
            Self::NotFound => "gone",
            Self::Invalid(_) => Code::BadRequest.label(),
            Self::Refused { code, .. } => code.label(),
        }
    }
}
