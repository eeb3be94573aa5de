//! Checks that invalid configuration documents are refused and valid ones are kept unchanged.

use nutmegcart_model::Document;
use nutmegcart_model::Record;
use nutmegcart_model::record::MAX_DOCUMENT_BYTES;

macro_rules! refused_documents {
    ($($name:ident: $text:expr => $code:literal at $path:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = Document::parse($text.as_ref()).expect_err("document is refused");
            assert_eq!((error.code.number(), error.path.as_str()), ($code, $path));
        }
    )*};
}

refused_documents! {
    refuses_text_that_is_not_json: "{" => 2001 at "";
    refuses_unknown_version: r#"{"schema":9,"kind":"pool","name":"a"}"# => 2002 at "/schema";
    refuses_unknown_kind: r#"{"schema":1,"kind":"cart","name":"a"}"# => 2003 at "/kind";
    refuses_wrong_type: r#"{"schema":1,"kind":"pool","name":"a","service":"s","size":"8"}"# => 2004 at "/size";
    refuses_out_of_range: r#"{"schema":2,"kind":"budget","name":"a","pool":"p","percent":101}"# => 2004 at "/percent";
    refuses_more_than_a_megabyte: " ".repeat(MAX_DOCUMENT_BYTES + 1) => 2005 at "";
}

#[test]
fn keeps_fields_of_newer_versions() {
    let text = r#"{"schema":2,"kind":"pool","name":"a","service":"s","size":8,"colour":"red"}"#;
    let document = Document::parse(text.as_bytes()).unwrap();
    assert_eq!(document.value()["colour"], "red");
    let Record::Pool(pool) = document.record().unwrap() else {
        panic!("a pool document gives a pool record");
    };
    assert_eq!(pool.size, 8);
}
