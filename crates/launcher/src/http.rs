//! HTTP client of the launcher.

use std::time::Duration;

use ureq::Agent;

/// Returns a client whose calls time out after `timeout`.
///
/// It ignores proxy settings of the environment, since all its calls stay on this machine. It keeps
/// no idle connections, like callers behind a load balancer, so that the end of a VM affects only
/// the requests in progress there.
pub(crate) fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .proxy(None)
        .max_idle_connections(0)
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .into()
}
