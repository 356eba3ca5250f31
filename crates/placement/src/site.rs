//! Which engine takes a load.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::ModelView;

use crate::load_times::LoadTimes;
use crate::sketch::EngineSketch;
use crate::sketch::Phase;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::store_queue::StoreQueue;

/// How long it takes until evicted memory is free.
const EVICTION_MS: f64 = 400.0;

/// What a full engine costs against an empty one, as time.
const FULL_ENGINE_MS: f64 = 2_000.0;

/// What a second load at the same time on one engine costs, as time.
const SECOND_LOAD_MS: f64 = 200.0;

/// What a replica in a zone that has one already costs, as time: two replicas in one zone are lost
/// together.
const SAME_ZONE_MS: f64 = 500.0;

/// What a load by which a checkpoint enters a host's caches costs for each checkpoint cached there,
/// as time: it pushes another checkpoint out, whose next load is slower.
const CACHED_CHECKPOINT_MS: f64 = 5.0;

/// `Site` is one way to load a model.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    /// The engine.
    pub(crate) engine: UpstreamName,
    /// Where the engine's host holds the checkpoint.
    pub(crate) tier: CacheTier,
    /// What has to be evicted first.
    pub(crate) evict: Vec<ModelName>,
    /// Whether memory is being freed already.
    pub(crate) waits_for_room: bool,
    /// How long the load waits for its turn at the store.
    pub(crate) store_wait_ms: f64,
    /// How long the load takes once it starts.
    pub(crate) load_ms: f64,
    /// When the model would be ready, from now.
    pub(crate) ready_ms: f64,
    /// What all of it costs, in accelerator milliseconds.
    pub(crate) cost_ms: f64,
}

/// `Sites` looks for engines.
pub(crate) struct Sites<'a> {
    /// The fleet.
    pub(crate) sketch: &'a Sketch<'a>,
    /// The store.
    pub(crate) store: &'a StoreQueue,
    /// How long loads take.
    pub(crate) times: &'a LoadTimes,
    /// Returns what evicting a replica costs, as time.
    pub(crate) harm_ms: &'a dyn Fn(&ReplicaSketch, &EngineSketch<'_>) -> f64,
}

