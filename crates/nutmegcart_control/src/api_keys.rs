//! Keys with which callers prove that they belong to an organisation.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use nutmegcart_model::Code;
use nutmegcart_model::OrganisationName;

use crate::port::OrganisationConfig;

/// Result of checking a key.
pub type Result<T> = std::result::Result<T, Code>;

/// A caller's secret key. Its value is left out of debug output.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Returns whether it has no characters, and so opens nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// Keys of a configuration, with their organisations.
#[derive(Debug, Default)]
pub struct ApiKeys {
    /// `None` for a key that several organisations hold, since it does not tell whose caller it is.
    holders: HashMap<ApiKey, Option<OrganisationName>>,
}

impl ApiKeys {
    /// Collects the keys of all organisations.
    #[must_use]
    pub fn new(organisations: &[OrganisationConfig]) -> Self {
        let mut holders: HashMap<ApiKey, Option<OrganisationName>> = HashMap::new();
        for config in organisations {
            let name = &config.organisation.name;
            for key in config.keys.iter().filter(|key| !key.is_empty()) {
                let holder = holders.entry(key.clone()).or_insert(Some(name.clone()));
                if holder.as_ref() != Some(name) {
                    *holder = None;
                }
            }
        }
        Self { holders }
    }

    /// Returns the organisation that holds the key of a request.
    ///
    /// ```
    /// # use nutmegcart_control::api_keys::ApiKeys;
    /// assert!(ApiKeys::default().organisation(Some("6d1f")).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with [`Code::UnknownKey`] if there is no key, or not exactly one organisation holds it.
    pub fn organisation(&self, key: Option<&str>) -> Result<OrganisationName> {
        let holder = key.and_then(|key| self.holders.get(key));
        holder.cloned().flatten().ok_or(Code::UnknownKey)
    }
}
