//! Loads that `LearnedPlacement` proposes, and their order.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

use crate::learned_placement::LearnedPlacement;
use crate::load_option::LoadOption;
use crate::load_option::LoadOptions;
use crate::loads_in_progress::LoadInProgress;
use crate::model_history::ModelHistory;
use crate::projection::Phase;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::projection::ProjectedReplica;
use crate::store_queue::StoreQueue;
use crate::target_distribution::DECISION_DELAY_MS;
use crate::wanted_replica::Need;
use crate::wanted_replica::WantedReplica;

/// How long requests must have waited for a loaded model before it gets another replica, as a share
/// of the duration of that replica's load. A burst that is served within a moment causes no load,
/// and a slow load requires a persistent queue.
const SCALE_OUT_LOAD_SHARE: f64 = 0.25;
/// Lower bound of that time.
const MIN_SCALE_OUT_WAIT_MS: f64 = 1_000.0;
/// Upper bound of that time.
const MAX_SCALE_OUT_WAIT_MS: f64 = 10_000.0;

/// Factor by which a slow load exceeds its expected duration.
const SLOW_LOAD_FACTOR: f64 = 2.0;
/// Minimum duration of a slow load.
const MIN_SLOW_LOAD_MS: f64 = 3_000.0;

/// Minimum time between refusals of waiting requests for the same model. The view may show refused
/// requests for a short time afterwards.
const MIN_REFUSAL_INTERVAL_MS: u64 = 500;

/// Retry delay for refused callers if nothing indicates when memory will be free.
const NO_MEMORY_RETRY_MS: u64 = 5_000;

/// Divisor of an engine's memory that gives the size assumed for a base model that the view has
/// never shown.
const UNKNOWN_BASE_DIVISOR: u64 = 4;

impl LearnedPlacement {
    /// Returns the loads to propose now, the unloads that make room for loads, and the refusals of
    /// requests that no load can serve in time.
    pub(crate) fn plan_loads(
        &mut self,
        now_ms: u64,
        projection: &mut ProjectedFleet<'_>,
        store: &mut StoreQueue,
    ) -> Vec<PlacementAction> {
        let mut wanted_replicas = self.wanted_replicas(now_ms, projection);
        if wanted_replicas.is_empty() {
            wanted_replicas.extend(self.replica_to_restore(now_ms, projection));
        }
        self.sort(now_ms, projection, store, &mut wanted_replicas);
        let mut planned = Vec::new();
        for wanted in wanted_replicas {
            // An adapter and its base, or two adapters of one base, may require the same load.
            let is_planned = projection
                .holders(&wanted.model.model, Phase::Loading)
                .next()
                .is_some();
            if is_planned && !matches!(wanted.need, Need::Hedge | Need::ScaleOut) {
                continue;
            }
            let load_option = self.load_option(now_ms, projection, store, &wanted);
            let actions = match load_option {
                Some(load_option) => self.load(now_ms, &wanted, &load_option, store),
                None => self.refuse_without_memory(now_ms, projection, &wanted),
            };
            if !wanted.proposed_here {
                continue;
            }
            projection.apply(&actions);
            planned.extend(actions);
        }
        planned
    }

    fn wanted_replicas(&self, now_ms: u64, projection: &ProjectedFleet<'_>) -> Vec<WantedReplica> {
        let waiting = projection
            .models
            .values()
            .filter(|model| model.waiting > 0)
            .filter_map(|model| self.wanted_for_waiting(now_ms, projection, model));
        let mut wanted_replicas: Vec<WantedReplica> = waiting.collect();
        for history in self.histories.values() {
            let expects_retries = now_ms < history.retries_until_ms;
            if !expects_retries && history.period_detector.next(now_ms).is_none() {
                continue;
            }
            let Some(model) = history.view.as_ref().filter(|model| model.preferred_here) else {
                continue;
            };
            let is_on_engine =
                |engine: &ProjectedEngine<'_>| engine.replica(&model.model).is_some();
            if projection.engines.iter().any(is_on_engine)
                || wanted_replicas
                    .iter()
                    .any(|wanted| wanted.requested_model.model == model.model)
            {
                continue;
            }
            wanted_replicas.extend(match expects_retries {
                true => {
                    let remaining_ms = (history.retries_until_ms - now_ms) as f64;
                    self.wanted(projection, model, Need::RetryExpected, remaining_ms)
                }
                false => self.wanted_ahead(now_ms, projection, model),
            });
        }
        wanted_replicas
    }

