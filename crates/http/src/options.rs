//! Limits of the server.

use std::time::Duration;

/// Limits on what a client can send and on the time that it may take.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum number of header lines of a request.
    pub max_header_count: usize,
    /// Maximum size of a request body after decoding.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a head to its last. It covers all reads together, so a
    /// client that sends one byte now and then can't extend it.
    pub head_timeout: Duration,
    /// Maximum time for a request body, over all reads together.
    pub body_timeout: Duration,
    /// Maximum time that a connection may be idle before its next request.
    pub idle_timeout: Duration,
    /// Maximum time for a client to accept one piece of a response.
    pub write_timeout: Duration,
    /// Maximum time for which a connection is still read after an early error response, so that the
    /// client can read that response.
    pub linger_timeout: Duration,
    /// Maximum number of open connections. Further ones are sent an error and closed.
    pub max_connections: usize,
    /// Stack size of each connection's thread.
    pub thread_stack_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_header_count: 64,
            max_body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(20),
            linger_timeout: Duration::from_secs(1),
            max_connections: 2048,
            thread_stack_bytes: 512 * 1024,
        }
    }
}
