//! Stand-in of the platform's list of VMs, which is published with a lag.

use std::sync::Arc;

use apricotdale_core::serving::Clock;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmState;
use bpaf::Bpaf;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::SystemClock;
use crate::fault::FaultOrder;
use crate::fault::FaultSwitch;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::lagged::Lagged;

/// Settings of the VM list stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Bpaf)]
#[bpaf(generate(options), ignore_rustdoc)]
pub struct Options {
    /// Time in milliseconds after which a change is published
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub lag_ms: u64,
}

/// Behaviour of the VM list stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Answers reads.
    #[default]
    Up,
    /// Answers every read with 503.
    Down,
}

/// List of VMs that control calls set and that is published with a lag.
pub struct VmListStandin {
    clock: SystemClock,
    state: Mutex<State>,
}

struct State {
    entries: Lagged<Vec<VmEntry>>,
    fault: FaultSwitch<Mode>,
}

#[derive(Deserialize)]
struct StateChange {
    name: String,
    state: VmState,
}

impl VmListStandin {
    /// Returns an empty list with the lag of the options.
    pub fn new(options: Options) -> Self {
        Self {
            clock: SystemClock::new(),
            state: Mutex::new(State {
                entries: Lagged::new(options.lag_ms, Vec::new()),
                fault: FaultSwitch::new(),
            }),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let now_ms = self.clock.monotonic_ms();
        let unix_ms = self.clock.unix_ms();
        let mut state = self.state.lock();
        if state.fault.mode() == Mode::Down {
            state.fault.consume();
            return Reply::json(503, &json!({"error": {"code": "down"}}));
        }
        let listing = VmListing {
            as_of_ms: unix_ms.saturating_sub(state.entries.lag_ms()),
            entries: state.entries.published(now_ms).clone(),
        };
        let entries = serde_json::to_vec(&listing.entries).expect("entries hold only strings");
        let tag = format!("\"{:016x}\"", xxh3_64(&entries));
        let as_of_ms = listing.as_of_ms.to_string();
        let reply = match request.header("if-none-match") {
            Some(known) if known == tag => Reply::not_modified(),
            _ => Reply::json(200, &listing),
        };
        reply
            .with_header("ETag", &tag)
            .with_header("X-As-Of-Ms", &as_of_ms)
    }

    fn replace(&self, request: &Request) -> Reply {
        let entries: Vec<VmEntry> = match request.json() {
            Ok(entries) => entries,
            Err(reply) => return reply,
        };
        let now_ms = self.clock.monotonic_ms();
        self.state.lock().entries.record(now_ms, entries);
        Reply::ok()
    }

    fn change(&self, request: &Request) -> Reply {
        let change: StateChange = match request.json() {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        let mut entries = state.entries.newest().clone();
        let Some(entry) = entries.iter_mut().find(|entry| entry.name == change.name) else {
            return Reply::json(404, &json!({"error": {"code": "unknown_vm"}}));
        };
        entry.state = change.state;
        state.entries.record(now_ms, entries);
        Reply::ok()
    }

    fn set_fault(&self, request: &Request) -> Reply {
        let order: FaultOrder<Mode> = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        self.state.lock().fault.set(order);
        Reply::ok()
    }
}

impl Handler for VmListStandin {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/vms") => self.list(request),
            ("POST", "/standin/vms") => self.replace(request),
            ("POST", "/standin/state") => self.change(request),
            ("POST", "/standin/fault") => self.set_fault(request),
            _ => Reply::not_found(),
        }
    }
}