    fn wanted_for_waiting(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        model: &ModelView,
    ) -> Option<WantedReplica> {
        let remaining_ms = model.tightest_ms.unwrap_or(self.tightest_target_ms) as f64;
        let loaded = projection.holders(&model.model, Phase::Loaded).count();
        let loading = projection.holders(&model.model, Phase::Loading).count();
        let need = match (loaded, loading) {
            (0, 0) => Need::Waiting,
            (0, 1) if self.is_slow(now_ms, &model.model) => Need::Hedge,
            (0, _) => return None,
            // The number of replicas at most doubles with each step.
            _ if loading < loaded && self.is_at_capacity(now_ms, projection, model) => {
                Need::ScaleOut
            }
            _ => return None,
        };
        self.wanted(projection, model, need, remaining_ms)
    }

    /// Returns whether requests have waited for long enough while no replica had a free slot.
    fn is_at_capacity(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        model: &ModelView,
    ) -> bool {
        let history = self.histories.get(&model.model);
        let Some(since_ms) = history.and_then(|history| history.waiting_since_ms) else {
            return false;
        };
        let waited_ms = now_ms.saturating_sub(since_ms) as f64;
        if waited_ms < MIN_SCALE_OUT_WAIT_MS {
            return false;
        }
        let is_full = |engine: &ProjectedEngine<'_>| !engine.has_free_slot();
        if !projection.holders(&model.model, Phase::Loaded).all(is_full) {
            return false;
        }
        let takes = |engine: &&ProjectedEngine<'_>| engine.replica(&model.model).is_none();
        let fastest = projection
            .accepting_engines(model)
            .filter(takes)
            .map(|engine| engine.tier(&model.model))
            .min();
        let load_ms = fastest.map_or(f64::INFINITY, |tier| {
            self.load_times
                .uncontended_ms(&model.model, tier, model.bytes)
        });
        waited_ms >= (SCALE_OUT_LOAD_SHARE * load_ms).min(MAX_SCALE_OUT_WAIT_MS)
    }

    fn is_slow(&self, now_ms: u64, model: &ModelName) -> bool {
        self.loads_in_progress.of_model(model).all(|load| {
            let running_ms = now_ms.saturating_sub(load.since_ms) as f64;
            running_ms > MIN_SLOW_LOAD_MS && running_ms > SLOW_LOAD_FACTOR * load.expected_ms
        })
    }

    fn wanted_ahead(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        model: &ModelView,
    ) -> Option<WantedReplica> {
        let history = self.histories.get(&model.model)?;
        let next = history.period_detector.next(now_ms)?;
        let load_ms = self.reload_ms(projection, model);
        // A load whose delay is acceptable need not start ahead of time.
        if self.cold_start_cost_ms(history, load_ms) < load_ms {
            return None;
        }
        let remaining_ms = next.from_ms.saturating_sub(now_ms) as f64;
        let is_time = remaining_ms <= load_ms + DECISION_DELAY_MS;
        is_time
            .then(|| self.wanted(projection, model, Need::UseExpected, remaining_ms.max(1.0)))
            .flatten()
    }

    /// Returns the duration of a load of the model on the engine where it is fastest.
    pub(crate) fn reload_ms(&self, projection: &ProjectedFleet<'_>, model: &ModelView) -> f64 {
        let fastest = projection
            .accepting_engines(model)
            .map(|engine| engine.tier(&model.model))
            .min();
        fastest.map_or(0.0, |tier| {
            self.load_times
                .uncontended_ms(&model.model, tier, model.bytes)
        })
    }

    /// Returns the replica that is wanted: of the model, or of its base if that has to be loaded
    /// first. Returns none while the base is being loaded.
    fn wanted(
        &self,
        projection: &ProjectedFleet<'_>,
        model: &ModelView,
        need: Need,
        remaining_ms: f64,
    ) -> Option<WantedReplica> {
        let itself = WantedReplica {
            model: model.clone(),
            requested_model: model.clone(),
            need,
            remaining_ms,
            proposed_here: model.preferred_here,
            may_gain_engine: projection.growing_groups.contains(&model.group),
        };
        let Some(base) = &model.base else {
            return Some(itself);
        };
        let takes = |engine: &ProjectedEngine<'_>| engine.replica(&model.model).is_none();
        let can_take = projection
            .holders(base, Phase::Loaded)
            .any(|engine| takes(engine) && (need != Need::ScaleOut || engine.has_free_slot()));
        if can_take {
            return Some(itself);
        }
        if projection.holders(base, Phase::Loading).next().is_some() {
            return None;
        }
        let adapter_ms = self.reload_ms(projection, model);
        Some(WantedReplica {
            model: self.base_of(projection, model, base),
            remaining_ms: (remaining_ms - adapter_ms).max(1.0),
            ..itself
        })
    }

