//! Problems of a settings file, as they are printed for the operator.

use std::fmt;

/// One fault of a settings file, with all that an operator needs to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number from 1, or `None` if the fault has no line, as with a missing key.
    pub line: Option<usize>,
    /// Name of the section, empty if the problem belongs to none.
    pub section: String,
    /// Name of the key, or `None` if the problem is about the section as a whole.
    pub key: Option<String>,
    /// Value as it is written in the file, or `None` if there is none to show. A placeholder stands
    /// for a secret.
    pub value: Option<String>,
    /// Description of the fault, and of the values that are allowed.
    pub allowed: String,
}

impl Problem {
    /// Returns a problem that concerns a section as a whole.
    pub fn of_section(section: &str, line: Option<usize>, allowed: impl Into<String>) -> Self {
        Self {
            line,
            section: section.to_owned(),
            key: None,
            value: None,
            allowed: allowed.into(),
        }
    }

    /// Returns a problem that concerns one key of a section.
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
