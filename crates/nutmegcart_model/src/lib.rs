//! Identifiers, configuration records, result codes and log events shared by every crate.
//!
//! * [`name`]: cheaply cloned names such as [`DataCentre`] and [`PoolName`];
//! * [`record`]: configuration documents and their typed form;
//! * [`schema`]: JSON Schema validators of the documents;
//! * [`code`]: numbered result codes with HTTP status and verdict;
//! * [`event`]: numbered log events;
//! * [`incarnation`]: identifiers of process runs;
//! * [`rendezvous`]: rendezvous hashing of members for a key.

pub mod code;
mod convert;
pub mod event;
pub mod generated;
pub mod incarnation;
pub mod name;
pub mod record;
pub mod rendezvous;
pub mod schema;

pub use code::Code;
pub use code::Verdict;
pub use event::Event;
pub use incarnation::Incarnation;
pub use name::CallerName;
pub use name::DataCentre;
pub use name::InstanceId;
pub use name::JobName;
pub use name::OrganisationName;
pub use name::PoolName;
pub use name::Rack;
pub use name::Region;
pub use name::ServiceName;
pub use name::TaskId;
pub use name::TeamName;
pub use name::WaveName;
pub use name::WorkerId;
pub use record::Document;
pub use record::Record;

pub use log;
