//! Polling until a condition holds.

use std::thread;
use std::time::Duration;

use crate::errors::Error;
use crate::errors::Result;

/// Pause between two polls. It only saves processor time: no test may depend on its length.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of polls after which a condition counts as failed.
pub const MAX_POLLS: u32 = 600;

/// Calls `poll` until it returns a value, and returns that value. `condition` describes what is
/// awaited, for the error.
///
/// # Errors
///
/// `Error::PollLimitReached` after `max_polls` polls, and the first error of `poll`.
pub fn poll_until<T>(
    condition: &str,
    max_polls: u32,
    mut poll: impl FnMut() -> Result<Option<T>>,
) -> Result<T> {
    for _ in 0..max_polls {
        if let Some(value) = poll()? {
            return Ok(value);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(Error::PollLimitReached(condition.to_owned()))
}
