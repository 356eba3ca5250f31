//! Models in the accelerator memory, and the effect of orders on them.

use std::collections::BTreeMap;

use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;

use crate::engine::options::Options;

/// Reason why an order had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The order's fencing token is lower than the highest one seen.
    StaleFence {
        /// Highest token seen.
        highest: FencingToken,
    },
    /// The model does not fit into the free memory.
    NoMemory,
    /// The model that the adapter belongs to is not loaded.
    BaseMissing,
    /// The weights could not be fetched or loaded.
    WeightsFailed,
    /// The weight store does not hold the model.
    UnknownModel,
    /// Adapters of the model are loaded.
    AdaptersLoaded,
}

/// Next step of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStep {
    /// Nothing is to be done: the model is loaded.
    Loaded,
    /// Wait until the models change, since the model is being loaded or unloaded.
    Wait,
    /// Start the load. Its memory is reserved.
    Begin,
}

/// Next step of an unload order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadStep {
    /// Nothing is to be done: the model is not in memory.
    Absent,
    /// Wait until the models change, since the model is being loaded.
    Wait,
    /// Wait until the residency with this number has ended.
    Ending(u64),
}

/// Models in the accelerator memory of an engine.
#[derive(Clone, Debug)]
pub struct Models {
    boot: BootId,
    sequence: u64,
    capacity_bytes: u64,
    checks_fence: bool,
    checks_memory: bool,
    highest_fence: FencingToken,
    residents: BTreeMap<ModelName, ResidentModel>,
    next_number: u64,
    most_bytes_held: u64,
    overcommitted: u64,
}

#[derive(Clone, Debug)]
struct ResidentModel {
    number: u64,
    residency: Residency,
    bytes: u64,
    fence: FencingToken,
    base: Option<ModelName>,
    requests: u32,
}

impl Models {
    /// Returns the empty memory of an engine process that has just started.
    pub fn new(options: &Options, boot: BootId) -> Self {
        Self {
            boot,
            sequence: 0,
            capacity_bytes: options.capacity_bytes,
            checks_fence: options.checks_fence,
            checks_memory: options.checks_memory(),
            highest_fence: FencingToken(0),
            residents: BTreeMap::new(),
            next_number: 0,
            most_bytes_held: 0,
            overcommitted: 0,
        }
    }

    /// Returns the boot number, which identifies the incarnation of the engine process.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Returns the largest amount of memory that was ever reserved, in bytes.
    pub fn most_bytes_held(&self) -> u64 {
        self.most_bytes_held
    }

    /// Returns the number of loads that began although they did not fit into the memory.
    pub fn overcommitted(&self) -> u64 {
        self.overcommitted
    }

    /// Starts the next incarnation of the engine process, without models and fencing token.
    pub fn restart(&mut self) {
        self.boot = BootId(self.boot.0 + 1);
        self.sequence = 0;
        self.highest_fence = FencingToken(0);
        self.residents.clear();
    }

    /// Refuses a fencing token lower than the highest one seen, and records a higher one. An engine
    /// that does not check tokens ignores them.
    ///
    /// # Errors
    ///
    /// `OrderRefusal::StaleFence` for a lower token.
    pub fn check_fence(&mut self, fence: FencingToken) -> Result<(), OrderRefusal> {
        if !self.checks_fence {
            return Ok(());
        }
        if fence < self.highest_fence {
            let highest = self.highest_fence;
            return Err(OrderRefusal::StaleFence { highest });
        }
        self.highest_fence = fence;
        Ok(())
    }

    /// Returns the next step of a load order. For `LoadStep::Begin` the memory has been reserved.
    ///
    /// # Errors
    ///
    /// The reason why the order is refused.
    pub fn load_step(&mut self, order: &LoadOrder) -> Result<LoadStep, OrderRefusal> {
        self.check_fence(order.fence)?;
        match self.residency(&order.model) {
            Some(Residency::Loaded) => return Ok(LoadStep::Loaded),
            Some(Residency::Loading | Residency::Unloading) => return Ok(LoadStep::Wait),
            None => {}
        }
        let base = order.base.as_ref();
        if base.is_some_and(|base| self.residency(base) != Some(Residency::Loaded)) {
            return Err(OrderRefusal::BaseMissing);
        }
        let fits = self.bytes_held().saturating_add(order.bytes) <= self.capacity_bytes;
        if !fits && self.checks_memory {
            return Err(OrderRefusal::NoMemory);
        }
        self.overcommitted += u64::from(!fits);
        self.reserve(order);
        Ok(LoadStep::Begin)
    }

