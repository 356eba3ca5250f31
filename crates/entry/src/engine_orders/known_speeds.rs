//! Lasting speeds of the engines, as the lease holder knows them.

use std::collections::HashMap;

use apricotdale_holder::EngineKey;
use apricotdale_holder::EnginePace;
use apricotdale_holder::ModelKey;
use apricotdale_placement::EngineSpeeds;

/// Time between two updates of the speeds.
const UPDATE_INTERVAL_MS: u64 = 2_000;

/// Lasting speeds of the engines, learnt from the streams of all VMs. Until an engine's own is learnt,
/// it has the one that a former lease holder had learnt.
#[derive(Debug, Default)]
pub(crate) struct KnownSpeeds {
    learnt: EngineSpeeds<EngineKey, ModelKey>,
    restored: HashMap<EngineKey, u16>,
    next_update_ms: u64,
}

impl KnownSpeeds {
    /// Records the pace of streams that an engine has served.
    pub fn record(&mut self, now_ms: u64, pace: &EnginePace) {
        self.learnt
            .record(now_ms, pace.engine, pace.model, pace.events, pace.took_ms);
    }

    /// Updates the speeds if that is due.
    pub fn update(&mut self, now_ms: u64) {
        if now_ms >= self.next_update_ms {
            self.next_update_ms = now_ms + UPDATE_INTERVAL_MS;
            self.learnt.update(now_ms);
        }
    }

    /// Takes over what a former lease holder had learnt.
    pub fn restore(&mut self, speeds: &[(EngineKey, u16)]) {
        self.restored = speeds.iter().copied().collect();
    }

    /// Returns an engine's speed in percent of the mean; 100 if it is not known.
    pub fn percent(&self, engine: EngineKey) -> u16 {
        match self.learnt.speed_percent(&engine) {
            100 => self.restored.get(&engine).copied().unwrap_or(100),
            learnt => u16::try_from(learnt).unwrap_or(u16::MAX),
        }
    }
}
