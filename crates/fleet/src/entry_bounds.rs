//! Bounds on what an entry of the upstream list may state.
//!
//! Other programs may write to the list. A value outside these bounds is no upstream's, and would
//! otherwise be added to other upstreams' values, kept as the latest one, or sent to an upstream.

use crate::errors::InvalidEntry;
use crate::upstream::Upstream;

/// Maximum number of requests that an upstream may run at once. Each occupies a connection, and one
/// address has no more ports.
const MAX_SLOTS: u32 = 65_535;

impl Upstream {
    /// Checks that the entry states nothing that no upstream can state.
    ///
    /// # Errors
    ///
    /// [`InvalidEntry`] with the first field that is out of bounds.
    pub fn check(&self) -> Result<(), InvalidEntry> {
        match () {
            _ if self.slots > MAX_SLOTS => Err(InvalidEntry::Slots(self.slots)),
            _ => Ok(()),
        }
    }
}
