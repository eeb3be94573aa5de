//! JSON Schema validators of the configuration records, one for each kind and version.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use jsonschema::Validator;
use serde_json::Value;

macro_rules! schemas {
    ($($kind:literal $version:literal $file:literal)*) => {
        const FILES: &[(&str, u64, &str)] =
            &[$(($kind, $version, include_str!(concat!("../schemas/", $file)))),*];
    };
}

schemas! {
    "pool" 1 "pool.v1.json"
    "pool" 2 "pool.v2.json"
    "job" 1 "job.v1.json"
    "job" 2 "job.v2.json"
    "budget" 1 "budget.v1.json"
    "budget" 2 "budget.v2.json"
    "wave" 1 "wave.v1.json"
    "wave" 2 "wave.v2.json"
    "team" 1 "team.v1.json"
    "team" 2 "team.v2.json"
}

type Validators = BTreeMap<(&'static str, u64), Validator>;

fn validators() -> &'static Validators {
    static VALIDATORS: OnceLock<Validators> = OnceLock::new();
    VALIDATORS.get_or_init(|| {
        FILES
            .iter()
            .map(|&(kind, version, text)| {
                let schema: Value = serde_json::from_str(text).expect("schema file is JSON");
                let validator = jsonschema::validator_for(&schema).expect("schema file is valid");
                ((kind, version), validator)
            })
            .collect()
    })
}

/// Returns whether a schema of any version exists for the kind.
#[must_use]
pub fn is_known_kind(kind: &str) -> bool {
    FILES.iter().any(|file| file.0 == kind)
}

/// Returns the validator of a kind and schema version, if a schema for them exists.
#[must_use]
pub fn validator(kind: &str, version: u64) -> Option<&'static Validator> {
    FILES
        .iter()
        .find(|file| file.0 == kind && file.1 == version)
        .and_then(|file| validators().get(&(file.0, file.1)))
}
