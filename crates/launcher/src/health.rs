//! Whether a VM takes requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::agent;

/// The path of the health check.
const READY_PATH: &str = "/health/ready";

/// The longest time that one check may take.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns whether the VM whose callers' interface is at an address says that it takes requests.
pub fn is_ready(callers: SocketAddr) -> bool {
    let answer = agent(READINESS_TIMEOUT)
        .get(format!("http://{callers}{READY_PATH}"))
        .call();
    answer.is_ok_and(|answer| answer.status().is_success())
}
