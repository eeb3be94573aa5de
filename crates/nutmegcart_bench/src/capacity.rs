//! Slopes of bytes, processor time and heap over the size of the deployment.

use nutmegcart_config::ConfigView;
use nutmegcart_config::Configuration;
use nutmegcart_model::Document;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use nutmegcart_platform::fleet_api::InstanceList;
use serde::Serialize;

use crate::cost;
use crate::measure::Measure;
use crate::slope::Slope;

/// Numbers of pools at which configuration is measured, up to the size to come.
const POOLS: [usize; 3] = [25, 75, 275];
/// Numbers of instances at which lists are measured, up to the size to come.
const INSTANCES: [usize; 3] = [50, 500, 2600];
/// Repetitions of each timed call.
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
        .map(|text| Document::parse(text.as_bytes()).expect("document is valid"))
        .collect()
}

/// Returns the size of a message between entry instances in bytes.
fn encoded(message: &impl Serialize) -> f64 {
    rmp_serde::to_vec_named(message)
        .expect("message is serialisable")
        .len() as f64
}

fn json_bytes(message: &impl Serialize) -> f64 {
    let text = serde_json::to_vec(message).expect("message is serialisable");
    text.len() as f64
}

fn whole(pools: usize) -> Configuration {
    Configuration::default()
        .with_documents(&documents(pools), &[])
        .expect("references hold")
}

/// Measures a one-document change sent to a peer against sending the whole configuration.
pub fn configuration() -> Vec<Measure> {
    POOLS
        .iter()
        .map(|&pools| {
            let whole = whole(pools);
            let next = whole
                .with_documents(&documents(1)[..1], &[])
                .expect("references hold");
            let changes = next.delta_since(whole.generation());
            Measure::new(
                format!("change of one document, {pools} pools"),
                "bytes",
                encoded(&next),
                encoded(&changes),
            )
        })
        .collect()
}

fn listed(instances: usize) -> InstanceList {
    let line = |index: usize| Instance {
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
        instances: (0..instances).map(line).collect(),
        version: 1,
        full: true,
        removed: Vec::new(),
    }
}

/// Returns the slopes of lists and configuration.
pub fn slopes() -> Vec<Slope> {
    // The first use compiles the schemas, which is no cost of a configuration.
    drop(documents(1));
    let pools = |name: &str, unit: &str, cost: &dyn Fn(usize) -> f64| {
        let points = POOLS.map(|size| (size as f64, cost(size)));
        Slope::fit(name, unit, "pool", points.to_vec(), 275.0)
    };
    let instances = |name: &str, unit: &str, cost: &dyn Fn(usize) -> f64| {
        let points = INSTANCES.map(|size| (size as f64, cost(size)));
        Slope::fit(name, unit, "instance", points.to_vec(), 2600.0)
    };
    vec![
        pools("configuration: heap", "bytes", &|size| {
            cost::heap(|| whole(size))
        }),
        pools("configuration: typed view", "us", &|size| {
            let whole = whole(size);
            cost::processor(REPETITIONS, || {
                ConfigView::build(&whole).expect("references hold")
            })
        }),
        instances("instance list: whole answer", "bytes", &|size| {
            json_bytes(&listed(size))
        }),
        instances("instance list: answer with one change", "bytes", &|size| {
            let mut list = listed(size);
            list.instances.truncate(1);
            list.full = false;
            json_bytes(&list)
        }),
        instances("instance list: parsing", "us", &|size| {
            let text = serde_json::to_vec(&listed(size)).expect("list is serialisable");
            cost::processor(REPETITIONS, || {
                serde_json::from_slice::<InstanceList>(&text).expect("list is readable")
            })
        }),
        instances("instance list: heap", "bytes", &|size| {
            cost::heap(|| listed(size))
        }),
    ]
}
