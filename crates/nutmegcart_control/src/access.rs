//! Whose jobs a caller may show, cancel and submit again.

use nutmegcart_model::OrganisationName;
use serde::Deserialize;
use serde::Serialize;

/// Jobs that a caller may show, cancel and submit again.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum Access {
    /// All jobs: the configuration has no organisations.
    #[default]
    All,
    /// Jobs of the organisation, and jobs without one.
    Organisation(OrganisationName),
    /// Jobs without an organisation: the caller has shown no valid key, and its route is public.
    Public,
}

impl Access {
    /// Returns the organisation whose jobs it covers, if it is limited to those of one.
    #[must_use]
    pub const fn organisation(&self) -> Option<&OrganisationName> {
        match self {
            Self::Organisation(name) => Some(name),
            Self::All | Self::Public => None,
        }
    }

    /// Returns whether it covers a job of the organisation.
    ///
    /// ```
    /// # use nutmegcart_control::access::Access;
    /// let (ferries, locks) = ("ferries".into(), "locks".into());
    /// let access = Access::Organisation("ferries".into());
    /// assert!(access.permits(Some(&ferries)) && access.permits(None));
    /// assert!(!access.permits(Some(&locks)) && !Access::Public.permits(Some(&locks)));
    /// ```
    #[must_use]
    pub fn permits(&self, organisation: Option<&OrganisationName>) -> bool {
        match (self, organisation) {
            (Self::All, _) | (_, None) => true,
            (Self::Organisation(own), Some(other)) => own == other,
            (Self::Public, Some(_)) => false,
        }
    }
}

/// A caller whose key was checked.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// Organisation that the jobs that it submits belong to; none on a public route.
    pub organisation: Option<OrganisationName>,
    /// Jobs that it may show, cancel and submit again.
    pub access: Access,
}
