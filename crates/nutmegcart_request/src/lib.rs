//! Request path decisions as pure state machines: routing, admission, retries, at-most-once and membership.
//!
//! * [`answer`]: answers stored for retries;
//! * [`coordinator`]: who may dispatch an operation, and when;
//! * [`floors`]: which operations under tickets were forgotten;
//! * [`ledger`]: the record of operations, as owner and as witness;
//! * [`members`]: heartbeats and suspicion;
//! * [`roster`]: the agreed list of entry instances and the pairs of plain keys;
//! * [`ticket`]: tickets and identifiers of operations.

pub mod answer;
pub mod coordinator;
pub mod floors;
pub mod ledger;
pub mod members;
pub mod roster;
pub mod ticket;

pub use answer::Answer;
pub use answer::Bytes;
pub use coordinator::Attempt;
pub use coordinator::Coordinator;
pub use coordinator::Handover;
pub use coordinator::Intent;
pub use coordinator::IntentReply;
pub use coordinator::Operation;
pub use coordinator::Report;
pub use coordinator::Step;
pub use ledger::Code16;
pub use ledger::Handed;
pub use ledger::HandedState;
pub use ledger::Ledger;
pub use ledger::Resolution;
pub use members::Heard;
pub use members::Members;
pub use members::Presence;
pub use roster::Adoption;
pub use roster::Change;
pub use roster::Member;
pub use roster::Pair;
pub use roster::Roster;
pub use roster::RosterView;
pub use roster::Version;
pub use ticket::OperationId;
pub use ticket::Ticket;
pub use ticket::TicketNumber;
pub use ticket::TicketedOperation;
