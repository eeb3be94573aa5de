//! Configuration documents and their typed form.
//!
//! A [`Document`] keeps the JSON exactly as received, so fields of newer schema versions survive
//! being passed on. [`Document::record`] gives the typed view, the same for every version.

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

/// Largest document in bytes; the platform's store takes values up to this size.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Why a document was refused.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{code} at {path:?}: {reason}")]
pub struct DocumentError {
    /// Result code.
    pub code: Code,
    /// JSON pointer of the offending field, empty for the whole document.
    pub path: String,
    /// What is wrong.
    pub reason: String,
}

impl DocumentError {
    /// Creates a fault.
    ///
    /// ```
    /// # use nutmegcart_model::{Code, record::DocumentError};
    /// let fault = DocumentError::new(Code::UnknownKind, "/kind", "no kind \"cart\"");
    /// assert_eq!(fault.code.number(), 2003);
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
    /// Returns a [`DocumentError`] with a numbered code, the path of the field and the reason.
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
    /// Returns a [`DocumentError`] as [`Document::parse`] does.
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
        self.text("kind")
    }

    /// Returns the name within the kind.
    #[must_use]
    pub fn name(&self) -> &str {
        self.text("name")
    }

    /// Returns `<kind>/<name>`, unique in a configuration.
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

    fn text(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the typed view of the document.
    ///
    /// # Errors
    ///
    /// Returns [`Code::SchemaViolation`] if the generated type rejects what the schema accepted.
    pub fn record(&self) -> Result<Record> {
        let version = self.0.get("schema").and_then(Value::as_u64).unwrap_or(0);
        Ok(match (self.kind(), version) {
            ("pool", 1) => Record::Pool(self.read::<PoolV1>()?.into()),
            ("pool", _) => Record::Pool(self.read::<PoolV2>()?.into()),
            ("job", 1) => Record::Job(self.read::<JobV1>()?.into()),
            ("job", _) => Record::Job(self.read::<JobV2>()?.into()),
            ("budget", 1) => Record::Budget(self.read::<BudgetV1>()?.into()),
            ("budget", _) => Record::Budget(self.read::<BudgetV2>()?.into()),
            ("wave", 1) => Record::Wave(self.read::<WaveV1>()?.into()),
            ("wave", _) => Record::Wave(self.read::<WaveV2>()?.into()),
            ("team", 1) => Record::Team(self.read::<TeamV1>()?.into()),
            _ => Record::Team(self.read::<TeamV2>()?.into()),
        })
    }

    fn read<'a, T: Deserialize<'a>>(&'a self) -> Result<T> {
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

/// A pool of instances that carries one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Service that the pool carries.
    pub service: ServiceName,
    /// Runners that the pool should have.
    pub size: u32,
    /// Whether other pools may borrow from this one.
    pub spare: bool,
    /// Runners that are never lent or moved away.
    pub minimum: u32,
    /// Workers that the pool should have.
    pub workers: u32,
}

/// A job of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Name of the job.
    pub name: JobName,
    /// Pool that carries the job.
    pub pool: PoolName,
    /// Team whose quota is charged.
    pub team: Option<TeamName>,
    /// Declared processor use in thousandths of a core.
    pub cpu: u64,
    /// Declared memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Tasks to run.
    pub tasks: u32,
    /// Whether the job may displace deferrable tasks.
    pub urgent: bool,
    /// Whether a task may run more than once.
    pub idempotent: bool,
    /// Whether tasks can be checkpointed.
    pub checkpoint: bool,
    /// Declared run time in seconds.
    pub seconds: Option<u64>,
    /// Cancelled tasks.
    pub cancel: Vec<TaskId>,
}

/// How many instances of a pool may be unavailable at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allowance {
    /// A number of instances.
    Count(u32),
    /// A share of the pool in percent, rounded down.
    Percent(u32),
}

impl Allowance {
    /// Returns the allowed number of unavailable instances for a pool of the given size.
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
    /// Name of the record.
    pub name: Arc<str>,
    /// Pool that the budget protects.
    pub pool: PoolName,
    /// How many instances may be unavailable.
    pub allowance: Allowance,
}

/// Relative weights of the three measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of buffer cost.
    pub buffer: f64,
    /// Weight of roll-out time.
    pub rollout: f64,
    /// Weight of moves.
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
    /// Name of the wave.
    pub name: WaveName,
    /// Pools to maintain.
    pub pools: Vec<PoolName>,
    /// Time by which the wave must finish, in seconds from its start.
    pub deadline: Option<u64>,
    /// Weights of the measures.
    pub weights: Weights,
    /// Largest number of instances out at once.
    pub width: Option<u32>,
}

/// A team with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Processor quota in thousandths of a core.
    pub cpu: u64,
    /// Memory quota in MB.
    pub memory: u64,
    /// Accelerator quota.
    pub accelerators: u32,
    /// Urgent tasks that may run at once.
    pub urgent: Option<u32>,
}
