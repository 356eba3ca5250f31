//! Calls of the weight store stand-in.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::names::ModelName;
use apricotdale_core::weights::WeightsStatus;
use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::errors::Result;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::rate_limit::RateLimit;
use crate::weights::bandwidth::Bandwidth;
use crate::weights::bandwidth::LoadId;
use crate::weights::models::ModelSizes;
use crate::weights::options::Options;

/// Interval at which a load in progress checks whether its engine is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Behaviour of the weight store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Serves every call.
    #[default]
    Up,
    /// Answers every call with 503, those of loads in progress included.
    Down,
    /// Slows loads by the order's factor.
    Slow,
}

/// Weight store that holds no weights and only takes the time that fetching them would take.
pub struct WeightsStandin {
    options: Options,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    mode: Mode,
    sizes: ModelSizes,
    bandwidth: Bandwidth,
    limit: RateLimit,
    effects: Effects,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Effects {
    loads: u64,
    refused: u64,
    most_at_once: u32,
}

#[derive(Deserialize)]
struct FaultOrder {
    mode: Mode,
    #[serde(default = "normal_speed")]
    factor: f64,
}

#[derive(Deserialize)]
struct LoadRequest {
    model: ModelName,
    #[serde(default)]
    bytes: u64,
}

impl WeightsStandin {
    /// Returns a store that holds the models of the options' file, or any model without a file.
    ///
    /// # Errors
    ///
    /// Errors of reading the file.
    pub fn new(options: Options) -> Result<Self> {
        let sizes = match &options.models {
            Some(path) => ModelSizes::read(path)?,
            None => ModelSizes::any(),
        };
        Ok(Self::with_sizes(options, sizes))
    }

    /// Returns a store that holds the given models, whatever file the options name.
    pub fn with_sizes(options: Options, sizes: ModelSizes) -> Self {
        let bandwidth = Bandwidth::new(options.full_speed_loads, options.bytes_per_s);
        let limit = RateLimit::new(options.loads_per_s);
        Self {
            options,
            start: Instant::now(),
            state: Mutex::new(State {
                mode: Mode::Up,
                sizes,
                bandwidth,
                limit,
                effects: Effects::default(),
            }),
            changed: Condvar::new(),
        }
    }

    fn status(&self) -> Reply {
        let state = self.state.lock();
        if state.mode == Mode::Down {
            return unavailable();
        }
        let status = WeightsStatus {
            active_loads: state.bandwidth.active(),
            full_speed_loads: self.options.full_speed_loads,
            loads_per_s: self.options.loads_per_s,
        };
        Reply::json(200, &status)
    }

    fn size(&self, model: &ModelName) -> Reply {
        let state = self.state.lock();
        if state.mode == Mode::Down {
            return unavailable();
        }
        match state.sizes.bytes(model) {
            Some(bytes) => Reply::json(200, &json!({"bytes": bytes})),
            None => unknown_model(),
        }
    }

    fn load(&self, request: &Request) -> Reply {
        let load: LoadRequest = match request.json() {
            Ok(load) => load,
            Err(reply) => return reply,
        };
        let begun = Instant::now();
        let mut state = self.state.lock();
        if state.mode == Mode::Down {
            state.effects.refused += 1;
            return unavailable();
        }
        let Some(bytes) = state.sizes.bytes_to_load(&load.model, load.bytes) else {
            return unknown_model();
        };
        if !state.limit.allow(round_down_ms(self.now_ms())) {
            state.effects.refused += 1;
            return Reply::json(429, &json!({"error": {"code": "rate_limited"}}));
        }
        let id = self.begin(&mut state, bytes);
        let fetched = self.wait(&mut state, id, request);
        state.bandwidth.end(self.now_ms(), id);
        self.changed.notify_all();
        if !fetched {
            return unavailable();
        }
        let took_ms = begun.elapsed().as_millis();
        Reply::json(
            200,
            &json!({"took_ms": u64::try_from(took_ms).unwrap_or(u64::MAX)}),
        )
    }

    fn begin(&self, state: &mut State, bytes: u64) -> LoadId {
        let id = state.bandwidth.start(self.now_ms(), bytes);
        state.effects.loads += 1;
        state.effects.most_at_once = state.effects.most_at_once.max(state.bandwidth.active());
        // The loads in progress have become slower and must compute their remaining time again.
        self.changed.notify_all();
        id
    }

    /// Waits until a load is complete, and returns false if the store went down or the engine
    /// disconnected before that.
    fn wait(&self, state: &mut MutexGuard<'_, State>, id: LoadId, request: &Request) -> bool {
        while let Some(left_ms) = state.bandwidth.left_ms(self.now_ms(), id) {
            if state.mode == Mode::Down || request.caller.is_disconnected() {
                return false;
            }
            let left = Duration::from_secs_f64(left_ms / 1_000.0);
            self.changed.wait_for(state, left.min(CALLER_POLL_INTERVAL));
        }
        true
    }

    fn set_fault(&self, request: &Request) -> Reply {
        let order: FaultOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let factor = match order.mode {
            Mode::Slow => order.factor,
            Mode::Up | Mode::Down => normal_speed(),
        };
        let mut state = self.state.lock();
        state.mode = order.mode;
        state.bandwidth.slow_by(self.now_ms(), factor);
        self.changed.notify_all();
        Reply::ok()
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }
}

impl Handler for WeightsStandin {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        if let Some(model) = request
            .remainder("/models/")
            .filter(|_| request.method == "GET")
        {
            return self.size(&ModelName::new(model));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => self.status(),
            ("POST", "/loads") => self.load(request),
            ("POST", "/standin/fault") => self.set_fault(request),
            ("GET", "/standin/effects") => Reply::json(200, &self.state.lock().effects),
            _ => Reply::not_found(),
        }
    }
}

fn normal_speed() -> f64 {
    1.0
}

/// Rounds a time down to milliseconds. Times since the start fit.
fn round_down_ms(now_ms: f64) -> u64 {
    now_ms as u64
}

fn unavailable() -> Reply {
    Reply::json(503, &json!({"error": {"code": "down"}}))
}

fn unknown_model() -> Reply {
    Reply::json(404, &json!({"error": {"code": "unknown_model"}}))
}
