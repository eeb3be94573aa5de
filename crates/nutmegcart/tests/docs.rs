//! Tests that every test and file named in the documentation exists.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the files below a directory that have the extension, except in hidden directories and
/// `target`.
fn files(directory: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("directory is readable") {
        let path = entry.expect("entry is readable").path();
        let hidden = path.file_name().is_some_and(|name| {
            let name = name.to_string_lossy();
            name.starts_with('.') || name == "target"
        });
        if path.is_dir() && !hidden {
            files(&path, extension, found);
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
}

/// Collects the names of functions, and of cases in macros that generate tests, such as
/// `refuses_text: …`, from the test directories.
fn test_names() -> BTreeSet<String> {
    let mut sources = Vec::new();
    files(&root().join("crates"), "rs", &mut sources);
    files(&root().join("platform"), "rs", &mut sources);
    let mut names = BTreeSet::new();
    for source in sources
        .iter()
        .filter(|path| path.components().any(|part| part.as_os_str() == "tests"))
    {
        let text = fs::read_to_string(source).expect("source is readable");
        for line in text.lines().map(str::trim_start) {
            let name = line.strip_prefix("fn ").unwrap_or(line);
            let end = name.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
            let (name, rest) = name.split_at(end.unwrap_or(name.len()));
            if !name.is_empty() && rest.trim_start().starts_with(['(', ':', ',', ';', '=']) {
                names.insert(name.to_owned());
            }
        }
    }
    names
}

#[test]
fn failures_page_names_existing_tests() {
    let names = test_names();
    let page = fs::read_to_string(root().join("docs/failures.md")).expect("page exists");
    let mut missing = Vec::new();
    let mut rows = 0;
    for row in page.lines().filter(|line| line.starts_with("| ")).skip(1) {
        let Some(tests) = row.split('|').nth(4) else {
            continue;
        };
        rows += 1;
        for name in tests.split('`').skip(1).step_by(2) {
            if !names.contains(name) {
                missing.push(name.to_owned());
            }
        }
    }
    assert!(rows > 0, "the page has no table");
    assert!(missing.is_empty(), "tests that do not exist: {missing:?}");
}

#[test]
fn links_between_pages_lead_somewhere() {
    let mut pages = Vec::new();
    files(&root(), "md", &mut pages);
    let mut broken = Vec::new();
    for page in pages {
        let text = fs::read_to_string(&page).expect("page is readable");
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split([')', '#']).next())
        {
            let local = !link.is_empty() && !link.contains(':');
            if local && !page.with_file_name("").join(link).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
