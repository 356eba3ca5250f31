//! Looking again and again until a condition holds.

use std::thread;
use std::time::Duration;

use crate::errors::Error;
use crate::errors::Result;

/// The pause between two looks. It only spares the processor: no test may depend on its length.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The number of looks after which a condition that must come true is given up.
pub const MAX_POLLS: u32 = 600;

/// Looks until `look` returns a value and returns that.
///
/// # Errors
///
/// `Error::GaveUp` after `limit` looks, and the first error of `look`.
pub fn poll_until<T>(
    condition: &str,
    limit: u32,
    mut look: impl FnMut() -> Result<Option<T>>,
) -> Result<T> {
    for _ in 0..limit {
        if let Some(value) = look()? {
            return Ok(value);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(Error::GaveUp(condition.to_owned()))
}
