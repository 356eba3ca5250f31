//! What is wrong with a file of settings.

use std::fmt;

/// `Problem` is one thing that is wrong, told so that it can be mended without reading code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from one, or none where something is missing.
    pub line: Option<usize>,
    /// The section.
    pub section: String,
    /// The key, or none where the section as a whole is meant.
    pub key: Option<String>,
    /// The value as written, or none where there is none. A secret is never repeated.
    pub value: Option<String>,
    /// What is wrong and what is allowed.
    pub allowed: String,
}

impl Problem {
    /// Returns a problem of a section.
    pub fn of_section(section: &str, line: Option<usize>, allowed: impl Into<String>) -> Self {
        Self {
            line,
            section: section.to_owned(),
            key: None,
            value: None,
            allowed: allowed.into(),
        }
    }

    /// Returns a problem of a key.
    pub fn of_key(
        section: &str,
        key: &str,
        value: Option<&str>,
        line: Option<usize>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            line,
            section: section.to_owned(),
            key: Some(key.to_owned()),
            value: value.map(str::to_owned),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.section.is_empty() {
            write!(formatter, "[{}]", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(formatter, " {key}")?;
        }
        if let Some(value) = &self.value {
            write!(formatter, " = {value:?}")?;
        }
        write!(formatter, ": {}", self.allowed)
    }
}
