//! Runs the placement policy and proposes the loads and unloads that it plans.

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

use super::capacity::CapacityUpdater;
use super::fleet::Basis;
use super::fleet::FleetSource;
use super::load_failures::LoadFailures;
use crate::appender::Appended;
use crate::appender::Appender;
use crate::appender::Persistence;
use crate::load_history::LoadHistory;
use crate::log_health::LogHealth;
use crate::streams::Pace;

/// Interval of planning when no wake signal comes.
const TICK: Duration = Duration::from_millis(250);

/// Time for which a proposal of unknown outcome blocks another one for its model.
const UNKNOWN_OUTCOME_BLOCK_MS: u64 = 3_000;

/// Time for which requests wait for a load under way while the log can't be read, so that a short
/// outage does not cause refusals.
const UNREADABLE_LOG_GRACE_MS: u64 = 5_000;

/// Retry-after time of refusals while the log is down.
const LOG_RETRY_MS: u64 = 5_000;

/// Retry-after time of refusals while an earlier order for the model may yet take effect.
const BLOCKED_RETRY_MS: u64 = 5_000;

/// State and clients that the placement loop uses.
pub struct PlacementParts {
    /// Source of the policy's view of the fleet.
    pub source: Arc<FleetSource>,
    /// Placement policy; the gateway also passes it arrivals.
    pub policy: Arc<Mutex<Box<dyn PlacementPolicy>>>,
    /// Durations of the loads that replay has shown.
    pub loads: Arc<LoadHistory>,
    /// Appends the proposed control records.
    pub appender: Appender,
    /// Outcomes of recent appends and reads, from which the log counts as up or down.
    pub health: Arc<LogHealth>,
    /// Gateway whose waiting requests are refused.
    pub gateway: Arc<Gateway>,
    /// Passes slots to the gateway.
    pub capacity: CapacityUpdater,
    /// Read pacing of the control stream.
    pub pace: Pace,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Signalled when demand or replicas change.
    pub wake: Receiver<()>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

/// State of the last proposal for a model, which blocks another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingProposal {
    /// The proposal is queued for its append.
    Queued,
    /// The record has this offset and has not been replayed.
    Appended(Offset),
    /// The append's outcome is unknown; the record may appear until this time.
    Until(u64),
}

type PendingProposals = Arc<Mutex<BTreeMap<ModelName, PendingProposal>>>;

/// Loop that plans placement and proposes its actions.
pub struct PlacementLoop {
    parts: PlacementParts,
    pending: PendingProposals,
    ready_at_ms: BTreeMap<ModelName, u64>,
    basis: Basis,
    failures: LoadFailures,
}

impl PlacementLoop {
    /// Returns a loop that has proposed nothing yet.
    pub fn new(parts: PlacementParts) -> Self {
        Self {
            parts,
            pending: PendingProposals::default(),
            ready_at_ms: BTreeMap::new(),
            basis: Basis::default(),
            failures: LoadFailures::default(),
        }
    }

