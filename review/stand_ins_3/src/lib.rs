//! Stand-ins of the users' platform for the cases of the third review. They follow the pages of the
//! users' system; where a page is silent, they behave as a sound store, runner or caller.

pub mod entry;
pub mod http;
pub mod json;
pub mod record;
pub mod runner;
pub mod store;
