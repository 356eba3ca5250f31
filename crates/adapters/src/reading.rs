//! Reads without an effect. They may share kept connections.

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

/// The status of an answer with what was asked for.
pub(crate) const OK: u16 = 200;

/// The status of an answer without a body: what the reader holds is still right.
pub(crate) const NOT_MODIFIED: u16 = 304;

/// `Reader` reads JSON from one side of the platform or from upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    agent: Agent,
    limit_bytes: usize,
}

/// `Page` is what was read.
pub(crate) struct Page {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

impl Page {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as the JSON form of a type.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` for any other status than 200, `Error::Malformed` for a body of
    /// another form.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        match self.status {
            OK => parse(&self.body),
            status => Err(Error::unavailable(format!("answered {status}"))),
        }
    }
}

/// Returns a body as the JSON form of a type.
///
/// # Errors
///
/// `Error::Malformed` for a body of another form.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::malformed(error.to_string()))
}

impl Reader {
    /// Returns a reader whose answers have at most the given size.
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

    /// Returns what is at a path.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if it could not be read in time, whatever the cause: a read has no
    /// effect that could be unknown. `Error::Malformed` if the answer is no HTTP or too large.
    pub(crate) fn get(&self, address: SocketAddr, path: &str, timeout_ms: u64) -> Result<Page> {
        self.get_unless(address, path, None, timeout_ms)
    }

    /// Returns what is at a path, or a page with [`NOT_MODIFIED`] if it still has the given tag.
    ///
    /// # Errors
    ///
    /// As for [`get`](Self::get).
    pub(crate) fn get_unless(
        &self,
        address: SocketAddr,
        path: &str,
        tag: Option<&str>,
        timeout_ms: u64,
    ) -> Result<Page> {
        let mut request = self.agent.get(format!("http://{address}{path}"));
        if let Some(tag) = tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request
            .config()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .build()
            .call()
            .map_err(unread)?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = answer::read_whole(response, self.limit_bytes).map_err(without_effect)?;
        Ok(Page {
            status,
            headers,
            body,
        })
    }
}

fn unread(error: ureq::Error) -> Error {
    match error {
        ureq::Error::Protocol(error) => Error::malformed(error.to_string()),
        error => Error::unavailable(error.to_string()),
    }
}

fn without_effect(error: Error) -> Error {
    match error {
        Error::Unknown(detail) => Error::Unavailable(detail),
        error => error,
    }
}
