//! Counts of replay verdicts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of verdicts by code since the start of the stream. Part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    counts: BTreeMap<String, u64>,
}

impl Counters {
    /// Returns the number of verdicts with a code; zero if there were none.
    pub fn count(&self, code: &str) -> u64 {
        self.counts.get(code).copied().unwrap_or(0)
    }

    /// Returns every code that occurred with its count, in order of code.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.counts
            .iter()
            .map(|(code, count)| (code.as_str(), *count))
    }

    pub(crate) fn add(&mut self, code: &str) {
        match self.counts.get_mut(code) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(code.to_owned(), 1)),
        }
    }
}
