//! Tests the order of imports, because the stable formatter neither splits nor groups them.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Returns the rank of the group of an import: standard library, external, own.
fn group(line: &str) -> usize {
    let path = line.trim_start_matches("pub ").trim_start_matches("use ");
    let root = path.split([':', ';']).next().unwrap_or("");
    match root {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ => 1,
    }
}

/// Collects the Rust files below a directory.
fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("directory is readable") {
        let path = entry.expect("entry is readable").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn imports_are_one_per_line_in_three_groups() {
    let mut files = Vec::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join(".."),
        &mut files,
    );
    let adapter = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform");
    sources(&adapter, &mut files);
    let mut errors = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("source is readable");
        // Only private imports at the top level are checked; re-exports have a different order.
        let mut last = 0;
        let mut block = String::new();
        for (index, line) in text.lines().enumerate() {
            if line.starts_with("use ") {
                let location = format!("{}:{}", file.display(), index + 1);
                if line.contains('{') {
                    errors.push(format!("{location}: several imports in one line"));
                }
                let group = group(line);
                if group < last {
                    errors.push(format!("{location}: group out of order"));
                }
                if block == "use" && group != last {
                    errors.push(format!("{location}: no blank line between groups"));
                }
                last = group;
                block = "use".into();
            } else {
                block.clear();
            }
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}
