//! The server's limits.

use std::time::Duration;

/// `Options` holds the limits on what a client can send and how long it may take.
#[derive(Clone, Debug)]
pub struct Options {
    /// The largest request head, in bytes.
    pub max_head_bytes: usize,
    /// The most header lines of a request.
    pub max_header_count: usize,
    /// The largest request body, in bytes after decoding.
    pub max_body_bytes: usize,
    /// The longest time from the first byte of a head to its last. It counts in total, so a
    /// client that sends one byte now and then can't stretch it.
    pub head_timeout: Duration,
    /// The longest time in total for a request's body.
    pub body_timeout: Duration,
    /// The longest time that a connection may wait for its next request.
    pub idle_timeout: Duration,
    /// The longest time in total for a client to take one piece of an answer.
    pub write_timeout: Duration,
    /// The longest time for which a connection is read on after an early error answer, so that
    /// the client gets to read that answer.
    pub linger_timeout: Duration,
    /// The most connections at once. One more is answered with an error and closed.
    pub max_connections: usize,
    /// The stack of each connection's thread, in bytes.
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
