//! Checks that the tables in `docs/errors.md` and `docs/events.md` match the code.

use std::fmt::Write;

use nutmegcart_model::Code;
use nutmegcart_model::Event;

/// Environment variable that makes the tests rewrite the tables instead of comparing them.
const UPDATE_VARIABLE: &str = "UPDATE_CATALOGUES";

fn check_or_update(file: &str, table: &str) {
    let path = format!("{}/../../docs/{file}", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(&path).expect("catalogue page exists");
    let (head, rest) = page.split_once("<!-- table -->\n").expect("table marker");
    let (old, tail) = rest.split_once("<!-- end -->").expect("end marker");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        let page = format!("{head}<!-- table -->\n{table}<!-- end -->{tail}");
        std::fs::write(&path, page).expect("catalogue page is writable");
    } else {
        assert_eq!(
            old, table,
            "run with {UPDATE_VARIABLE}=1 to update docs/{file}"
        );
    }
}

#[test]
fn errors_page_lists_every_code() {
    let mut table = String::from(
        "| code | name | verdict | HTTP | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in Code::ALL {
        writeln!(
            table,
            "| NC{} | {} | {:?} | {} | {} |",
            code.number(),
            code.label(),
            code.verdict(),
            code.status(),
            code.text()
        )
        .expect("writing to a string succeeds");
    }
    check_or_update("errors.md", &table);
}

#[test]
fn events_page_lists_every_event() {
    let mut table = String::from("| event | name | level | meaning |\n| --- | --- | --- | --- |\n");
    for event in Event::ALL {
        writeln!(
            table,
            "| {} | {event:?} | {} | {} |",
            event.number(),
            event.level(),
            event.text()
        )
        .expect("writing to a string succeeds");
    }
    check_or_update("events.md", &table);
}

#[test]
fn numbers_are_unique_and_ascending() {
    assert!(Code::ALL.is_sorted_by_key(|code| code.number()));
    assert!(Event::ALL.is_sorted_by_key(|event| event.number()));
}
