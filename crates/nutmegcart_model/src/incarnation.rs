//! Identifiers that distinguish successive runs of a process at the same address.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// A random identifier that a process generates when it starts.
///
/// ```
/// # use nutmegcart_model::Incarnation;
/// let text = Incarnation(255).to_string();
/// assert_eq!(text, "00000000000000ff");
/// assert_eq!(text.parse(), Ok(Incarnation(255)));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Generates a new incarnation.
    ///
    /// ```
    /// # use nutmegcart_model::Incarnation;
    /// assert_ne!(Incarnation::random(), Incarnation::random());
    /// ```
    #[must_use]
    pub fn random() -> Self {
        Self(Uuid::new_v4().as_u64_pair().0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