impl Sites<'_> {
    /// Returns the best way to load a model, or none if no engine can take it now. `wait_cost_ms`
    /// tells what it costs that the model is ready after a time; `usable` tells which engines are
    /// considered.
    pub(crate) fn best(
        &self,
        model: &ModelView,
        wait_cost_ms: impl Fn(f64) -> f64,
        usable: impl Fn(&EngineSketch<'_>) -> bool,
    ) -> Option<Site> {
        self.sketch
            .open_engines(model)
            .filter(|engine| engine.replica(&model.model).is_none())
            .filter(|engine| engine.has_base_of(model))
            .filter(|engine| usable(engine))
            .filter_map(|engine| self.site(model, engine))
            .map(|site| Site {
                cost_ms: site.cost_ms + wait_cost_ms(site.ready_ms),
                ..site
            })
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    fn site(&self, model: &ModelView, engine: &EngineSketch<'_>) -> Option<Site> {
        let tier = engine.tier(&model.model);
        let alone_ms = self.times.alone_ms(&model.model, tier, model.bytes);
        let (store_wait_ms, load_ms) = match tier {
            CacheTier::Remote => (
                self.store.wait_ms(alone_ms),
                alone_ms * self.store.crowding(),
            ),
            CacheTier::Memory | CacheTier::Disk => (0.0, alone_ms),
        };
        let (evict, harm_ms) = self.room(model, engine)?;
        let waits_for_room = evict.is_empty() && engine.free_bytes < model.bytes;
        let room_ms = if waits_for_room || !evict.is_empty() {
            EVICTION_MS
        } else {
            0.0
        };
        let ready_ms = store_wait_ms.max(room_ms) + load_ms;
        let mut cost_ms = harm_ms;
        let view = engine.view;
        cost_ms += FULL_ENGINE_MS * f64::from(view.busy) / f64::from(view.slots.max(1));
        cost_ms += SECOND_LOAD_MS * f64::from(view.loading);
        if self.has_zone(model, engine) {
            cost_ms += SAME_ZONE_MS;
        }
        if tier != CacheTier::Memory {
            cost_ms += CACHED_CHECKPOINT_MS * view.checkpoints.len() as f64;
        }
        Some(Site {
            engine: view.engine.clone(),
            tier,
            evict,
            waits_for_room,
            store_wait_ms,
            load_ms,
            ready_ms,
            cost_ms,
        })
    }

    fn has_zone(&self, model: &ModelView, engine: &EngineSketch<'_>) -> bool {
        self.sketch
            .holders(&model.model, Phase::Loaded)
            .any(|holder| holder.view.zone == engine.view.zone)
    }

    /// Returns what has to be evicted for the model and what that costs, or none if there is not
    /// enough that may be evicted.
    fn room(&self, model: &ModelView, engine: &EngineSketch<'_>) -> Option<(Vec<ModelName>, f64)> {
        let mut room_bytes = engine.room_bytes();
        if room_bytes >= model.bytes {
            return Some((Vec::new(), 0.0));
        }
        let mut units: Vec<(f64, Vec<&ReplicaSketch>)> = engine
            .evictable()
            .into_iter()
            .filter(|unit| {
                unit.iter()
                    .all(|held| model.base.as_ref() != Some(&held.model))
            })
            .map(|unit| {
                let harm_ms = unit.iter().map(|held| (self.harm_ms)(held, engine)).sum();
                (harm_ms, unit)
            })
            .collect();
        // The least harm for the memory that it frees goes first.
        units.sort_by(|left, right| per_byte(left).total_cmp(&per_byte(right)));
        let mut chosen: Vec<(f64, Vec<&ReplicaSketch>)> = Vec::new();
        for (harm_ms, mut unit) in units {
            if room_bytes >= model.bytes {
                break;
            }
            unit.retain(|held| !chosen.iter().any(|(_, taken)| contains(taken, held)));
            if unit.is_empty() {
                continue;
            }
            room_bytes += bytes_of(&unit);
            chosen.push((harm_ms, unit));
        }
        if room_bytes < model.bytes {
            return None;
        }
        spare(&mut chosen, room_bytes - model.bytes);
        let harm_ms = chosen.iter().map(|(harm_ms, _)| harm_ms).sum();
        let evict = chosen.iter().flat_map(|(_, unit)| unit);
        Some((evict.map(|held| held.model.clone()).collect(), harm_ms))
    }
}

/// Takes out what need not be evicted because what was added after it made room enough.
fn spare(chosen: &mut Vec<(f64, Vec<&ReplicaSketch>)>, mut extra_bytes: u64) {
    let mut index = 0;
    while index < chosen.len() {
        let unit = &chosen[index].1;
        let bytes = bytes_of(unit);
        // An adapter can't stay where its base goes.
        let loses_base = chosen.iter().flat_map(|(_, other)| other).any(|other| {
            unit.iter()
                .any(|held| held.base.as_ref() == Some(&other.model))
        });
        if bytes > extra_bytes || loses_base {
            index += 1;
            continue;
        }
        extra_bytes -= bytes;
        chosen.remove(index);
    }
}

fn contains(unit: &[&ReplicaSketch], replica: &ReplicaSketch) -> bool {
    unit.iter().any(|held| held.model == replica.model)
}

fn bytes_of(unit: &[&ReplicaSketch]) -> u64 {
    unit.iter().map(|held| held.bytes).sum()
}

fn per_byte((harm_ms, unit): &(f64, Vec<&ReplicaSketch>)) -> f64 {
    harm_ms / bytes_of(unit).max(1) as f64
}
