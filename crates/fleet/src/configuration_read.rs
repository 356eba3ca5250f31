//! Choice between reading the newest configuration and reading the changes since the last read.

/// Time since the configuration in force was last known to be the newest, above which the newest one
/// is read instead of the changes.
const MAX_AGE_FOR_CHANGES_MS: u64 = 2_200;

/// What the next read of the configuration asks for.
///
/// Every change is a complete configuration. Reading all changes that were missed takes time in
/// proportion to their number, which grows further in that time, so that a VM on a slow link might
/// never catch up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationRead {
    /// The newest configuration, whose size does not depend on how many were missed.
    Newest,
    /// The changes since the last read, for a VM that has missed few.
    Changes,
}

impl ConfigurationRead {
    /// Maximum size in kilobytes of an answer with changes. If it does not reach the newest change,
    /// the newest configuration is read next.
    pub const MAX_CHANGES_KB: u64 = 128;

    /// Returns what to read, by the time since the configuration in force was last known to be the
    /// newest and the number of failed reads in a row.
    pub fn next(confirmed_age_ms: Option<u64>, failures: u32) -> Self {
        match confirmed_age_ms {
            Some(age_ms) if age_ms <= MAX_AGE_FOR_CHANGES_MS && failures == 0 => Self::Changes,
            _ => Self::Newest,
        }
    }
}
