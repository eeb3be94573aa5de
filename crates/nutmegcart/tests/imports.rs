//! Guards against import lists that the stable formatter does not normalise.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Rank of the group that an import belongs to: standard library, external, own.
fn group(line: &str) -> usize {
    let path = line.trim_start_matches("pub ").trim_start_matches("use ");
    let root = path.split([':', ';']).next().unwrap_or("");
    match root {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ => 1,
    }
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder is readable") {
        let path = entry.expect("entry is readable").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn one_import_a_line_in_three_groups() {
    let mut files = Vec::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join(".."),
        &mut files,
    );
    let adapter = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform");
    sources(&adapter, &mut files);
    let mut faults = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("source is readable");
        // Private imports at the top level; re-exports have an order of their own.
        let mut last = 0;
        let mut block = String::new();
        for (index, line) in text.lines().enumerate() {
            if line.starts_with("use ") {
                let place = format!("{}:{}", file.display(), index + 1);
                if line.contains('{') {
                    faults.push(format!("{place}: several imports in one line"));
                }
                let group = group(line);
                if group < last {
                    faults.push(format!("{place}: group out of order"));
                }
                if block == "use" && group != last {
                    faults.push(format!("{place}: no blank line between groups"));
                }
                last = group;
                block = "use".into();
            } else {
                block.clear();
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
