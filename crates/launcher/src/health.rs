//! Whether a VM takes requests.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// The path of the health check.
const READY_PATH: &str = "/health/ready";

/// The longest time that one check may take.
const CHECK_LIMIT: Duration = Duration::from_secs(2);

/// Returns whether the VM whose callers' interface is at an address says that it takes requests.
pub fn is_ready(callers: SocketAddr) -> bool {
    let agent: Agent = Agent::config_builder()
        .proxy(None)
        .max_idle_connections(0)
        .timeout_global(Some(CHECK_LIMIT))
        .build()
        .into();
    agent
        .get(format!("http://{callers}{READY_PATH}"))
        .call()
        .is_ok()
}
