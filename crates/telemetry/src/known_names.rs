//! Bounded set of the names that metrics may use as label values.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::RwLock;

/// Label value of every name that is not in the set.
pub(crate) const OTHER_LABEL: &str = "other";

/// Set of the names that may become label values; every other name is counted as `other`.
///
/// Otherwise a caller who sends a new class with each request would add a series with each of them,
/// and the metrics would grow until the VM ran out of memory.
pub(crate) struct KnownNames {
    limit: usize,
    names: RwLock<BTreeSet<Arc<str>>>,
    other: Arc<str>,
}

impl KnownNames {
    /// Returns an empty set that accepts at most `limit` names.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            names: RwLock::default(),
            other: Arc::from(OTHER_LABEL),
        }
    }

    /// Adds a name and returns its label value, or `None` if the set has the name already. The
    /// label value is the name itself, or `other` if the set is full.
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

    /// Returns the label value of a name: the name itself, or `other` if the set does not have it.
    pub(crate) fn label(&self, name: &str) -> Arc<str> {
        self.known(name).unwrap_or_else(|| Arc::clone(&self.other))
    }

    fn known(&self, name: &str) -> Option<Arc<str>> {
        let names = self.names.read().expect("no holder of the lock panics");
        names.get(name).map(Arc::clone)
    }
}
