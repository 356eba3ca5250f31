//! The baseline: most free memory, least recently used, one idle timeout for every model.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use crate::options::Options;
use crate::pending::Pending;
use crate::sketch::Phase;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::watch::Watch;

/// What a load is expected to take before any was seen.
const UNKNOWN_LOAD_MS: u64 = 30_000;

/// `FixedTimeout` is the baseline policy. It loads on the engine with the most free memory, evicts
/// the least recently used idle replica where none has room, adds a replica when more requests
/// wait than one batch holds, and unloads a replica after a fixed idle time.
#[derive(Debug)]
pub struct FixedTimeout {
    options: Options,
    pending: Pending,
    watch: Watch,
    last_used_ms: BTreeMap<(ModelName, UpstreamName), u64>,
    load_ms: Option<u64>,
}

impl FixedTimeout {
    /// Returns a policy that has seen nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            pending: Pending::default(),
            watch: Watch::default(),
            last_used_ms: BTreeMap::new(),
            load_ms: None,
        }
    }

    /// Notes which replicas are in use. A replica counts as idle while its engine is, because the
    /// view does not tell which replica of a model a request runs on.
    fn note_use(&mut self, now_ms: u64, fleet: &FleetView, sketch: &Sketch<'_>) {
        for replica in &fleet.replicas {
            let is_busy = sketch
                .engines
                .get(&replica.engine)
                .is_some_and(|engine| engine.view.busy > 0);
            let is_used = sketch
                .models
                .get(&replica.model)
                .is_some_and(|model| model.waiting > 0 || (model.running > 0 && is_busy));
            if !is_used {
                continue;
            }
            let place = (replica.model.clone(), replica.engine.clone());
            self.last_used_ms.insert(place, now_ms);
            if let Some(base) = sketch.base_of(&replica.model) {
                let place = (base.clone(), replica.engine.clone());
                self.last_used_ms.insert(place, now_ms);
            }
        }
    }

    fn last_used_ms(&self, replica: &ReplicaSketch<'_>, engine: &UpstreamName) -> u64 {
        let place = (replica.model.clone(), engine.clone());
        let used_ms = self.last_used_ms.get(&place).copied().unwrap_or(0);
        used_ms.max(replica.since_ms)
    }

    /// Returns what gets the model one more replica: a load where there is room, or unloads that
    /// make room.
    fn load(&self, now_ms: u64, sketch: &Sketch<'_>, model: &ModelView) -> Vec<PlacementAction> {
        let candidates: Vec<&UpstreamName> = sketch
            .open_engines(model)
            .filter(|engine| engine.replica(&model.model).is_none())
            .filter(|engine| match &model.base {
                Some(base) => engine
                    .replica(base)
                    .is_some_and(|held| held.phase == Phase::Loaded),
                None => true,
            })
            .map(|engine| &engine.view.engine)
            .collect();
        let roomiest = candidates
            .iter()
            .copied()
            .max_by_key(|engine| sketch.engines[engine].free_bytes);
        let Some(roomiest) = roomiest else {
            return Vec::new();
        };
        if sketch.engines[roomiest].free_bytes >= model.bytes {
            return vec![PlacementAction::Load {
                model: model.model.clone(),
                engine: roomiest.clone(),
                ready_at_ms: now_ms + self.load_ms.unwrap_or(UNKNOWN_LOAD_MS),
            }];
        }
        self.make_room(sketch, model, &candidates)
    }

    /// Returns the unloads of the least recently used idle replicas on the engine whose newest
    /// victim is the oldest, or nothing if room is being made already or can't be made.
    fn make_room(
        &self,
        sketch: &Sketch<'_>,
        model: &ModelView,
        candidates: &[&UpstreamName],
    ) -> Vec<PlacementAction> {
        let is_coming = candidates.iter().any(|engine| {
            let engine = &sketch.engines[engine];
            engine.free_bytes + engine.leaving_bytes() >= model.bytes
        });
        if is_coming {
            return Vec::new();
        }
        let best = candidates
            .iter()
            .filter_map(|engine| self.victims(sketch, model, engine))
            .min_by_key(|(newest_ms, _)| *newest_ms);
        best.map_or_else(Vec::new, |(_, actions)| actions)
    }

    fn victims(
        &self,
        sketch: &Sketch<'_>,
        model: &ModelView,
        engine: &UpstreamName,
    ) -> Option<(u64, Vec<PlacementAction>)> {
        let view = &sketch.engines[engine];
        let mut units: Vec<(u64, Vec<ReplicaSketch<'_>>)> = sketch
            .evictable(view)
            .into_iter()
            .filter(|unit| unit.iter().all(|held| !sketch.in_use(held.model)))
            .filter(|unit| {
                unit.iter()
                    .all(|held| model.base.as_ref() != Some(held.model))
            })
            .map(|unit| {
                let used_ms = unit.iter().map(|held| self.last_used_ms(held, engine));
                (used_ms.max().unwrap_or(0), unit)
            })
            .collect();
        units.sort_by_key(|(used_ms, unit)| (*used_ms, unit.len()));
        let mut room_bytes = view.free_bytes + view.leaving_bytes();
        let mut newest_ms = 0;
        let mut evicted: Vec<&ModelName> = Vec::new();
        for (used_ms, unit) in &units {
            if room_bytes >= model.bytes {
                break;
            }
            newest_ms = *used_ms;
            for held in unit
                .iter()
                .filter(|held| !evicted.contains(&held.model))
                .collect::<Vec<_>>()
            {
                room_bytes += held.bytes;
                evicted.push(held.model);
            }
        }
        let actions = evicted.into_iter().map(|victim| PlacementAction::Unload {
            model: victim.clone(),
            engine: engine.clone(),
        });
        (room_bytes >= model.bytes).then(|| (newest_ms, actions.collect()))
    }

    fn wants_replica(&self, sketch: &Sketch<'_>, model: &ModelView) -> bool {
        if model.waiting == 0 || !sketch.holders(&model.model, Phase::Coming).is_empty() {
            return false;
        }
        let loaded = sketch.holders(&model.model, Phase::Loaded);
        if loaded.is_empty() {
            return true;
        }
        let batch = loaded
            .iter()
            .map(|engine| sketch.engines[engine].view.slots)
            .max();
        model.waiting > batch.unwrap_or(0)
            && loaded
                .iter()
                .all(|engine| !sketch.engines[engine].has_free_slot())
    }

    fn expired(&self, now_ms: u64, sketch: &Sketch<'_>) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for (name, engine) in &sketch.engines {
            let loaded = engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded);
            let expired = loaded
                .filter(|held| sketch.is_mine(held.model))
                .filter(|held| !sketch.has_adapter(held.model, name))
                .filter(|held| {
                    let idle_ms = now_ms.saturating_sub(self.last_used_ms(held, name));
                    idle_ms >= self.options.idle_timeout_ms
                });
            actions.extend(expired.map(|held| PlacementAction::Unload {
                model: held.model.clone(),
                engine: (*name).clone(),
            }));
        }
        actions
    }

    /// Returns the model to load for a waiting model: itself, or its base where no engine has it.
    fn wanted<'a>(sketch: &Sketch<'a>, model: &'a ModelView) -> Option<&'a ModelView> {
        let Some(base) = &model.base else {
            return Some(model);
        };
        if !sketch.holders(base, Phase::Loaded).is_empty() {
            return Some(model);
        }
        if !sketch.holders(base, Phase::Coming).is_empty() {
            return None;
        }
        sketch.models.get(base).copied()
    }
}

