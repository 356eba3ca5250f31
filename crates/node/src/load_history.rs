//! Durations of loads, by the control stream.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::ControlState;
use apricotdale_state::replicas::Stage;

use crate::placement::is_stuck;

/// Load that a VM has carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedLoad {
    /// Model or adapter that was loaded.
    pub model: ModelName,
    /// Engine that it was loaded on.
    pub engine: UpstreamName,
    /// Time from the decision to the settlement, by the log's timestamps, in milliseconds.
    pub took_ms: u64,
}

/// Finds the loads that were settled since the last call. Every VM learns from all loads,
/// regardless of which VM carried them out, and a VM that starts learns from the records it
/// replays.
#[derive(Debug, Default)]
pub struct LoadHistory {
    inner: Mutex<Inner>,
}

#[derive(Clone, Debug)]
struct OpenLoad {
    model: ModelName,
    /// Time of the decision, in milliseconds of Unix time.
    decided_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    open: BTreeMap<Offset, OpenLoad>,
    finished: Vec<FinishedLoad>,
    failed: Vec<ModelName>,
    any_finished: bool,
}

impl LoadHistory {
    /// Returns a history without loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the history by the state after an accepted record.
    pub fn update(&self, state: &ControlState) {
        let mut inner = self.inner.lock();
        let Inner {
            open,
            finished,
            failed,
            any_finished,
        } = &mut *inner;
        open.retain(|load, ended| {
            let is_loading = state
                .replica(*load)
                .is_some_and(|one| !is_stuck(one.stage()));
            if !is_loading {
                failed.push(ended.model.clone());
            }
            is_loading
        });
        for replica in state.replicas() {
            match replica.stage() {
                Stage::Reserved => {
                    let load = OpenLoad {
                        model: replica.model.clone(),
                        decided_ms: replica.since_ms,
                    };
                    open.entry(replica.load).or_insert(load);
                }
                Stage::Loaded => {
                    let Some(load) = open.remove(&replica.load) else {
                        continue;
                    };
                    *any_finished = true;
                    finished.push(FinishedLoad {
                        model: replica.model.clone(),
                        engine: replica.engine.clone(),
                        took_ms: replica.since_ms.saturating_sub(load.decided_ms),
                    });
                }
                _ => {}
            }
        }
    }

    /// Returns the models of the loads that failed since the last call.
    pub fn take_failed(&self) -> Vec<ModelName> {
        std::mem::take(&mut self.inner.lock().failed)
    }

    /// Returns the loads that were settled as done since the last call.
    pub fn take_finished(&self) -> Vec<FinishedLoad> {
        std::mem::take(&mut self.inner.lock().finished)
    }

    /// Returns whether any load has been seen. Before that, predicted load times are only
    /// assumptions, for which no request is refused.
    pub fn has_finished_load(&self) -> bool {
        self.inner.lock().any_finished
    }
}
