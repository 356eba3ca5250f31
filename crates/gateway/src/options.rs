//! The gateway's tunables.

use apricotdale_core::names::ClassName;

/// `Options` holds the gateway's tunables.
#[derive(Clone, Debug)]
pub struct Options {
    /// The class of requests that name none. None stands for the class with the tightest target.
    pub default_class: Option<ClassName>,
    /// The longest time that a caller may ask for in `X-Request-Timeout-Ms`.
    pub max_timeout_ms: u64,
    /// The longest time between two events of a stream.
    pub stream_idle_timeout_ms: u64,
    /// How long an answer is expected to take before one has been seen.
    pub expected_run_ms: u64,
    /// The first pause before a request whose model was gone asks for admission again. Each further
    /// pause is twice as long.
    pub reload_pause_ms: u64,
    /// The largest answer that is kept for repeated calls under one key.
    pub max_kept_answer_bytes: usize,
    /// How much of a prompt is hashed for routing by prefix.
    pub prefix_bytes: usize,
    /// How many requests are remembered for `explain`.
    pub trace_requests: usize,
    /// How many steps of one request are remembered.
    pub trace_steps: usize,
    /// How many pieces of an answer may wait for a slow caller before the upstream is no longer
    /// read.
    pub piece_queue: usize,
    /// When a caller that came while the VM is stopping should come back.
    pub draining_retry_ms: u64,
    /// How many cancellations may be on their way to engines at once. One more is left out; the
    /// engine then notices the closed connection.
    pub max_cancels: usize,
    /// The stack of each upstream thread, in bytes.
    pub thread_stack_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            default_class: None,
            max_timeout_ms: 600_000,
            stream_idle_timeout_ms: 30_000,
            expected_run_ms: 1_000,
            reload_pause_ms: 50,
            max_kept_answer_bytes: 16 * 1024,
            prefix_bytes: 256,
            trace_requests: 1_024,
            trace_steps: 64,
            piece_queue: 16,
            draining_retry_ms: 1_000,
            max_cancels: 64,
            thread_stack_bytes: 512 * 1024,
        }
    }
}