impl PlacementPolicy for FixedTimeout {
    fn arrived(&mut self, _now_ms: u64, _model: &ModelName) {}

    fn loaded(&mut self, _now_ms: u64, _model: &ModelName, _tier: CacheTier, took_ms: u64) {
        self.load_ms = Some(took_ms);
    }

    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction> {
        self.watch.refresh(fleet);
        self.pending
            .refresh(now_ms, self.options.proposal_timeout_ms, fleet);
        let pending = std::mem::take(&mut self.pending);
        let mut sketch = Sketch::new(fleet, &pending, self.watch.unloading());
        self.note_use(now_ms, fleet, &sketch);
        let mut planned = Vec::new();
        for model in fleet.models.iter().filter(|model| model.preferred_here) {
            if !self.wants_replica(&sketch, model) {
                continue;
            }
            let Some(wanted) = Self::wanted(&sketch, model) else {
                continue;
            };
            let actions = self.load(now_ms, &sketch, wanted);
            for action in &actions {
                match action {
                    PlacementAction::Load { engine, .. } => {
                        sketch.come(&wanted.model, engine, wanted.bytes);
                    }
                    PlacementAction::Unload { model, engine } => sketch.leave(model, engine),
                    PlacementAction::Hopeless { .. } => {}
                }
            }
            planned.extend(actions);
        }
        planned.extend(self.expired(now_ms, &sketch));
        drop(sketch);
        self.pending = pending;
        self.pending.note(now_ms, &planned);
        planned
    }
}
