//! Placement policy based on learned usage, load times and targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use crate::load_times::LoadTimes;
use crate::loads_in_progress::LoadInProgress;
use crate::loads_in_progress::LoadsInProgress;
use crate::model_history::ModelHistory;
use crate::options::Options;
use crate::pending_proposals::PendingProposals;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::projection::ProjectedReplica;
use crate::store_queue::StoreQueue;
use crate::unload_tracker::UnloadTracker;

/// Period within which the expected next use of a replica counts as a cost of its eviction.
const EVICTION_HORIZON_MS: u64 = 600_000;

/// A load from the store in progress whose duration exceeds the expected one by this factor shows
/// that the store is slow.
const OVERDUE_FACTOR: f64 = 1.5;

/// Placement policy based on learned usage, load times and targets.
///
/// For each model the policy learns the idle gaps between uses, whether these are regular, and the
/// class targets of the requests. For each cache tier it learns the duration of loads. From these
/// it estimates how many targets a cold start would miss, and weighs that cost against the cost of
/// idle accelerators.
#[derive(Debug)]
pub struct LearnedPlacement {
    pub(crate) options: Options,
    pub(crate) pending_proposals: PendingProposals,
    pub(crate) histories: BTreeMap<ModelName, ModelHistory>,
    pub(crate) load_times: LoadTimes,
    pub(crate) loads_in_progress: LoadsInProgress,
    pub(crate) tightest_target_ms: u64,
    /// Time from which on another checkpoint may be restored.
    pub(crate) next_restore_ms: u64,
    unload_tracker: UnloadTracker,
}

impl LearnedPlacement {
    /// Returns a policy without any history.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            pending_proposals: PendingProposals::default(),
            histories: BTreeMap::new(),
            load_times: LoadTimes::default(),
            loads_in_progress: LoadsInProgress::default(),
            tightest_target_ms: 0,
            next_restore_ms: 0,
            unload_tracker: UnloadTracker::default(),
        }
    }

    fn update_histories(&mut self, now_ms: u64, fleet: &FleetView) {
        self.tightest_target_ms = fleet.tightest_target_ms;
        let used_bases: BTreeSet<&ModelName> = fleet
            .models
            .iter()
            .filter(|model| model.waiting > 0 || model.running > 0)
            .filter_map(|model| model.base.as_ref())
            .collect();
        for model in &fleet.models {
            let has_used_adapter = used_bases.contains(&model.model);
            let history = self.histories.entry(model.model.clone()).or_default();
            history.update(now_ms, model, has_used_adapter);
        }
    }

    fn update_loads_in_progress(
        &mut self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        fleet: &FleetView,
    ) {
        let full_speed = f64::from(fleet.store_full_speed_loads.max(1));
        let contention = (f64::from(fleet.store_active_loads) / full_speed).max(1.0);
        let load_times = &self.load_times;
        self.loads_in_progress
            .refresh(projection, |model, tier, bytes| LoadInProgress {
                since_ms: now_ms,
                expected_ms: load_times.uncontended_ms(model, tier, bytes) * contention,
                tier,
                contention,
                bytes,
            });
        for load in self.loads_in_progress.store_loads() {
            let running_ms = now_ms.saturating_sub(load.since_ms);
            if running_ms as f64 > OVERDUE_FACTOR * load.expected_ms {
                let contention = load.contention.max(contention);
                self.load_times
                    .record_overdue(load.bytes, running_ms, contention);
            }
        }
    }

    /// Returns the cost of the targets missed by a cold start during which requests wait for
    /// `load_ms`, in accelerator milliseconds.
    pub(crate) fn cold_start_cost_ms(&self, history: &ModelHistory, load_ms: f64) -> f64 {
        let chance = history
            .targets
            .miss_chance(load_ms, self.tightest_target_ms);
        self.options.idle_ms_per_miss * history.burst() * chance
    }

    /// Returns the expected cost of evicting a replica, in accelerator milliseconds.
    pub(crate) fn eviction_cost_ms(
        &self,
        now_ms: u64,
        replica: &ProjectedReplica,
        engine: &ProjectedEngine<'_>,
    ) -> f64 {
        let Some(history) = self.histories.get(&replica.model) else {
            return 0.0;
        };
        let load_ms = self.load_times.uncontended_ms(
            &replica.model,
            engine.tier(&replica.model),
            replica.bytes,
        );
        let idle_ms = history.idle_ms(now_ms, replica.since_ms);
        let chance = history.gaps.chance_within(idle_ms, EVICTION_HORIZON_MS);
        chance * (load_ms + self.cold_start_cost_ms(history, load_ms))
    }

    /// Returns a model as the view shows it, or as an earlier view last did.
    pub(crate) fn model(
        &self,
        projection: &ProjectedFleet<'_>,
        model: &ModelName,
    ) -> Option<ModelView> {
        let shown = projection.models.get(model).map(|view| (*view).clone());
        shown.or_else(|| {
            self.histories
                .get(model)
                .and_then(|history| history.view.clone())
        })
    }
}

impl PlacementPolicy for LearnedPlacement {
    fn arrived(&mut self, now_ms: u64, model: &ModelName) {
        let history = self.histories.entry(model.clone()).or_default();
        history.arrived(now_ms);
        if let Some(base) = history.base() {
            self.histories.entry(base).or_default().arrived(now_ms);
        }
    }

    fn loaded(&mut self, _now_ms: u64, model: &ModelName, tier: CacheTier, took_ms: u64) {
        let view = self
            .histories
            .get(model)
            .and_then(|history| history.view.as_ref());
        let Some(bytes) = view.map(|view| view.bytes) else {
            return;
        };
        let contention = self.loads_in_progress.contention_of(model);
        self.load_times
            .record(model, tier, bytes, took_ms, contention);
    }

    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction> {
        self.update_histories(now_ms, fleet);
        self.unload_tracker.refresh(fleet);
        self.pending_proposals
            .refresh(now_ms, self.options.proposal_timeout_ms, fleet);
        let mut projection =
            ProjectedFleet::new(fleet, &self.pending_proposals, &self.unload_tracker);
        self.update_loads_in_progress(now_ms, &projection, fleet);
        let mut store = StoreQueue::new(now_ms, fleet, &self.loads_in_progress);
        let mut planned = self.plan_loads(now_ms, &mut projection, &mut store);
        planned.extend(self.plan_unloads(now_ms, &mut projection));
        self.pending_proposals.record(now_ms, &planned);
        planned
    }
}
