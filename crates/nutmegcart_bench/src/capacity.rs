//! Slopes of bytes and messages over the size of the deployment.

use nutmegcart_config::Configuration;
use nutmegcart_model::Document;
use serde::Serialize;

use crate::measure::Measure;

/// Numbers of pools at which configuration bytes are measured.
const POOLS: [usize; 3] = [25, 75, 275];

fn documents(pools: usize) -> Vec<Document> {
    (0..pools)
        .flat_map(|index| {
            [
                format!(
                    r#"{{"schema":1,"kind":"pool","name":"pool-{index}","service":"service-{index}","size":10}}"#
                ),
                format!(
                    r#"{{"schema":1,"kind":"budget","name":"budget-{index}","pool":"pool-{index}","unavailable":1}}"#
                ),
            ]
        })
        .map(|text| Document::parse(text.as_bytes()).expect("document is valid"))
        .collect()
}

/// Measures a one-document change sent to a peer against sending the whole configuration.
pub fn configuration() -> Vec<Measure> {
    POOLS
        .iter()
        .map(|&pools| {
            let documents = documents(pools);
            let base = Configuration::default();
            let whole = base.with(&documents, &[]).expect("references hold");
            let next = whole.with(&documents[..1], &[]).expect("references hold");
            let changes = next.changes_since(whole.generation());
            Measure::new(
                format!("change of one document, {pools} pools"),
                "bytes",
                encoded(&next),
                encoded(&changes),
            )
        })
        .collect()
}

/// Returns the size of a message between entry instances in bytes.
fn encoded(message: &impl Serialize) -> f64 {
    rmp_serde::to_vec_named(message)
        .expect("message is serialisable")
        .len() as f64
}