    /// Returns the base of an adapter. The view may leave out a base without demand of its own. If
    /// it has never shown the base, a large part of an engine's memory is assumed for it; replay
    /// knows the actual size.
    fn base_of(
        &self,
        projection: &ProjectedFleet<'_>,
        adapter: &ModelView,
        base: &ModelName,
    ) -> ModelView {
        let capacity = projection
            .accepting_engines(adapter)
            .map(|engine| engine.view.capacity_bytes);
        let assumed_bytes = capacity.max().unwrap_or(0) / UNKNOWN_BASE_DIVISOR;
        let known = self.model(projection, base);
        ModelView {
            model: base.clone(),
            base: None,
            group: adapter.group.clone(),
            bytes: known.map_or(assumed_bytes, |known| known.bytes),
            waiting: adapter.waiting,
            running: 0,
            tightest_ms: adapter.tightest_ms,
            preferred_here: adapter.preferred_here,
        }
    }

    /// Sorts by need, then loads that can be ready in time before the others, then by increasing
    /// slack. A load that will be late anyway must not delay another one.
    fn sort(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        store: &StoreQueue,
        wanted_replicas: &mut Vec<WantedReplica>,
    ) {
        if wanted_replicas.len() < 2 {
            return;
        }
        let mut keyed: Vec<(Need, bool, f64, WantedReplica)> = std::mem::take(wanted_replicas)
            .into_iter()
            .map(|wanted| {
                let load_option = self.load_option(now_ms, projection, store, &wanted);
                let spare_ms = load_option.map_or(f64::MIN, |load_option| {
                    wanted.remaining_ms - load_option.ready_ms
                });
                (wanted.need, spare_ms < 0.0, spare_ms, wanted)
            })
            .collect();
        keyed.sort_by(|left, right| {
            (left.0, left.1)
                .cmp(&(right.0, right.1))
                .then(left.2.total_cmp(&right.2))
        });
        wanted_replicas.extend(keyed.into_iter().map(|(_, _, _, wanted)| wanted));
    }

