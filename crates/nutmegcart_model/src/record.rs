//! Configuration documents and their typed form.
//!
//! A [`Document`] keeps the JSON exactly as received, so that fields of newer schema versions are
//! preserved when it is passed on. [`Document::record`] returns a typed view that is the same for
//! every schema version.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Code;
use crate::generated::budget_v1::BudgetV1;
use crate::generated::budget_v2::BudgetV2;
use crate::generated::job_v1::JobV1;
use crate::generated::job_v2::JobV2;
use crate::generated::pool_v1::PoolV1;
use crate::generated::pool_v2::PoolV2;
use crate::generated::team_v1::TeamV1;
use crate::generated::team_v2::TeamV2;
use crate::generated::wave_v1::WaveV1;
use crate::generated::wave_v2::WaveV2;
use crate::name::JobName;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::name::TaskId;
use crate::name::TeamName;
use crate::name::WaveName;
use crate::schema;

/// Largest size of a document; the platform's store accepts values up to this size.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Result of parsing, validating or converting a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Reason for which a document was refused.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{code} at {path:?}: {reason}")]
pub struct DocumentError {
    /// Code that is returned to the caller.
    pub code: Code,
    /// JSON pointer to the invalid field; empty if the whole document is invalid.
    pub path: String,
    /// Description of the violation.
    pub reason: String,
}

impl DocumentError {
    /// Creates an error for the field at a JSON pointer.
    ///
    /// ```
    /// # use nutmegcart_model::{Code, record::DocumentError};
    /// let error = DocumentError::new(Code::UnknownKind, "/kind", "no kind \"cart\"");
    /// assert_eq!(error.code.number(), 2003);
    /// ```
    pub fn new(code: Code, path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            code,
            path: path.into(),
            reason: reason.into(),
        }
    }
}

