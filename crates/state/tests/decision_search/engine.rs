//! Model of an engine: its residents, the orders queued in its connections, and its answers.

use std::collections::BTreeMap;

use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

/// Order on its way to an engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// Process that sent the order.
    pub process_id: u64,
    /// Offset of the intent that the order executes.
    pub intent: Offset,
    /// Model or adapter.
    pub model: ModelName,
    /// Model that the adapter belongs to; `None` for a model.
    pub base: Option<ModelName>,
    /// Memory that the model takes; `None` if the order is an unload.
    pub bytes: Option<u64>,
    /// Fencing token of the order.
    pub fence: FencingToken,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// The order took effect, at this incarnation and sequence.
    Done(u64, u64),
    /// The order had no effect and never will.
    Refused,
}

/// One engine. It executes every order that its fence admits, even beyond its memory, so that the
/// search can detect an overcommitment.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub checks_fence: bool,
    pub capacity_bytes: u64,
    pub boot: u64,
    pub sequence: u64,
    pub highest_fence: u64,
    pub residents: BTreeMap<ModelName, (Resident, Option<Order>)>,
    /// Orders that were received and not executed yet. A restart drops them.
    pub inbox: Vec<Order>,
}

impl FakeEngine {
    pub fn new(checks_fence: bool, capacity_bytes: u64) -> Self {
        Self {
            checks_fence,
            capacity_bytes,
            boot: 1,
            sequence: 0,
            highest_fence: 0,
            residents: BTreeMap::new(),
            inbox: Vec::new(),
        }
    }

    pub fn held_bytes(&self) -> u64 {
        self.residents
            .values()
            .map(|(resident, _)| resident.bytes)
            .sum()
    }

    pub fn resident_list(&self) -> Vec<Resident> {
        self.residents
            .values()
            .map(|(resident, _)| resident.clone())
            .collect()
    }

    pub fn is_busy(&self) -> bool {
        let mut residents = self.residents.values();
        residents.any(|(resident, _)| resident.residency != Residency::Loaded)
    }

    pub fn raise_fence(&mut self, fence: u64) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    pub fn restart(&mut self) {
        self.boot += 1;
        self.sequence = 0;
        self.highest_fence = 0;
        self.residents.clear();
        self.inbox.clear();
    }

    /// Executes one received order and returns it with the answer if that follows at once.
    pub fn handle_order(&mut self, index: usize) -> Option<(Order, Answer)> {
        if self.inbox.is_empty() {
            return None;
        }
        let order = self.inbox.remove(index % self.inbox.len());
        if self.checks_fence && order.fence.0 < self.highest_fence {
            return Some((order, Answer::Refused));
        }
        self.raise_fence(order.fence.0);
        match order.bytes {
            Some(bytes) => self.begin_load(order, bytes),
            None => self.begin_unload(order),
        }
    }

    fn begin_load(&mut self, order: Order, bytes: u64) -> Option<(Order, Answer)> {
        let is_base_missing = order
            .base
            .as_ref()
            .is_some_and(|base| !self.residents.contains_key(base));
        if is_base_missing || self.residents.contains_key(&order.model) {
            return Some((order, Answer::Refused));
        }
        let resident = Resident {
            model: order.model.clone(),
            residency: Residency::Loading,
            bytes,
            fence: order.fence,
        };
        self.sequence += 1;
        self.residents
            .insert(order.model.clone(), (resident, Some(order)));
        None
    }

    fn begin_unload(&mut self, order: Order) -> Option<(Order, Answer)> {
        let Some((resident, pending_order)) = self.residents.get_mut(&order.model) else {
            return Some((order, Answer::Done(self.boot, self.sequence)));
        };
        self.sequence += 1;
        resident.residency = Residency::Unloading;
        let load = pending_order.replace(order);
        load.filter(|load| load.bytes.is_some())
            .map(|load| (load, Answer::Refused))
    }

    /// Ends the load or unload of one model and returns its order with the answer.
    pub fn finish(&mut self, index: usize, succeeds: bool) -> Option<(Order, Answer)> {
        let busy = self.residents.values().filter(|(resident, _)| {
            matches!(
                resident.residency,
                Residency::Loading | Residency::Unloading
            )
        });
        let busy: Vec<ModelName> = busy.map(|(resident, _)| resident.model.clone()).collect();
        let model = busy.get(index % busy.len().max(1))?;
        let (resident, order) = self.residents.get_mut(model)?;
        self.sequence += 1;
        let order = order.take();
        if resident.residency == Residency::Loading && succeeds {
            resident.residency = Residency::Loaded;
            return Some((order?, Answer::Done(self.boot, self.sequence)));
        }
        let is_unload = resident.residency == Residency::Unloading;
        self.residents.remove(model);
        match is_unload {
            true => Some((order?, Answer::Done(self.boot, self.sequence))),
            false => Some((order?, Answer::Refused)),
        }
    }

    /// Executes the next order or ends the next load or unload; `None` if there is nothing to do.
    pub fn run_next(&mut self) -> Option<Option<(Order, Answer)>> {
        if !self.inbox.is_empty() {
            return Some(self.handle_order(0));
        }
        self.finish(0, true).map(Some)
    }
}