    fn load_option(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        store: &StoreQueue,
        wanted: &WantedReplica,
    ) -> Option<LoadOption> {
        let eviction_cost_ms = |held: &ProjectedReplica, engine: &ProjectedEngine<'_>| {
            self.eviction_cost_ms(now_ms, held, engine)
        };
        let load_options = LoadOptions {
            projection,
            store,
            load_times: &self.load_times,
            eviction_cost_ms: &eviction_cost_ms,
        };
        let history = self.histories.get(&wanted.requested_model.model);
        let burst = history.map_or(1.0, ModelHistory::burst);
        let callers = f64::from(wanted.requested_model.waiting).max(burst);
        let wait_cost_ms = |ready_ms: f64| {
            let lateness = (DECISION_DELAY_MS + ready_ms) / wanted.remaining_ms.max(1.0);
            // The cost grows with the lateness, but less than in proportion.
            let late_ms = match lateness {
                _ if lateness > 1.0 => self.options.idle_ms_per_miss * (1.0 + lateness.log2()),
                _ => 0.0,
            };
            callers * (ready_ms + late_ms)
        };
        let usable = |engine: &ProjectedEngine<'_>| match wanted.need {
            Need::ScaleOut => engine.has_free_slot(),
            // Another load from the store would be no faster than the slow one.
            Need::Hedge => engine.tier(&wanted.model.model) != CacheTier::Remote,
            Need::Waiting | Need::RetryExpected | Need::UseExpected => true,
            Need::Restore => engine.free_bytes >= wanted.model.bytes,
        };
        load_options.best(&wanted.model, wait_cost_ms, usable)
    }

    /// Returns the actions for a load: the load itself, or first the evictions; none while the load
    /// is queued at the store. Requests that can't wait that long are refused.
    fn load(
        &mut self,
        now_ms: u64,
        wanted: &WantedReplica,
        load_option: &LoadOption,
        store: &mut StoreQueue,
    ) -> Vec<PlacementAction> {
        let is_remote = load_option.tier == CacheTier::Remote;
        if load_option.store_wait_ms > 0.0 {
            store.defer(load_option.ready_ms);
            return self.refuse_late(now_ms, wanted, load_option);
        }
        if is_remote {
            store.start(load_option.ready_ms);
        }
        if !load_option.evict.is_empty() {
            let unload = |evicted: &ModelName| PlacementAction::Unload {
                model: evicted.clone(),
                engine: load_option.engine.clone(),
            };
            return load_option.evict.iter().map(unload).collect();
        }
        if load_option.waits_for_memory {
            return Vec::new();
        }
        if wanted.proposed_here {
            let load = LoadInProgress {
                since_ms: now_ms,
                expected_ms: load_option.load_ms,
                tier: load_option.tier,
                contention: store.contention(),
                bytes: wanted.model.bytes,
            };
            self.loads_in_progress
                .start(&wanted.model.model, &load_option.engine, load);
        }
        vec![PlacementAction::Load {
            model: wanted.model.model.clone(),
            engine: load_option.engine.clone(),
            ready_at_ms: now_ms + load_option.ready_ms as u64,
        }]
    }

    /// Returns the refusal of waiting requests that a queued load can't serve in time. For a load
    /// that has begun, admission knows when the model will be ready and refuses each request
    /// according to its own deadline.
    fn refuse_late(
        &mut self,
        now_ms: u64,
        wanted: &WantedReplica,
        load_option: &LoadOption,
    ) -> Vec<PlacementAction> {
        let waits = matches!(wanted.need, Need::Waiting | Need::Hedge);
        if !waits || DECISION_DELAY_MS + load_option.ready_ms <= wanted.remaining_ms {
            return Vec::new();
        }
        let ready_ms = load_option.ready_ms as u64;
        let refusal = Refusal::not_run(
            RefusalReason::DeadlineTooShort,
            format!("the model can be loaded in {ready_ms} ms at the earliest"),
        );
        self.refuse(now_ms, wanted, refusal.retry_after(ready_ms))
    }

    fn refuse_without_memory(
        &mut self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        wanted: &WantedReplica,
    ) -> Vec<PlacementAction> {
        if wanted.need != Need::Waiting {
            return Vec::new();
        }
        if projection.accepting_engines(&wanted.model).next().is_none() {
            let refusal = Refusal::not_run(
                RefusalReason::UpstreamUnavailable,
                "no engine of the model's group takes new work",
            );
            return self.refuse(now_ms, wanted, refusal.retry_after(NO_MEMORY_RETRY_MS));
        }
        // Memory may become free at any moment, so requests wait while a load could still be in
        // time.
        if self.reload_ms(projection, &wanted.model) <= wanted.remaining_ms {
            return Vec::new();
        }
        let refusal = Refusal::not_run(
            RefusalReason::NoCapacity,
            "all accelerator memory of the model's group is in use",
        );
        self.refuse(now_ms, wanted, refusal.retry_after(NO_MEMORY_RETRY_MS))
    }

    /// Refuses the waiting requests, unless an engine that the plan can't use yet may soon serve
    /// them.
    fn refuse(
        &mut self,
        now_ms: u64,
        wanted: &WantedReplica,
        refusal: Refusal,
    ) -> Vec<PlacementAction> {
        let target_ms = self.tightest_target_ms;
        let history = self
            .histories
            .entry(wanted.requested_model.model.clone())
            .or_default();
        let was_refused = history
            .last_refused_ms
            .is_some_and(|last_refused_ms| now_ms < last_refused_ms + MIN_REFUSAL_INTERVAL_MS);
        if was_refused || wanted.may_gain_engine || !wanted.proposed_here {
            return Vec::new();
        }
        history.last_refused_ms = Some(now_ms);
        let retry_ms = now_ms + refusal.retry_after_ms.unwrap_or(0);
        history.retries_until_ms = retry_ms + target_ms;
        vec![PlacementAction::NoLoadInTime {
            model: wanted.requested_model.model.clone(),
            refusal,
        }]
    }
}
