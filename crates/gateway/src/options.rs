//! Options of the gateway.

use apricotdale_core::names::ClassName;

/// Options of the gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// Class of requests that name none. If unset, the class with the shortest answer time.
    pub default_class: Option<ClassName>,
    /// Cap on the timeout that a caller may ask for in `X-Request-Timeout-Ms`.
    pub max_timeout_ms: u64,
    /// Maximum time between two events of a stream before the stream is cut.
    pub stream_idle_timeout_ms: u64,
    /// Expected run time of a request at a target that has not answered any yet.
    pub expected_run_ms: u64,
    /// First pause before a request asks for admission again because no engine held its model. The
    /// pause doubles each time.
    pub reload_pause_ms: u64,
    /// Size of the largest answer that is kept for duplicates of a call under an idempotency key.
    pub max_kept_answer_bytes: usize,
    /// Number of leading bytes of a prompt that are hashed for prefix affinity.
    pub prefix_bytes: usize,
    /// Number of the latest requests whose traces are kept for `Gateway::explain`.
    pub max_traces: usize,
    /// Number of steps that are kept in the trace of one request.
    pub max_trace_steps: usize,
    /// Number of pieces of an answer that may queue for a slow caller before the upstream is no
    /// longer read.
    pub max_queued_pieces: usize,
    /// `Retry-After` of requests refused because the VM is draining.
    pub draining_retry_after_ms: u64,
    /// Maximum number of concurrent cancellations. Further ones are not sent; the engine then
    /// learns of the end from the closed connection.
    pub max_concurrent_cancels: usize,
    /// Stack size of each upstream thread.
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
            max_traces: 1_024,
            max_trace_steps: 64,
            max_queued_pieces: 16,
            draining_retry_after_ms: 1_000,
            max_concurrent_cancels: 64,
            thread_stack_bytes: 512 * 1024,
        }
    }
}
