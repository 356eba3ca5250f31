//! Baseline policy with one idle timeout for all models.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use crate::options::Options;
use crate::pending_proposals::PendingProposals;
use crate::projection::Phase;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::projection::ProjectedReplica;
use crate::unload_tracker::UnloadTracker;

/// Assumed duration of a load before any load has been observed.
const ASSUMED_LOAD_MS: u64 = 30_000;

/// Time for which a model stays wanted after its last waiting request is gone. Otherwise a model
/// whose load takes longer than its callers wait would never be loaded.
const WANTED_TTL_MS: u64 = 60_000;

/// Baseline policy. Loads a model on the engine with the most free memory, evicts the least
/// recently used idle replicas if no engine has room, adds a replica when requests wait while all
/// replicas are full, and unloads a replica after a fixed idle time.
#[derive(Debug)]
pub struct FixedTimeout {
    options: Options,
    pending_proposals: PendingProposals,
    unload_tracker: UnloadTracker,
    last_used_ms: BTreeMap<(ModelName, UpstreamName), u64>,
    wanted: BTreeMap<ModelName, (u64, ModelView)>,
    load_ms: Option<u64>,
}

impl FixedTimeout {
    /// Returns a policy without any history.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            pending_proposals: PendingProposals::default(),
            unload_tracker: UnloadTracker::default(),
            last_used_ms: BTreeMap::new(),
            wanted: BTreeMap::new(),
            load_ms: None,
        }
    }

    /// Records which replicas are in use. A replica counts as idle while its engine is, because the
    /// view does not show which replica of a model a request runs on.
    fn record_use(&mut self, now_ms: u64, projection: &ProjectedFleet<'_>) {
        for engine in &projection.engines {
            for replica in engine.replicas.iter().filter(|held| held.in_use) {
                let waits = projection
                    .models
                    .get(&replica.model)
                    .is_some_and(|model| model.waiting > 0);
                if engine.view.busy == 0 && !waits {
                    continue;
                }
                let name = &engine.view.engine;
                self.last_used_ms
                    .insert((replica.model.clone(), name.clone()), now_ms);
                if let Some(base) = &replica.base {
                    self.last_used_ms
                        .insert((base.clone(), name.clone()), now_ms);
                }
            }
        }
    }

    fn last_used_ms(&self, replica: &ProjectedReplica, engine: &ProjectedEngine<'_>) -> u64 {
        let key = (replica.model.clone(), engine.view.engine.clone());
        let used_ms = self.last_used_ms.get(&key).copied().unwrap_or(0);
        used_ms.max(replica.since_ms)
    }

    /// Returns the actions that lead to one more replica of the model: a load if an engine has
    /// room, otherwise the unloads that make room.
    fn load(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        model: &ModelView,
    ) -> Vec<PlacementAction> {
        let candidates: Vec<&ProjectedEngine<'_>> = projection
            .accepting_engines(model)
            .filter(|engine| engine.replica(&model.model).is_none())
            .filter(|engine| engine.has_base_of(model))
            .collect();
        let emptiest = candidates.iter().max_by_key(|engine| engine.free_bytes);
        let Some(emptiest) = emptiest else {
            return Vec::new();
        };
        if emptiest.free_bytes >= model.bytes {
            return vec![PlacementAction::Load {
                model: model.model.clone(),
                engine: emptiest.view.engine.clone(),
                ready_at_ms: now_ms + self.load_ms.unwrap_or(ASSUMED_LOAD_MS),
            }];
        }
        // Waits for memory that is already being freed.
        if candidates
            .iter()
            .any(|engine| engine.available_bytes() >= model.bytes)
        {
            return Vec::new();
        }
        let oldest = candidates
            .iter()
            .filter_map(|engine| self.evictions(model, engine))
            .min_by_key(|(newest_ms, _)| *newest_ms);
        oldest.map_or_else(Vec::new, |(_, actions)| actions)
    }

    /// Returns the unloads of the least recently used replicas that free enough memory for the
    /// model, and the time at which the most recently used of them was used. Returns `None` if
    /// unloads can't free enough.
    fn evictions(
        &self,
        model: &ModelView,
        engine: &ProjectedEngine<'_>,
    ) -> Option<(u64, Vec<PlacementAction>)> {
        let mut eviction_units: Vec<(u64, Vec<&ProjectedReplica>)> = engine
            .evictable()
            .into_iter()
            .filter(|eviction_unit| {
                eviction_unit
                    .iter()
                    .all(|held| model.base.as_ref() != Some(&held.model))
            })
            .map(|eviction_unit| {
                let used_ms = eviction_unit
                    .iter()
                    .map(|held| self.last_used_ms(held, engine));
                (used_ms.max().unwrap_or(0), eviction_unit)
            })
            .collect();
        eviction_units.sort_by_key(|(used_ms, eviction_unit)| (*used_ms, eviction_unit.len()));
        let mut available_bytes = engine.available_bytes();
        let mut newest_ms = 0;
        let mut evicted: Vec<&ModelName> = Vec::new();
        for (used_ms, eviction_unit) in eviction_units {
            if available_bytes >= model.bytes {
                break;
            }
            newest_ms = used_ms;
            for held in eviction_unit {
                if !evicted.contains(&&held.model) {
                    available_bytes += held.bytes;
                    evicted.push(&held.model);
                }
            }
        }
        let actions = evicted
            .into_iter()
            .map(|evicted_model| PlacementAction::Unload {
                model: evicted_model.clone(),
                engine: engine.view.engine.clone(),
            });
        (available_bytes >= model.bytes).then(|| (newest_ms, actions.collect()))
    }

    /// Records which models have waiting requests and need one more replica.
    fn update_wanted(&mut self, now_ms: u64, fleet: &FleetView, projection: &ProjectedFleet<'_>) {
        self.wanted.retain(|model, (until_ms, _)| {
            now_ms < *until_ms && projection.holders(model, Phase::Loaded).next().is_none()
        });
        for model in fleet.models.iter().filter(|model| model.preferred_here) {
            let mut loaded = projection.holders(&model.model, Phase::Loaded);
            if model.waiting > 0 && loaded.all(|engine| !engine.has_free_slot()) {
                let wanted = (now_ms + WANTED_TTL_MS, model.clone());
                self.wanted.insert(model.model.clone(), wanted);
            }
        }
    }

    fn expired(&self, now_ms: u64, projection: &ProjectedFleet<'_>) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for engine in &projection.engines {
            let expired = engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded && held.proposed_here)
                .filter(|held| !engine.has_adapter(&held.model))
                .filter(|held| {
                    let idle_ms = now_ms.saturating_sub(self.last_used_ms(held, engine));
                    idle_ms >= self.options.idle_timeout_ms
                });
            actions.extend(expired.map(|held| PlacementAction::Unload {
                model: held.model.clone(),
                engine: engine.view.engine.clone(),
            }));
        }
        actions
    }

    /// Returns the model to load for a wanted model: the model itself, or its base if no engine
    /// that holds the base can load it. Returns none if that load is in progress already.
    fn model_to_load<'a>(
        projection: &'a ProjectedFleet<'_>,
        model: &'a ModelView,
    ) -> Option<&'a ModelView> {
        let is_loading =
            |model: &ModelName| projection.holders(model, Phase::Loading).next().is_some();
        let Some(base) = &model.base else {
            return (!is_loading(&model.model)).then_some(model);
        };
        let can_take = |engine: &ProjectedEngine<'_>| engine.replica(&model.model).is_none();
        if projection.holders(base, Phase::Loaded).any(can_take) {
            return (!is_loading(&model.model)).then_some(model);
        }
        let shown = projection.models.get(base).copied();
        shown.filter(|base| !is_loading(&base.model))
    }
}

impl PlacementPolicy for FixedTimeout {
    fn arrived(&mut self, _now_ms: u64, _model: &ModelName) {}

    fn loaded(&mut self, _now_ms: u64, _model: &ModelName, _tier: CacheTier, took_ms: u64) {
        self.load_ms = Some(took_ms);
    }

    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction> {
        self.unload_tracker.refresh(fleet);
        self.pending_proposals
            .refresh(now_ms, self.options.proposal_timeout_ms, fleet);
        let mut projection =
            ProjectedFleet::new(fleet, &self.pending_proposals, &self.unload_tracker);
        self.record_use(now_ms, &projection);
        self.update_wanted(now_ms, fleet, &projection);
        let mut planned = Vec::new();
        for (_, model) in self.wanted.values() {
            let Some(model) = Self::model_to_load(&projection, model) else {
                continue;
            };
            let actions = self.load(now_ms, &projection, model);
            projection.apply(&actions);
            planned.extend(actions);
        }
        planned.extend(self.expired(now_ms, &projection));
        self.pending_proposals.record(now_ms, &planned);
        planned
    }
}
