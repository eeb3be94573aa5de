//! Tests that the examples on the operators' page are accepted by the software.

use nutmegcart_model::Document;
use nutmegcart_model::Event;

#[test]
fn every_example_is_a_valid_document() {
    let page = include_str!("../../../docs/operations/placement.md");
    let examples = page.split("```json\n").skip(1);
    let texts = examples.filter_map(|rest| rest.split("\n```").next());
    let mut kinds: Vec<String> = texts
        .map(|text| {
            let document = Document::parse(text.as_bytes()).expect(text);
            document.record().expect(text);
            document.kind().to_owned()
        })
        .collect();
    kinds.dedup();
    assert_eq!(kinds, ["pool", "team", "job"]);
}

#[test]
fn numbers_of_events_are_those_of_the_code() {
    let page = include_str!("../../../docs/operations/placement.md");
    for event in [
        Event::JobSetAside,
        Event::WorkerQuarantined,
        Event::TaskStateInvalid,
        Event::WorkersUnreachable,
    ] {
        assert!(page.contains(&format!("{}", event.number())), "{event:?}");
    }
}
