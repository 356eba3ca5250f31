//! Names as label values, bounded in number.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::RwLock;

/// The label value of a name that is not among the known ones.
pub(crate) const OTHER_LABEL: &str = "other";

/// `KnownNames` is the set of names that may become label values.
///
/// A name that a caller made up could otherwise become a series of its own: a caller who sends a
/// new class with each request would make the metrics grow until the VM has no memory left. One
/// would notice a scrape that grows by the hour. Here such a name is counted as `other`.
pub(crate) struct KnownNames {
    limit: usize,
    names: RwLock<BTreeSet<Arc<str>>>,
    other: Arc<str>,
}

impl KnownNames {
    /// Returns a set that holds at most `limit` names.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            names: RwLock::default(),
            other: Arc::from(OTHER_LABEL),
        }
    }

    /// Adds a name and returns its label value, or none if it is known already. The label value is
    /// the name itself, or `other` if the set is full.
    pub(crate) fn add(&self, name: &str) -> Option<Arc<str>> {
        if self.known(name).is_some() {
            return None;
        }
        let mut names = self.names.write().expect("no holder of the lock panics");
        if names.len() >= self.limit {
            return Some(Arc::clone(&self.other));
        }
        let name: Arc<str> = Arc::from(name);
        names.insert(Arc::clone(&name));
        Some(name)
    }

    /// Returns a name's label value: the name itself, or `other` if it was not added.
    pub(crate) fn label(&self, name: &str) -> Arc<str> {
        self.known(name).unwrap_or_else(|| Arc::clone(&self.other))
    }

    fn known(&self, name: &str) -> Option<Arc<str>> {
        let names = self.names.read().expect("no holder of the lock panics");
        names.get(name).map(Arc::clone)
    }
}
