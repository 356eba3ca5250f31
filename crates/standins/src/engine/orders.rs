//! Orders to the engine stand-in, and the loads that they begin.

use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Instant;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;
use parking_lot::MutexGuard;
use serde::Deserialize;
use serde_json::json;

use crate::clock::after_ms;
use crate::engine::faults::LoadFault;
use crate::engine::faults::OrderKind;
use crate::engine::models::LoadStep;
use crate::engine::models::OrderRefusal;
use crate::engine::models::UnloadStep;
use crate::engine::server::EngineStandin;
use crate::engine::server::State;
use crate::http::Reply;
use crate::http::Request;

const MS_PER_S: f64 = 1_000.0;

/// Outcome of an order.
enum OrderEnd {
    /// The order took effect.
    Done,
    /// The order had no effect.
    Refused(OrderRefusal),
    /// The engine process that received the order has ended.
    Restarted,
}

/// Load in progress.
#[derive(Clone)]
struct LoadJob {
    boot: BootId,
    order: LoadOrder,
    tier: CacheTier,
    fault: Option<LoadFault>,
    finishes: u64,
    outcome: Arc<OnceLock<Result<(), OrderRefusal>>>,
}

#[derive(Deserialize)]
struct FenceOrder {
    fence: FencingToken,
}

impl EngineStandin {
    pub(crate) fn order_load(self: Arc<Self>, request: &Request) -> Reply {
        let order: LoadOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let mut state = self.state.lock();
        state.effects.load_orders += 1;
        let boot = state.models.boot();
        let end = if self.pass_gate(&mut state, boot) {
            self.load(&mut state, boot, &order)
        } else {
            OrderEnd::Restarted
        };
        answer(&mut state, Some(OrderKind::Load), end)
    }

    pub(crate) fn order_unload(&self, request: &Request) -> Reply {
        let order: UnloadOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let mut state = self.state.lock();
        state.effects.unload_orders += 1;
        let boot = state.models.boot();
        let end = if self.pass_gate(&mut state, boot) {
            self.unload(&mut state, boot, &order)
        } else {
            OrderEnd::Restarted
        };
        answer(&mut state, Some(OrderKind::Unload), end)
    }

    /// Raises the fencing token. Such an order passes a closed gate, since it has to overtake the
    /// orders that are delayed.
    pub(crate) fn order_fence(&self, request: &Request) -> Reply {
        let order: FenceOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let mut state = self.state.lock();
        let end = match state.models.check_fence(order.fence) {
            Ok(()) => OrderEnd::Done,
            Err(refusal) => OrderEnd::Refused(refusal),
        };
        answer(&mut state, None, end)
    }

    /// Waits until the order passes the gate, and returns false if the engine process ended before
    /// that.
    fn pass_gate(&self, state: &mut MutexGuard<'_, State>, boot: BootId) -> bool {
        let ticket = state.gate.enqueue();
        while !state.gate.try_pass(ticket) {
            self.orders_changed.wait(state);
            if state.models.boot() != boot {
                return false;
            }
        }
        self.orders_changed.notify_all();
        true
    }

    /// Loads a model and waits until it is loaded. The caller's connection is not checked: a load
    /// that was begun continues without it.
    fn load(
        self: &Arc<Self>,
        state: &mut MutexGuard<'_, State>,
        boot: BootId,
        order: &LoadOrder,
    ) -> OrderEnd {
        while state.models.boot() == boot {
            match state.models.load_step(order) {
                Ok(LoadStep::Loaded) => return OrderEnd::Done,
                Ok(LoadStep::Wait) => self.orders_changed.wait(state),
                Ok(LoadStep::Begin) => return self.run_load(state, boot, order),
                Err(refusal) => return OrderEnd::Refused(refusal),
            }
        }
        OrderEnd::Restarted
    }

    fn run_load(
        self: &Arc<Self>,
        state: &mut MutexGuard<'_, State>,
        boot: BootId,
        order: &LoadOrder,
    ) -> OrderEnd {
        let job = LoadJob {
            boot,
            order: order.clone(),
            tier: state.host.tier(&order.model),
            fault: state.faults.load.take(),
            finishes: state.faults.finishes,
            outcome: Arc::default(),
        };
        let engine = self.clone();
        let running = job.clone();
        thread::spawn(move || engine.run_job(&running));
        loop {
            match job.outcome.get() {
                Some(Ok(())) => return OrderEnd::Done,
                Some(Err(refusal)) => return OrderEnd::Refused(*refusal),
                None if state.models.boot() != boot => return OrderEnd::Restarted,
                None => self.orders_changed.wait(state),
            }
        }
    }

