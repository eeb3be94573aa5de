//! Configurations that an instance learns from peers while the store fails for it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::NodeSettings;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::member::MemberRecord;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::operator_records;
use nutmegcart_control::operator_records::NewerConfiguration;
use nutmegcart_control::operator_records::StoredConfiguration;
use nutmegcart_control::peer;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::OperatorRecord;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::port::RangeReply;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::StoreError;
use tokio::task::LocalSet;

mod support;

/// Time between looks at the configurations in force.
const PERIOD: Duration = Duration::from_millis(20);

/// Returns the entry of a configuration, whose value is its version.
fn entry(version: u64) -> KeyValue {
    KeyValue {
        key: "operator/config".into(),
        value: version.to_string().into_bytes(),
        modified: i64::try_from(version).expect("a small version"),
        ..KeyValue::default()
    }
}

fn parse(item: &KeyValue) -> Result<OperatorRecord, String> {
    let text = String::from_utf8_lossy(&item.value);
    let version = text.parse().map_err(|_| "no number".to_owned())?;
    Ok(OperatorRecord::Configuration(Box::new(PlatformConfig {
        version,
        queues: Vec::new(),
        callers: Vec::new(),
        organisations: None,
        pools: Vec::new(),
        limits: CallerLimits {
            head_timeout: Duration::from_secs(3),
            head_bytes: 1 << 14,
            body_bytes: 1 << 18,
            idle_timeout: Duration::from_mins(1),
        },
    })))
}

/// An instance, with the version that the store has for it; none while the store refuses it.
struct Instance {
    node: Rc<Node>,
    stored: Rc<Cell<Option<u64>>>,
    reads: Rc<Cell<usize>>,
}

fn instance(stored: Option<u64>) -> Instance {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let stored = Rc::new(Cell::new(stored));
    let reads = Rc::new(Cell::new(0));
    let mut platform = support::silent_platform();
    platform.directory.parse_record = Rc::new(parse);
    let (version, count) = (stored.clone(), reads.clone());
    platform.store.range = Rc::new(move |_| {
        count.set(count.get() + 1);
        let items = version.get().map(|version| vec![entry(version)]);
        let reply = items.map(|items| RangeReply { items, revision: 1 });
        let refused = StoreError::Refused {
            reason: "scripted".into(),
        };
        Box::pin(std::future::ready(reply.ok_or(refused)))
    });
    // Each watch fails, so that the next read shows whether the store refuses the instance.
    platform.store.watch = Rc::new(|_, _, _| {
        Box::pin(async {
            tokio::time::sleep(PERIOD).await;
            Err(StoreError::Compacted { oldest: 1 })
        })
    });
    let settings = NodeSettings {
        peer,
        ..support::settings()
    };
    let node = Node::new(settings, platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
    Instance {
        node,
        stored,
        reads,
    }
}

/// Starts what concerns configurations on instances that know each other.
fn start(instances: &[&Instance]) {
    let addresses: Vec<SocketAddr> = instances
        .iter()
        .map(|each| each.node.settings.peer)
        .collect();
    for each in instances {
        let node = &each.node;
        for (number, peer) in addresses.iter().enumerate() {
            let member = MemberRecord {
                peer: *peer,
                cores: 0.25,
                state_format: 0,
            };
            let name = format!("entry-{number}").into();
            node.members.borrow_mut().insert(name, member);
        }
        let address = node.settings.peer;
        tokio::task::spawn_local(peer::serve(node.clone(), JobService::default(), address));
        tokio::task::spawn_local(operator_records::watch(node.clone()));
        tokio::task::spawn_local(operator_records::follow_peers(node.clone()));
    }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(PERIOD).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

/// Guards against an instance that keeps a configuration with revoked keys for as long as the store
/// refuses it, although its peers have a newer one.
#[test]
fn instance_that_the_store_refuses_learns_the_configuration_from_a_peer() {
    run(async {
        let (reader, refused, other) = (instance(Some(3)), instance(Some(3)), instance(Some(3)));
        start(&[&reader, &refused, &other]);
        let version = |instance: &Instance| instance.node.config_version();
        until(|| version(&reader) == Some(3) && version(&refused) == Some(3)).await;
        refused.stored.set(None);
        other.stored.set(None);
        reader.stored.set(Some(5));
        until(|| version(&refused) == Some(5) && version(&other) == Some(5)).await;
        // A lower version replaces nothing, from the store or from a peer.
        reader.stored.set(Some(4));
        refused.stored.set(Some(4));
        let reads = refused.reads.get();
        until(|| refused.reads.get() > reads + 2).await;
        assert_eq!([version(&reader), version(&refused)], [Some(5); 2]);
    });
}

/// Guards against an instance that begins with the configuration of a peer, which may be outdated.
#[test]
fn instance_that_has_read_no_configuration_learns_none_from_peers() {
    run(async {
        let (reader, starting) = (instance(Some(3)), instance(None));
        start(&[&reader, &starting]);
        until(|| starting.node.records_failing.get()).await;
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(starting.node.config_version(), None);
        starting.stored.set(Some(3));
        until(|| starting.node.config_version() == Some(3)).await;
    });
}

/// Guards against a peer that sends configurations that the other has, or claims to be up to date
/// while the store fails for it too.
#[test]
fn peers_tell_newer_configurations_only() {
    let node = instance(None).node;
    assert_eq!(
        operator_records::newer_than(&node, 0),
        NewerConfiguration::Missing
    );
    node.records_failing.set(true);
    assert_eq!(
        operator_records::newer_than(&node, 0),
        NewerConfiguration::Unknown
    );
    operator_records::apply(&node, entry(6));
    let stored = StoredConfiguration {
        key: "operator/config".into(),
        value: b"6".to_vec(),
    };
    let found = NewerConfiguration::Found(stored);
    assert_eq!(operator_records::newer_than(&node, 5), found);
    assert_eq!(
        operator_records::newer_than(&node, 6),
        NewerConfiguration::Unknown
    );
    // Configurations contain keys.
    assert!(!format!("{found:?}").contains("[54]"));
}
