//! Rules of the records that say what an engine showed.

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
use crate::control_state::Moment;
use crate::engines::Engine;
use crate::engines::Reading;
use crate::engines::UnmanagedResident;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::verdict::Accepted;
use crate::verdict::RejectReason;

/// The most engines that are remembered after they are gone.
const MAX_GONE_ENGINES: usize = 1024;

impl ControlState {
    /// Takes in an engine's whole status.
    pub(crate) fn observe(&mut self, moment: Moment, observation: &Observation) -> Decision {
        let name = &observation.engine;
        let reading = Reading {
            boot: observation.boot,
            sequence: observation.sequence,
        };
        if self
            .engines
            .get(name)
            .is_some_and(|engine| is_old(engine, reading, observation))
        {
            return Err(RejectReason::OldReading);
        }
        for load in self.replicas.loads_of_engine(name) {
            self.compare(moment, observation, reading, load);
        }
        let unmanaged = self.undecided_of(observation);
        let old = self.engines.get(name);
        let floor = old.map_or(reading, |old| old.floor.max(reading));
        let same_run = old.filter(|old| old.boot() == reading.boot && !old.is_gone());
        let run_since_ms = same_run.map_or(moment.appended_ms, |old| old.run_since_ms);
        let engine = Engine {
            group: observation.group.clone(),
            zone: observation.zone.clone(),
            run_since_ms,
            reading,
            floor,
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
        self.drop_stray_unloads(name);
        self.sweep(name);
        Ok(Accepted::Observed)
    }

    /// Compares one replica with what its engine shows.
    fn compare(
        &mut self,
        moment: Moment,
        observation: &Observation,
        reading: Reading,
        load: Offset,
    ) {
        let Some(replica) = self.replicas.get_mut(load) else {
            return;
        };
        let mut residents = observation.residents.iter();
        let resident = residents.find(|resident| is_effect(resident, replica));
        match (resident, replica.shown) {
            (Some(resident), _) => note_effect(replica, resident, reading, moment.appended_ms),
            (None, Some(shown)) if shown < reading => self.forget(load),
            (None, Some(_)) => {}
            (None, None) => note_refusal(replica, observation),
        }
    }

    /// Returns what an engine shows that no accepted load put there.
    fn undecided_of(&self, observation: &Observation) -> BTreeMap<ModelName, UnmanagedResident> {
        let old = self.engines.get(&observation.engine);
        let old = old.filter(|old| old.boot() == observation.boot);
        let mut unmanaged = BTreeMap::new();
        for resident in &observation.residents {
            let load = self.replicas.get(Offset(resident.fence.0));
            if load.is_some_and(|replica| {
                replica.engine == observation.engine && is_effect(resident, replica)
            }) {
                continue;
            }
            let known = old.and_then(|old| old.unmanaged.get(&resident.model));
            let known = known.filter(|known| known.fence == resident.fence);
            let stray = UnmanagedResident {
                bytes: resident.bytes,
                fence: resident.fence,
                residency: resident.residency,
                unload: known.and_then(|known| known.unload),
            };
            unmanaged.insert(resident.model.clone(), stray);
        }
        unmanaged
    }

    /// Forgets the unloads of undecided models that are gone.
    fn drop_stray_unloads(&mut self, name: &UpstreamName) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let replicas = &self.replicas;
        self.unloads.retain(|offset, task| {
            let stray = engine.unmanaged.get(&task.model);
            task.engine != *name
                || replicas.get(task.load).is_some()
                || stray.is_some_and(|stray| stray.unload == Some(*offset))
        });
    }

    /// Takes in that an engine is gone for good. If the list was wrong, a later reading brings the
    /// engine back, with all that it shows as undecided.
    pub(crate) fn remove_upstream(&mut self, moment: Moment, gone: &UpstreamGone) -> Decision {
        let engine = self
            .engines
            .get_mut(&gone.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        if engine.is_gone() {
            return Err(RejectReason::EngineGone);
        }
        // The list lags: the reader may have seen the end of an engine whose successor under the
        // same name runs already.
        if engine.floor.boot > gone.boot {
            return Err(RejectReason::EngineRestarted);
        }
        engine.gone_at = Some(moment.offset);
        engine.unmanaged.clear();
        engine.resident_fences.clear();
        self.drop_stray_unloads(&gone.engine);
        self.sweep(&gone.engine);
        self.forget_oldest_gone();
        Ok(Accepted::UpstreamRemoved)
    }

    /// Bounds the memory of engines that are gone. They are kept so that a reading which comes late
    /// does not bring them back, and so that orders at large are remembered if they do come back.
    fn forget_oldest_gone(&mut self) {
        let gone = self
            .engines
            .iter()
            .filter_map(|(name, engine)| Some((engine.gone_at?, name)));
        let gone: BTreeMap<Offset, &UpstreamName> = gone.collect();
        if gone.len() <= MAX_GONE_ENGINES {
            return;
        }
        let Some(oldest) = gone.into_values().next().cloned() else {
            return;
        };
        for load in self.replicas.loads_of_engine(&oldest) {
            self.forget(load);
        }
        self.engines.remove(&oldest);
    }
}

/// Returns whether an observation says nothing new: a VM that was paused can append its reading
/// long after a later one.
fn is_old(engine: &Engine, reading: Reading, observation: &Observation) -> bool {
    let is_later = reading > engine.reading
        || (reading == engine.reading && observation.highest_fence > engine.highest_fence);
    reading < engine.floor || !is_later
}

fn is_effect(resident: &Resident, replica: &Replica) -> bool {
    resident.fence == FencingToken::from(replica.load) && resident.model == replica.model
}

fn note_effect(replica: &mut Replica, resident: &Resident, reading: Reading, appended_ms: u64) {
    replica.shown = replica.shown.max(Some(reading));
    replica.bytes = replica.bytes.max(resident.bytes);
    replica.engine_unloads = resident.residency == Residency::Unloading;
    let progress = match resident.residency {
        Residency::Loading if replica.progress != Progress::Loaded => Progress::Loading,
        _ => Progress::Loaded,
    };
    if progress != replica.progress {
        replica.progress = progress;
        replica.since_ms = appended_ms;
    }
}

/// Notes whether an engine's present run refuses an order which has had no effect on it. A run that
/// has refused once refuses for good; a new run has forgotten the numbers that the old one saw.
fn note_refusal(replica: &mut Replica, observation: &Observation) {
    let refuses =
        observation.checks_fence && observation.highest_fence > FencingToken::from(replica.load);
    let refused_before = replica.refused_by == Some(observation.boot);
    replica.refused_by = (refuses || refused_before).then_some(observation.boot);
}
