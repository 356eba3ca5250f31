//! Loads by which `LearnedPlacement` gets lost checkpoints back onto a host.
//!
//! A model that no host has cached is loaded from the weight store, which takes several times as
//! long as a load from disk and longer still while the store is slow. One load ahead of time,
//! unloaded at once, takes an accelerator for seconds and spares the next callers that wait.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::ModelView;

use crate::learned::LearnedPlacement;
use crate::record::Record;
use crate::sketch::EngineSketch;
use crate::sketch::Sketch;
use crate::want::Need;
use crate::want::Want;

/// Within how long a next use counts.
const RESTORE_HORIZON_MS: u64 = 6 * 3_600_000;

/// Time between two such loads at one VM.
const RESTORE_PAUSE_MS: u64 = 15_000;

/// How long one model is not restored again. Where the hosts' disks are too small for all,
/// checkpoints would otherwise push each other out in turn.
const RESTORE_AGAIN_MS: u64 = 1_800_000;

impl LearnedPlacement {
    /// Returns the model whose checkpoint is most worth getting back onto a host now. Only while
    /// nothing is loaded from the store, so that such a load is never in another's way.
    pub(crate) fn want_restored(&mut self, now_ms: u64, sketch: &Sketch<'_>) -> Option<Want> {
        if now_ms < self.restore_ms || self.flights.remote().next().is_some() {
            return None;
        }
        self.restore_ms = now_ms + RESTORE_PAUSE_MS;
        let gains = self.records.values().filter_map(|record| {
            let model = record.view.as_ref()?;
            let gain_ms = self.restore_gain_ms(now_ms, sketch, record, model)?;
            (gain_ms > 0.0).then_some((gain_ms, model))
        });
        let (_, model) = gains.max_by(|left, right| left.0.total_cmp(&right.0))?;
        let want = Want {
            model: model.clone(),
            asked_by: model.clone(),
            need: Need::Restore,
            left_ms: f64::INFINITY,
            mine: true,
            may_gain_engine: false,
        };
        let record = self.records.entry(want.model.model.clone()).or_default();
        record.restored_ms = Some(now_ms);
        record.is_restoring = true;
        Some(want)
    }

    /// Returns what the next cold start of a model costs less if a host has its checkpoint, less
    /// what getting it there costs; or none if a host has it or it was restored not long ago.
    fn restore_gain_ms(
        &self,
        now_ms: u64,
        sketch: &Sketch<'_>,
        record: &Record,
        model: &ModelView,
    ) -> Option<f64> {
        let is_due = record
            .restored_ms
            .is_none_or(|restored_ms| now_ms >= restored_ms + RESTORE_AGAIN_MS);
        if !is_due || !model.preferred_here || model.base.is_some() {
            return None;
        }
        let is_there = |engine: &EngineSketch<'_>| {
            engine.replica(&model.model).is_some() || engine.tier(&model.model) != CacheTier::Remote
        };
        if sketch.engines.iter().any(is_there) {
            return None;
        }
        let capacity_bytes = sketch
            .open_engines(model)
            .map(|engine| engine.view.capacity_bytes)
            .max()?;
        let cost_ms = |tier| {
            let load_ms = self.times.alone_ms(&model.model, tier, model.bytes);
            load_ms * record.burst() + self.cold_start_ms(record, load_ms)
        };
        let chance = record
            .gaps
            .chance_within(record.idle_ms(now_ms, 0), RESTORE_HORIZON_MS);
        let gain_ms = chance * (cost_ms(CacheTier::Remote) - cost_ms(CacheTier::Disk));
        let load_ms = self
            .times
            .alone_ms(&model.model, CacheTier::Remote, model.bytes);
        let share = model.bytes as f64 / capacity_bytes.max(1) as f64;
        Some(gain_ms - share * load_ms)
    }
}
