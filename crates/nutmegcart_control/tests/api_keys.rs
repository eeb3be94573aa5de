//! Keys of organisations, and which callers they let in on which routes.

use std::time::Duration;

use nutmegcart_control::access::Access;
use nutmegcart_control::access::Caller;
use nutmegcart_control::api_keys::ApiKey;
use nutmegcart_control::organisations::OrganisationFault;
use nutmegcart_control::organisations::check;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::CallerSettings;
use nutmegcart_control::port::OrganisationConfig;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::routing::Routing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_model::Code;

macro_rules! cases {
    ($test:ident: $($name:ident => $argument:expr;)*) => {
        $(#[test] fn $name() { $test($argument); })*
    };
}

/// Names of organisations with their keys.
type Named = &'static [(&'static str, &'static [&'static str])];

const TWO: Named = &[("ferries", &["k-1", "k-2"]), ("locks", &["k-3"])];

fn organisations(named: Named) -> Vec<OrganisationConfig> {
    let organisation = |(name, keys): &(&str, &[&str])| OrganisationConfig {
        organisation: Organisation::new((*name).into(), 1.0, Resources::default()),
        keys: keys.iter().map(|key| ApiKey::from(*key)).collect(),
    };
    named.iter().map(organisation).collect()
}

/// Returns the result of a request with a key, on a route that is public or not.
fn caller(
    organisations: Option<Vec<OrganisationConfig>>,
    key: Option<&str>,
    public: bool,
) -> Result<Caller, Code> {
    let queue = Queue {
        key: QueueKey {
            host: "counts.example".into(),
            prefix: "/gates/".into(),
        },
        pool: "gates".into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        ticket_timing: None,
    };
    let routing = Routing::new(&PlatformConfig {
        version: 1,
        queues: vec![queue],
        callers: vec![CallerSettings {
            timeout_ms: 1_000,
            public,
        }],
        organisations,
        pools: Vec::new(),
        limits: CallerLimits {
            head_timeout: Duration::from_secs(3),
            head_bytes: 1 << 14,
            body_bytes: 1 << 18,
            idle_timeout: Duration::from_mins(1),
        },
    });
    let (route, _) = routing.find("counts.example", "/gates/").expect("a route");
    routing.caller(route, key)
}

fn refused((named, key): (Named, Option<&str>)) {
    let mut organisations = organisations(named);
    let _ = check(&mut organisations);
    let answer = caller(Some(organisations), key, false);
    assert_eq!(answer, Err(Code::UnknownKey));
}

// Guards against requests that run without the key of exactly one organisation.
cases! { refused:
    missing_key => (TWO, None);
    unknown_key => (TWO, Some("k-4"));
    empty_key => (TWO, Some(""));
    empty_key_that_an_organisation_lists => (&[("ferries", &[""])], Some(""));
    key_with_other_case => (TWO, Some("K-1"));
    key_with_a_space => (TWO, Some("k-1 "));
    key_of_two_organisations => (&[("ferries", &["k-1"]), ("locks", &["k-1"])], Some("k-1"));
    key_of_the_second_entry_with_a_name =>
        (&[("ferries", &["k-1"]), ("ferries", &["k-2"])], Some("k-2"));
    organisation_without_keys => (&[("ferries", &[])], Some("k-1"));
    no_organisation_listed => (&[], Some("k-1"));
}

fn admitted((named, key, name): (Named, &str, &str)) {
    let mut organisations = organisations(named);
    let _ = check(&mut organisations);
    let expected = Caller {
        organisation: Some(name.into()),
        access: Access::Organisation(name.into()),
    };
    assert_eq!(caller(Some(organisations), Some(key), false), Ok(expected));
}

// Guards against callers that are refused although their key is in force.
cases! { admitted:
    first_key => (TWO, "k-1", "ferries");
    second_key => (TWO, "k-2", "ferries");
    key_of_another_organisation => (TWO, "k-3", "locks");
    key_that_is_listed_twice => (&[("ferries", &["k-1", "k-1"])], "k-1", "ferries");
    key_of_the_first_entry_with_a_name =>
        (&[("ferries", &["k-1"]), ("ferries", &["k-2"])], "k-1", "ferries");
    key_beside_one_of_two_organisations =>
        (&[("ferries", &["k-1", "k-2"]), ("locks", &["k-1"])], "k-2", "ferries");
}

fn without_organisation((named, key, access): (Option<Named>, Option<&str>, Access)) {
    let public = named.is_some();
    let expected = Caller {
        organisation: None,
        access,
    };
    let answer = caller(named.map(organisations), key, public);
    assert_eq!(answer, Ok(expected));
}

// Guards against public routes, and deployments without organisations, that need a key.
cases! { without_organisation:
    public_route_without_a_key => (Some(TWO), None, Access::Public);
    public_route_with_an_unknown_key => (Some(TWO), Some("k-4"), Access::Public);
    public_route_with_a_key =>
        (Some(TWO), Some("k-3"), Access::Organisation("locks".into()));
    deployment_without_organisations => (None, None, Access::All);
    deployment_without_organisations_and_a_key => (None, Some("k-1"), Access::All);
}

/// Guards against faults of organisations that no operator learns of, and against one that hides
/// another.
#[test]
fn faults_are_told_by_organisation() {
    let mut entries = organisations(&[
        ("ferries", &["k-1", "", "k-1"]),
        ("locks", &["k-1"]),
        ("ferries", &["k-2"]),
        ("tallies", &[]),
    ]);
    entries[3].organisation = Organisation::new("tallies".into(), -1.0, Resources::default());
    let expected = vec![
        ("ferries".into(), OrganisationFault::DuplicateName),
        ("ferries".into(), OrganisationFault::EmptyKey),
        (
            "locks".into(),
            OrganisationFault::SharedKey("ferries".into()),
        ),
        ("tallies".into(), OrganisationFault::Weight),
    ];
    assert_eq!(check(&mut entries), expected);
    assert_eq!(entries.len(), 3);
    assert!(check(&mut organisations(TWO)).is_empty());
}

/// Guards against keys in logs.
#[test]
fn keys_are_left_out_of_debug_output() {
    let entries = organisations(TWO);
    let shown = format!("{entries:?} {:?}", ApiKey::from("k-1"));
    assert!(!shown.contains("k-1"), "{shown}");
}
