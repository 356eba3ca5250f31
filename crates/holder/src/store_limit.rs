//! How many loads from the weight store run at once.

/// The most loads at once. More were not tried.
const MOST: usize = 4;

/// Loads at once before anything is known of the store. Where the store gives one load at a time its
/// full speed, four at once were not done after 33 s, each of which takes 13 s alone.
const FIRST: usize = 2;

/// How much longer than configured a load may take before the store counts as overloaded.
const OVERDUE_SHARE: f64 = 0.25;

/// `StoreLimit` finds how many loads the weight store gives their full speed: one more after each
/// that ended in time beside as many as are allowed, half as many after one that did not.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreLimit {
    loads: usize,
}

impl Default for StoreLimit {
    fn default() -> Self {
        Self { loads: FIRST }
    }
}

impl StoreLimit {
    /// Returns how many loads may run at once.
    pub fn loads(self) -> usize {
        self.loads
    }

    /// Takes in that a load has ended while others ran.
    pub fn note_ended(&mut self, took_ms: u64, configured_ms: u64, at_once: usize) {
        if is_overdue(took_ms, configured_ms) {
            return;
        }
        if at_once >= self.loads {
            self.loads = (self.loads + 1).min(MOST);
        }
    }

    /// Takes in that a load which is not done takes too long.
    pub fn note_overdue(&mut self) {
        self.loads = (self.loads / 2).max(1);
    }
}

/// Returns whether a load takes clearly longer than configured.
pub(crate) fn is_overdue(took_ms: u64, configured_ms: u64) -> bool {
    took_ms as f64 > configured_ms as f64 * (1.0 + OVERDUE_SHARE)
}