    fn run_job(&self, job: &LoadJob) {
        let fetched = self.fetch(job);
        let mut state = self.state.lock();
        if job.fault == Some(LoadFault::Hang) {
            self.hang(&mut state, job);
        }
        if state.models.boot() != job.boot {
            return;
        }
        let loaded = match job.fault {
            Some(LoadFault::Die) => Err(OrderRefusal::WeightsFailed),
            _ => fetched,
        };
        state.models.end_load(&job.order.model, loaded.is_ok());
        if loaded.is_ok() {
            state.effects.count_load(&job.order.model);
            state.host.touch(&job.order.model, job.order.bytes);
            self.record_load(&mut state);
        }
        // Only this thread sets the outcome, so it can't be set already.
        let _ = job.outcome.set(loaded);
        self.orders_changed.notify_all();
    }

    /// Waits as long as fetching the weights takes.
    fn fetch(&self, job: &LoadJob) -> Result<(), OrderRefusal> {
        match job.tier {
            CacheTier::Memory => self.copy(job, self.options.memory_bytes_per_s),
            CacheTier::Disk => self.copy(job, self.options.disk_bytes_per_s),
            CacheTier::Remote => return self.fetch_remote(job),
        }
        Ok(())
    }

    fn copy(&self, job: &LoadJob, bytes_per_s: u64) {
        let mut state = self.state.lock();
        let seconds = job.order.bytes as f64 / bytes_per_s.max(1) as f64;
        let copy_ms = seconds * MS_PER_S * state.faults.slow_factor;
        let deadline = after_ms(copy_ms as u64);
        while state.models.boot() == job.boot && Instant::now() < deadline {
            self.orders_changed.wait_until(&mut state, deadline);
        }
    }

    fn fetch_remote(&self, job: &LoadJob) -> Result<(), OrderRefusal> {
        let Some(weights) = self.options.weights else {
            return Ok(());
        };
        let body = json!({"model": job.order.model, "bytes": job.order.bytes});
        let sent = self
            .agent
            .post(format!("http://{weights}/loads"))
            .send_json(body);
        match sent.map(|answer| answer.status().as_u16()) {
            Ok(200) => Ok(()),
            Ok(404) => Err(OrderRefusal::UnknownModel),
            Ok(_) | Err(_) => Err(OrderRefusal::WeightsFailed),
        }
    }

    /// Keeps a load in progress until hanging loads may continue or the process ends.
    fn hang(&self, state: &mut MutexGuard<'_, State>, job: &LoadJob) {
        while state.models.boot() == job.boot && state.faults.finishes == job.finishes {
            self.orders_changed.wait(state);
        }
    }

    /// Unloads a model and waits until its memory is free.
    fn unload(
        &self,
        state: &mut MutexGuard<'_, State>,
        boot: BootId,
        order: &UnloadOrder,
    ) -> OrderEnd {
        while state.models.boot() == boot {
            match state.models.unload_step(&order.model, order.fence) {
                Ok(UnloadStep::Absent) => return OrderEnd::Done,
                Ok(UnloadStep::Wait) => self.orders_changed.wait(state),
                Ok(UnloadStep::Ending(number)) => return self.wait_for_end(state, boot, number),
                Err(refusal) => return OrderEnd::Refused(refusal),
            }
        }
        OrderEnd::Restarted
    }

    fn wait_for_end(
        &self,
        state: &mut MutexGuard<'_, State>,
        boot: BootId,
        number: u64,
    ) -> OrderEnd {
        self.orders_changed.notify_all();
        while !state.models.has_ended(number) {
            self.orders_changed.wait(state);
        }
        if state.models.boot() == boot {
            OrderEnd::Done
        } else {
            OrderEnd::Restarted
        }
    }
}

fn answer(state: &mut State, kind: Option<OrderKind>, end: OrderEnd) -> Reply {
    match end {
        OrderEnd::Done if kind.is_some_and(|kind| state.faults.loses_answer(kind)) => Reply::Lost,
        OrderEnd::Done => Reply::json(200, &state.models.status()),
        OrderEnd::Restarted => Reply::Lost,
        OrderEnd::Refused(refusal) => {
            state.effects.refused_orders += 1;
            refused(refusal)
        }
    }
}

fn refused(refusal: OrderRefusal) -> Reply {
    let (reason, detail) = match refusal {
        OrderRefusal::StaleFence { highest } => {
            return Reply::json(409, &json!({"reason": "stale_fence", "highest": highest}));
        }
        OrderRefusal::NoMemory => ("no_memory", "the memory does not hold the model"),
        OrderRefusal::BaseMissing => ("base_missing", "the adapter's model is not loaded"),
        OrderRefusal::WeightsFailed => ("weights_failed", "the weights could not be loaded"),
        OrderRefusal::UnknownModel => ("unknown", "the weight store does not hold the model"),
        OrderRefusal::AdaptersLoaded => ("unknown", "adapters of the model are loaded"),
    };
    Reply::json(422, &json!({"reason": reason, "detail": detail}))
}
