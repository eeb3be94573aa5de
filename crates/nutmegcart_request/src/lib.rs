//! Decisions of the request path as pure state machines: routing, admission, retries, at-most-once
//! execution and membership.
//!
//! No module performs I/O or reads a clock; the current time and random numbers are arguments.
//!
//! * [`admission`]: bounded queue of a service with deadlines, priority classes and fairness;
//! * [`answer`]: answers stored for retries;
//! * [`connection`]: selection of open connections and closing of stale ones;
//! * [`coordinator`]: whether an operation may be dispatched, so that it runs at most once;
//! * [`drain_detector`]: detection of draining runners;
//! * [`ejector`]: outlier ejection of runners;
//! * [`forgotten_tickets`]: ticketed operations that were removed from the ledger;
//! * [`ledger`]: records of operations, as owner and as witness;
//! * [`load`]: load reports between entry instances and estimates of run times;
//! * [`outcome`]: outcome of an attempt at a runner;
//! * [`peer_table`]: failure detection by heartbeats;
//! * [`request_path`]: the request path, which combines routing, admission and retries;
//! * [`retry`]: retry budget, reasons and backoff;
//! * [`roster`]: the agreed list of entry instances, and owner and witness of plain keys;
//! * [`router`]: selection of the runner for an attempt;
//! * [`share`]: division of a runner's capacity between entry instances;
//! * [`ticket`]: tickets and identifiers of operations.

pub mod admission;
pub mod answer;
pub mod connection;
pub mod coordinator;
pub mod drain_detector;
pub mod ejector;
pub mod forgotten_tickets;
pub mod ledger;
pub mod load;
pub mod outcome;
pub mod peer_table;
pub mod request_path;
pub mod retry;
pub mod roster;
pub mod router;
mod runner_table;
pub mod share;
pub mod ticket;

pub use answer::Answer;
pub use answer::Bytes;
pub use coordinator::Coordinator;
pub use coordinator::Handover;
pub use coordinator::Intent;
pub use coordinator::IntentReply;
pub use coordinator::NextStep;
pub use coordinator::OperationAttempt;
pub use coordinator::OutcomeReport;
pub use coordinator::RequestedOperation;
pub use ledger::CodeNumber;
pub use ledger::HandoverRecord;
pub use ledger::HandoverState;
pub use ledger::Ledger;
pub use ledger::Resolution;
pub use peer_table::HeartbeatEffect;
pub use peer_table::PeerTable;
pub use peer_table::Presence;
pub use roster::Adoption;
pub use roster::Member;
pub use roster::ReplicaPair;
pub use roster::Roster;
pub use roster::RosterChange;
pub use roster::RosterVersion;
pub use roster::RosterView;
pub use ticket::OperationId;
pub use ticket::Ticket;
pub use ticket::TicketOperationId;
pub use ticket::TicketedOperation;
pub use ticket::fingerprint;
