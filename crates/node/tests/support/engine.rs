//! In-memory model engines with faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;

use apricotdale_core::Error;
use apricotdale_core::Result;
use apricotdale_core::engine::CacheEvent;
use apricotdale_core::engine::EngineOrders;
use apricotdale_core::engine::EngineReports;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::LoadReport;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;

use super::clock::WorldTime;
use super::switch::Switch;

/// Accelerator memory of each engine.
pub const CAPACITY_BYTES: u64 = 100;

/// Slots of each engine's batch.
const SLOTS: u32 = 8;

/// Fault of the next order to any engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order does not arrive, and no answer comes.
    LoseOrder,
    /// The order takes effect, and no answer comes.
    LoseAnswer,
    /// No answer comes, and the order is carried out once the test releases it.
    Delay,
    /// The engine ends while it carries the order out, and restarts without any model.
    Die,
    /// The order takes effect, and the daemon that sent it is paused before the answer comes.
    PauseSender,
    /// The daemon is paused right before it sends the order.
    PauseBefore,
}

/// Load or unload order that an engine has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub vm: VmName,
    pub model: ModelName,
    pub fence: FencingToken,
    pub is_load: bool,
    /// Whether the order took effect.
    pub done: bool,
}

/// State of one engine.
#[derive(Debug)]
pub struct Engine {
    pub status: EngineStatus,
    pub orders: Vec<Order>,
    pub served: Vec<RequestId>,
    pub max_bytes_held: u64,
    holds_orders: bool,
    is_reachable: bool,
}

impl Engine {
    fn new(checks_fence: bool) -> Self {
        Self {
            status: EngineStatus {
                boot: BootId(1),
                sequence: 0,
                capacity_bytes: CAPACITY_BYTES,
                checks_fence,
                highest_fence: FencingToken(0),
                residents: Vec::new(),
            },
            orders: Vec::new(),
            served: Vec::new(),
            max_bytes_held: 0,
            holds_orders: false,
            is_reachable: true,
        }
    }

    pub fn holds(&self, model: &str) -> bool {
        let residents = self.status.residents.iter();
        let mut residents = residents.filter(|one| one.residency == Residency::Loaded);
        residents.any(|resident| resident.model.as_str() == model)
    }

    /// Returns the number of load orders received for a model.
    pub fn loads_of(&self, model: &str) -> usize {
        let loads = self.orders.iter().filter(|order| order.is_load);
        loads.filter(|order| order.model.as_str() == model).count()
    }

    fn check_fence(&mut self, fence: FencingToken) -> Result<()> {
        let highest = self.status.highest_fence;
        if self.status.checks_fence && fence < highest {
            let highest = highest.0;
            return Err(Error::StaleFence { highest });
        }
        self.status.highest_fence = highest.max(fence);
        Ok(())
    }

    /// Carries out an order, if the engine's boot is still the one that received it.
    fn act(&mut self, order: LateOrder) -> Result<()> {
        if self.status.boot != order.boot {
            return Err(Error::unknown("the engine restarted"));
        }
        self.check_fence(order.fence)?;
        (order.effect)(self)?;
        self.orders[order.index].done = true;
        Ok(())
    }

    fn load(&mut self, order: &LoadOrder) -> Result<()> {
        match &order.base {
            Some(base) if !self.holds(base.as_str()) => Err(Error::rejected("base_missing")),
            _ => {
                self.put(order);
                Ok(())
            }
        }
    }

    /// Adds a model to the memory.
    pub fn put(&mut self, order: &LoadOrder) {
        let residents = &mut self.status.residents;
        if residents.iter().any(|one| one.model == order.model) {
            return;
        }
        residents.push(Resident {
            model: order.model.clone(),
            residency: Residency::Loaded,
            bytes: order.bytes,
            fence: order.fence,
        });
        let held_bytes = residents.iter().map(|one| one.bytes).sum();
        self.max_bytes_held = self.max_bytes_held.max(held_bytes);
        self.status.sequence += 1;
    }

