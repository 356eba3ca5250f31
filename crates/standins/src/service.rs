//! Stand-in of one instance of a plain service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::clock::after_ms;
use crate::fault::FaultOrder;
use crate::fault::FaultSwitch;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;

/// Interval at which a held call checks whether its caller is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Behaviour of the service stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Carries out and answers every call.
    #[default]
    Up,
    /// Answers every call with 503 and does not carry it out.
    Refuse,
    /// Carries out the call, then closes the connection without an answer.
    LostAnswer,
    /// Carries out the call, then does not answer until the mode is set again.
    Hang,
    /// Carries out the call only after the order's delay.
    Slow,
}

/// Plain service that answers any call and counts it.
#[derive(Default)]
pub struct ServiceStandin {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    fault: FaultSwitch<Mode>,
    effects: Effects,
}

#[derive(Default, Serialize)]
struct Effects {
    calls: BTreeMap<String, u64>,
    keys: BTreeMap<String, u64>,
    requests: BTreeMap<String, u64>,
    held: u64,
}

impl ServiceStandin {
    /// Returns a service that has carried out no call.
    pub fn new() -> Self {
        Self::default()
    }

    fn call(&self, request: &Request) -> Reply {
        let mut state = self.state.lock();
        let mode = state.fault.mode();
        let delay_ms = state.fault.delay_ms();
        state.fault.consume();
        match mode {
            Mode::Up => state.effects.count(request),
            Mode::Refuse => Reply::json(503, &json!({"error": {"code": "refused"}})),
            Mode::LostAnswer => {
                state.effects.count(request);
                Reply::Lost
            }
            Mode::Hang => {
                let reply = state.effects.count(request);
                self.hold(&mut state, request, None);
                reply
            }
            Mode::Slow => {
                let deadline = after_ms(delay_ms);
                self.hold(&mut state, request, Some(deadline));
                state.effects.count(request)
            }
        }
    }

    /// Holds a call until its deadline or until the mode is set again. A call without a deadline
    /// also ends when its caller disconnects, so that its thread does not stay for ever.
    fn hold(
        &self,
        state: &mut MutexGuard<'_, State>,
        request: &Request,
        deadline: Option<Instant>,
    ) {
        let generation = state.fault.generation();
        state.effects.held += 1;
        while state.fault.generation() == generation {
            let expired = match deadline {
                Some(deadline) => Instant::now() >= deadline,
                None => request.caller.is_disconnected(),
            };
            if expired {
                break;
            }
            let poll = Instant::now() + CALLER_POLL_INTERVAL;
            self.changed.wait_until(state, deadline.unwrap_or(poll));
        }
        state.effects.held -= 1;
    }

    fn set_fault(&self, request: &Request) -> Reply {
        let order: FaultOrder<Mode> = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        self.state.lock().fault.set(order);
        self.changed.notify_all();
        Reply::ok()
    }
}

impl Handler for ServiceStandin {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/standin/fault") => self.set_fault(request),
            ("GET", "/standin/effects") => Reply::json(200, &self.state.lock().effects),
            (_, path) if path.starts_with("/standin/") => Reply::not_found(),
            _ => self.call(request),
        }
    }
}

impl Effects {
    /// Counts a call that is carried out and returns its answer.
    fn count(&mut self, request: &Request) -> Reply {
        let call = format!("{} {}", request.method, request.path);
        let calls = self.calls.entry(call.clone()).or_default();
        *calls += 1;
        let count = *calls;
        if let Some(key) = request.header("Idempotency-Key") {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
        let id = request.header("X-Request-Id");
        if let Some(id) = id {
            *self.requests.entry(id.to_owned()).or_default() += 1;
        }
        let reply = Reply::json(200, &json!({"call": call, "count": count}));
        match id {
            Some(id) => reply.with_header("X-Request-Id", id),
            None => reply,
        }
    }
}
