//! Agreement between the settings keys and the rows of `docs/SETTINGS.md`.

use std::fs;
use std::path::Path;

use apricotdale_settings::KEYS;

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    fs::read_to_string(path).expect("the page can be read")
}

#[test]
fn every_key_documented() {
    let page = page();
    let mut missing = Vec::new();
    for key in KEYS {
        let head = format!("## [{}]\n", key.section());
        let section = page.split(&head).nth(1).unwrap_or_default();
        let section = section.split("\n## ").next().unwrap_or_default();
        if !section.contains(&key.row()) {
            missing.push(format!("[{}] {}", key.section(), key.row()));
        }
    }
    assert!(
        missing.is_empty(),
        "add these rows:\n{}",
        missing.join("\n")
    );
}

#[test]
fn no_extra_rows() {
    let rows = page()
        .lines()
        .filter(|line| line.starts_with("| `"))
        .count();
    assert_eq!(rows, KEYS.len());
}
