//! Numbered result codes.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude about its request from a result code.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request ran or the call succeeded.
    Done,
    /// The request is malformed or conflicts with the present state; nothing was changed.
    Invalid,
    /// No byte of the request reached a runner, and none will reach one later.
    NotRun,
    /// A runner refused the request before starting it.
    RefusedByBackend,
    /// The request may or may not have run.
    Unknown,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $verdict:ident, $status:literal, $text:literal;)*) => {
        /// A result code; `docs/errors.md` lists them all.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// Every code in ascending order of number.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable number of the code.
            ///
            /// ```
            /// # use nutmegcart_model::Code;
            /// assert_eq!(Code::QueueFull.number(), 1101);
            /// ```
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns what a caller may conclude about its request.
            #[must_use]
            pub const fn verdict(self) -> Verdict {
                match self { $(Self::$name => Verdict::$verdict,)* }
            }

            /// Returns the HTTP status that carries the code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the one-line description.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the name used as a metric label.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    Ok = 1000, Done, 200, "the call succeeded";
    QueueFull = 1101, NotRun, 503, "the queue of the service is full";
    DeadlineTooShort = 1102, NotRun, 503, "the expected wait exceeds the deadline";
    DeadlinePassed = 1103, NotRun, 504, "the deadline passed before the request was sent";
    NoRunner = 1104, NotRun, 503, "no runner of the service is available";
    ConnectFailed = 1105, NotRun, 503, "no connection to a runner could be opened";
    ShuttingDown = 1106, NotRun, 503, "this entry instance is shutting down";
    UnknownService = 1107, NotRun, 404, "no pool carries the service";
    FairShare = 1108, NotRun, 503, "the caller is over its fair share of a full queue";
    WitnessUnreachable = 1109, NotRun, 503, "the witness of the operation did not record the intent";
    OperationSealed = 1110, NotRun, 409, "the operation was sealed as not run";
    TooManyConnections = 1111, NotRun, 503, "the connection limit of this entry instance is reached";
    MemoryLimit = 1112, NotRun, 503, "the limit of buffered bytes is reached";
    NoConfiguration = 1113, NotRun, 503, "this entry instance has no configuration yet";
    UnknownQueue = 1114, NotRun, 404, "no queue has the host and prefix";
    ConfigurationLate = 1115, NotRun, 503, "this entry instance has not read the latest changes of the configuration in time";
    OperationCancelled = 1180, NotRun, 409, "the operation was cancelled before it was sent";
    RefusedByRunner = 1201, RefusedByBackend, 503, "the runner refused the request before starting it";
    AnswerTimeout = 1301, Unknown, 504, "no whole answer arrived before the deadline";
    ConnectionLost = 1302, Unknown, 502, "the connection was lost after the request was sent";
    AnswerTruncated = 1303, Unknown, 502, "the answer was shorter than announced";
    AnswerTooLarge = 1304, Unknown, 502, "the answer exceeded the size limit";
    AnswerMismatch = 1305, Unknown, 502, "the answer belongs to another request";
    OwnerUnreachable = 1306, Unknown, 503, "the owner of the operation cannot be reached";
    OperationUnknown = 1307, Unknown, 409, "the operation was started and its outcome is not known";
    OperationRunning = 1308, Unknown, 409, "the operation is still running";
    AnswerDropped = 1309, Unknown, 410, "the operation ran and its answer is no longer stored";
    TakeoverBarrier = 1310, Unknown, 503, "the ledger of the operation's key was lost; wait for the barrier to end or use a ticket";
    RunnerFailed = 1311, Unknown, 502, "the runner answered an earlier attempt with a server error and no further attempt was made";
    AnswerDiscarded = 1312, Unknown, 503, "the answer was discarded because the limit of buffered bytes is reached";
    InternalError = 1313, Unknown, 500, "this entry instance failed unexpectedly; the request may have run";
    OperationForgotten = 1380, Unknown, 410, "the record of the operation was forgotten; use a new ticket";
    NotAttempted = 1381, Unknown, 503, "this attempt sent nothing; an earlier attempt may have run";
    RosterDisagreement = 1382, Unknown, 503, "the entry instances do not agree on the owner yet; this attempt sent nothing";
    BadRequest = 1401, Invalid, 400, "the request is malformed";
    BodyTooLarge = 1402, Invalid, 413, "the request body exceeds the size limit";
    HeaderTooLarge = 1403, Invalid, 431, "the request headers exceed the size limit";
    BadTicket = 1404, Invalid, 400, "the operation identifier is malformed";
    KeyReused = 1405, Invalid, 422, "the operation identifier was used with another request";
    NotFound = 1406, Invalid, 404, "there is no such path or record";
    BodyTooSlow = 1407, Invalid, 408, "the request body did not arrive in time";
    UnknownJob = 1408, Invalid, 410, "no such job exists";
    JobUnreadable = 1409, Unknown, 503, "the record of the job cannot be read";
    UnknownKey = 1410, Invalid, 401, "the key is missing, or it is not that of one organisation";
    OtherOrganisation = 1411, Invalid, 403, "the job belongs to another organisation";
    NotJson = 2001, Invalid, 400, "the document is not JSON";
    UnknownVersion = 2002, Invalid, 400, "the schema version is not supported";
    UnknownKind = 2003, Invalid, 400, "the record kind is not known";
    SchemaViolation = 2004, Invalid, 400, "the document does not match its schema";
    DocumentTooLarge = 2005, Invalid, 413, "the document exceeds 1 MB";
    DuplicateName = 2006, Invalid, 400, "a name is used twice";
    MissingReference = 2007, Invalid, 400, "the document refers to a record that does not exist";
    StillReferenced = 2008, Invalid, 409, "another record refers to the document";
    GenerationConflict = 2101, Invalid, 409, "another change was accepted first";
    StoreUnavailable = 2102, NotRun, 503, "the platform's store does not answer; nothing was changed";
    ApplyUnknown = 2103, Unknown, 503, "the store's answer was lost; repeat the call with the same operation identifier";
    StoreReverted = 2104, NotRun, 503, "the store holds an older configuration than the one in force";
    StoreForked = 2110, NotRun, 503, "the store holds another history than the one in force";
    PeersUnheard = 2111, NotRun, 503, "too few entry instances were heard to tell whether the store lost changes";
    ChangeTooLarge = 2112, Invalid, 413, "the change does not fit one transaction of the store; split it";
    BadOperation = 2113, Invalid, 400, "the operation identifier is empty or longer than 64 bytes";
    OperationReused = 2114, Invalid, 422, "the operation identifier was used for another change";
    ApplyForgotten = 2115, Unknown, 409, "too many changes since the first attempt; read the records to see whether it was accepted";
    NothingToRepair = 2116, Invalid, 409, "the store is not behind the configuration in force";
    WaveNotFound = 3001, Invalid, 404, "there is no such wave";
    WavePastDeadline = 3002, Invalid, 409, "the wave cannot finish before its deadline";
    NotInPool = 3003, Invalid, 404, "the instance is in no pool";
    BudgetExhausted = 3004, NotRun, 409, "the availability budget of the pool allows no further instance out";
    WaveWithoutBudget = 3010, Invalid, 409, "the budget of a pool of the wave allows no instance out";
    WaveNotRunning = 3011, Invalid, 409, "the wave is not under way";
    InstanceBusy = 3012, Invalid, 409, "an operation on the instance is under way, or the instance is not available";
    DutyVacant = 3013, NotRun, 503, "no entry instance has the duty for the instance's data centre";
    FleetUnreadable = 3014, NotRun, 503, "pool maps or wave progress in the store cannot be read, or a newer configuration is not yet in effect";
    JobTooLarge = 3050, NotRun, 409, "the declared size of the job exceeds every worker of its pool";
    JobFailing = 3051, Invalid, 409, "the job failed on three distinct healthy workers";
    TaskNotFound = 3052, Invalid, 404, "there is no such task";
    BadSetting = 4001, Invalid, 400, "a setting is out of range";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "NC{} {}", self.number(), self.text())
    }
}
