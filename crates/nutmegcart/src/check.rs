//! The `check` command: validates settings and record files without network access.

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

/// Result of reading a file; the error names the file and the cause.
pub type Result<T> = std::result::Result<T, String>;

/// Reads the records of a JSON file that holds one object or an array of objects.
///
/// # Errors
///
/// Fails if the file cannot be read or is not JSON.
pub fn read_records(file: &Path) -> Result<Vec<Value>> {
    let with_path = |reason: String| format!("{}: {reason}", file.display());
    let text = fs::read(file).map_err(|error| with_path(error.to_string()))?;
    let value =
        serde_json::from_slice(&text).map_err(|error| with_path(format!("NC2001 {error}")))?;
    Ok(match value {
        Value::Array(values) => values,
        value => vec![value],
    })
}

/// Reads and parses the records of a file.
fn read_documents(file: &Path) -> Result<Vec<Document>> {
    let parsed = read_records(file)?
        .into_iter()
        .enumerate()
        .map(|(index, value)| {
            let document = Document::parse(value.to_string().as_bytes());
            document.map_err(|error| format!("{} record {index}: {error}", file.display()))
        });
    parsed.collect()
}

/// Checks the settings in the environment, the platform settings file and all record files.
///
/// References between records are checked across all files, but only if no error was found before.
pub fn run(flags: &Check) -> ExitCode {
    let mut errors = Vec::new();
    if let Err(error) = EntrySettings::read(serve::setting_from_environment) {
        errors.push(error.to_string());
    }
    let mut documents = Vec::new();
    if let Some(path) = &flags.platform {
        match nutmegcart_site::settings::check(path) {
            Ok(unknown) => {
                for field in unknown {
                    println!("{}: unknown field {field} is ignored", path.display());
                }
            }
            Err(reason) => errors.push(format!("{}: {reason}", path.display())),
        }
    }
    for file in &flags.files {
        match read_documents(file) {
            Ok(read) => documents.extend(read),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty()
        && let Err(error) = Configuration::default().with_documents(&documents, &[])
    {
        errors.push(error.to_string());
    }
    if errors.is_empty() {
        println!(
            "ok: settings and {} records are valid; limit per record: {MAX_DOCUMENT_BYTES} bytes",
            documents.len()
        );
        return ExitCode::SUCCESS;
    }
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::FAILURE
}
