//! The pages name tests as proofs: each file that they name is there.

use std::fs;
use std::path::{Path, PathBuf};

const PAGES: [&str; 4] = ["PROMISES.md", "RULES.md", "HUNTS.md", "SOAK.md"];
const CRATES: [&str; 10] = [
    "cli", "daemon", "load", "once", "platform", "policy", "settings", "soak", "store", "wire",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The test file that a word in backticks names as `CRATE/FILE`; nothing for other words.
fn test_file(word: &str) -> Option<PathBuf> {
    let (package, file) = word.split_once('/')?;
    let is_name = |name: &str| {
        name.chars()
            .all(|sign| sign.is_ascii_lowercase() || sign == '_')
    };
    if !CRATES.contains(&package) || file.is_empty() || !is_name(file) {
        return None;
    }
    let folder = match package {
        "platform" => root().join("platform"),
        _ => root().join("crates").join(package),
    };
    Some(test_target(&folder.join("tests"), file))
}

/// The file from which Cargo builds the test `name`: one that has grown large is a folder
/// with a `main.rs`.
fn test_target(tests: &Path, name: &str) -> PathBuf {
    let in_parts = tests.join(name).join("main.rs");
    if in_parts.is_file() {
        return in_parts;
    }
    tests.join(format!("{name}.rs"))
}

#[test]
fn every_test_file_that_a_page_names_is_there() {
    let mut named = 0;
    for page in PAGES {
        let text = fs::read_to_string(root().join("docs").join(page)).expect("a page");
        for file in text.split('`').filter_map(test_file) {
            assert!(file.is_file(), "{page} names {}", file.display());
            named += 1;
        }
    }
    assert!(named > 50, "{named} files named");
}
