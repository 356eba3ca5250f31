//! Rules for observations of engines and for their removal.

use std::collections::BTreeMap;

use apricotdale_core::control::Observation;
use apricotdale_core::control::UpstreamGone;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use crate::control_state::ControlState;
use crate::control_state::Decision;
use crate::control_state::RecordStamp;
use crate::engines::Engine;
use crate::engines::Reading;
use crate::engines::UnmanagedResident;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::verdict::Accepted;
use crate::verdict::RejectReason;

/// Maximum number of engines that are remembered after they are gone.
const MAX_GONE_ENGINES: usize = 1024;

impl ControlState {
    /// Applies the complete status of an engine.
    pub(crate) fn observe(&mut self, stamp: RecordStamp, observation: &Observation) -> Decision {
        let name = &observation.engine;
        let reading = Reading {
            boot: observation.boot,
            sequence: observation.sequence,
        };
        if self
            .engines
            .get(name)
            .is_some_and(|engine| is_outdated(engine, reading, observation))
        {
            return Err(RejectReason::OldReading);
        }
        for load in self.replicas.loads_of_engine(name) {
            self.update_replica(stamp, observation, reading, load);
        }
        let unmanaged = self.unmanaged_residents(observation);
        let old = self.engines.get(name);
        let newest_reading = old.map_or(reading, |old| old.newest_reading.max(reading));
        let same_incarnation = old.filter(|old| old.boot() == reading.boot && !old.is_gone());
        let incarnation_since_ms =
            same_incarnation.map_or(stamp.appended_ms, |old| old.incarnation_since_ms);
        let engine = Engine {
            group: observation.group.clone(),
            zone: observation.zone.clone(),
            incarnation_since_ms,
            reading,
            newest_reading,
            capacity_bytes: observation.capacity_bytes,
            checks_fence: observation.checks_fence,
            highest_fence: observation.highest_fence,
            gone_at: None,
            unmanaged,
            resident_fences: observation
                .residents
                .iter()
                .map(|resident| resident.fence)
                .collect(),
        };
        self.engines.insert(name.clone(), engine);
        self.remove_orphaned_unloads(name);
        self.remove_dead_replicas(name);
        Ok(Accepted::Observed)
    }

    /// Updates one replica with the status of its engine.
    fn update_replica(
        &mut self,
        stamp: RecordStamp,
        observation: &Observation,
        reading: Reading,
        load: Offset,
    ) {
        let Some(replica) = self.replicas.get_mut(load) else {
            return;
        };
        let mut residents = observation.residents.iter();
        let resident = residents.find(|resident| results_from(resident, replica));
        match (resident, replica.effect_seen_at) {
            (Some(resident), _) => record_effect(replica, resident, reading, stamp.appended_ms),
            (None, Some(effect_seen_at)) if effect_seen_at < reading => self.remove_replica(load),
            (None, Some(_)) => {}
            (None, None) => record_refusal(replica, observation),
        }
    }

    /// Returns the models in an engine's status that no accepted load put there.
    fn unmanaged_residents(
        &self,
        observation: &Observation,
    ) -> BTreeMap<ModelName, UnmanagedResident> {
        let old = self.engines.get(&observation.engine);
        let old = old.filter(|old| old.boot() == observation.boot);
        let mut unmanaged = BTreeMap::new();
        for resident in &observation.residents {
            let load = self.replicas.get(Offset(resident.fence.0));
            if load.is_some_and(|replica| {
                replica.engine == observation.engine && results_from(resident, replica)
            }) {
                continue;
            }
            let known = old.and_then(|old| old.unmanaged.get(&resident.model));
            let known = known.filter(|known| known.fence == resident.fence);
            let unmanaged_resident = UnmanagedResident {
                bytes: resident.bytes,
                fence: resident.fence,
                residency: resident.residency,
                unload: known.and_then(|known| known.unload),
            };
            unmanaged.insert(resident.model.clone(), unmanaged_resident);
        }
        unmanaged
    }