    fn remove(&mut self, model: &ModelName) {
        self.status.residents.retain(|one| one.model != *model);
        self.status.sequence += 1;
    }

    fn restart(&mut self) {
        self.status.boot = BootId(self.status.boot.0 + 1);
        self.status.sequence = 0;
        self.status.highest_fence = FencingToken(0);
        self.status.residents.clear();
    }
}

type Effect = Box<dyn FnOnce(&mut Engine) -> Result<()> + Send>;

/// Order that its engine has received and not yet carried out.
struct LateOrder {
    address: SocketAddr,
    boot: BootId,
    fence: FencingToken,
    index: usize,
    effect: Effect,
}

/// All engines of a test.
pub struct FakeEngines {
    engines: Mutex<BTreeMap<SocketAddr, Engine>>,
    faults: Mutex<VecDeque<OrderFault>>,
    late: Mutex<Vec<LateOrder>>,
    pub(super) changed: Condvar,
    time: Arc<WorldTime>,
}

type Engines<'a> = MutexGuard<'a, BTreeMap<SocketAddr, Engine>>;

impl FakeEngines {
    pub fn new(time: &Arc<WorldTime>) -> Self {
        Self {
            engines: Mutex::default(),
            faults: Mutex::default(),
            late: Mutex::default(),
            changed: Condvar::new(),
            time: Arc::clone(time),
        }
    }

    pub fn add(&self, address: SocketAddr, checks_fence: bool) {
        let engine = Engine::new(checks_fence);
        self.engines.lock().insert(address, engine);
    }

    /// Calls a function with an engine, which is locked meanwhile.
    pub fn with<T>(&self, address: SocketAddr, act: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engines = self.engines.lock();
        let result = act(engines.get_mut(&address).expect("a known engine"));
        drop(engines);
        self.changed.notify_all();
        result
    }

    /// Returns the sum of a count over all engines.
    pub fn sum(&self, of: impl Fn(&Engine) -> usize) -> usize {
        self.engines.lock().values().map(of).sum()
    }

    /// Applies a fault to the next order.
    pub fn fault(&self, fault: OrderFault) {
        self.faults.lock().push_back(fault);
    }

    /// Holds orders in their connections, or releases them.
    pub fn hold_orders(&self, address: SocketAddr, holds: bool) {
        self.with(address, |engine| engine.holds_orders = holds);
    }

    /// Lets the engines carry out the delayed orders.
    pub fn release_late(&self) {
        for late in std::mem::take(&mut *self.late.lock()) {
            let address = late.address;
            // A refusal has no receiver: the sender's timeout has passed.
            let _ = self.with(address, |engine| engine.act(late));
        }
    }

    /// Releases all orders.
    pub fn open(&self) {
        let mut engines = self.engines.lock();
        engines
            .values_mut()
            .for_each(|engine| engine.holds_orders = false);
        drop(engines);
        self.changed.notify_all();
    }

    pub fn restart(&self, address: SocketAddr) {
        self.with(address, Engine::restart);
    }

    pub fn set_reachable(&self, address: SocketAddr, is_reachable: bool) {
        self.with(address, |engine| engine.is_reachable = is_reachable);
    }

    /// Removes a model without an order, as a faulty engine might.
    pub fn lose_model(&self, address: SocketAddr, model: &str) {
        self.with(address, |engine| engine.remove(&ModelName::new(model)));
    }

    /// Returns a client through which one VM reaches the engines.
    pub fn client(self: &Arc<Self>, vm: &VmName, switch: &Arc<Switch>) -> EnginesOfVm {
        EnginesOfVm {
            engines: Arc::clone(self),
            vm: vm.clone(),
            switch: Arc::clone(switch),
        }
    }

    pub(super) fn lock_reachable(&self, address: SocketAddr) -> Result<Engines<'_>> {
        let engines = self.engines.lock();
        match engines.get(&address) {
            Some(engine) if engine.is_reachable => Ok(engines),
            _ => Err(Error::unavailable("the engine is not reached")),
        }
    }
}

