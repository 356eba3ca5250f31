//! Placement's view of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::ReplicaView;
use apricotdale_core::weights::WeightsStatus;
use apricotdale_membership::View;
use apricotdale_state::ControlState;
use apricotdale_state::configuration::ConfiguredModel;
use apricotdale_state::replicas::Stage;

use super::placement_loop::is_stuck;
use super::rank_cache::RankCache;
use crate::demand::DemandTable;
use crate::demand::TotalDemand;
use crate::engine_reports::ReportTable;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;

/// Concurrent full-speed loads assumed while the weight store reports no status.
const ASSUMED_FULL_SPEED_LOADS: u32 = 4;

/// Slots of an engine's batch assumed before its first load report.
pub const ASSUMED_SLOTS: u32 = 8;

/// Versions and counts that the proposals of one plan are conditional on.
///
/// They are read together with the fleet's view. If they were read when a proposal is made, a load
/// decided in between would be included in the expected replica count, and replay would accept a
/// second replica that the policy did not plan: one burst would cause two loads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Number of replicas in any stage, for each model in the fleet's view.
    pub replicas: BTreeMap<ModelName, u32>,
    /// Configuration version of the last change of each of these models.
    pub versions: BTreeMap<ModelName, ConfigVersion>,
    /// Boot of each engine.
    pub boots: BTreeMap<UpstreamName, BootId>,
}

impl Basis {
    fn of(state: &ControlState, fleet: &FleetView) -> Self {
        let models = || fleet.models.iter().map(|view| &view.model);
        let version = |model: &ModelName| {
            let configured = state.config().model(model)?;
            Some((model.clone(), configured.version))
        };
        Self {
            replicas: models()
                .map(|model| (model.clone(), state.replica_count(model)))
                .collect(),
            versions: models().filter_map(version).collect(),
            boots: state
                .engines()
                .map(|(name, engine)| (name.clone(), engine.boot()))
                .collect(),
        }
    }
}

/// Sources that the fleet's view is built from.
pub struct FleetSource {
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Last load report of each engine.
    pub reports: Arc<ReportTable>,
    /// Demand for each model, at this VM and reported by peers.
    pub demand: Arc<DemandTable>,
    /// Last status of the weight store; absent before the first successful read.
    pub weights: Arc<Mutex<Option<WeightsStatus>>>,
    /// This VM's rank for each model.
    pub ranks: Mutex<RankCache>,
}

impl FleetSource {
    /// Returns the fleet as this VM sees it, and the basis of proposals made from it.
    pub fn fleet(&self, now_ms: u64, unix_ms: u64) -> (FleetView, Basis) {
        let view = self.membership.view();
        let totals = self.demand.totals(now_ms);
        let weights = *self.weights.lock();
        let mut ranks = self.ranks.lock();
        ranks.refresh(&view);
        self.replayed.read(|state| {
            let fleet = FleetView {
                engines: self.engines(state, &view),
                replicas: replicas(state, now_ms, unix_ms),
                models: models(state, &view, &mut ranks, &totals, now_ms),
                growing_groups: growing_groups(state, &view),
                store_active_loads: weights.map_or(0, |status| status.active_loads),
                store_full_speed_loads: weights
                    .map_or(ASSUMED_FULL_SPEED_LOADS, |status| status.full_speed_loads),
                tightest_target_ms: tightest_target_ms(state),
            };
            let basis = Basis::of(state, &fleet);
            (fleet, basis)
        })
    }

    fn engines(&self, state: &ControlState, view: &View) -> Vec<EngineView> {
        let engines = state.engines();
        engines
            .map(|(name, engine)| {
                let known = self.reports.report(name);
                let report = known.as_ref().map(|known| &known.report);
                let memory = state.memory(name).unwrap_or_default();
                EngineView {
                    engine: name.clone(),
                    group: engine.group.clone(),
                    zone: engine.zone.clone(),
                    capacity_bytes: engine.capacity_bytes,
                    free_bytes: memory.free_bytes(),
                    accepts: view.accepts(name),
                    busy: report.map_or(0, |report| report.running + report.waiting),
                    slots: report.map_or(ASSUMED_SLOTS, |report| report.slots),
                    loading: loading_on(state, name),
                    checkpoints: report.map_or_else(Vec::new, |report| {
                        let held = report.checkpoints.iter();
                        held.map(|one| (one.model.clone(), one.tier)).collect()
                    }),
                }
            })
            .collect()
    }

