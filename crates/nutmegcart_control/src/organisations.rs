//! What is wrong with the organisations of a configuration. The rest of the configuration is used: to
//! keep the one before would also keep the keys that it revokes.

use std::collections::HashMap;
use std::collections::HashSet;

use derive_more::Display;
use nutmegcart_jobs::organisation::MIN_WEIGHT;
use nutmegcart_model::OrganisationName;

use crate::port::OrganisationConfig;

/// A fault of an organisation's entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OrganisationFault {
    /// An earlier entry has the same name, and counts.
    #[display("an earlier entry has the same name, and counts")]
    DuplicateName,
    /// A key is empty, and opens nothing.
    #[display("a key is empty, and opens nothing")]
    EmptyKey,
    /// The other organisation holds a key too, which opens nothing.
    #[display("a key is also that of {_0}, and opens nothing")]
    SharedKey(OrganisationName),
    /// The weight is missing, too small or not a number.
    #[display("the weight is below {MIN_WEIGHT}, and counts as that")]
    Weight,
}

/// Removes entries with the name of an earlier one, and returns all faults.
#[must_use]
pub fn check(
    organisations: &mut Vec<OrganisationConfig>,
) -> Vec<(OrganisationName, OrganisationFault)> {
    let mut faults = Vec::new();
    let mut names = HashSet::new();
    organisations.retain(|config| {
        let name = &config.organisation.name;
        let first = names.insert(name.clone());
        if !first {
            faults.push((name.clone(), OrganisationFault::DuplicateName));
        }
        first
    });
    let mut holders = HashMap::new();
    for config in organisations {
        let name = &config.organisation.name;
        let mut add = |fault| faults.push((name.clone(), fault));
        if config.organisation.weight <= MIN_WEIGHT {
            add(OrganisationFault::Weight);
        }
        for key in &config.keys {
            if key.is_empty() {
                add(OrganisationFault::EmptyKey);
                continue;
            }
            let holder = holders.entry(key).or_insert(name);
            if *holder != name {
                add(OrganisationFault::SharedKey(holder.clone()));
            }
        }
    }
    faults
}
