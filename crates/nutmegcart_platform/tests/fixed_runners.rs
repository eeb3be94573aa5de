//! Guards a site without a platform: a drained runner returns only after it was restarted.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::time::Duration;

use nutmegcart_platform::FleetApi;
use nutmegcart_platform::InstanceState;

#[test]
fn restart_by_hand_is_found_by_the_address() {
    let runner = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = runner.local_addr().unwrap();
    let fleet = FleetApi::fixed(&"local".into(), &[address], Duration::ZERO);
    let id = "runner-1".into();
    let seen = || {
        let line = fleet.list().unwrap().remove(0);
        (line.state, line.boots)
    };
    fleet.drain(&id, "operation-1").unwrap();
    assert_eq!(seen(), (InstanceState::Drained, 0));
    fleet.reboot(&id, "operation-1").unwrap();
    // It still accepts connections, so it was not restarted yet.
    assert_eq!(seen(), (InstanceState::Rebooting, 0));
    drop(runner);
    assert_eq!(seen(), (InstanceState::Rebooting, 0));
    let _runner = TcpListener::bind(address).unwrap();
    assert_eq!(seen(), (InstanceState::Live, 1));
    // Repeated calls of the finished operation change nothing.
    fleet.drain(&id, "operation-1").unwrap();
    fleet.reboot(&id, "operation-1").unwrap();
    assert_eq!(seen(), (InstanceState::Live, 1));
}