    /// Returns the tier in which an engine's host caches a model's checkpoint, by its last report.
    pub fn tier(&self, engine: &UpstreamName, model: &ModelName) -> CacheTier {
        let known = self.reports.report(engine);
        let held = known.and_then(|known| {
            let mut checkpoints = known.report.checkpoints.into_iter();
            checkpoints
                .find(|one| one.model == *model)
                .map(|one| one.tier)
        });
        held.unwrap_or(CacheTier::Remote)
    }
}

/// Returns the groups with a listed engine that replay has not seen yet.
fn growing_groups(state: &ControlState, view: &View) -> BTreeSet<GroupName> {
    let unknown = view.upstreams.values().filter(|upstream| {
        let name = UpstreamName::new(&upstream.entry.name);
        upstream.accepts && state.engine(&name).is_none()
    });
    unknown
        .map(|upstream| upstream.entry.group.clone())
        .collect()
}

fn loading_on(state: &ControlState, engine: &UpstreamName) -> u32 {
    let replicas = state.replicas_on(engine);
    let loading =
        replicas.filter(|replica| matches!(replica.stage(), Stage::Reserved | Stage::Loading));
    u32::try_from(loading.count()).unwrap_or(u32::MAX)
}

fn replicas(state: &ControlState, now_ms: u64, unix_ms: u64) -> Vec<ReplicaView> {
    let to_monotonic = |since_ms: u64| now_ms.saturating_sub(unix_ms.saturating_sub(since_ms));
    // A revoked or lingering replica is not expected to load. Shown as loading, it would keep its
    // model from being loaded elsewhere; its memory counts as used in the engine's view anyway.
    let expected = state.replicas().filter(|one| !is_stuck(one.stage()));
    let decided = expected.map(|replica| ReplicaView {
        model: replica.model.clone(),
        engine: replica.engine.clone(),
        loaded: replica.stage() == Stage::Loaded,
        bytes: replica.bytes,
        since_ms: to_monotonic(replica.since_ms),
    });
    decided.collect()
}

fn models(
    state: &ControlState,
    view: &View,
    ranks: &mut RankCache,
    totals: &BTreeMap<ModelName, TotalDemand>,
    now_ms: u64,
) -> Vec<ModelView> {
    let config = state.config();
    // The base of a wanted adapter is needed too, although no request names it.
    let bases: BTreeSet<&ModelName> = totals
        .keys()
        .filter_map(|model| config.model(model)?.base.as_ref())
        .collect();
    let wanted = config.models().filter(|(model, _)| {
        totals.contains_key(*model)
            || bases.contains(model)
            || state.replicas_of(model).next().is_some()
    });
    wanted
        .map(|(model, configured)| {
            let demand = totals.get(model).copied().unwrap_or_default();
            let waited_ms = demand
                .waiting_since_ms
                .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            let preferred_here = ranks.may_propose(view, model, waited_ms);
            model_view(model, configured, demand, preferred_here)
        })
        .collect()
}

fn model_view(
    model: &ModelName,
    configured: &ConfiguredModel,
    demand: TotalDemand,
    preferred_here: bool,
) -> ModelView {
    ModelView {
        model: model.clone(),
        base: configured.base.clone(),
        group: configured.group.clone(),
        bytes: configured.bytes,
        waiting: demand.waiting,
        running: demand.running,
        tightest_ms: demand.tightest_ms,
        preferred_here,
    }
}

fn tightest_target_ms(state: &ControlState) -> u64 {
    let classes = state.config().classes();
    classes
        .map(|(_, class)| class.answer_within_ms)
        .min()
        .unwrap_or(0)
}
