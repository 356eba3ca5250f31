//! Calls with an effect, each sent at most once.
//!
//! Each exchange has its own connection. A kept connection may have been closed by the upstream,
//! which shows only after the request was written. It is then unknown whether the request was read,
//! and an HTTP client that sends the request again on a new connection may cause a second run. A
//! new connection per call costs one round trip and makes the outcome clear: before the connection
//! is established, nothing was sent (`Error::Unavailable`); after that the call may have been
//! received (`Error::Unknown`).

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::Body;
use ureq::config::Config;
use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;
use ureq::http::header::CONTENT_TYPE;
use ureq::http::request::Builder;

use crate::connection::AddressResolver;
use crate::connection::ConnectionState;
use crate::connection::SingleConnector;
use crate::options::HttpOptions;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;

/// User agent of the adapters.
pub(crate) const USER_AGENT: &str = "apricotdale";

/// Content type of the bodies that the adapters write themselves.
pub(crate) const JSON: &str = "application/json";

/// Statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Call that is to be sent at most once.
pub(crate) struct Outgoing<'a> {
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path with its query, beginning with a slash.
    pub(crate) path: &'a str,
    /// Content type of the body. If empty, no such header is sent.
    pub(crate) content_type: &'a str,
    /// Further headers.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body, or none for a call without one.
    pub(crate) body: Option<&'a [u8]>,
    /// When the head of the answer must have arrived.
    pub(crate) deadline: Instant,
}

/// Answer whose head has arrived.
pub(crate) struct Incoming {
    /// Head, and the body that is still to be read.
    pub(crate) response: Response<Body>,
    /// State of the connection. Its deadline covers the body too, until it is moved.
    pub(crate) connection_state: Arc<ConnectionState>,
}

/// Returns the deadline `timeout_ms` milliseconds from now.
pub(crate) fn deadline_in(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

/// Sends a call and returns once the head of its answer has arrived.
///
/// # Errors
///
/// `Error::Rejected` if the call can't be written as HTTP, `Error::Unavailable` if no connection
/// was established, `Error::Unknown` for every later failure and for a status that no
/// final answer has.
pub(crate) fn send(options: &HttpOptions, outgoing: Outgoing<'_>) -> Result<Incoming> {
    let connection_state = ConnectionState::new(outgoing.deadline);
    let connector = SingleConnector::new(connection_state.clone());
    let config = config(options, outgoing.deadline);
    let agent = Agent::with_parts(config, connector, AddressResolver);
    let sent = match outgoing.body {
        Some(body) => agent.run(request(&outgoing)?.body(body).map_err(unwritable)?),
        None => agent.run(request(&outgoing)?.body(()).map_err(unwritable)?),
    };
    match sent {
        Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => Err(
            Error::unknown(format!("the answer has status {}", response.status())),
        ),
        Ok(response) => Ok(Incoming {
            response,
            connection_state,
        }),
        Err(error) if connection_state.connected() => Err(Error::unknown(error.to_string())),
        Err(error) => Err(Error::unavailable(error.to_string())),
    }
}

fn request(outgoing: &Outgoing<'_>) -> Result<Builder> {
    // A path without a leading slash could change the host of the URL.
    if !outgoing.path.starts_with('/') {
        return Err(Error::rejected("the call's path has no leading slash"));
    }
    let url = format!("http://{}{}", outgoing.address, outgoing.path);
    let mut builder = Request::builder().method(outgoing.method.clone()).uri(url);
    if outgoing.body.is_some() && !outgoing.content_type.is_empty() {
        builder = builder.header(CONTENT_TYPE, outgoing.content_type);
    }
    for (name, value) in &outgoing.headers {
        builder = builder.header(*name, value);
    }
    match builder.headers_ref() {
        Some(_) => Ok(builder),
        None => Err(Error::rejected(
            "the call's method, path or headers can't be sent",
        )),
    }
}

fn unwritable(error: ureq::http::Error) -> Error {
    Error::rejected(error.to_string())
}

fn config(options: &HttpOptions, deadline: Instant) -> Config {
    let left = deadline.saturating_duration_since(Instant::now());
    let connect_timeout = left.min(Duration::from_millis(options.connect_timeout_ms));
    Config::builder()
        .http_status_as_error(false)
        .proxy(None)
        .no_delay(true)
        .user_agent(USER_AGENT)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .max_response_header_size(options.head_limit_bytes)
        .input_buffer_size(options.buffer_bytes)
        .output_buffer_size(options.buffer_bytes)
        .timeout_connect(Some(connect_timeout))
        .build()
}
