//! The HTTP client of the launcher.

use std::time::Duration;

use ureq::Agent;

/// Returns a client whose calls take at most `limit`.
///
/// It uses no proxy, whatever the environment says, since all its calls stay on this machine. It
/// keeps no connection, as callers behind a balancer, so that a VM's end is seen by the requests in
/// progress there and by no other.
pub(crate) fn agent(limit: Duration) -> Agent {
    Agent::config_builder()
        .proxy(None)
        .max_idle_connections(0)
        .http_status_as_error(false)
        .timeout_global(Some(limit))
        .build()
        .into()
}
