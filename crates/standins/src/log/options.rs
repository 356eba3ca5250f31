//! Settings of the log stand-in.

use bpaf::Bpaf;

use crate::log::streams::Retention;

const DEFAULT_APPENDS_PER_S: u32 = 300;

/// Settings of the log stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(options), ignore_rustdoc)]
pub struct Options {
    /// Appends that are accepted within any second; further ones get 429
    #[bpaf(argument("N"), fallback(DEFAULT_APPENDS_PER_S), display_fallback)]
    pub appends_per_s: u32,
    /// Age in milliseconds at which records expire; without it they don't expire by age
    #[bpaf(argument("MS"))]
    pub retention_ms: Option<u64>,
    /// Records that a stream keeps; without it there is no limit
    #[bpaf(argument("N"))]
    pub retention_records: Option<usize>,
    /// Delay of every call in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub slow_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            appends_per_s: DEFAULT_APPENDS_PER_S,
            retention_ms: None,
            retention_records: None,
            slow_ms: 0,
        }
    }
}

impl Options {
    /// Returns the limits on what each stream keeps.
    pub fn retention(&self) -> Retention {
        Retention {
            age_ms: self.retention_ms,
            records: self.retention_records,
        }
    }
}
