//! Checks settings and record files offline.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use nutmegcart_config::Configuration;
use nutmegcart_entry::EntrySettings;
use nutmegcart_model::Document;
use nutmegcart_model::record::MAX_DOCUMENT_BYTES;
use serde_json::Value;

use crate::flags::Check;
use crate::serve;

/// Result of reading a file.
pub type Result<T> = std::result::Result<T, String>;

/// Reads the records of a file: one object or an array of objects.
///
/// # Errors
///
/// Names the file and what is wrong with it.
pub fn read(file: &Path) -> Result<Vec<Value>> {
    let named = |reason: String| format!("{}: {reason}", file.display());
    let text = fs::read(file).map_err(|error| named(error.to_string()))?;
    let value = serde_json::from_slice(&text).map_err(|error| named(format!("NC2001 {error}")))?;
    Ok(match value {
        Value::Array(values) => values,
        value => vec![value],
    })
}

fn documents(file: &Path) -> Result<Vec<Document>> {
    let checked = read(file)?.into_iter().enumerate().map(|(index, value)| {
        let document = Document::parse(value.to_string().as_bytes());
        document.map_err(|fault| format!("{} record {index}: {fault}", file.display()))
    });
    checked.collect()
}

/// Checks settings from the environment and all files together.
pub fn run(flags: &Check) -> ExitCode {
    let mut faults = Vec::new();
    if let Err(error) = EntrySettings::read(serve::from_environment) {
        faults.push(error.to_string());
    }
    let mut all = Vec::new();
    if let Some(path) = &flags.platform {
        match nutmegcart_site::settings::check(path) {
            Ok(unknown) => {
                for field in unknown {
                    println!(
                        "{}: {field} is not known and is passed over",
                        path.display()
                    );
                }
            }
            Err(reason) => faults.push(format!("{}: {reason}", path.display())),
        }
    }
    for file in &flags.files {
        match documents(file) {
            Ok(found) => all.extend(found),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty()
        && let Err(fault) = Configuration::default().with_documents(&all, &[])
    {
        faults.push(fault.to_string());
    }
    if faults.is_empty() {
        println!(
            "ok: settings and {} records, each up to {MAX_DOCUMENT_BYTES} bytes",
            all.len()
        );
        return ExitCode::SUCCESS;
    }
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::FAILURE
}