/// Client through which one daemon reaches the engines.
pub struct EnginesOfVm {
    pub(super) engines: Arc<FakeEngines>,
    pub(super) vm: VmName,
    pub(super) switch: Arc<Switch>,
}

impl EnginesOfVm {
    /// Delivers an order to its engine, with the next fault.
    fn order(&self, address: SocketAddr, order: Order, effect: Effect) -> Result<EngineStatus> {
        self.switch.pass();
        let fault = self.engines.faults.lock().pop_front();
        if fault == Some(OrderFault::PauseBefore) {
            self.switch.pause();
            self.switch.pass();
        }
        if fault == Some(OrderFault::LoseOrder) {
            return Err(Error::unknown("the order was lost"));
        }
        let mut engines = self.engines.lock_reachable(address)?;
        let engine = engines.get_mut(&address).expect("a reachable engine");
        let (boot, fence, index) = (engine.status.boot, order.fence, engine.orders.len());
        engine.orders.push(order);
        self.engines.changed.notify_all();
        let order = LateOrder {
            address,
            boot,
            fence,
            index,
            effect,
        };
        if fault == Some(OrderFault::Delay) {
            self.engines.late.lock().push(order);
            return Err(Error::unknown("the order is late"));
        }
        while engines[&address].holds_orders && engines[&address].status.boot == boot {
            self.engines.changed.wait(&mut engines);
        }
        let engine = engines.get_mut(&address).expect("a known engine");
        if fault == Some(OrderFault::Die) {
            engine.restart();
        }
        engine.act(order)?;
        let status = engine.status.clone();
        self.engines.changed.notify_all();
        drop(engines);
        match fault {
            Some(OrderFault::LoseAnswer) => return Err(Error::unknown("the answer was lost")),
            Some(OrderFault::PauseSender) => self.switch.pause(),
            _ => {}
        }
        self.switch.pass();
        Ok(status)
    }
}

impl EngineOrders for EnginesOfVm {
    fn load(
        &self,
        engine: SocketAddr,
        order: &LoadOrder,
        _timeout_ms: u64,
    ) -> Result<EngineStatus> {
        let received = Order {
            vm: self.vm.clone(),
            model: order.model.clone(),
            fence: order.fence,
            is_load: true,
            done: false,
        };
        let order = order.clone();
        let effect = move |engine: &mut Engine| engine.load(&order);
        self.order(engine, received, Box::new(effect))
    }

    fn unload(
        &self,
        engine: SocketAddr,
        order: &UnloadOrder,
        _timeout_ms: u64,
    ) -> Result<EngineStatus> {
        let received = Order {
            vm: self.vm.clone(),
            model: order.model.clone(),
            fence: order.fence,
            is_load: false,
            done: false,
        };
        let model = order.model.clone();
        let effect = move |engine: &mut Engine| {
            engine.remove(&model);
            Ok(())
        };
        self.order(engine, received, Box::new(effect))
    }

    fn raise_fence(&self, engine: SocketAddr, fence: FencingToken) -> Result<EngineStatus> {
        self.switch.pass();
        let mut engines = self.engines.lock_reachable(engine)?;
        let engine = engines.get_mut(&engine).expect("a reachable engine");
        engine.check_fence(fence)?;
        Ok(engine.status.clone())
    }
}

impl EngineReports for EnginesOfVm {
    fn status(&self, engine: SocketAddr) -> Result<EngineStatus> {
        self.switch.pass();
        let engines = self.engines.lock_reachable(engine)?;
        Ok(engines[&engine].status.clone())
    }

    fn load_report(&self, engine: SocketAddr) -> Result<LoadReport> {
        self.switch.pass();
        drop(self.engines.lock_reachable(engine)?);
        Ok(LoadReport {
            as_of_ms: self.engines.time.unix_ms(),
            running: 0,
            waiting: 0,
            slots: SLOTS,
            checkpoints: Vec::new(),
        })
    }

    fn cache_events(&self, _engine: SocketAddr, _after: u64) -> Result<Vec<CacheEvent>> {
        Ok(Vec::new())
    }
}
