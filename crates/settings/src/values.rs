//! Values of a settings file, each parsed and checked by itself.

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

/// Text that messages show instead of a secret value.
const SECRET_PLACEHOLDER: &str = "(hidden)";

type KeyPath = (&'static str, &'static str);

/// Values that could be parsed, from the file or by default.
#[derive(Debug, Default)]
pub(crate) struct Values {
    /// By section and key.
    values: HashMap<KeyPath, Value>,
    /// Line numbers of the keys that the file has, by section and key.
    lines: HashMap<KeyPath, usize>,
}

impl Values {
    /// Parses the values of a document, and returns a problem for each key that is invalid,
    /// missing, duplicate or unknown.
    pub(crate) fn of(document: &Document) -> (Self, Vec<Problem>) {
        let mut values = Self::default();
        let mut problems = Vec::new();
        let mut first_lines: HashMap<&str, usize> = HashMap::new();
        for section in &document.sections {
            if let Some(first) = first_lines.insert(&section.name, section.line) {
                problems.push(Problem::of_section(
                    &section.name,
                    Some(section.line),
                    format!("duplicate section; it begins first at line {first}"),
                ));
            }
            values.read_section(section, &mut problems);
        }
        values.apply_defaults(&mut problems);
        (values, problems)
    }

    fn read_section(&mut self, section: &Section, problems: &mut Vec<Problem>) {
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
                Some(key) => self.read_entry(key, entry, problems),
                None => problems.push(unknown_key(section, entry)),
            }
        }
    }

    fn read_entry(&mut self, key: &Key, entry: &Entry, problems: &mut Vec<Problem>) {
        let shown = if key.kind.is_secret() {
            SECRET_PLACEHOLDER
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
        let key_path = (key.section, key.name);
        if let Some(first) = self.lines.get(&key_path) {
            let allowed = format!("duplicate key; it is set first at line {first}");
            problems.push(problem(allowed));
            return;
        }
        self.lines.insert(key_path, entry.line);
        match key.kind.read(&entry.value) {
            Some(value) => {
                self.values.insert(key_path, value);
            }
            None => problems.push(problem(format!("allowed is {}", key.kind.allowed()))),
        }
    }

    fn apply_defaults(&mut self, problems: &mut Vec<Problem>) {
        for key in KEYS {
            let key_path = (key.section, key.name);
            if self.lines.contains_key(&key_path) {
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
                    self.values.insert(key_path, value);
                }
            }
        }
    }

    /// Returns the line number of a key in the file, or `None` if its default applies.
    pub(crate) fn line(&self, section: &'static str, name: &'static str) -> Option<usize> {
        self.lines.get(&(section, name)).copied()
    }

    /// Returns a number, or `None` if it is invalid or unset.
    pub(crate) fn number(&self, section: &'static str, name: &'static str) -> Option<u64> {
        match self.values.get(&(section, name)) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns an address, or `None` if it is invalid or missing.
    pub(crate) fn address(&self, section: &'static str, name: &'static str) -> Option<SocketAddr> {
        match self.values.get(&(section, name)) {
            Some(Value::Address(address)) => Some(*address),
            _ => None,
        }
    }

    /// Returns a text, or `None` if it is invalid, missing or unset.
    pub(crate) fn text(&self, section: &'static str, name: &'static str) -> Option<&str> {
        match self.values.get(&(section, name)) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns the shared secret key, or `None` if it is invalid or missing.
    pub(crate) fn cluster_key(&self) -> Option<&ClusterKey> {
        match self.values.get(&("peers", "cluster_key")) {
            Some(Value::Key(key)) => Some(key),
            _ => None,
        }
    }
}

fn unknown_key(section: &Section, entry: &Entry) -> Problem {
    // The value is not shown: it may be the cluster key behind a misspelt name.
    let known = keys::key_names(&section.name).join(", ");
    Problem::of_key(
        &section.name,
        &entry.key,
        None,
        Some(entry.line),
        format!("unknown key; allowed are {known}"),
    )
}
