//! Texts of events, which tell the version of the software that wrote them.

use std::collections::BTreeSet;

/// Software version of upstreams whose options name no other.
pub const DEFAULT_SOFTWARE_VERSION: &str = "v1";

/// What precedes the version in the data of an event.
const VERSION_SEPARATOR: &str = " of ";

/// Texts of the events that one version of an engine's software writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventTexts {
    /// What follows the number of an event; empty for the default version.
    suffix: String,
}

impl EventTexts {
    /// Returns the texts of a version.
    pub fn new(software_version: &str) -> Self {
        let suffix = match software_version {
            DEFAULT_SOFTWARE_VERSION => String::new(),
            version => format!("{VERSION_SEPARATOR}{version}"),
        };
        Self { suffix }
    }

    /// Returns the data of an event.
    pub fn words(&self, event: u64) -> String {
        format!("piece {event}{}", self.suffix)
    }

    /// Returns the text of an event without faults.
    pub fn event(&self, event: u64) -> String {
        format!("id: {event}\ndata: {}\n\n", self.words(event))
    }

    /// Returns the text of an event with a second line of data; without it if it has no bytes.
    pub fn filled_event(&self, event: u64, filler_bytes: usize) -> String {
        match filler_bytes {
            0 => self.event(event),
            bytes => format!(
                "id: {event}\ndata: {}\ndata: {}\n\n",
                self.words(event),
                "x".repeat(bytes)
            ),
        }
    }
}

/// Returns the versions of the software that wrote the events of a text. Events with faults in
/// their contents are left out.
pub fn writing_versions(text: &str) -> BTreeSet<String> {
    let version_of = |line: &str| {
        let words = line.strip_prefix("data: piece ")?;
        let version = words.split_once(VERSION_SEPARATOR);
        let version = version.map_or(DEFAULT_SOFTWARE_VERSION, |(_, version)| version);
        Some(version.to_owned())
    };
    text.lines().filter_map(version_of).collect()
}
