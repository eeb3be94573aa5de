//! Guards against a reader that applies list changes and gets a list other than the whole one.

use std::time::Duration;

use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::fleet_api::InstanceList;

const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn applied_changes_equal_the_whole_list() {
    let platform = FakePlatform::start(Duration::from_millis(1));
    let oracle = Oracle::default();
    let reader = FleetApi::http(platform.address, TIMEOUT);
    assert!(reader.list().unwrap().is_empty());
    for id in ["runner-1", "runner-2"] {
        let runner = FakeRunner::start(id, &oracle, Duration::ZERO);
        platform.add_runner(&runner, &"suva".into(), &"rack-1".into());
        assert_eq!(reader.list().unwrap(), platform.instances());
    }
    platform.set_state("runner-1", InstanceState::Failed);
    assert_eq!(reader.list().unwrap(), platform.instances());
    assert_eq!(
        FleetApi::http(platform.address, TIMEOUT).list().unwrap(),
        platform.instances()
    );
}

#[test]
fn unchanged_list_is_sent_without_entries() {
    let platform = FakePlatform::start(Duration::from_millis(1));
    let runner = FakeRunner::start("runner-1", &Oracle::default(), Duration::ZERO);
    platform.add_runner(&runner, &"suva".into(), &"rack-1".into());
    let read = |since: u64| {
        let url = format!("http://{}/v1/instances?since={since}", platform.address);
        let text = ureq::get(&url)
            .call()
            .unwrap()
            .body_mut()
            .read_to_string()
            .unwrap();
        serde_json::from_str::<InstanceList>(&text).unwrap()
    };
    let first = read(0);
    assert_eq!((first.full, first.instances.len()), (true, 1));
    let second = read(first.version);
    assert_eq!((second.full, second.instances.len()), (false, 0));
    // A version that this platform never issued results in the whole list.
    assert!(read(first.version + 100).full);
}

/// Guards against an unconfirmed state that looks fresh to a reader of changes, so that it does not
/// count against the availability budget.
#[test]
fn entry_with_changing_age_is_sent_again() {
    let platform = FakePlatform::start(Duration::from_millis(1));
    let runner = FakeRunner::start("runner-1", &Oracle::default(), Duration::ZERO);
    platform.add_runner(&runner, &"suva".into(), &"rack-1".into());
    let reader = FleetApi::http(platform.address, TIMEOUT);
    let age = || reader.list().unwrap()[0].age_ms;
    assert_eq!(age(), 0);
    for silent in [5_000, 6_000, 0] {
        platform.set_age("runner-1", silent);
        assert_eq!(age(), silent);
    }
}
