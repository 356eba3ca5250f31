//! The stand-ins' own paths: faults to set and effects to count.

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

/// The longest time that one call to a stand-in may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// `EngineEffects` is what a stand-in engine counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineEffects {
    /// The run of the engine.
    pub boot: u64,
    /// Load orders received.
    pub load_orders: u64,
    /// Unload orders received.
    pub unload_orders: u64,
    /// Orders refused.
    pub refused_orders: u64,
    /// The most memory ever held.
    pub most_bytes_held: u64,
    /// How often more memory was held than there is.
    pub overcommitted: u64,
    /// Loads that took effect, by model.
    pub loads: BTreeMap<String, u64>,
    /// Requests received, by identity.
    pub requests: BTreeMap<String, EngineRequest>,
}

/// `EngineRequest` is one request as a stand-in engine saw it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineRequest {
    /// The model that it named.
    pub model: String,
    /// How far it came.
    pub state: RequestState,
    /// How often it was accepted.
    pub runs: u64,
}

/// `RequestState` is how far a request came at a stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It runs.
    Running,
    /// Its whole answer was sent.
    Whole,
    /// It was cancelled.
    Cancelled,
    /// Its answer was cut.
    Cut,
}

/// `ServiceEffects` is what a stand-in of a plain service counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServiceEffects {
    /// Calls that ran, by method and path.
    pub calls: BTreeMap<String, u64>,
    /// Calls that ran, by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Calls that ran, by request identity.
    pub requests: BTreeMap<String, u64>,
}

/// `LogEffects` is what the stand-in of the log counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogEffects {
    /// Records appended.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes kept.
    pub bytes_kept: u64,
}

/// `WeightsEffects` is what the stand-in of the weight store counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct WeightsEffects {
    /// Loads served.
    pub loads: u64,
    /// Loads refused above the rate limit.
    pub refused: u64,
    /// The most loads at one time.
    pub most_at_once: u64,
}

/// `StandinClient` calls one stand-in.
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

    /// Sets a fault, in the stand-in's own words.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in refuses or can't be reached.
    pub fn fault(&self, fault: &Value) -> Result<()> {
        self.post("/standin/fault", fault)
    }

    /// Returns what the stand-in counts.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in can't be reached or counts something else.
    pub fn effects<T: DeserializeOwned>(&self) -> Result<T> {
        self.get("/standin/effects")
    }

    /// Returns the exact status of a stand-in engine.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in can't be reached or is no engine.
    pub fn engine_status(&self) -> Result<EngineStatus> {
        self.get("/status")
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the stand-in refuses, can't be reached or answers with something else.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = self.url(path);
        let answer = self.agent.get(&url).call();
        read(check(answer, "GET", &url)?, &url)
    }

    /// Gets a path and reads the answer's body, also that of a refusal.
    ///
    /// # Errors
    ///
    /// As for `get`.
    pub fn get_any_status<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = self.url(path);
        let answer = self.agent.get(&url).call();
        let answer = answer.map_err(|error| Error::failed(format!("GET {url}"), error))?;
        read(answer, &url)
    }

    /// Posts JSON to a path.
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

/// Returns an answer of success.
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
