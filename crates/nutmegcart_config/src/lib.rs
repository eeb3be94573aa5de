//! Accepted configuration: generations, acceptance through the store, and spread between entry
//! instances.
//!
//! * [`Configuration`]: documents in force with their generation, and the typed [`View`];
//! * [`accept`]: commits a change through the store, or says why not;
//! * [`InForce`]: the shared holder that only ever moves to a higher generation.

pub mod accept;
pub mod configuration;
pub mod in_force;
pub mod view;

pub use accept::Apply;
pub use accept::Outcome;
pub use accept::accept;
pub use accept::load;
pub use configuration::Changes;
pub use configuration::Configuration;
pub use configuration::Generation;
pub use in_force::InForce;
pub use view::View;
