//! Client of the operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use apricotdale_core::names::RequestId;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::errors::Error;
use crate::errors::Result;
use crate::problem::PROBLEM_CONTENT_TYPE;
use crate::problem::Problem;
use crate::publish::PublishOutcome;
use crate::publish::PublishRequest;
use crate::views::ConfigView;
use crate::views::DrainView;
use crate::views::Explanation;
use crate::views::MembersView;
use crate::views::ModelsView;
use crate::views::Status;
use crate::views::UpstreamsView;

/// Timeouts and size limit of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientOptions {
    /// Timeout of connecting, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout of a complete call, in milliseconds. Must exceed the time for which a daemon waits
    /// until a change is replayed.
    pub call_timeout_ms: u64,
    /// Largest answer that is read, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 2_000,
            call_timeout_ms: 30_000,
            max_answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Client that calls one daemon.
pub struct AdminClient {
    agent: Agent,
    base_url: String,
    max_answer_bytes: u64,
}

impl AdminClient {
    /// Returns a client of the daemon that serves operators at `address`.
    ///
    /// The client ignores the environment's proxy settings. It keeps no idle connections: the
    /// daemon may have closed one, which the client would notice only after it has sent a change
    /// over it.
    pub fn new(address: SocketAddr, options: ClientOptions) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_idle_connections(0)
            .timeout_connect(Some(Duration::from_millis(options.connect_timeout_ms)))
            .timeout_global(Some(Duration::from_millis(options.call_timeout_ms)))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            base_url: format!("http://{address}"),
            max_answer_bytes: options.max_answer_bytes,
        }
    }

    /// Returns the daemon's status.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if there is no complete answer, [`Error::Malformed`] if the answer
    /// can't be decoded, or the error that the daemon answered with.
    pub fn status(&self) -> Result<Status> {
        self.get("/admin/status")
    }

    /// Returns the configuration in force on the daemon's VM.
    ///
    /// # Errors
    ///
    /// Same as [`status`](Self::status).
    pub fn config(&self) -> Result<ConfigView> {
        self.get("/admin/config")
    }

    /// Returns the configured models with their replicas.
    ///
    /// # Errors
    ///
    /// Same as [`status`](Self::status).
    pub fn models(&self) -> Result<ModelsView> {
        self.get("/admin/models")
    }

    /// Returns the engines and instances of plain services that the daemon's VM has on its list.
    ///
    /// # Errors
    ///
    /// Same as [`status`](Self::status).
    pub fn upstreams(&self) -> Result<UpstreamsView> {
        self.get("/admin/upstreams")
    }

    /// Returns the VMs that run a daemon, with their states as the daemon observes them.
    ///
    /// # Errors
    ///
    /// Same as [`status`](Self::status).
    pub fn members(&self) -> Result<MembersView> {
        self.get("/admin/members")
    }

    /// Returns the steps that the daemon took for a request.
    ///
    /// # Errors
    ///
    /// Same as [`status`](Self::status), and [`Error::BadRequest`] for text that is no request ID.
    pub fn explain(&self, request: &RequestId) -> Result<Explanation> {
        let id = request.as_str();
        if !id
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !b"/?#%".contains(&byte))
        {
            return Err(Error::bad_request(format!("{id:?} is no request identity")));
        }
        self.get(&format!("/admin/requests/{id}"))
    }

    /// Publishes a change of the configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`], [`Error::Busy`], [`Error::BadRequest`] or [`Error::BodyTooLarge`] if
    /// the change was certainly not appended; [`Error::OutcomeUnknown`] or [`Error::Malformed`] if
    /// it may have been.
    pub fn publish(&self, change: &PublishRequest) -> Result<PublishOutcome> {
        let url = format!("{}/admin/config", self.base_url);
        let answer = self.agent.post(&url).send_json(change);
        self.decode_answer(answer.map_err(change_error)?)
    }

    /// Starts a graceful shutdown of the daemon.
    ///
    /// # Errors
    ///
    /// Same as [`publish`](Self::publish).
    pub fn drain(&self) -> Result<DrainView> {
        let url = format!("{}/admin/drain", self.base_url);
        let answer = self.agent.post(&url).send_empty();
        self.decode_answer(answer.map_err(change_error)?)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("{}{path}", self.base_url);
        let answer = self.agent.get(&url).call();
        let answer = answer.map_err(|error| Error::Unreachable(error.to_string()))?;
        match self.decode_answer(answer) {
            // A read-only call has no effect that could be unknown.
            Err(Error::OutcomeUnknown(detail)) => Err(Error::Unreachable(detail)),
            answer => answer,
        }
    }

    fn decode_answer<T: DeserializeOwned>(&self, mut answer: Response<Body>) -> Result<T> {
        let is_problem = answer.body().mime_type() == Some(PROBLEM_CONTENT_TYPE);
        let bytes = answer
            .body_mut()
            .with_config()
            .limit(self.max_answer_bytes)
            .read_to_vec()
            .map_err(|error| Error::OutcomeUnknown(format!("the answer was cut: {error}")))?;
        if is_problem {
            let problem: Problem = serde_json::from_slice(&bytes)
                .map_err(|error| Error::malformed(error.to_string()))?;
            return Err(problem.into());
        }
        serde_json::from_slice(&bytes).map_err(|error| {
            let status = answer.status();
            Error::malformed(format!("answer with status {status}: {error}"))
        })
    }
}

/// Maps an error of a call that changes something. Only if the connection failed is it certain that
/// the call had no effect.
fn change_error(error: ureq::Error) -> Error {
    let detail = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            Error::Unreachable(detail)
        }
        ureq::Error::Io(source) if source.kind() == std::io::ErrorKind::ConnectionRefused => {
            Error::Unreachable(detail)
        }
        _ => Error::OutcomeUnknown(detail),
    }
}
