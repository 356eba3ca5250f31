//! Daemons in this process, with in-memory fakes of the systems that they call.
//!
//! Time passes as on the machine's clock, and a test can advance it. Daemons communicate over nng
//! on loopback, and with callers and operators over HTTP.

#![allow(dead_code)]

pub mod caller;
pub mod clock;
pub mod engine;
pub mod log;
pub mod log_fault;
pub mod node;
pub mod platform;
pub mod service;
pub mod serving;
pub mod switch;
pub mod world;

use std::time::Duration;
use std::time::Instant;

pub use world::SERVICE;

/// Timeout of waits, which ends a failing test; no assertion depends on its length.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
#[track_caller]
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let polls = crossbeam_channel::tick(POLL_PAUSE);
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        polls.recv().expect("the ticker runs");
    }
}