    /// Removes unloads of unmanaged models that are no longer on the engine.
    fn remove_orphaned_unloads(&mut self, name: &UpstreamName) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let replicas = &self.replicas;
        self.unloads.retain(|offset, task| {
            let unmanaged_resident = engine.unmanaged.get(&task.model);
            task.engine != *name
                || replicas.get(task.load).is_some()
                || unmanaged_resident
                    .is_some_and(|unmanaged_resident| unmanaged_resident.unload == Some(*offset))
        });
    }

    /// Removes an engine. If the VM list was wrong, a later observation restores the engine, with
    /// its models as unmanaged.
    pub(crate) fn remove_upstream(&mut self, stamp: RecordStamp, gone: &UpstreamGone) -> Decision {
        let engine = self
            .engines
            .get_mut(&gone.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        if engine.is_gone() {
            return Err(RejectReason::EngineGone);
        }
        // The VM list is delayed: the reader may have seen the end of an earlier engine when a new
        // one with the same name is running already.
        if engine.newest_reading.boot > gone.boot {
            return Err(RejectReason::EngineRestarted);
        }
        engine.gone_at = Some(stamp.offset);
        engine.unmanaged.clear();
        engine.resident_fences.clear();
        self.remove_orphaned_unloads(&gone.engine);
        self.remove_dead_replicas(&gone.engine);
        self.remove_oldest_gone_engine();
        Ok(Accepted::UpstreamRemoved)
    }

    /// Limits the number of remembered engines that are gone. They are remembered so that a late
    /// observation does not restore them, and so that orders that may still arrive are known if the
    /// engine does return.
    fn remove_oldest_gone_engine(&mut self) {
        let gone_engines = self
            .engines
            .iter()
            .filter_map(|(name, engine)| Some((engine.gone_at?, name)));
        let gone_engines: BTreeMap<Offset, &UpstreamName> = gone_engines.collect();
        if gone_engines.len() <= MAX_GONE_ENGINES {
            return;
        }
        let Some(oldest) = gone_engines.into_values().next().cloned() else {
            return;
        };
        for load in self.replicas.loads_of_engine(&oldest) {
            self.remove_replica(load);
        }
        self.engines.remove(&oldest);
    }
}

/// Returns whether an observation adds nothing: a VM that was paused can append a status long after
/// a later one was appended.
fn is_outdated(engine: &Engine, reading: Reading, observation: &Observation) -> bool {
    let is_later = reading > engine.reading
        || (reading == engine.reading && observation.highest_fence > engine.highest_fence);
    reading < engine.newest_reading || !is_later
}

fn results_from(resident: &Resident, replica: &Replica) -> bool {
    resident.fence == FencingToken::from(replica.load) && resident.model == replica.model
}

fn record_effect(replica: &mut Replica, resident: &Resident, reading: Reading, appended_ms: u64) {
    replica.effect_seen_at = replica.effect_seen_at.max(Some(reading));
    replica.bytes = replica.bytes.max(resident.bytes);
    replica.engine_is_unloading = resident.residency == Residency::Unloading;
    let progress = match resident.residency {
        Residency::Loading if replica.progress != Progress::Loaded => Progress::Loading,
        _ => Progress::Loaded,
    };
    if progress != replica.progress {
        replica.progress = progress;
        replica.since_ms = appended_ms;
    }
}

/// Records whether the present incarnation of an engine refuses an order that has had no effect on
/// it. An incarnation that refuses an order once always does; a new incarnation has forgotten the
/// fencing tokens that the earlier one had seen.
fn record_refusal(replica: &mut Replica, observation: &Observation) {
    let refuses =
        observation.checks_fence && observation.highest_fence > FencingToken::from(replica.load);
    let refused_before = replica.refused_by == Some(observation.boot);
    replica.refused_by = (refuses || refused_before).then_some(observation.boot);
}