/// A validated configuration document, kept as received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document(Arc<Value>);

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large, is not JSON or does not match its schema.
    ///
    /// ```
    /// # use nutmegcart_model::Document;
    /// let text = br#"{"schema":1,"kind":"budget","name":"b","pool":"gates","unavailable":1}"#;
    /// assert_eq!(Document::parse(text).unwrap().kind(), "budget");
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let reason = format!(
                "{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed",
                text.len()
            );
            return Err(DocumentError::new(Code::DocumentTooLarge, "", reason));
        }
        let value = serde_json::from_slice(text)
            .map_err(|error| DocumentError::new(Code::NotJson, "", error.to_string()))?;
        Self::from_value(value)
    }

    /// Validates an already parsed document.
    ///
    /// # Errors
    ///
    /// Fails if the kind or schema version is not known or the document does not match its schema.
    pub fn from_value(value: Value) -> Result<Self> {
        let kind = value.get("kind").and_then(Value::as_str).unwrap_or("");
        if !schema::is_known_kind(kind) {
            let reason = format!("no kind {kind:?}; known: pool, job, budget, wave, team");
            return Err(DocumentError::new(Code::UnknownKind, "/kind", reason));
        }
        let version = value.get("schema").and_then(Value::as_u64).unwrap_or(0);
        let Some(validator) = schema::validator(kind, version) else {
            let reason = format!("version {version} of {kind:?} is not known; known: 1, 2");
            return Err(DocumentError::new(Code::UnknownVersion, "/schema", reason));
        };
        if let Err(error) = validator.validate(&value) {
            let path = error.instance_path().to_string();
            return Err(DocumentError::new(
                Code::SchemaViolation,
                path,
                error.to_string(),
            ));
        }
        Ok(Self(Arc::new(value)))
    }

    /// Returns the document as received.
    #[must_use]
    pub fn value(&self) -> &Value {
        &self.0
    }

    /// Returns the record kind.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.str_field("kind")
    }

    /// Returns the name, which is unique within the kind.
    #[must_use]
    pub fn name(&self) -> &str {
        self.str_field("name")
    }

    /// Returns `<kind>/<name>`, which is unique in a configuration.
    ///
    /// ```
    /// # use nutmegcart_model::Document;
    /// let text = br#"{"schema":1,"kind":"budget","name":"b","pool":"gates","unavailable":1}"#;
    /// assert_eq!(Document::parse(text).unwrap().key(), "budget/b");
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}/{}", self.kind(), self.name())
    }

    fn str_field(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Converts the document to its typed view.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::SchemaViolation`] if the generated type rejects a document that the
    /// schema accepted.
    pub fn record(&self) -> Result<Record> {
        let version = self.0.get("schema").and_then(Value::as_u64).unwrap_or(0);
        Ok(match (self.kind(), version) {
            ("pool", 1) => Record::Pool(self.deserialize::<PoolV1>()?.into()),
            ("pool", _) => Record::Pool(self.deserialize::<PoolV2>()?.into()),
            ("job", 1) => Record::Job(self.deserialize::<JobV1>()?.into()),
            ("job", _) => Record::Job(self.deserialize::<JobV2>()?.into()),
            ("budget", 1) => Record::Budget(self.deserialize::<BudgetV1>()?.into()),
            ("budget", _) => Record::Budget(self.deserialize::<BudgetV2>()?.into()),
            ("wave", 1) => Record::Wave(self.deserialize::<WaveV1>()?.into()),
            ("wave", _) => Record::Wave(self.deserialize::<WaveV2>()?.into()),
            ("team", 1) => Record::Team(self.deserialize::<TeamV1>()?.into()),
            _ => Record::Team(self.deserialize::<TeamV2>()?.into()),
        })
    }

    fn deserialize<'a, T: Deserialize<'a>>(&'a self) -> Result<T> {
        T::deserialize(&*self.0)
            .map_err(|error| DocumentError::new(Code::SchemaViolation, "", error.to_string()))
    }
}

/// The typed view of a document, independent of its schema version.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A pool of instances.
    Pool(Pool),
    /// A job of a pool.
    Job(Job),
    /// The availability budget of a pool.
    Budget(Budget),
    /// A maintenance wave.
    Wave(Wave),
    /// A team with a quota.
    Team(Team),
}

/// A pool of instances that provides one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: PoolName,
    /// Service that the pool provides.
    pub service: ServiceName,
    /// Target number of runners.
    pub size: u32,
    /// Whether other pools may borrow instances of this pool.
    pub spare: bool,
    /// Number of runners below which none is lent or moved to another pool.
    pub minimum: u32,
    /// Target number of workers.
    pub workers: u32,
}

/// A job that an operator declares for a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Unique name of the job.
    pub name: JobName,
    /// Pool whose workers run the job.
    pub pool: PoolName,
    /// Team to whose quota the job is charged.
    pub team: Option<TeamName>,
    /// Declared processor use of a task in thousandths of a core.
    pub cpu: u64,
    /// Declared memory of a task in MB.
    pub memory: u64,
    /// Declared number of accelerators of a task.
    pub accelerators: u32,
    /// Number of tasks to run.
    pub tasks: u32,
    /// Whether the job may displace deferrable tasks.
    pub urgent: bool,
    /// Whether a task may run more than once.
    pub idempotent: bool,
    /// Whether tasks can be checkpointed.
    pub checkpoint: bool,
    /// Declared run time of a task in seconds.
    pub seconds: Option<u64>,
    /// Tasks that an operator has cancelled.
    pub cancel: Vec<TaskId>,
}

/// Number or share of a pool's instances that may be unavailable at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allowance {
    /// A number of instances.
    Count(u32),
    /// A share of the pool in percent, rounded down.
    Percent(u32),
}

impl Allowance {
    /// Returns how many instances of a pool of the given size may be unavailable.
    ///
    /// ```
    /// # use nutmegcart_model::record::Allowance;
    /// assert_eq!(Allowance::Percent(20).max_unavailable(12), 2);
    /// ```
    #[must_use]
    pub fn max_unavailable(self, size: u32) -> u32 {
        match self {
            Self::Count(count) => count,
            Self::Percent(percent) => {
                let share = u64::from(size) * u64::from(percent) / 100;
                u32::try_from(share).unwrap_or(u32::MAX)
            }
        }
    }
}

/// The availability budget of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Unique name of the budget.
    pub name: Arc<str>,
    /// Pool that the budget protects.
    pub pool: PoolName,
    /// Limit on unavailable instances.
    pub allowance: Allowance,
}

/// Relative weights of the three cost measures of a maintenance wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the capacity that is held back as a buffer.
    pub buffer: f64,
    /// Weight of the time until the wave is finished.
    pub rollout: f64,
    /// Weight of the instances moved between pools.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            buffer: 1.0,
            rollout: 1.0,
            moves: 1.0,
        }
    }
}

/// A maintenance wave over pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Unique name of the wave.
    pub name: WaveName,
    /// Pools to maintain.
    pub pools: Vec<PoolName>,
    /// Time by which the wave must finish, in seconds from its start.
    pub deadline: Option<u64>,
    /// Weights of the cost measures.
    pub weights: Weights,
    /// Largest number of instances out of service at once.
    pub width: Option<u32>,
}

/// A team with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Unique name of the team.
    pub name: TeamName,
    /// Processor quota in thousandths of a core.
    pub cpu: u64,
    /// Memory quota in MB.
    pub memory: u64,
    /// Accelerator quota.
    pub accelerators: u32,
    /// Largest number of urgent tasks that may run at once.
    pub urgent: Option<u32>,
}
