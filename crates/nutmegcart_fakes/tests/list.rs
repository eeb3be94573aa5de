//! Faults of the fake instance list, without which tests would assume a reliable one.

use std::time::Duration;

use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::http::HttpError;

const TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> (FakePlatform, FleetApi) {
    let platform = FakePlatform::start(Duration::ZERO);
    for id in ["r1", "r2"] {
        let runner = FakeRunner::start(id, &Oracle::default(), Duration::ZERO);
        platform.add_runner(&runner, &"suva".into(), &"rack".into());
    }
    let fleet = FleetApi::http(platform.address, TIMEOUT);
    (platform, fleet)
}

#[test]
fn lagging_list_shows_an_earlier_state() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.list_lag = Duration::from_hours(1));
    assert!(fleet.list().unwrap().is_empty());
    platform.set_faults(|faults| faults.list_lag = Duration::ZERO);
    platform.set_state("r1", InstanceState::Failed);
    assert_eq!(fleet.list().unwrap()[0].state, InstanceState::Failed);
}

#[test]
fn hidden_instances_are_missing_from_the_list() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.hidden.extend(["r1".into()]));
    let list = fleet.list().unwrap();
    assert_eq!((list.len(), &*list[0].id), (1, "r2"));
}

#[test]
fn hanging_list_responds_only_after_the_fault_ends() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.list_hangs = true);
    let short_timeout = FleetApi::http(platform.address, Duration::from_millis(50));
    assert!(short_timeout.list().is_err());
    platform.set_faults(|faults| faults.list_hangs = false);
    assert_eq!(fleet.list().unwrap().len(), 2);
}

#[test]
fn refused_operation_is_not_recorded_as_executed() {
    let (_platform, fleet) = start();
    let id = "r1".into();
    let refused = fleet.reboot(&id, "op").unwrap_err();
    assert!(matches!(refused, HttpError::Status { status: 409, .. }));
    // An instance that is not drained refuses the same operation identifier again.
    assert!(fleet.reboot(&id, "op").is_err());
}
