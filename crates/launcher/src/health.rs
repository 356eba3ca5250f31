//! Readiness check of a VM.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::agent;

/// Path of the readiness check on the callers' interface.
const READY_PATH: &str = "/health/ready";

/// Timeout of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns whether the VM whose callers' interface is at an address reports that it is ready; false
/// if it can't be reached.
pub fn is_ready(callers: SocketAddr) -> bool {
    let answer = agent(READINESS_TIMEOUT)
        .get(format!("http://{callers}{READY_PATH}"))
        .call();
    answer.is_ok_and(|answer| answer.status().is_success())
}
