//! Tunables of the admission policies.

/// `Options` holds the tunables of the admission policies.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The most requests that wait on this VM, over all targets.
    pub max_waiting: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_waiting: 4_096 }
    }
}
