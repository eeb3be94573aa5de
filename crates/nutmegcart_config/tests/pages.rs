//! Checks that the examples on the operators' page on configuration are accepted.

use std::collections::BTreeSet;

use nutmegcart_config::Configuration;
use nutmegcart_model::Document;

#[test]
fn every_example_record_is_accepted_and_every_kind_has_one() {
    let page = include_str!("../../../docs/operations/configuration.md");
    let examples = page.split("```json\n").skip(1);
    let documents: Vec<Document> = examples
        .map(|rest| rest.split("```").next().expect("a block ends"))
        .map(|text| Document::parse(text.as_bytes()).expect("the example is valid"))
        .collect();
    let kinds: BTreeSet<&str> = documents.iter().map(Document::kind).collect();
    let known = BTreeSet::from(["budget", "job", "pool", "team", "wave"]);
    assert_eq!(kinds, known);
    let accepted = Configuration::default().with_documents(&documents, &[]);
    assert!(accepted.is_ok(), "{accepted:?}");
}
