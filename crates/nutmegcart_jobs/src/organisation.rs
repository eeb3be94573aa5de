//! Organisations that share a deployment, with their fair shares and fleet-wide limits.

use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;

/// Least weight of an organisation, so that its work starts at some time however small it is.
pub const MIN_WEIGHT: f64 = 0.001;

/// An organisation, as an operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique among organisations.
    pub name: OrganisationName,
    /// Share of the capacity when not all work has room, relative to other organisations; also the
    /// number of jobs a second that it may expect to be served. At least [`MIN_WEIGHT`].
    pub weight: f64,
    /// Resources that its tasks may occupy on all workers of the fleet together; 0 for no limit.
    pub limit: Resources,
}

impl Organisation {
    /// Creates an organisation; a weight that is too small or not a number counts as [`MIN_WEIGHT`].
    ///
    /// ```
    /// # use nutmegcart_fleet::Resources;
    /// # use nutmegcart_jobs::organisation::{MIN_WEIGHT, Organisation};
    /// let member = Organisation::new("ferries".into(), f64::NAN, Resources::new(64_000, 0, 0));
    /// assert!(member.weight <= MIN_WEIGHT && member.has_limit());
    /// ```
    #[must_use]
    pub fn new(name: OrganisationName, weight: f64, limit: Resources) -> Self {
        let valid = weight.is_finite() && weight > MIN_WEIGHT;
        let weight = if valid { weight } else { MIN_WEIGHT };
        Self {
            name,
            weight,
            limit,
        }
    }

    /// Returns whether any resource is limited.
    #[must_use]
    pub fn has_limit(&self) -> bool {
        self.limit != Resources::default()
    }
}