    /// Ends a load that was begun. A failed load frees its memory.
    pub fn end_load(&mut self, model: &ModelName, loaded: bool) {
        self.sequence += 1;
        if !loaded {
            self.residents.remove(model);
            return;
        }
        if let Some(held) = self.residents.get_mut(model) {
            held.residency = Residency::Loaded;
        }
    }

    /// Returns the next step of an unload order. The memory of a model without requests in progress
    /// is freed at once.
    ///
    /// # Errors
    ///
    /// The reason why the order is refused.
    pub fn unload_step(
        &mut self,
        model: &ModelName,
        fence: FencingToken,
    ) -> Result<UnloadStep, OrderRefusal> {
        self.check_fence(fence)?;
        match self.residency(model) {
            None => return Ok(UnloadStep::Absent),
            Some(Residency::Loading) => return Ok(UnloadStep::Wait),
            Some(Residency::Loaded | Residency::Unloading) => {}
        }
        if self.has_adapters(model) {
            return Err(OrderRefusal::AdaptersLoaded);
        }
        let number = self.start_unloading(model);
        Ok(UnloadStep::Ending(number))
    }

    /// Returns whether the residency with a number has ended.
    pub fn has_ended(&self, number: u64) -> bool {
        self.residents.values().all(|held| held.number != number)
    }

    /// Counts a request on a model and returns true, or returns false if the model is not loaded.
    pub fn begin_request(&mut self, model: &ModelName) -> bool {
        let held = self.residents.get_mut(model);
        let Some(held) = held.filter(|held| held.residency == Residency::Loaded) else {
            return false;
        };
        held.requests += 1;
        true
    }

    /// Ends a request that was counted. With its last request, a model that is being unloaded frees
    /// its memory.
    pub fn end_request(&mut self, model: &ModelName) {
        let Some(held) = self.residents.get_mut(model) else {
            return;
        };
        held.requests -= 1;
        self.free_if_idle(model);
    }

    /// Returns the present status of the engine.
    pub fn status(&self) -> EngineStatus {
        EngineStatus {
            boot: self.boot,
            sequence: self.sequence,
            capacity_bytes: self.capacity_bytes,
            checks_fence: self.checks_fence,
            highest_fence: self.highest_fence,
            residents: self.residents.iter().map(resident).collect(),
        }
    }

    fn residency(&self, model: &ModelName) -> Option<Residency> {
        self.residents.get(model).map(|held| held.residency)
    }

    fn has_adapters(&self, model: &ModelName) -> bool {
        let mut held = self.residents.values();
        held.any(|held| held.base.as_ref() == Some(model))
    }

    fn bytes_held(&self) -> u64 {
        self.residents.values().map(|held| held.bytes).sum()
    }

    fn reserve(&mut self, order: &LoadOrder) {
        let held = ResidentModel {
            number: self.next_number,
            residency: Residency::Loading,
            bytes: order.bytes,
            fence: order.fence,
            base: order.base.clone(),
            requests: 0,
        };
        self.next_number += 1;
        self.sequence += 1;
        self.residents.insert(order.model.clone(), held);
        self.most_bytes_held = self.most_bytes_held.max(self.bytes_held());
    }

    /// Stops accepting requests for a loaded model and returns its residency's number.
    fn start_unloading(&mut self, model: &ModelName) -> u64 {
        let held = self.residents.get_mut(model);
        let held = held.expect("the caller has checked that the model is in memory");
        let number = held.number;
        if held.residency == Residency::Loaded {
            held.residency = Residency::Unloading;
            self.sequence += 1;
        }
        self.free_if_idle(model);
        number
    }

    fn free_if_idle(&mut self, model: &ModelName) {
        let idle = self
            .residents
            .get(model)
            .is_some_and(|held| held.residency == Residency::Unloading && held.requests == 0);
        if idle {
            self.residents.remove(model);
            self.sequence += 1;
        }
    }
}

fn resident((model, held): (&ModelName, &ResidentModel)) -> Resident {
    Resident {
        model: model.clone(),
        residency: held.residency,
        bytes: held.bytes,
        fence: held.fence,
    }
}
