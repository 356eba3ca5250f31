//! Recent residence updates of engines, which are newer than the upstream list.

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::ResidenceUpdate;

/// How long a residence update overrides the upstream list. An engine takes up to 1.2 s to write
/// its entry, which is read about once a second.
const UPDATE_TTL_MS: u64 = 2_600;

/// How long a model or adapter counts as missing after an engine has said so.
const MISSING_TTL_MS: u64 = 600;

/// Residence updates that are still valid. They are applied again over each new entry of the
/// upstream list, which may be older.
#[derive(Debug, Default)]
pub(crate) struct ResidenceUpdates {
    updates: Vec<(ResidenceUpdate, u64)>,
}

impl ResidenceUpdates {
    /// Applies an update and keeps it. Returns whether it is new.
    pub fn record(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        update: ResidenceUpdate,
    ) -> bool {
        self.insert(now_ms, directory, update, UPDATE_TTL_MS)
    }

    /// Records that an engine rejected a request because it does not hold the model.
    pub fn record_missing(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        engine: &UpstreamName,
        wanted: &WantedModel,
    ) {
        let update = ResidenceUpdate {
            engine: engine.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            present: false,
        };
        self.insert(now_ms, directory, update, MISSING_TTL_MS);
    }

    /// Applies the updates of an engine again after a new entry of the upstream list.
    pub fn reapply(&mut self, now_ms: u64, directory: &mut Directory, engine: &UpstreamName) {
        self.updates.retain(|(_, until_ms)| *until_ms > now_ms);
        for (update, _) in self
            .updates
            .iter()
            .filter(|(update, _)| &update.engine == engine)
        {
            apply(directory, update);
        }
    }

    fn insert(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        update: ResidenceUpdate,
        ttl_ms: u64,
    ) -> bool {
        self.updates.retain(|(_, until_ms)| *until_ms > now_ms);
        let known = self.updates.iter().any(|(other, _)| *other == update);
        self.updates
            .retain(|(other, _)| !other.has_same_subject(&update));
        apply(directory, &update);
        self.updates.push((update, now_ms + ttl_ms));
        !known
    }
}

fn apply(directory: &mut Directory, update: &ResidenceUpdate) {
    let Some(upstream) = directory.upstream_mut(&update.engine) else {
        return;
    };
    let residence = &mut upstream.residence;
    match (&update.adapter, update.present) {
        (None, true) => residence.record_loaded(&update.model),
        (None, false) => residence.record_unloaded(&update.model),
        (Some(adapter), true) => residence.record_adapter_loaded(&update.model, adapter),
        (Some(adapter), false) => residence.record_adapter_unloaded(&update.model, adapter),
    }
}
