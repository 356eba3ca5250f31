//! Engine stand-in: its state, its reports and its control calls.

use std::collections::BTreeMap;
use std::sync::Arc;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::BootId;
use apricotdale_core::serving::Clock;
use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;

use crate::clock::SystemClock;
use crate::engine::batch::Batch;
use crate::engine::batch::SequenceId;
use crate::engine::completion::Format;
use crate::engine::effects::Effects;
use crate::engine::effects::EffectsReport;
use crate::engine::effects::RequestState;
use crate::engine::faults::FaultOrder;
use crate::engine::faults::Faults;
use crate::engine::gate::OrderGate;
use crate::engine::host_cache::HostCache;
use crate::engine::models::Models;
use crate::engine::options::Options;
use crate::engine::prefix_cache::PrefixCache;
use crate::engine::sequence::Signal;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::lagged::Lagged;

/// Simulated model engine. Loading, generation and batching take as long as on a real engine, and
/// the tokens name the request that they belong to.
pub struct EngineStandin {
    pub(crate) options: Options,
    pub(crate) clock: SystemClock,
    pub(crate) agent: ureq::Agent,
    pub(crate) state: Mutex<State>,
    /// Wakes orders and loads when models, the gate or the faults change.
    pub(crate) orders_changed: Condvar,
}

/// State of an engine that changes.
pub(crate) struct State {
    pub(crate) models: Models,
    pub(crate) gate: OrderGate,
    pub(crate) batch: Batch,
    pub(crate) sequences: BTreeMap<SequenceId, ActiveSequence>,
    pub(crate) host: HostCache,
    pub(crate) prefixes: PrefixCache,
    pub(crate) faults: Faults,
    pub(crate) effects: Effects,
    report: Lagged<LoadReport>,
}

/// Sequence in progress, as orders and cancellations find it.
pub(crate) struct ActiveSequence {
    pub(crate) request: RequestId,
    pub(crate) signal: Arc<Signal>,
}

impl EngineStandin {
    /// Returns an engine without models.
    pub fn new(options: Options) -> Self {
        let clock = SystemClock::new();
        let boot = BootId(options.boot.unwrap_or_else(|| clock.unix_ms()));
        // The weight store is reached directly, even if the environment sets a proxy.
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None);
        Self {
            state: Mutex::new(State::new(&options, boot)),
            agent: config.build().into(),
            orders_changed: Condvar::new(),
            options,
            clock,
        }
    }

    /// Records the present load for the load report, which is published with a lag.
    pub(crate) fn record_load(&self, state: &mut State) {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let report = LoadReport {
            as_of_ms: 0,
            running: count(state.batch.running()),
            waiting: count(state.batch.waiting()),
            slots: count(self.options.slots),
            checkpoints: state.host.checkpoints(),
        };
        state.report.record(self.clock.monotonic_ms(), report);
    }

    fn load_report(&self) -> Reply {
        let mut state = self.state.lock();
        let lag_ms = state.report.lag_ms();
        let published = state.report.published(self.clock.monotonic_ms());
        let report = LoadReport {
            as_of_ms: self.clock.unix_ms().saturating_sub(lag_ms),
            slots: u32::try_from(self.options.slots).unwrap_or(u32::MAX),
            ..published.clone()
        };
        Reply::json(200, &report)
    }

    fn cache_events(&self, request: &Request) -> Reply {
        let after = request.query_number("after").unwrap_or(0);
        let now_ms = self.clock.monotonic_ms();
        Reply::json(200, &self.state.lock().prefixes.events(now_ms, after))
    }

    fn effects(&self) -> Reply {
        let state = self.state.lock();
        let report = EffectsReport {
            boot: state.models.boot(),
            load_orders: state.effects.load_orders,
            unload_orders: state.effects.unload_orders,
            refused_orders: state.effects.refused_orders,
            most_bytes_held: state.models.most_bytes_held(),
            overcommitted: state.models.overcommitted(),
            loads: state.effects.loads(),
            requests: state.effects.requests(),
        };
        Reply::json(200, &report)
    }

    fn set_fault(&self, request: &Request) -> Reply {
        let order: FaultOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let mut state = self.state.lock();
        state.faults.arm(&order);
        if let Some(closed) = order.hold_orders {
            state.gate.set_closed(closed);
        }
        if order.restart == Some(true) {
            self.restart(&mut state);
        }
        self.orders_changed.notify_all();
        Reply::ok()
    }

    /// Simulates the end of the process and the start of the next one. Orders and sequences notice
    /// that the boot number or their signal has changed, and close their connections.
    fn restart(&self, state: &mut MutexGuard<'_, State>) {
        state.models.restart();
        state.gate.clear();
        state.batch.clear();
        state.host.forget_memory();
        state.prefixes.clear();
        for active in std::mem::take(&mut state.sequences).into_values() {
            active.signal.end(RequestState::Cut);
            state.effects.record_end(&active.request, RequestState::Cut);
        }
        self.record_load(state);
    }
}

impl State {
    fn new(options: &Options, boot: BootId) -> Self {
        Self {
            models: Models::new(options, boot),
            gate: OrderGate::default(),
            batch: Batch::new(options.slots, options.queue),
            sequences: BTreeMap::new(),
            host: HostCache::new(options.memory_cache_bytes, options.disk_cache_bytes),
            prefixes: PrefixCache::new(
                options.prefixes,
                options.cache_lag_ms,
                options.cache_gap_every,
            ),
            faults: Faults::new(),
            effects: Effects::default(),
            report: Lagged::new(options.report_lag_ms, LoadReport::default()),
        }
    }
}

impl Handler for EngineStandin {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        if let Some(id) = request
            .remainder("/v1/cancel/")
            .filter(|_| request.method == "POST")
        {
            return self.cancel(&RequestId::new(id));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/completions") => self.complete(request, Format::Text),
            ("POST", "/v1/chat/completions") => self.complete(request, Format::Chat),
            ("POST", "/orders/load") => self.order_load(request),
            ("POST", "/orders/unload") => self.order_unload(request),
            ("POST", "/orders/fence") => self.order_fence(request),
            ("GET", "/status") => Reply::json(200, &self.state.lock().models.status()),
            ("GET", "/load") => self.load_report(),
            ("GET", "/cache-events") => self.cache_events(request),
            ("GET", "/standin/effects") => self.effects(),
            ("POST", "/standin/fault") => self.set_fault(request),
            _ => Reply::not_found(),
        }
    }
}
