//! Orders to an engine, and the models that it holds.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::platform::engine::EngineOptions;
use crate::platform::running_requests::RunningRequest;
use crate::platform::running_requests::RunningRequests;

/// Fault of the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order is carried out, and its answer is lost.
    LostAnswer,
    /// The order is carried out after a delay, without an answer.
    Late {
        /// Delay in milliseconds.
        after_ms: u64,
    },
}

/// Order in the platform's wire format.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WireOrder {
    pub operation: String,
    pub model: String,
    pub adapter: Option<String>,
    /// Number of orders that must have been accepted; absent if it does not matter.
    pub precondition: Option<u64>,
    pub holder: String,
    pub fencing_token: u64,
}

/// Time for which an engine listed a model as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Residence {
    /// Name of the model.
    pub model: String,
    /// Time at which the load was accepted; the engine's start for models loaded since then.
    pub ordered: Instant,
    /// Time from which the engine listed the model.
    pub from: Instant,
    /// Time at which its unload was accepted, or the engine restarted; absent while it is loaded.
    pub until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct OrderInProgress {
    load: bool,
    model: String,
    accepted: Instant,
    until: Instant,
}

/// Models that an engine holds, and the orders that it received.
#[derive(Debug)]
pub(crate) struct Holdings {
    options: EngineOptions,
    /// Models that can serve, with their adapters.
    pub models: HashMap<String, HashSet<String>>,
    on_disk: HashSet<String>,
    /// Unloaded models whose weights are in the host's memory, in order of their unloads.
    in_memory: VecDeque<String>,
    running: Arc<RunningRequests>,
    in_progress: Option<OrderInProgress>,
    accepted: u64,
    highest_fence: u64,
    pub refused: u64,
    pub overcommitted: u64,
    pub loads: u64,
    /// Fencing token and lease holder of each order that was accepted, in order.
    pub holders: Vec<(u64, String)>,
    /// Time and lease holder of each order that was accepted, in order.
    pub order_times: Vec<(Instant, String)>,
    /// Times for which models were listed as loaded, in order of their start.
    pub residences: Vec<Residence>,
}

