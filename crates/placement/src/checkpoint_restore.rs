//! Loads by which `LearnedPlacement` caches lost checkpoints on a host again.
//!
//! A model that no host has cached is loaded from the weight store, which takes several times as
//! long as a load from disk, and even longer while the store is slow. One load ahead of time,
//! followed by an unload, occupies an accelerator for seconds and spares the next callers that
//! wait.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::ModelView;

use crate::learned_placement::LearnedPlacement;
use crate::model_history::ModelHistory;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::wanted_replica::Need;
use crate::wanted_replica::WantedReplica;

/// Period within which the expected next use of a model counts.
const RESTORE_HORIZON_MS: u64 = 6 * 3_600_000;

/// Minimum time between two loads that one VM proposes only to restore checkpoints.
const RESTORE_INTERVAL_MS: u64 = 15_000;

/// Minimum time between two such loads of one model. If the hosts' disks are too small for all
/// checkpoints, these would otherwise evict each other in turn.
const MIN_RESTORE_INTERVAL_PER_MODEL_MS: u64 = 1_800_000;

impl LearnedPlacement {
    /// Returns the replica whose load restores the most valuable checkpoint, if any. Restores only
    /// while no load from the store is in progress, so that it never delays another load.
    pub(crate) fn replica_to_restore(
        &mut self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
    ) -> Option<WantedReplica> {
        if now_ms < self.next_restore_ms || self.loads_in_progress.store_loads().next().is_some() {
            return None;
        }
        self.next_restore_ms = now_ms + RESTORE_INTERVAL_MS;
        let gains = self.histories.values().filter_map(|history| {
            let model = history.view.as_ref()?;
            let gain_ms = self.restore_gain_ms(now_ms, projection, history, model)?;
            (gain_ms > 0.0).then_some((gain_ms, model))
        });
        let (_, model) = gains.max_by(|left, right| left.0.total_cmp(&right.0))?;
        let wanted = WantedReplica {
            model: model.clone(),
            requested_model: model.clone(),
            need: Need::Restore,
            remaining_ms: f64::INFINITY,
            proposed_here: true,
            may_gain_engine: false,
        };
        let history = self
            .histories
            .entry(wanted.model.model.clone())
            .or_default();
        history.last_restored_ms = Some(now_ms);
        history.is_restoring = true;
        Some(wanted)
    }

    /// Returns the expected cost that the next cold start of a model saves if a host has cached its
    /// checkpoint, minus the cost of restoring it. Returns none if a host has cached the
    /// checkpoint, or if the model can't be restored now.
    fn restore_gain_ms(
        &self,
        now_ms: u64,
        projection: &ProjectedFleet<'_>,
        history: &ModelHistory,
        model: &ModelView,
    ) -> Option<f64> {
        let is_due = history.last_restored_ms.is_none_or(|last_restored_ms| {
            now_ms >= last_restored_ms + MIN_RESTORE_INTERVAL_PER_MODEL_MS
        });
        if !is_due || !model.preferred_here || model.base.is_some() {
            return None;
        }
        let is_on_host = |engine: &ProjectedEngine<'_>| {
            engine.replica(&model.model).is_some() || engine.tier(&model.model) != CacheTier::Remote
        };
        if projection.engines.iter().any(is_on_host) {
            return None;
        }
        let capacity_bytes = projection
            .accepting_engines(model)
            .map(|engine| engine.view.capacity_bytes)
            .max()?;
        let cost_ms = |tier| {
            let load_ms = self
                .load_times
                .uncontended_ms(&model.model, tier, model.bytes);
            load_ms * history.burst() + self.cold_start_cost_ms(history, load_ms)
        };
        let chance = history
            .gaps
            .chance_within(history.idle_ms(now_ms, 0), RESTORE_HORIZON_MS);
        let gain_ms = chance * (cost_ms(CacheTier::Remote) - cost_ms(CacheTier::Disk));
        let load_ms = self
            .load_times
            .uncontended_ms(&model.model, CacheTier::Remote, model.bytes);
        let share = model.bytes as f64 / capacity_bytes.max(1) as f64;
        Some(gain_ms - share * load_ms)
    }
}
