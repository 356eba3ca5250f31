//! Asks the placement policy what to load and unload, and proposes it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Receiver;
use log::info;
use parking_lot::Mutex;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::UnloadIntent;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::Clock;
use apricotdale_gateway::Gateway;
use apricotdale_state::replicas::Stage;

use super::capacity::CapacityFeed;
use super::fleet::Basis;
use super::fleet::FleetSource;
use super::load_failures::LoadFailures;
use crate::appender::Appended;
use crate::appender::Appender;
use crate::appender::Persistence;
use crate::load_history::LoadHistory;
use crate::log_health::LogHealth;
use crate::streams::Pace;

/// How often placement plans when nothing happens.
const TICK: Duration = Duration::from_millis(250);

/// How long a proposal of unknown outcome keeps its model from being proposed again.
const UNKNOWN_HOLD_MS: u64 = 3_000;

/// How long requests wait for a load under way while its end can't be read, so that a short outage
/// refuses nobody.
const LOG_PATIENCE_MS: u64 = 5_000;

/// When a caller should come back while the log is down.
const LOG_RETRY_MS: u64 = 5_000;

/// When a caller should come back while an order for its model may yet take effect.
const BLOCKED_RETRY_MS: u64 = 5_000;

/// `PlacementParts` is what the loop works with.
pub struct PlacementParts {
    /// Builds the policy's view.
    pub source: Arc<FleetSource>,
    /// The policy, which the gateway's arrivals feed as well.
    pub policy: Arc<Mutex<Box<dyn PlacementPolicy>>>,
    /// How long loads took.
    pub loads: Arc<LoadHistory>,
    /// Appends the proposals.
    pub appender: Appender,
    /// Whether the log works.
    pub health: Arc<LogHealth>,
    /// Where waiting requests are refused.
    pub gateway: Arc<Gateway>,
    /// Tells the gateway of slots.
    pub capacity: CapacityFeed,
    /// How often the control stream is read.
    pub pace: Pace,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Woken when demand or replicas change.
    pub wake: Receiver<()>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

/// `Held` is why a model is not proposed again now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// The proposal waits for its append.
    Queued,
    /// The proposal stands at this offset and waits for replay.
    Appended(Offset),
    /// The proposal may come onto the stream until this time.
    Until(u64),
}

type HeldModels = Arc<Mutex<BTreeMap<ModelName, Held>>>;

/// `PlacementLoop` carries out the placement policy.
pub struct PlacementLoop {
    parts: PlacementParts,
    held: HeldModels,
    ready_at_ms: BTreeMap<ModelName, u64>,
    basis: Basis,
    failures: LoadFailures,
}

impl PlacementLoop {
    /// Returns a loop that has proposed nothing yet.
    pub fn new(parts: PlacementParts) -> Self {
        Self {
            parts,
            held: HeldModels::default(),
            ready_at_ms: BTreeMap::new(),
            basis: Basis::default(),
            failures: LoadFailures::default(),
        }
    }

