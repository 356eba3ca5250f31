//! Reads, which have no effect and may therefore share kept connections.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::HeaderMap;
use ureq::http::header::IF_NONE_MATCH;
use ureq::unversioned::transport::DefaultConnector;

use crate::answer;
use crate::connection::AddressResolver;
use crate::exchange::USER_AGENT;
use crate::options::HttpOptions;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;

/// Status of an answer with the requested content.
pub(crate) const OK: u16 = 200;

/// Status of an answer without a body: the content has not changed since the given entity tag.
pub(crate) const NOT_MODIFIED: u16 = 304;

/// HTTP client for reads, with a limit on the size of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    agent: Agent,
    limit_bytes: usize,
}

/// Answer to a read.
pub(crate) struct FetchedAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers of the answer.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Vec<u8>,
}

impl FetchedAnswer {
    /// Returns the value of a header, or none if it is absent or not plain ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` for any status but 200, `Error::Malformed` if the body does not parse.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        match self.status {
            OK => parse(&self.body),
            status => Err(Error::unavailable(format!("answered {status}"))),
        }
    }
}

/// Parses a body as JSON.
///
/// # Errors
///
/// `Error::Malformed` if the body does not parse.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::malformed(error.to_string()))
}

impl Reader {
    /// Returns a client whose answers have at most `limit_bytes`.
    pub(crate) fn new(options: &HttpOptions, limit_bytes: usize) -> Self {
        let config = Config::builder()
            .http_status_as_error(false)
            .proxy(None)
            .no_delay(true)
            .user_agent(USER_AGENT)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(options.idle_connections)
            .max_idle_connections_per_host(options.idle_connections)
            .max_idle_age(Duration::from_millis(options.idle_connection_ms))
            .max_response_header_size(options.head_limit_bytes)
            .input_buffer_size(options.buffer_bytes)
            .output_buffer_size(options.buffer_bytes)
            .timeout_connect(Some(Duration::from_millis(options.connect_timeout_ms)))
            .build();
        Self {
            agent: Agent::with_parts(config, DefaultConnector::new(), AddressResolver),
            limit_bytes,
        }
    }

    /// Reads the content at a path.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if it could not be read before the timeout, whatever the cause: a read
    /// has no effect that could be unknown. `Error::Malformed` if the answer is not HTTP or too
    /// large.
    pub(crate) fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<FetchedAnswer> {
        self.get_if_changed(address, path, None, timeout_ms)
    }

    /// Reads the content at a path, or returns status [`NOT_MODIFIED`] if its entity tag is still
    /// `tag`.
    ///
    /// # Errors
    ///
    /// As for [`get`](Self::get).
    pub(crate) fn get_if_changed(
        &self,
        address: SocketAddr,
        path: &str,
        tag: Option<&str>,
        timeout_ms: u64,
    ) -> Result<FetchedAnswer> {
        let mut request = self.agent.get(format!("http://{address}{path}"));
        if let Some(tag) = tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request
            .config()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .build()
            .call()
            .map_err(request_error)?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body =
            answer::read_complete(response, self.limit_bytes).map_err(unknown_to_unavailable)?;
        Ok(FetchedAnswer {
            status,
            headers,
            body,
        })
    }
}

fn request_error(error: ureq::Error) -> Error {
    match error {
        ureq::Error::Protocol(error) => Error::malformed(error.to_string()),
        error => Error::unavailable(error.to_string()),
    }
}

fn unknown_to_unavailable(error: Error) -> Error {
    match error {
        Error::Unknown(detail) => Error::Unavailable(detail),
        error => error,
    }
}
