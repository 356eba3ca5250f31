//! Counts of verdicts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// `Counters` count the verdicts since the start of the stream by their codes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    counts: BTreeMap<String, u64>,
}

impl Counters {
    /// Returns how often a verdict of a code was given.
    pub fn count(&self, code: &str) -> u64 {
        self.counts.get(code).copied().unwrap_or(0)
    }

    /// Returns every code with its count.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.counts
            .iter()
            .map(|(code, count)| (code.as_str(), *count))
    }

    /// Counts a verdict of a code.
    pub(crate) fn add(&mut self, code: &str) {
        match self.counts.get_mut(code) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(code.to_owned(), 1)),
        }
    }
}
