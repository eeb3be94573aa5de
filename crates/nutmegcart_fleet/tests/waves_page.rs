//! Tests that the examples on the operators' page can be decoded.

use nutmegcart_fleet::PoolMap;
use nutmegcart_fleet::WavePhase;
use nutmegcart_fleet::WaveProgress;
use nutmegcart_fleet::planner::decode;
use nutmegcart_model::Document;

const PAGE: &str = include_str!("../../../docs/operations/waves.md");

#[test]
fn every_example_on_the_page_is_read() {
    let blocks = PAGE.split("```json\n").skip(1);
    let blocks: Vec<&str> = blocks.filter_map(|rest| rest.split("```").next()).collect();
    let (state, records) = (&blocks[blocks.len() - 2..], &blocks[..blocks.len() - 2]);
    let parse = |text: &&str| Document::parse(text.as_bytes()).expect("record is valid");
    let kinds = records.iter().map(parse);
    let kinds: Vec<String> = kinds.map(|document| document.kind().into()).collect();
    assert_eq!(kinds, ["pool", "pool", "budget", "wave"]);
    let map: PoolMap = decode(state[0].as_bytes()).expect("map is readable");
    assert!(map.instances["gates-02"].belongs_to("kernel.3"));
    let progress: WaveProgress = decode(state[1].as_bytes()).expect("progress is readable");
    assert_eq!(
        (progress.phase, progress.step_size),
        (WavePhase::Running, 4)
    );
}
