//! Unloads that `LearnedPlacement` proposes.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::PlacementAction;

use crate::gap_histogram::KeepCosts;
use crate::learned_placement::LearnedPlacement;
use crate::model_history::ModelHistory;
use crate::projection::Phase;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::projection::ProjectedReplica;
use crate::target_distribution::DECISION_DELAY_MS;

/// Minimum share by which keeping a replica must be cheaper than unloading it.
const MIN_KEEP_GAIN: f64 = 0.1;

/// Minimum time for which an idle replica is kept, as a multiple of the duration of its load.
/// Prevents models from being loaded and unloaded in quick alternation, whatever the estimates say.
const MIN_KEPT_LOAD_TIMES: f64 = 10.0;
/// Minimum time for which an idle replica is kept even if its load is faster.
const MIN_KEPT_MS: f64 = 5_000.0;

/// Maximum share of the slots of a model's other replicas that its peak demand may fill for one
/// replica to count as spare.
const MAX_SPARE_SLOT_SHARE: f64 = 0.5;

/// Divisor of a replica's idle time that gives the time until the decision to keep the replica is
/// reviewed.
const REVIEW_IDLE_DIVISOR: u64 = 10;
/// Lower bound of the time until the next review.
const MIN_REVIEW_INTERVAL_MS: u64 = 1_000;
/// Upper bound of the time until the next review.
const MAX_REVIEW_INTERVAL_MS: u64 = 30_000;

/// Time for which a replica must have been spare before it is unloaded.
const SPARE_UNLOAD_DELAY_MS: u64 = 30_000;

impl LearnedPlacement {
    /// Returns the unloads to propose now.
    pub(crate) fn plan_unloads(
        &mut self,
        now_ms: u64,
        projection: &mut ProjectedFleet<'_>,
    ) -> Vec<PlacementAction> {
        let mut planned = Vec::new();
        let mut loaded: BTreeMap<ModelName, usize> = BTreeMap::new();
        for engine in projection
            .engines
            .iter()
            .filter(|engine| engine.view.accepts)
        {
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded)
            {
                *loaded.entry(replica.model.clone()).or_default() += 1;
            }
        }
        for index in 0..projection.engines.len() {
            let engine = &projection.engines[index];
            let mut unloads: Vec<PlacementAction> = Vec::new();
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded)
            {
                if replica.proposed_here
                    && !engine.has_adapter(&replica.model)
                    && self.should_unload(now_ms, &loaded, engine, replica)
                {
                    unloads.push(PlacementAction::Unload {
                        model: replica.model.clone(),
                        engine: engine.view.engine.clone(),
                    });
                }
            }
            projection.apply(&unloads);
            for unload in &unloads {
                if let PlacementAction::Unload { model, .. } = unload {
                    loaded.entry(model.clone()).and_modify(|count| *count -= 1);
                }
            }
            planned.extend(unloads);
        }
        planned
    }

    fn should_unload(
        &mut self,
        now_ms: u64,
        loaded: &BTreeMap<ModelName, usize>,
        engine: &ProjectedEngine<'_>,
        replica: &ProjectedReplica,
    ) -> bool {
        let replicas = loaded.get(&replica.model).copied().unwrap_or(1);
        if replicas > 1 {
            return self.is_spare(now_ms, engine, replica, replicas);
        }
        if replica.in_use {
            return false;
        }
        let Some(history) = self.histories.get_mut(&replica.model) else {
            return true;
        };
        if history.is_restoring {
            return true;
        }
        if now_ms < history.next_review_ms {
            return false;
        }
        let idle_ms = history.idle_ms(now_ms, replica.since_ms);
        let pause_ms =
            (idle_ms / REVIEW_IDLE_DIVISOR).clamp(MIN_REVIEW_INTERVAL_MS, MAX_REVIEW_INTERVAL_MS);
        history.next_review_ms = now_ms + pause_ms;
        self.should_unload_idle(now_ms, engine, replica)
    }

    fn should_unload_idle(
        &self,
        now_ms: u64,
        engine: &ProjectedEngine<'_>,
        replica: &ProjectedReplica,
    ) -> bool {
        let Some(history) = self.histories.get(&replica.model) else {
            return true;
        };
        let tier = engine.tier(&replica.model);
        let load_ms = self
            .load_times
            .uncontended_ms(&replica.model, tier, replica.bytes);
        let idle_ms = history.idle_ms(now_ms, replica.since_ms);
        let min_kept_ms = (MIN_KEPT_LOAD_TIMES * load_ms).max(MIN_KEPT_MS);
        if (idle_ms as f64) < min_kept_ms || now_ms < history.retries_until_ms {
            return false;
        }
        let share = replica.bytes as f64 / engine.view.capacity_bytes.max(1) as f64;
        let costs = KeepCosts {
            share,
            cold_start_cost_ms: share * load_ms + self.cold_start_cost_ms(history, load_ms),
        };
        if let Some(keep) = should_keep_for_next_use(now_ms, history, costs, load_ms) {
            return !keep;
        }
        history
            .gaps
            .keep_until(idle_ms, costs, MIN_KEEP_GAIN)
            .is_none()
    }

    /// Returns whether a model has had more replicas than it needs for long enough.
    fn is_spare(
        &mut self,
        now_ms: u64,
        engine: &ProjectedEngine<'_>,
        replica: &ProjectedReplica,
        replicas: usize,
    ) -> bool {
        let Some(history) = self.histories.get_mut(&replica.model) else {
            return true;
        };
        let remaining_slots = (replicas - 1) as f64 * f64::from(engine.view.slots);
        if history.peak() > MAX_SPARE_SLOT_SHARE * remaining_slots {
            history.spare_since_ms = None;
            return false;
        }
        let since_ms = *history.spare_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + SPARE_UNLOAD_DELAY_MS {
            return false;
        }
        history.spare_since_ms = None;
        true
    }
}

/// Returns whether to keep an idle replica until the next use, for a model that is used at regular
/// times. Returns none for other models.
fn should_keep_for_next_use(
    now_ms: u64,
    history: &ModelHistory,
    costs: KeepCosts,
    load_ms: f64,
) -> Option<bool> {
    let next = history.period_detector.next(now_ms)?;
    let until_use_ms = next.from_ms.saturating_sub(now_ms) as f64;
    // If the replica is unloaded, the next load starts ahead of the expected use, or with that use
    // if the delay is acceptable.
    let is_loaded_ahead = costs.cold_start_cost_ms - costs.share * load_ms > load_ms;
    let ahead_ms = if is_loaded_ahead {
        load_ms + DECISION_DELAY_MS
    } else {
        0.0
    };
    Some(match is_loaded_ahead {
        true => until_use_ms <= ahead_ms + load_ms,
        false => until_use_ms * costs.share <= costs.cold_start_cost_ms,
    })
}
