//! Guards against the stand-in's instance list being more reliable than the platform's.

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
fn a_lagging_list_shows_the_past_with_its_age() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.list_lag = Duration::from_hours(1));
    assert!(fleet.list().unwrap().is_empty());
    platform.set_faults(|faults| faults.list_lag = Duration::ZERO);
    platform.set_state("r1", InstanceState::Failed);
    assert_eq!(fleet.list().unwrap()[0].state, InstanceState::Failed);
}

#[test]
fn a_list_can_lose_lines() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.hidden.extend(["r1".into()]));
    let list = fleet.list().unwrap();
    assert_eq!((list.len(), &*list[0].id), (1, "r2"));
}

#[test]
fn a_silent_list_answers_nothing_until_switched_back() {
    let (platform, fleet) = start();
    platform.set_faults(|faults| faults.list_hangs = true);
    let impatient = FleetApi::http(platform.address, Duration::from_millis(50));
    assert!(impatient.list().is_err());
    platform.set_faults(|faults| faults.list_hangs = false);
    assert_eq!(fleet.list().unwrap().len(), 2);
}

#[test]
fn a_refused_operation_is_not_remembered_as_done() {
    let (_platform, fleet) = start();
    let id = "r1".into();
    let early = fleet.reboot(&id, "op").unwrap_err();
    assert!(matches!(early, HttpError::Status { status: 409, .. }));
    // The same identifier is refused again as long as the instance is live.
    assert!(fleet.reboot(&id, "op").is_err());
}
