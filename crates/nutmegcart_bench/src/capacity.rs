//! Message sizes, CPU time and heap memory as linear functions of the size of the deployment.

use nutmegcart_config::ConfigView;
use nutmegcart_config::Configuration;
use nutmegcart_model::Document;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use nutmegcart_platform::fleet_api::InstanceList;
use serde::Serialize;

use crate::comparison::Comparison;
use crate::cost;
use crate::linear_fit::LinearFit;

/// Numbers of pools at which the configuration is measured; the last is the planned size.
const POOL_COUNTS: [usize; 3] = [25, 75, 275];
/// Numbers of instances at which the instance list is measured; the last is the planned size.
const INSTANCE_COUNTS: [usize; 3] = [50, 500, 2600];
/// Repetitions of each timed call, of which the median is reported.
const REPETITIONS: usize = 21;

fn documents(pools: usize) -> Vec<Document> {
    (0..pools)
        .flat_map(|index| {
            let name = format!("{index}");
            [
                format!(
                    r#"{{"schema":1,"kind":"pool","name":"pool-{name}","service":"service-{name}","size":10}}"#
                ),
                format!(
                    r#"{{"schema":1,"kind":"budget","name":"budget-{name}","pool":"pool-{name}","unavailable":1}}"#
                ),
                format!(
                    r#"{{"schema":1,"kind":"job","name":"job-{name}","pool":"pool-{name}","cpu":2000,"memory":4096}}"#
                ),
            ]
        })
        .map(|json| Document::parse(json.as_bytes()).expect("document is valid"))
        .collect()
}

/// Returns the size of a message between entry instances (MessagePack) in bytes.
fn encoded_bytes(message: &impl Serialize) -> f64 {
    rmp_serde::to_vec_named(message)
        .expect("message is serialisable")
        .len() as f64
}

fn json_bytes(message: &impl Serialize) -> f64 {
    let json = serde_json::to_vec(message).expect("message is serialisable");
    json.len() as f64
}

fn full_configuration(pools: usize) -> Configuration {
    Configuration::default()
        .with_documents(&documents(pools), &[])
        .expect("references hold")
}

/// Compares sending a one-document change to a peer with sending the whole configuration.
pub fn change_messages() -> Vec<Comparison> {
    POOL_COUNTS
        .iter()
        .map(|&pools| {
            let full = full_configuration(pools);
            let next = full
                .with_documents(&documents(1)[..1], &[])
                .expect("references hold");
            let changes = next.delta_since(full.generation());
            Comparison::new(
                format!("change of one document, {pools} pools"),
                "bytes",
                encoded_bytes(&next),
                encoded_bytes(&changes),
            )
        })
        .collect()
}

fn instance_list(instances: usize) -> InstanceList {
    let instance = |index: usize| Instance {
        id: format!("runner-{index:04}").into(),
        role: Role::Runner,
        address: ([127, 0, 0, 1], 9000).into(),
        centre: format!("centre-{}", index % 8).into(),
        rack: format!("centre-{}-rack-{}", index % 8, index / 32)
            .as_str()
            .into(),
        state: InstanceState::Live,
        age_ms: 250,
        boots: 3,
    };
    InstanceList {
        instances: (0..instances).map(instance).collect(),
        version: 1,
        full: true,
        removed: Vec::new(),
    }
}

/// Returns the costs of the configuration and of the instance list.
pub fn fits() -> Vec<LinearFit> {
    // The first parse compiles the schemas; do it here so that no measurement includes it.
    drop(documents(1));
    let pools = |name: &str, unit: &str, cost: &dyn Fn(usize) -> f64| {
        let points = POOL_COUNTS.map(|size| (size as f64, cost(size)));
        LinearFit::fit(name, unit, "pool", points.to_vec(), 275.0)
    };
    let instances = |name: &str, unit: &str, cost: &dyn Fn(usize) -> f64| {
        let points = INSTANCE_COUNTS.map(|size| (size as f64, cost(size)));
        LinearFit::fit(name, unit, "instance", points.to_vec(), 2600.0)
    };
    vec![
        pools("configuration: heap", "bytes", &|size| {
            cost::retained_heap_bytes(|| full_configuration(size))
        }),
        pools("configuration: typed view", "us", &|size| {
            let full = full_configuration(size);
            cost::cpu_time_us(REPETITIONS, || {
                ConfigView::build(&full).expect("references hold")
            })
        }),
        instances("instance list: whole answer", "bytes", &|size| {
            json_bytes(&instance_list(size))
        }),
        instances("instance list: answer with one change", "bytes", &|size| {
            let mut list = instance_list(size);
            list.instances.truncate(1);
            list.full = false;
            json_bytes(&list)
        }),
        instances("instance list: parsing", "us", &|size| {
            let json = serde_json::to_vec(&instance_list(size)).expect("list is serialisable");
            cost::cpu_time_us(REPETITIONS, || {
                serde_json::from_slice::<InstanceList>(&json).expect("list is readable")
            })
        }),
        instances("instance list: heap", "bytes", &|size| {
            cost::retained_heap_bytes(|| instance_list(size))
        }),
    ]
}
