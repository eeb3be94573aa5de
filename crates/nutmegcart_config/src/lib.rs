//! Accepted configuration: generations, acceptance through the store, and spread between entry
//! instances.
//!
//! * [`Configuration`]: documents in force with their [`History`], and the typed [`View`];
//! * [`accept`]: commits a change through the store, or says why not;
//! * [`repair`]: writes the configuration in force to a store that lost it;
//! * [`Standing`]: what the other entry instances have in force;
//! * [`InForce`]: the shared holder that only ever moves to a higher generation;
//! * [`Follower`]: reads the store's changes as they come.

pub mod accept;
pub mod configuration;
pub mod follow;
pub mod history;
pub mod in_force;
pub mod repair;
pub mod standing;
pub mod stored;
pub mod view;

pub use accept::Apply;
pub use accept::Outcome;
pub use accept::accept;
pub use configuration::Changes;
pub use configuration::Configuration;
pub use configuration::Generation;
pub use follow::Follower;
pub use history::History;
pub use history::Mark;
pub use in_force::InForce;
pub use repair::Repair;
pub use repair::repair;
pub use standing::Report;
pub use standing::Standing;
pub use stored::load;
pub use view::View;
