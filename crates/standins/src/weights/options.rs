//! Settings of the weight store stand-in.

use std::path::PathBuf;

use bpaf::Bpaf;

const DEFAULT_LOADS_PER_S: u32 = 15;
const DEFAULT_FULL_SPEED_LOADS: u32 = 4;
const DEFAULT_BYTES_PER_S: u64 = 1_000_000_000;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(options), ignore_rustdoc)]
pub struct Options {
    /// Loads that may begin within any second; further ones get 429
    #[bpaf(argument("N"), fallback(DEFAULT_LOADS_PER_S), display_fallback)]
    pub loads_per_s: u32,
    /// Loads that run at full speed at once; more of them share the bandwidth of this number
    #[bpaf(argument("N"), fallback(DEFAULT_FULL_SPEED_LOADS), display_fallback)]
    pub full_speed_loads: u32,
    /// Full speed of one load in bytes a second
    #[bpaf(argument("N"), fallback(DEFAULT_BYTES_PER_S), display_fallback)]
    pub bytes_per_s: u64,
    /// File of the models held, a line `name bytes` each; without it any model is held
    #[bpaf(argument("FILE"))]
    pub models: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            loads_per_s: DEFAULT_LOADS_PER_S,
            full_speed_loads: DEFAULT_FULL_SPEED_LOADS,
            bytes_per_s: DEFAULT_BYTES_PER_S,
            models: None,
        }
    }
}
