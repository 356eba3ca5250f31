//! Which replicas `LearnedPlacement` unloads.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::PlacementAction;

use crate::gap_histogram::KeepCosts;
use crate::learned::LearnedPlacement;
use crate::record::Record;
use crate::sketch::EngineSketch;
use crate::sketch::Phase;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::target_mix::DECISION_MS;

/// By how much keeping a replica must be cheaper than unloading it.
const KEEP_GAIN: f64 = 0.1;

/// A replica is kept for at least this many times what its load takes, and at least this long.
/// Whatever the estimates say, no model can be loaded and unloaded in a quick alternation.
const KEPT_LOADS: f64 = 10.0;
const LEAST_KEPT_MS: f64 = 5_000.0;

/// Part of the places of a model's replicas that its peak may take up with one replica fewer.
const SPARE_FILL: f64 = 0.5;

/// Whether an idle replica is kept is weighed again after this part of its idle time, and within
/// these bounds.
const WEIGH_PART: u64 = 10;
const LEAST_WEIGH_MS: u64 = 1_000;
const MOST_WEIGH_MS: u64 = 30_000;

/// How long a replica must have been more than is needed before it is unloaded.
const SPARE_FOR_MS: u64 = 30_000;

impl LearnedPlacement {
    /// Returns the unloads to propose now.
    pub(crate) fn plan_unloads(
        &mut self,
        now_ms: u64,
        sketch: &mut Sketch<'_>,
    ) -> Vec<PlacementAction> {
        let mut planned = Vec::new();
        let mut loaded: BTreeMap<ModelName, usize> = BTreeMap::new();
        for engine in sketch.engines.iter().filter(|engine| engine.view.accepts) {
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded)
            {
                *loaded.entry(replica.model.clone()).or_default() += 1;
            }
        }
        for index in 0..sketch.engines.len() {
            let engine = &sketch.engines[index];
            let mut unloads: Vec<PlacementAction> = Vec::new();
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded)
            {
                if replica.mine
                    && !engine.has_adapter(&replica.model)
                    && self.should_unload(now_ms, &loaded, engine, replica)
                {
                    unloads.push(PlacementAction::Unload {
                        model: replica.model.clone(),
                        engine: engine.view.engine.clone(),
                    });
                }
            }
            sketch.apply(&unloads);
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
        engine: &EngineSketch<'_>,
        replica: &ReplicaSketch,
    ) -> bool {
        let replicas = loaded.get(&replica.model).copied().unwrap_or(1);
        if replicas > 1 {
            return self.is_spare(now_ms, engine, replica, replicas);
        }
        if replica.in_use {
            return false;
        }
        let Some(record) = self.records.get_mut(&replica.model) else {
            return true;
        };
        if record.is_restoring {
            return true;
        }
        if now_ms < record.weigh_ms {
            return false;
        }
        let idle_ms = record.idle_ms(now_ms, replica.since_ms);
        let pause_ms = (idle_ms / WEIGH_PART).clamp(LEAST_WEIGH_MS, MOST_WEIGH_MS);
        record.weigh_ms = now_ms + pause_ms;
        self.is_not_worth_keeping(now_ms, engine, replica)
    }

    fn is_not_worth_keeping(
        &self,
        now_ms: u64,
        engine: &EngineSketch<'_>,
        replica: &ReplicaSketch,
    ) -> bool {
        let Some(record) = self.records.get(&replica.model) else {
            return true;
        };
        let tier = engine.tier(&replica.model);
        let load_ms = self.times.alone_ms(&replica.model, tier, replica.bytes);
        let idle_ms = record.idle_ms(now_ms, replica.since_ms);
        let least_ms = (KEPT_LOADS * load_ms).max(LEAST_KEPT_MS);
        if (idle_ms as f64) < least_ms || now_ms < record.returns_until_ms {
            return false;
        }
        let share = replica.bytes as f64 / engine.view.capacity_bytes.max(1) as f64;
        let costs = KeepCosts {
            share,
            cold_start_ms: share * load_ms + self.cold_start_ms(record, load_ms),
        };
        if let Some(keep) = keep_for_rhythm(now_ms, record, costs, load_ms) {
            return !keep;
        }
        record.gaps.keep_until(idle_ms, costs, KEEP_GAIN).is_none()
    }

    /// Returns whether a model has more replicas than it needs, for a while already.
    fn is_spare(
        &mut self,
        now_ms: u64,
        engine: &EngineSketch<'_>,
        replica: &ReplicaSketch,
        replicas: usize,
    ) -> bool {
        let Some(record) = self.records.get_mut(&replica.model) else {
            return true;
        };
        let places = (replicas - 1) as f64 * f64::from(engine.view.slots);
        if record.peak() > SPARE_FILL * places {
            record.spare_since_ms = None;
            return false;
        }
        let since_ms = *record.spare_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + SPARE_FOR_MS {
            return false;
        }
        record.spare_since_ms = None;
        true
    }
}

/// Returns whether a replica of a model with a rhythm should be kept for the next call, or none
/// for a model without one.
fn keep_for_rhythm(now_ms: u64, record: &Record, costs: KeepCosts, load_ms: f64) -> Option<bool> {
    let next = record.rhythm.next(now_ms)?;
    let away_ms = next.from_ms.saturating_sub(now_ms) as f64;
    // Unloaded, it would be loaded again ahead of the call, or during it if that hurts nobody.
    let hurts = costs.cold_start_ms - costs.share * load_ms > load_ms;
    let ahead_ms = if hurts { load_ms + DECISION_MS } else { 0.0 };
    Some(match hurts {
        true => away_ms <= ahead_ms + load_ms,
        false => away_ms * costs.share <= costs.cold_start_ms,
    })
}
