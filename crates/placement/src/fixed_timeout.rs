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
use crate::sketch::EngineSketch;
use crate::sketch::Phase;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::watch::Watch;

/// What a load is expected to take before any was seen.
const UNKNOWN_LOAD_MS: u64 = 30_000;

/// How long a model that was waited for is still wanted after its waiting requests are gone. Without
/// that, a model whose load takes longer than its callers wait would never be loaded.
const WANTED_MS: u64 = 60_000;

/// `FixedTimeout` is the baseline policy. It loads on the engine with the most free memory, evicts
/// the least recently used idle replica where none has room, adds a replica when requests wait
/// while all replicas are full, and unloads a replica after a fixed idle time.
#[derive(Debug)]
pub struct FixedTimeout {
    options: Options,
    pending: Pending,
    watch: Watch,
    last_used_ms: BTreeMap<(ModelName, UpstreamName), u64>,
    wanted: BTreeMap<ModelName, (u64, ModelView)>,
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
            wanted: BTreeMap::new(),
            load_ms: None,
        }
    }

    /// Notes which replicas are in use. A replica counts as idle while its engine is, because the
    /// view does not tell which replica of a model a request runs on.
    fn note_use(&mut self, now_ms: u64, sketch: &Sketch<'_>) {
        for engine in &sketch.engines {
            for replica in engine.replicas.iter().filter(|held| held.in_use) {
                let waits = sketch
                    .models
                    .get(&replica.model)
                    .is_some_and(|model| model.waiting > 0);
                if engine.view.busy == 0 && !waits {
                    continue;
                }
                let name = &engine.view.engine;
                self.last_used_ms
                    .insert((replica.model.clone(), name.clone()), now_ms);
                if let Some(base) = &replica.base {
                    self.last_used_ms
                        .insert((base.clone(), name.clone()), now_ms);
                }
            }
        }
    }

    fn last_used_ms(&self, replica: &ReplicaSketch, engine: &EngineSketch<'_>) -> u64 {
        let place = (replica.model.clone(), engine.view.engine.clone());
        let used_ms = self.last_used_ms.get(&place).copied().unwrap_or(0);
        used_ms.max(replica.since_ms)
    }

    /// Returns what gets the model one more replica: a load where there is room, or unloads that
    /// make room.
    fn load(&self, now_ms: u64, sketch: &Sketch<'_>, model: &ModelView) -> Vec<PlacementAction> {
        let candidates: Vec<&EngineSketch<'_>> = sketch
            .open_engines(model)
            .filter(|engine| engine.replica(&model.model).is_none())
            .filter(|engine| engine.has_base_of(model))
            .collect();
        let roomiest = candidates.iter().max_by_key(|engine| engine.free_bytes);
        let Some(roomiest) = roomiest else {
            return Vec::new();
        };
        if roomiest.free_bytes >= model.bytes {
            return vec![PlacementAction::Load {
                model: model.model.clone(),
                engine: roomiest.view.engine.clone(),
                ready_at_ms: now_ms + self.load_ms.unwrap_or(UNKNOWN_LOAD_MS),
            }];
        }
        // Room that is being made already is waited for.
        if candidates
            .iter()
            .any(|engine| engine.room_bytes() >= model.bytes)
        {
            return Vec::new();
        }
        let oldest = candidates
            .iter()
            .filter_map(|engine| self.victims(model, engine))
            .min_by_key(|(newest_ms, _)| *newest_ms);
        oldest.map_or_else(Vec::new, |(_, actions)| actions)
    }

    /// Returns the least recently used replicas whose eviction makes room for the model, and when
    /// the last used of them was used, or none if the engine can't make room.
    fn victims(
        &self,
        model: &ModelView,
        engine: &EngineSketch<'_>,
    ) -> Option<(u64, Vec<PlacementAction>)> {
        let mut units: Vec<(u64, Vec<&ReplicaSketch>)> = engine
            .evictable()
            .into_iter()
            .filter(|unit| {
                unit.iter()
                    .all(|held| model.base.as_ref() != Some(&held.model))
            })
            .map(|unit| {
                let used_ms = unit.iter().map(|held| self.last_used_ms(held, engine));
                (used_ms.max().unwrap_or(0), unit)
            })
            .collect();
        units.sort_by_key(|(used_ms, unit)| (*used_ms, unit.len()));
        let mut room_bytes = engine.room_bytes();
        let mut newest_ms = 0;
        let mut evicted: Vec<&ModelName> = Vec::new();
        for (used_ms, unit) in units {
            if room_bytes >= model.bytes {
                break;
            }
            newest_ms = used_ms;
            for held in unit {
                if !evicted.contains(&&held.model) {
                    room_bytes += held.bytes;
                    evicted.push(&held.model);
                }
            }
        }
        let actions = evicted.into_iter().map(|victim| PlacementAction::Unload {
            model: victim.clone(),
            engine: engine.view.engine.clone(),
        });
        (room_bytes >= model.bytes).then(|| (newest_ms, actions.collect()))
    }

    /// Notes which models are waited for and need one more replica.
    fn note_wanted(&mut self, now_ms: u64, fleet: &FleetView, sketch: &Sketch<'_>) {
        self.wanted.retain(|model, (until_ms, _)| {
            now_ms < *until_ms && sketch.holders(model, Phase::Loaded).next().is_none()
        });
        for model in fleet.models.iter().filter(|model| model.preferred_here) {
            let mut loaded = sketch.holders(&model.model, Phase::Loaded);
            if model.waiting > 0 && loaded.all(|engine| !engine.has_free_slot()) {
                let wanted = (now_ms + WANTED_MS, model.clone());
                self.wanted.insert(model.model.clone(), wanted);
            }
        }
    }

    fn expired(&self, now_ms: u64, sketch: &Sketch<'_>) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for engine in &sketch.engines {
            let expired = engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loaded && held.mine)
                .filter(|held| !engine.has_adapter(&held.model))
                .filter(|held| {
                    let idle_ms = now_ms.saturating_sub(self.last_used_ms(held, engine));
                    idle_ms >= self.options.idle_timeout_ms
                });
            actions.extend(expired.map(|held| PlacementAction::Unload {
                model: held.model.clone(),
                engine: engine.view.engine.clone(),
            }));
        }
        actions
    }

    /// Returns the model to load for a wanted model: itself, or its base where no engine with the
    /// base can take it.
    fn to_load<'a>(sketch: &'a Sketch<'_>, model: &'a ModelView) -> Option<&'a ModelView> {
        let is_coming = |model: &ModelName| sketch.holders(model, Phase::Coming).next().is_some();
        let Some(base) = &model.base else {
            return (!is_coming(&model.model)).then_some(model);
        };
        let can_take = |engine: &EngineSketch<'_>| engine.replica(&model.model).is_none();
        if sketch.holders(base, Phase::Loaded).any(can_take) {
            return (!is_coming(&model.model)).then_some(model);
        }
        let shown = sketch.models.get(base).copied();
        shown.filter(|base| !is_coming(&base.model))
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
        let mut sketch = Sketch::new(fleet, &self.pending, &self.watch);
        self.note_use(now_ms, &sketch);
        self.note_wanted(now_ms, fleet, &sketch);
        let mut planned = Vec::new();
        for (_, model) in self.wanted.values() {
            let Some(model) = Self::to_load(&sketch, model) else {
                continue;
            };
            let actions = self.load(now_ms, &sketch, model);
            sketch.apply(&actions);
            planned.extend(actions);
        }
        planned.extend(self.expired(now_ms, &sketch));
        self.pending.note(now_ms, &planned);
        planned
    }
}
