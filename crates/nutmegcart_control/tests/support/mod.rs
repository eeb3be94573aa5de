//! Set-up that several tests share.

use std::rc::Rc;

use nutmegcart_control::port::Directory;
use nutmegcart_control::port::FleetClient;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;

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
