//! Fleet decisions as pure functions: waves, placement, jobs, quotas, quarantine and lending.
