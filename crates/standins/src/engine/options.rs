//! Settings of the engine stand-in.

use std::net::SocketAddr;

use bpaf::Bpaf;

const DEFAULT_NAME: &str = "engine";
const DEFAULT_CAPACITY_BYTES: u64 = 80_000_000_000;
const DEFAULT_SLOTS: usize = 8;
const DEFAULT_QUEUE: usize = 64;
const DEFAULT_TOKENS_PER_S: u32 = 50;
const DEFAULT_PREFIXES: usize = 64;
const DEFAULT_MEMORY_BYTES_PER_S: u64 = 20_000_000_000;
const DEFAULT_DISK_BYTES_PER_S: u64 = 3_000_000_000;

/// Settings of the engine stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(options), ignore_rustdoc)]
pub struct Options {
    /// Name of the engine
    #[bpaf(argument("NAME"), fallback(DEFAULT_NAME.to_owned()), display_fallback)]
    pub name: String,
    /// Boot number of this process; the start in milliseconds of Unix time if it is not given
    #[bpaf(argument("N"))]
    pub boot: Option<u64>,
    /// Accelerator memory for models and adapters
    #[bpaf(argument("BYTES"), fallback(DEFAULT_CAPACITY_BYTES), display_fallback)]
    pub capacity_bytes: u64,
    /// Whether orders with an outdated fencing token are refused
    #[bpaf(argument("BOOL"), fallback(true), display_fallback)]
    pub checks_fence: bool,
    /// Whether loads that don't fit are refused; as checks-fence if it is not given
    #[bpaf(argument("BOOL"))]
    pub overcommit_check: Option<bool>,
    /// Sequences that generate at once
    #[bpaf(argument("N"), fallback(DEFAULT_SLOTS), display_fallback)]
    pub slots: usize,
    /// Sequences that wait for a slot; further ones get 503
    #[bpaf(argument("N"), fallback(DEFAULT_QUEUE), display_fallback)]
    pub queue: usize,
    /// Tokens a second of each sequence; 0 generates without delay
    #[bpaf(argument("N"), fallback(DEFAULT_TOKENS_PER_S), display_fallback)]
    pub tokens_per_s: u32,
    /// Time before the first token of a prompt whose prefix is not cached
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub prefill_ms: u64,
    /// Number of prompt prefixes that are cached
    #[bpaf(argument("N"), fallback(DEFAULT_PREFIXES), display_fallback)]
    pub prefixes: usize,
    /// Lag of the load report
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub report_lag_ms: u64,
    /// Lag of the cache events
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub cache_lag_ms: u64,
    /// One cache event in N is lost; 0 loses none
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub cache_gap_every: u64,
    /// Address of the weight store; without one a remote load takes no time
    #[bpaf(argument("ADDR"))]
    pub weights: Option<SocketAddr>,
    /// Size of the checkpoint cache in the host's memory
    #[bpaf(argument("BYTES"), fallback(0), display_fallback)]
    pub memory_cache_bytes: u64,
    /// Size of the checkpoint cache on the host's disk
    #[bpaf(argument("BYTES"), fallback(0), display_fallback)]
    pub disk_cache_bytes: u64,
    /// Speed of a load from the host's memory in bytes a second
    #[bpaf(argument("N"), fallback(DEFAULT_MEMORY_BYTES_PER_S), display_fallback)]
    pub memory_bytes_per_s: u64,
    /// Speed of a load from the host's disk in bytes a second
    #[bpaf(argument("N"), fallback(DEFAULT_DISK_BYTES_PER_S), display_fallback)]
    pub disk_bytes_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: DEFAULT_NAME.to_owned(),
            boot: None,
            capacity_bytes: DEFAULT_CAPACITY_BYTES,
            checks_fence: true,
            overcommit_check: None,
            slots: DEFAULT_SLOTS,
            queue: DEFAULT_QUEUE,
            tokens_per_s: DEFAULT_TOKENS_PER_S,
            prefill_ms: 0,
            prefixes: DEFAULT_PREFIXES,
            report_lag_ms: 0,
            cache_lag_ms: 0,
            cache_gap_every: 0,
            weights: None,
            memory_cache_bytes: 0,
            disk_cache_bytes: 0,
            memory_bytes_per_s: DEFAULT_MEMORY_BYTES_PER_S,
            disk_bytes_per_s: DEFAULT_DISK_BYTES_PER_S,
        }
    }
}

impl Options {
    /// Returns whether loads that don't fit are refused.
    pub fn checks_memory(&self) -> bool {
        self.overcommit_check.unwrap_or(self.checks_fence)
    }
}
