//! Fleet decisions as pure functions: waves, placement, jobs, quotas, quarantine and lending.
//!
//! * [`map`]: which pool each instance belongs to, one value per data centre;
//! * [`budget`]: how many instances of a pool are unavailable, and how many more may be;
//! * [`wave`]: progress of a maintenance wave, its policy and its estimated duration;
//! * [`planner`]: one planning round of a duty holder, with the transaction that fences it;
//! * [`lending`]: moves of instances between pools by a demand estimate over minutes;
//! * [`duty`]: the lease on a data centre, and the pace of store calls.

mod advance;
mod assign;
pub mod budget;
pub mod duty;
pub mod lending;
pub mod map;
pub mod planner;
mod round;
pub mod wave;

pub use budget::Standing;
pub use duty::Duty;
pub use lending::Demand;
pub use lending::Lending;
pub use map::Entry;
pub use map::Listing;
pub use map::PoolMap;
pub use map::State;
pub use planner::Memory;
pub use planner::Plan;
pub use planner::View;
pub use wave::Phase;
pub use wave::Policy;
pub use wave::Progress;