    /// Runs until the daemon stops.
    pub fn run(mut self) {
        while !self.parts.stop.load(Ordering::Relaxed) {
            // A disconnected sender means that the daemon is going down; the flag tells.
            let _ = self.parts.wake.recv_timeout(TICK);
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.parts.clock.monotonic_ms();
        self.release(now_ms);
        self.feed(now_ms);
        let (fleet, basis) = self.parts.source.fleet(now_ms, self.parts.clock.unix_ms());
        if !self.waiting_models().is_empty() {
            self.parts.pace.follow_closely();
        }
        let wanted: Vec<ModelName> = fleet.models.iter().map(|view| view.model.clone()).collect();
        let actions = self.parts.policy.lock().plan(now_ms, &fleet);
        self.basis = basis;
        for action in actions {
            self.carry_out(action);
        }
        for (model, refusal) in self.failures.given_up(now_ms) {
            self.parts.gateway.refuse_waiting(&model, &refusal);
        }
        self.unload_strays();
        self.refuse_undecidable();
        self.forget_ready();
        let view = self.parts.source.membership.view();
        self.parts
            .capacity
            .update(now_ms, &view, &wanted, &self.ready_at_ms);
    }

    /// Lets the policy learn what happened since the last plan.
    fn feed(&mut self, now_ms: u64) {
        let arrivals = self.parts.source.demand.take_remote_arrivals();
        for model in self.parts.loads.take_failed() {
            self.failures.failed(now_ms, &model);
        }
        let mut policy = self.parts.policy.lock();
        for model in arrivals {
            policy.arrived(now_ms, &model);
        }
        for load in self.parts.loads.take() {
            let tier = self.parts.source.tier(&load.engine, &load.model);
            policy.loaded(now_ms, &load.model, tier, load.took_ms);
            self.failures.worked(&load.model);
        }
    }

    /// Carries out what the policy wants. While no decision can be had nothing is proposed: the
    /// proposal would wait behind records that must not be lost, and be decided when the log is
    /// back, whoever still waits for it then. The policy wants it anew.
    fn carry_out(&mut self, action: PlacementAction) {
        let is_down = self.parts.health.is_down(self.parts.clock.monotonic_ms());
        match action {
            PlacementAction::Load { .. } | PlacementAction::Unload { .. } if is_down => {}
            PlacementAction::Load { model, .. } if !self.may_load(&model) => {}
            PlacementAction::Load {
                model,
                engine,
                ready_at_ms,
            } => {
                if self.parts.loads.has_evidence() {
                    self.ready_at_ms.insert(model.clone(), ready_at_ms);
                }
                self.propose_load_near(&model, engine);
            }
            PlacementAction::Unload { model, engine } => self.propose_unload(&model, &engine),
            PlacementAction::NoLoadInTime { refusal, .. }
                if refusal.reason == RefusalReason::DeadlineTooShort
                    && !self.parts.loads.has_evidence() => {}
            PlacementAction::NoLoadInTime { model, refusal } => {
                self.parts.gateway.refuse_waiting(&model, &refusal);
            }
        }
    }

    fn may_load(&self, model: &ModelName) -> bool {
        self.failures
            .may_load(self.parts.clock.monotonic_ms(), model)
    }

    /// Proposes a load on the engine that the policy chose, or on another one of its group where an
    /// order for the model that may yet take effect stands in the way: replay rejects a second
    /// replica of a model on one engine. Without another engine the waiting requests are refused.
    fn propose_load_near(&self, model: &ModelName, chosen: UpstreamName) {
        let view = self.parts.source.membership.view();
        let engine = self.parts.source.replayed.read(|state| {
            let is_free = |name: &UpstreamName| {
                let boot = state.engine(name).map(|engine| engine.boot());
                let mut replicas = state.replicas_on(name);
                !replicas.any(|one| {
                    let may_come = boot.is_some_and(|boot| one.may_hold_memory(boot));
                    one.model == *model && is_stuck(one.stage()) && may_come
                })
            };
            if is_free(&chosen) {
                return Some(chosen.clone());
            }
            let configured = state.config().model(model)?;
            let others = view.candidates(&configured.group).into_iter();
            let free = others.filter_map(|engine| {
                let free_bytes = state.memory(&engine.upstream)?.free_bytes();
                let fits = free_bytes >= configured.bytes && is_free(&engine.upstream);
                fits.then_some((free_bytes, engine.upstream))
            });
            free.max().map(|(_, engine)| engine)
        });
        match engine {
            Some(engine) => self.propose_load(model, &engine),
            None => {
                let detail = "an earlier order for the model may yet take effect";
                let refusal = Refusal::not_run(RefusalReason::NoCapacity, detail);
                let refusal = refusal.retry_after(BLOCKED_RETRY_MS);
                self.parts.gateway.refuse_waiting(model, &refusal);
            }
        }
    }

    fn propose_load(&self, model: &ModelName, engine: &UpstreamName) {
        let boot = self.basis.boots.get(engine).copied();
        let model_version = self.basis.versions.get(model).copied();
        let expected_replicas = self.basis.replicas.get(model).copied();
        let (Some(boot), Some(model_version), Some(expected_replicas)) =
            (boot, model_version, expected_replicas)
        else {
            return;
        };
        info!("proposing to load {model} on {engine}, {expected_replicas} replicas so far");
        let (name, engine) = (model.clone(), engine.clone());
        self.propose(model, move |proposer| {
            ControlRecord::Load(LoadIntent {
                proposer,
                model: name.clone(),
                engine: engine.clone(),
                boot,
                expected_replicas,
                model_version,
            })
        });
    }

    /// Proposes to unload what engines hold although no accepted load put it there: the late effect
    /// of an order whose intent was settled long ago. It takes memory and nobody routes to it.
    fn unload_strays(&self) {
        let view = self.parts.source.membership.view();
        let strays: Vec<(ModelName, UpstreamName, Offset)> =
            self.parts.source.replayed.read(|state| {
                let engines = state
                    .engines()
                    .filter(|(name, _)| view.is_preferred(name.as_str()));
                let strays = engines.flat_map(|(name, engine)| {
                    let unmanaged = engine.unmanaged.iter();
                    let idle = unmanaged.filter(|(_, stray)| stray.unload.is_none());
                    idle.map(|(model, stray)| (model.clone(), name.clone(), Offset(stray.fence.0)))
                });
                strays.collect()
            });
        for (model, engine, load) in strays {
            info!("{engine} holds {model}, which no decision put there");
            self.propose_unload_of(&model, &engine, load);
        }
    }

    fn propose_unload(&self, model: &ModelName, engine: &UpstreamName) {
        let load = self.parts.source.replayed.read(|state| {
            let mut replicas = state.replicas_of(model);
            let loaded = replicas.find(|one| one.engine == *engine && one.stage() == Stage::Loaded);
            loaded.map(|replica| replica.load)
        });
        let Some(load) = load else { return };
        info!("proposing to unload {model} from {engine}");
        self.propose_unload_of(model, engine, load);
    }

    fn propose_unload_of(&self, model: &ModelName, engine: &UpstreamName, load: Offset) {
        let (name, engine) = (model.clone(), engine.clone());
        self.propose(model, move |proposer| {
            ControlRecord::Unload(UnloadIntent {
                proposer,
                model: name.clone(),
                engine: engine.clone(),
                load,
            })
        });
    }

    /// Proposes a record for a model, unless an earlier proposal is still on its way.
    fn propose(
        &self,
        model: &ModelName,
        build: impl Fn(Proposer) -> ControlRecord + Send + 'static,
    ) {
        if self.held.lock().contains_key(model) {
            return;
        }
        self.held.lock().insert(model.clone(), Held::Queued);
        let held = Arc::clone(&self.held);
        let clock = Arc::clone(&self.parts.clock);
        let model = model.clone();
        self.parts
            .appender
            .propose(Persistence::Drop, build, move |appended| {
                let mut held = held.lock();
                match appended {
                    Appended::At(offset) => held.insert(model, Held::Appended(offset)),
                    Appended::Not(_) => held.remove(&model),
                    Appended::Unknown(_) => {
                        held.insert(model, Held::Until(clock.monotonic_ms() + UNKNOWN_HOLD_MS))
                    }
                };
            });
    }

    /// Lets models be proposed again whose proposals have been replayed.
    fn release(&self, now_ms: u64) {
        let next = self.parts.source.replayed.next_offset();
        self.held.lock().retain(|_, held| match held {
            Held::Queued => true,
            Held::Appended(offset) => *offset >= next,
            Held::Until(until_ms) => now_ms < *until_ms,
        });
    }

    /// Refuses the requests that wait for a model without any replica while no decision can be had,
    /// and those that wait for a load whose end could not be read for a while.
    ///
    /// Holding them until the log comes back would let them pass their deadlines in silence; a
    /// caller that is told at once can go elsewhere.
    fn refuse_undecidable(&self) {
        let now_ms = self.parts.clock.monotonic_ms();
        if !self.parts.health.is_down(now_ms) {
            return;
        }
        let is_blind = self.parts.health.is_blind(now_ms, LOG_PATIENCE_MS);
        let waiting: BTreeSet<ModelName> = self.waiting_models();
        for model in waiting {
            let (is_loaded, is_coming) = self.parts.source.replayed.read(|state| {
                let has = |wanted: &[Stage]| {
                    let mut replicas = state.replicas_of(&model);
                    replicas.any(|one| wanted.contains(&one.stage()))
                };
                let coming = [Stage::Reserved, Stage::Loading];
                (has(&[Stage::Loaded]), has(&coming))
            });
            let detail = match is_coming {
                _ if is_loaded => continue,
                true if !is_blind => continue,
                true => "the model's load is under way, and its end can't be read now",
                false => "the model is not loaded, and no load can be decided now",
            };
            let refusal = Refusal::not_run(RefusalReason::LogUnavailable, detail);
            self.parts
                .gateway
                .refuse_waiting(&model, &refusal.retry_after(LOG_RETRY_MS));
        }
    }

    fn waiting_models(&self) -> BTreeSet<ModelName> {
        let totals = self
            .parts
            .source
            .demand
            .totals(self.parts.clock.monotonic_ms());
        let waiting = totals
            .into_iter()
            .filter(|(_, demand)| demand.waiting_here > 0);
        waiting.map(|(model, _)| model).collect()
    }

    /// Forgets when models were expected that have a replica, or have no load under way, now.
    fn forget_ready(&mut self) {
        let held = self.held.lock();
        self.ready_at_ms.retain(|model, _| {
            held.contains_key(model)
                || self.parts.source.replayed.read(|state| {
                    let mut replicas = state.replicas_of(model);
                    replicas.any(|one| matches!(one.stage(), Stage::Reserved | Stage::Loading))
                })
        });
    }
}

/// Returns whether nobody expects a replica to come up although its order may yet take effect.
pub fn is_stuck(stage: Stage) -> bool {
    matches!(stage, Stage::Revoked | Stage::Lingering)
}
