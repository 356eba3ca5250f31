//! Names of the platform's wire, from a data file beside the package.

const NAMES: &str = include_str!("../names.txt");

/// Returns the name that the wire uses for `key`.
pub fn name(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once('='));
    let found = pairs.find(|(known, _)| *known == key);
    found
        .map(|(_, name)| name)
        .expect("every name used is in the data file")
}