    /// Runs until the daemon stops.
    pub fn run(mut self) {
        while !self.parts.stop.load(Ordering::Relaxed) {
            // Disconnection means that the daemon is stopping; the loop condition checks that.
            let _ = self.parts.wake.recv_timeout(TICK);
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.parts.clock.monotonic_ms();
        self.unblock_replayed(now_ms);
        self.update_policy(now_ms);
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
        for (model, refusal) in self.failures.refusals(now_ms) {
            self.parts.gateway.refuse_waiting(&model, &refusal);
        }
        self.unload_strays();
        self.refuse_undecidable();
        self.drop_stale_ready_times();
        let view = self.parts.source.membership.view();
        self.parts
            .capacity
            .update(now_ms, &view, &wanted, &self.ready_at_ms);
    }

    /// Passes arrivals and finished loads since the last plan to the policy, and failed loads to
    /// the backoff.
    fn update_policy(&mut self, now_ms: u64) {
        let arrivals = self.parts.source.demand.take_remote_arrivals();
        for model in self.parts.loads.take_failed() {
            self.failures.record_failure(now_ms, &model);
        }
        let mut policy = self.parts.policy.lock();
        for model in arrivals {
            policy.arrived(now_ms, &model);
        }
        for load in self.parts.loads.take_finished() {
            let tier = self.parts.source.tier(&load.engine, &load.model);
            policy.loaded(now_ms, &load.model, tier, load.took_ms);
            self.failures.record_success(&load.model);
        }
    }

    /// Carries out one action of the policy. While the log is down, loads and unloads are not
    /// proposed: the proposal would be queued behind records that must not be lost, and be decided
    /// once the log is back, when the demand may have ended. The policy plans the action again.
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
                if self.parts.loads.has_finished_load() {
                    self.ready_at_ms.insert(model.clone(), ready_at_ms);
                }
                self.propose_load_in_group(&model, engine);
            }
            PlacementAction::Unload { model, engine } => self.propose_unload(&model, &engine),
            PlacementAction::NoLoadInTime { refusal, .. }
                if refusal.reason == RefusalReason::DeadlineTooShort
                    && !self.parts.loads.has_finished_load() => {}
            PlacementAction::NoLoadInTime { model, refusal } => {
                self.parts.gateway.refuse_waiting(&model, &refusal);
            }
        }
    }

    fn may_load(&self, model: &ModelName) -> bool {
        self.failures
            .may_load(self.parts.clock.monotonic_ms(), model)
    }

    /// Proposes a load on the engine that the policy chose. If an earlier order for the model may
    /// yet take effect there, proposes the fitting engine of the group with the most free memory
    /// instead, since replay rejects a second replica of a model on one engine. Without such an
    /// engine the waiting requests are refused.
    fn propose_load_in_group(&self, model: &ModelName, chosen: UpstreamName) {
        let view = self.parts.source.membership.view();
        let engine = self.parts.source.replayed.read(|state| {
            let is_free = |name: &UpstreamName| {
                let boot = state.engine(name).map(|engine| engine.boot());
                let mut replicas = state.replicas_on(name);
                !replicas.any(|one| {
                    let may_take_effect = boot.is_some_and(|boot| one.may_hold_memory(boot));
                    one.model == *model && is_stuck(one.stage()) && may_take_effect
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

    /// Proposes to unload models that engines hold without an accepted load: the late effect of an
    /// order whose intent was settled before. Such a model uses memory, and no request is routed to
    /// it.
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
            info!("{engine} holds {model} without an accepted load");
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

    /// Proposes a record for a model, unless an earlier proposal for it is pending.
    fn propose(
        &self,
        model: &ModelName,
        build: impl Fn(Proposer) -> ControlRecord + Send + 'static,
    ) {
        if self.pending.lock().contains_key(model) {
            return;
        }
        self.pending
            .lock()
            .insert(model.clone(), PendingProposal::Queued);
        let pending = Arc::clone(&self.pending);
        let clock = Arc::clone(&self.parts.clock);
        let model = model.clone();
        self.parts
            .appender
            .propose(Persistence::Drop, build, move |appended| {
                let mut pending = pending.lock();
                match appended {
                    Appended::At(offset) => {
                        pending.insert(model, PendingProposal::Appended(offset))
                    }
                    Appended::Not(_) => pending.remove(&model),
                    Appended::Unknown(_) => pending.insert(
                        model,
                        PendingProposal::Until(clock.monotonic_ms() + UNKNOWN_OUTCOME_BLOCK_MS),
                    ),
                };
            });
    }

    /// Unblocks models whose proposals have been replayed, or can no longer appear.
    fn unblock_replayed(&self, now_ms: u64) {
        let next = self.parts.source.replayed.next_offset();
        self.pending.lock().retain(|_, pending| match pending {
            PendingProposal::Queued => true,
            PendingProposal::Appended(offset) => *offset >= next,
            PendingProposal::Until(until_ms) => now_ms < *until_ms,
        });
    }

    /// Refuses requests while no load can be decided: those for a model without a replica loaded or
    /// loading, and, once the log has been unreadable for a while, those for a model that is
    /// loading.
    ///
    /// If they waited for the log to recover, they would pass their deadlines without an answer; a
    /// caller that is refused at once can go elsewhere.
    fn refuse_undecidable(&self) {
        let now_ms = self.parts.clock.monotonic_ms();
        if !self.parts.health.is_down(now_ms) {
            return;
        }
        let is_unreadable = self
            .parts
            .health
            .is_unreadable(now_ms, UNREADABLE_LOG_GRACE_MS);
        let waiting: BTreeSet<ModelName> = self.waiting_models();
        for model in waiting {
            let (is_loaded, is_loading) = self.parts.source.replayed.read(|state| {
                let has = |wanted: &[Stage]| {
                    let mut replicas = state.replicas_of(&model);
                    replicas.any(|one| wanted.contains(&one.stage()))
                };
                let loading = [Stage::Reserved, Stage::Loading];
                (has(&[Stage::Loaded]), has(&loading))
            });
            let detail = match is_loading {
                _ if is_loaded => continue,
                true if !is_unreadable => continue,
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
            .filter(|(_, demand)| demand.waiting_locally > 0);
        waiting.map(|(model, _)| model).collect()
    }

    /// Drops the expected ready times of models without a pending proposal or load under way.
    fn drop_stale_ready_times(&mut self) {
        let pending = self.pending.lock();
        self.ready_at_ms.retain(|model, _| {
            pending.contains_key(model)
                || self.parts.source.replayed.read(|state| {
                    let mut replicas = state.replicas_of(model);
                    replicas.any(|one| matches!(one.stage(), Stage::Reserved | Stage::Loading))
                })
        });
    }
}

/// Returns whether a replica in this stage is not expected to load although its order may yet take
/// effect.
pub fn is_stuck(stage: Stage) -> bool {
    matches!(stage, Stage::Revoked | Stage::Lingering)
}
