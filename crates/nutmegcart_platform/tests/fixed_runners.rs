//! Checks that without a platform a drained runner returns to service only after a restart.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::time::Duration;

use nutmegcart_platform::FleetApi;
use nutmegcart_platform::InstanceState;

#[test]
fn manual_restart_is_detected_by_connection_probes() {
    let runner = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = runner.local_addr().unwrap();
    let fleet = FleetApi::fixed(&"local".into(), &[address], Duration::ZERO);
    let id = "runner-1".into();
    let listed = || {
        let instance = fleet.list().unwrap().remove(0);
        (instance.state, instance.boots)
    };
    fleet.drain(&id, "operation-1").unwrap();
    assert_eq!(listed(), (InstanceState::Drained, 0));
    fleet.reboot(&id, "operation-1").unwrap();
    // The address still accepts connections, so the runner has not been restarted yet.
    assert_eq!(listed(), (InstanceState::Rebooting, 0));
    drop(runner);
    assert_eq!(listed(), (InstanceState::Rebooting, 0));
    let _runner = TcpListener::bind(address).unwrap();
    assert_eq!(listed(), (InstanceState::Live, 1));
    // Repeated calls of the finished operation have no effect.
    fleet.drain(&id, "operation-1").unwrap();
    fleet.reboot(&id, "operation-1").unwrap();
    assert_eq!(listed(), (InstanceState::Live, 1));
}
