//! Set-up that several tests share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::NodeSettings;
use nutmegcart_control::node::ReloadableSettings;
use nutmegcart_control::port::Directory;
use nutmegcart_control::port::FleetClient;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;

/// Returns the settings of an instance to which no test connects.
pub fn settings() -> NodeSettings {
    NodeSettings {
        name: "entry-1".into(),
        peer: "127.0.0.1:1".parse().expect("an address"),
        cores: 0.25,
        lease: Duration::from_secs(2),
        reloadable: ReloadableSettings::default(),
    }
}

/// Returns a platform that never answers.
pub fn silent_platform() -> Platform {
    Platform {
        store: KeyStore {
            get: Rc::new(|_| Box::pin(std::future::pending())),
            range: Rc::new(|_| Box::pin(std::future::pending())),
            watch: Rc::new(|_, _, _| Box::pin(std::future::pending())),
            txn: Rc::new(|_| Box::pin(std::future::pending())),
            grant_lease: Rc::new(|_| Box::pin(std::future::pending())),
            renew_lease: Rc::new(|_| Box::pin(std::future::pending())),
            revoke_lease: Rc::new(|_| Box::pin(std::future::pending())),
        },
        fleet: FleetClient {
            poll: Rc::new(|_, _| Box::pin(std::future::pending())),
            send_order: Rc::new(|_, _| Box::pin(std::future::pending())),
            list_machines: Rc::new(|| Box::pin(std::future::pending())),
            send_machine_order: Rc::new(|_| Box::pin(std::future::pending())),
            request_tickets: Rc::new(|_, _| Box::pin(std::future::pending())),
        },
        directory: Directory {
            operator_prefix: "operator/".into(),
            parse_record: Rc::new(|_| Err(String::new())),
            worker_prefix: "workers/".into(),
            parse_listing: Rc::new(|_| Err(String::new())),
            worker_of: Rc::new(|_| None),
            wave_progress: Rc::new(|_, _| (String::new(), Vec::new())),
        },
    }
}