impl Holdings {
    pub fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        let residence = |model: &String| Residence {
            model: model.clone(),
            ordered: now,
            from: now,
            until: None,
        };
        Self {
            residences: options.models.iter().map(residence).collect(),
            order_times: Vec::new(),
            in_memory: VecDeque::new(),
            running: Arc::default(),
            models: options
                .models
                .iter()
                .map(|model| (model.clone(), HashSet::new()))
                .collect(),
            on_disk: options
                .on_disk
                .iter()
                .chain(&options.models)
                .cloned()
                .collect(),
            options,
            in_progress: None,
            accepted: 0,
            highest_fence: 0,
            refused: 0,
            overcommitted: 0,
            loads: 0,
            holders: Vec::new(),
        }
    }

    /// Drops what a restart loses: loaded models, orders, their count and the fencing token.
    pub fn restart(&mut self) {
        self.models.clear();
        self.in_memory.clear();
        // Requests of the previous incarnation delay no unload of this one.
        self.running = Arc::default();
        let residences = self.residences.iter_mut();
        residences.for_each(|it| it.until = it.until.or_else(|| Some(Instant::now())));
        self.in_progress = None;
        self.accepted = 0;
        self.highest_fence = 0;
    }

    /// Completes the order in progress once its time has passed and, for an unload, the requests on
    /// the model have ended. Returns whether it did so.
    pub fn advance(&mut self) -> bool {
        let running = &self.running;
        let Some(done) = self.in_progress.take_if(|in_progress| {
            in_progress.until <= Instant::now()
                && (in_progress.load || running.count(&in_progress.model) == 0)
        }) else {
            return false;
        };
        match done.load {
            true => self.complete_load(done),
            false => self.complete_unload(done.model),
        }
        true
    }

    fn complete_load(&mut self, done: OrderInProgress) {
        self.loads += 1;
        self.on_disk.insert(done.model.clone());
        self.in_memory.retain(|model| *model != done.model);
        self.residences.push(Residence {
            model: done.model.clone(),
            ordered: done.accepted,
            from: Instant::now(),
            until: None,
        });
        self.models.insert(done.model, HashSet::new());
    }

    fn complete_unload(&mut self, model: String) {
        self.models.remove(&model);
        self.in_memory.push_back(model);
        while self.in_memory.len() > self.options.memory_copies {
            self.in_memory.pop_front();
        }
    }

    /// Accepts or refuses an order and returns the status of its answer.
    pub fn handle_order(&mut self, order: &WireOrder) -> u16 {
        self.advance();
        if order.fencing_token < self.highest_fence {
            self.refused += 1;
            return 412;
        }
        self.highest_fence = order.fencing_token;
        if self.in_progress.is_some()
            || order
                .precondition
                .is_some_and(|count| count != self.accepted)
        {
            self.refused += 1;
            return 409;
        }
        let status = match (order.operation.as_str(), &order.adapter) {
            ("load", None) => self.load(&order.model),
            ("unload", None) => self.unload(&order.model),
            ("load", Some(adapter)) => self.load_adapter(&order.model, adapter),
            ("unload", Some(adapter)) => self.unload_adapter(&order.model, adapter),
            _ => 400,
        };
        if status == 202 || (status == 200 && order.operation == "unload") {
            self.accepted += 1;
            self.holders
                .push((order.fencing_token, order.holder.clone()));
            self.order_times
                .push((Instant::now(), order.holder.clone()));
        }
        status
    }

    fn load(&mut self, model: &str) -> u16 {
        if self.models.contains_key(model) {
            return 200;
        }
        if self.models.len() >= self.options.model_slots {
            self.overcommitted += 1;
        }
        let took_ms = match self.on_disk.contains(model) {
            _ if self.in_memory.iter().any(|it| it == model) => self.options.memory_load_ms,
            true => self.options.disk_load_ms,
            false => self.options.store_load_ms,
        };
        self.run(true, model, took_ms);
        202
    }

    fn unload(&mut self, model: &str) -> u16 {
        if !self.models.contains_key(model) {
            return 200;
        }
        let mut residences = self.residences.iter_mut();
        if let Some(residence) = residences.find(|it| it.model == model && it.until.is_none()) {
            residence.until = Some(Instant::now());
        }
        self.run(false, model, self.options.unload_ms);
        202
    }

    fn run(&mut self, load: bool, model: &str, took_ms: u64) {
        let accepted = Instant::now();
        self.in_progress = Some(OrderInProgress {
            load,
            model: model.to_owned(),
            accepted,
            until: accepted + Duration::from_millis(took_ms),
        });
    }

    fn load_adapter(&mut self, model: &str, adapter: &str) -> u16 {
        let held: usize = self.models.values().map(HashSet::len).sum();
        let Some(adapters) = self.models.get_mut(model) else {
            return 400;
        };
        if !adapters.insert(adapter.to_owned()) {
            return 200;
        }
        if held >= self.options.adapter_slots {
            self.overcommitted += 1;
        }
        202
    }

    fn unload_adapter(&mut self, model: &str, adapter: &str) -> u16 {
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.remove(adapter);
        }
        200
    }

    /// Begins a request on a model, or an adapter after a slash, which delays the model's unload
    /// until it ends. None if that can't serve, or if the model is being unloaded.
    pub fn begin_request(&self, wanted: &str) -> Option<RunningRequest> {
        let model = wanted.split('/').next().unwrap_or(wanted);
        let mut orders = self.in_progress.iter();
        let is_leaving = orders.any(|order| !order.load && order.model == model);
        (self.serves(wanted) && !is_leaving).then(|| self.running.begin(model))
    }

    /// Returns whether a model, or an adapter after a slash, can serve.
    pub fn serves(&self, wanted: &str) -> bool {
        match wanted.split_once('/') {
            Some((model, adapter)) => self
                .models
                .get(model)
                .is_some_and(|adapters| adapters.contains(adapter)),
            None => self.models.contains_key(wanted),
        }
    }

    /// Returns the report, which is also the part of an entry that says what the engine holds.
    pub fn describe(&self) -> Value {
        let models: Vec<Value> = self
            .models
            .iter()
            .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "both",
            "models": models,
            "busy": self.in_progress.is_some(),
            "sequence": self.accepted,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1,
            "handles": 0,
            "at_hand": {"in_memory": self.in_memory, "on_disk": self.on_disk},
        })
    }
}
