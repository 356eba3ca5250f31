//! Client of the stand-ins' control paths, for setting faults and reading effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::errors::Error;
use crate::errors::Result;
use crate::http::agent;
use apricotdale_core::engine::EngineStatus;

/// Timeout of one call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Effects that a stand-in engine counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineEffects {
    /// Boot ID of the engine's current incarnation.
    pub boot: u64,
    /// Load orders received.
    pub load_orders: u64,
    /// Unload orders received.
    pub unload_orders: u64,
    /// Load and unload orders refused.
    pub refused_orders: u64,
    /// Maximum of the memory held so far, in bytes.
    pub most_bytes_held: u64,
    /// Number of times that the resident models exceeded the memory.
    pub overcommitted: u64,
    /// Loads that took effect, by model.
    pub loads: BTreeMap<String, u64>,
    /// Requests received, by request ID.
    pub requests: BTreeMap<String, EngineRequest>,
}

/// Request as a stand-in engine received it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineRequest {
    /// Model that the request named.
    pub model: String,
    /// State of the request.
    pub state: RequestState,
    /// Number of times that the engine accepted it.
    pub runs: u64,
}

/// State of a request at a stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// The request is running.
    Running,
    /// The complete answer was sent.
    Whole,
    /// The request was cancelled.
    Cancelled,
    /// The answer was cut off.
    Cut,
}

/// Effects that the stand-in of a plain service counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServiceEffects {
    /// Calls that ran, by method and path.
    pub calls: BTreeMap<String, u64>,
    /// Calls that ran, by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Calls that ran, by request ID.
    pub requests: BTreeMap<String, u64>,
}

/// Effects that the stand-in of the log counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogEffects {
    /// Records appended.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of the records that are kept now.
    pub bytes_kept: u64,
}

/// Effects that the stand-in of the weight store counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct WeightsEffects {
    /// Loads that were admitted.
    pub loads: u64,
    /// Loads refused because of the rate limit.
    pub refused: u64,
    /// Maximum number of concurrent loads.
    pub most_at_once: u64,
}

/// Client of one stand-in.
#[derive(Clone, Debug)]
pub struct StandinClient {
    address: SocketAddr,
    agent: Agent,
}

impl StandinClient {
    /// Returns a client for the stand-in at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            agent: agent(CALL_TIMEOUT),
        }
    }

    /// Returns the stand-in's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets a fault, given as the JSON body that this kind of stand-in expects.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in refuses or can't be reached.
    pub fn fault(&self, fault: &Value) -> Result<()> {
        self.post("/standin/fault", fault)
    }

    /// Returns the effects that the stand-in counts.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in can't be reached or `T` does not fit its effects.
    pub fn effects<T: DeserializeOwned>(&self) -> Result<T> {
        self.get("/standin/effects")
    }

    /// Returns the current status of a stand-in engine.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in can't be reached or is no engine.
    pub fn engine_status(&self) -> Result<EngineStatus> {
        self.get("/status")
    }

    /// Gets a path and parses the answer's JSON body.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in refuses, can't be reached or `T` does not fit the answer.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = self.url(path);
        let answer = self.agent.get(&url).call();
        read(check(answer, "GET", &url)?, &url)
    }

    /// Gets a path and parses the answer's JSON body, whatever its status.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in can't be reached or `T` does not fit the answer.
    pub fn get_any_status<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = self.url(path);
        let answer = self.agent.get(&url).call();
        let answer = answer.map_err(|error| Error::failed(format!("GET {url}"), error))?;
        read(answer, &url)
    }

    /// Posts a JSON body to a path.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in refuses or can't be reached.
    pub fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<()> {
        let url = self.url(path);
        let answer = self.agent.post(&url).send_json(body);
        check(answer, "POST", &url).map(|_| ())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Returns the answer if it has a success status, and an error otherwise.
fn check(
    answer: std::result::Result<Response<Body>, ureq::Error>,
    method: &str,
    url: &str,
) -> Result<Response<Body>> {
    match answer {
        Ok(answer) if answer.status().is_success() => Ok(answer),
        Ok(answer) => Err(Error::failed(format!("{method} {url}"), answer.status())),
        Err(error) => Err(Error::failed(format!("{method} {url}"), error)),
    }
}

fn read<T: DeserializeOwned>(mut answer: Response<Body>, url: &str) -> Result<T> {
    let body = answer.body_mut().read_json();
    body.map_err(|error| Error::failed(format!("reading {url}"), error))
}
