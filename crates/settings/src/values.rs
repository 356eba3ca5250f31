//! The values of a file, each checked by itself.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cluster_key::ClusterKey;
use crate::document::Document;
use crate::document::Entry;
use crate::document::Section;
use crate::keys;
use crate::keys::DefaultValue;
use crate::keys::KEYS;
use crate::keys::Key;
use crate::kind::Value;
use crate::problem::Problem;

/// What stands in a message in place of a secret.
const HIDDEN: &str = "(hidden)";

type Place = (&'static str, &'static str);

/// `Values` are the values that could be read, given or by default.
#[derive(Debug, Default)]
pub(crate) struct Values {
    values: HashMap<Place, Value>,
    lines: HashMap<Place, usize>,
}

impl Values {
    /// Returns the values of a document, and a problem for each one that is wrong, missing,
    /// repeated or not known.
    pub(crate) fn of(document: &Document) -> (Self, Vec<Problem>) {
        let mut values = Self::default();
        let mut problems = Vec::new();
        let mut heads: HashMap<&str, usize> = HashMap::new();
        for section in &document.sections {
            if let Some(first) = heads.insert(&section.name, section.line) {
                problems.push(Problem::of_section(
                    &section.name,
                    Some(section.line),
                    format!("the section stands already at line {first}; it may stand once"),
                ));
            }
            values.take_section(section, &mut problems);
        }
        values.fill_in(&mut problems);
        (values, problems)
    }

    fn take_section(&mut self, section: &Section, problems: &mut Vec<Problem>) {
        if !keys::is_section(&section.name) {
            let allowed = format!(
                "unknown section; allowed are {}",
                keys::sections().join(", ")
            );
            let problem = Problem::of_section(&section.name, Some(section.line), allowed);
            problems.push(problem);
            return;
        }
        for entry in &section.entries {
            match keys::find(&section.name, &entry.key) {
                Some(key) => self.take_entry(key, entry, problems),
                None => problems.push(unknown_key(section, entry)),
            }
        }
    }

    fn take_entry(&mut self, key: &Key, entry: &Entry, problems: &mut Vec<Problem>) {
        let shown = if key.kind.is_secret() {
            HIDDEN
        } else {
            &entry.value
        };
        let problem = |allowed: String| {
            Problem::of_key(
                key.section,
                key.name,
                Some(shown),
                Some(entry.line),
                allowed,
            )
        };
        let place = (key.section, key.name);
        if let Some(first) = self.lines.get(&place) {
            let allowed = format!("the key stands already at line {first}; it may stand once");
            problems.push(problem(allowed));
            return;
        }
        self.lines.insert(place, entry.line);
        match key.kind.read(&entry.value) {
            Some(value) => {
                self.values.insert(place, value);
            }
            None => problems.push(problem(format!("allowed is {}", key.kind.allowed()))),
        }
    }

    fn fill_in(&mut self, problems: &mut Vec<Problem>) {
        for key in KEYS {
            let place = (key.section, key.name);
            if self.lines.contains_key(&place) {
                continue;
            }
            match key.default {
                DefaultValue::Unset => {}
                DefaultValue::Required => problems.push(Problem::of_key(
                    key.section,
                    key.name,
                    None,
                    None,
                    format!("missing; allowed is {}", key.kind.allowed()),
                )),
                DefaultValue::Text(text) => {
                    let value = key.kind.read(text).expect("each default is allowed");
                    self.values.insert(place, value);
                }
            }
        }
    }

    /// Returns the line at which a key was given, or none for a default.
    pub(crate) fn line(&self, section: &'static str, name: &'static str) -> Option<usize> {
        self.lines.get(&(section, name)).copied()
    }

    /// Returns a number, or none if it could not be read or is unset.
    pub(crate) fn number(&self, section: &'static str, name: &'static str) -> Option<u64> {
        match self.values.get(&(section, name)) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns an address, or none if it could not be read.
    pub(crate) fn address(&self, section: &'static str, name: &'static str) -> Option<SocketAddr> {
        match self.values.get(&(section, name)) {
            Some(Value::Address(address)) => Some(*address),
            _ => None,
        }
    }

    /// Returns a text, or none if it could not be read or is unset.
    pub(crate) fn text(&self, section: &'static str, name: &'static str) -> Option<&str> {
        match self.values.get(&(section, name)) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns the shared key, or none if it could not be read.
    pub(crate) fn cluster_key(&self) -> Option<&ClusterKey> {
        match self.values.get(&("peers", "cluster_key")) {
            Some(Value::Key(key)) => Some(key),
            _ => None,
        }
    }
}

fn unknown_key(section: &Section, entry: &Entry) -> Problem {
    // The value is not repeated: it may be the shared key below a name with a slip in it.
    let known = keys::names_of(&section.name).join(", ");
    Problem::of_key(
        &section.name,
        &entry.key,
        None,
        Some(entry.line),
        format!("unknown key; allowed are {known}"),
    )
}
