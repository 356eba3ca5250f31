//! Choice of the engine for a load.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::ModelView;

use crate::load_times::LoadTimes;
use crate::projection::Phase;
use crate::projection::ProjectedEngine;
use crate::projection::ProjectedFleet;
use crate::projection::ProjectedReplica;
use crate::store_queue::StoreQueue;

/// Time until the memory of evicted replicas is free.
const EVICTION_DELAY_MS: f64 = 400.0;

/// Cost of a fully loaded engine compared to an idle one.
const FULL_ENGINE_COST_MS: f64 = 2_000.0;

/// Cost of a concurrent load on the same engine.
const CONCURRENT_LOAD_COST_MS: f64 = 200.0;

/// Cost of placing a replica in an availability zone that already has one. Two replicas in one zone
/// can be lost together.
const SAME_ZONE_COST_MS: f64 = 500.0;

/// Cost of adding a checkpoint to a host's caches, for each checkpoint that is cached there
/// already. It may evict another checkpoint, whose next load is then slower.
const CACHED_CHECKPOINT_COST_MS: f64 = 5.0;

/// Option for loading a model: an engine, with the required evictions and the cost.
#[derive(Clone, Debug)]
pub(crate) struct LoadOption {
    /// Engine that loads the model.
    pub(crate) engine: UpstreamName,
    /// Source of the checkpoint.
    pub(crate) tier: CacheTier,
    /// Models to evict before the load, adapters before their base.
    pub(crate) evict: Vec<ModelName>,
    /// Whether the load must wait for memory that is already being freed.
    pub(crate) waits_for_memory: bool,
    /// Time that the load is queued at the store before it starts.
    pub(crate) store_wait_ms: f64,
    /// Duration of the load once it has started.
    pub(crate) load_ms: f64,
    /// Time until the model is ready.
    pub(crate) ready_ms: f64,
    /// Total cost in accelerator milliseconds.
    pub(crate) cost_ms: f64,
}

/// Inputs for the choice of an engine.
pub(crate) struct LoadOptions<'a> {
    /// Engines and replicas, with pending proposals applied.
    pub(crate) projection: &'a ProjectedFleet<'a>,
    /// Loads in progress and queued at the weight store.
    pub(crate) store: &'a StoreQueue,
    /// Predicted durations of loads.
    pub(crate) load_times: &'a LoadTimes,
    /// Returns the cost of evicting a replica, in accelerator milliseconds.
    pub(crate) eviction_cost_ms: &'a dyn Fn(&ProjectedReplica, &ProjectedEngine<'_>) -> f64,
}

impl LoadOptions<'_> {
    /// Returns the option with the lowest cost, or none if no engine can load the model now.
    /// `wait_cost_ms` returns the cost of the model being ready after a given time; `usable`
    /// returns whether an engine is considered.
    pub(crate) fn best(
        &self,
        model: &ModelView,
        wait_cost_ms: impl Fn(f64) -> f64,
        usable: impl Fn(&ProjectedEngine<'_>) -> bool,
    ) -> Option<LoadOption> {
        self.projection
            .accepting_engines(model)
            .filter(|engine| engine.replica(&model.model).is_none())
            .filter(|engine| engine.has_base_of(model))
            .filter(|engine| usable(engine))
            .filter_map(|engine| self.load_option(model, engine))
            .map(|load_option| LoadOption {
                cost_ms: load_option.cost_ms + wait_cost_ms(load_option.ready_ms),
                ..load_option
            })
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    fn load_option(&self, model: &ModelView, engine: &ProjectedEngine<'_>) -> Option<LoadOption> {
        let tier = engine.tier(&model.model);
        let uncontended_ms = self
            .load_times
            .uncontended_ms(&model.model, tier, model.bytes);
        let (store_wait_ms, load_ms) = match tier {
            CacheTier::Remote => (
                self.store.wait_ms(uncontended_ms),
                uncontended_ms * self.store.contention(),
            ),
            CacheTier::Memory | CacheTier::Disk => (0.0, uncontended_ms),
        };
        let (evict, eviction_cost_ms) = self.evictions(model, engine)?;
        let waits_for_memory = evict.is_empty() && engine.free_bytes < model.bytes;
        let memory_wait_ms = if waits_for_memory || !evict.is_empty() {
            EVICTION_DELAY_MS
        } else {
            0.0
        };
        let ready_ms = store_wait_ms.max(memory_wait_ms) + load_ms;
        let mut cost_ms = eviction_cost_ms;
        let view = engine.view;
        cost_ms += FULL_ENGINE_COST_MS * f64::from(view.busy) / f64::from(view.slots.max(1));
        cost_ms += CONCURRENT_LOAD_COST_MS * f64::from(view.loading);
        if self.shares_zone(model, engine) {
            cost_ms += SAME_ZONE_COST_MS;
        }
        if tier != CacheTier::Memory {
            cost_ms += CACHED_CHECKPOINT_COST_MS * view.checkpoints.len() as f64;
        }
        Some(LoadOption {
            engine: view.engine.clone(),
            tier,
            evict,
            waits_for_memory,
            store_wait_ms,
            load_ms,
            ready_ms,
            cost_ms,
        })
    }

    fn shares_zone(&self, model: &ModelView, engine: &ProjectedEngine<'_>) -> bool {
        self.projection
            .holders(&model.model, Phase::Loaded)
            .any(|holder| holder.view.zone == engine.view.zone)
    }

    /// Returns the models to evict for the model and the cost of the evictions, or none if not
    /// enough memory can be freed.
    fn evictions(
        &self,
        model: &ModelView,
        engine: &ProjectedEngine<'_>,
    ) -> Option<(Vec<ModelName>, f64)> {
        let mut available_bytes = engine.available_bytes();
        if available_bytes >= model.bytes {
            return Some((Vec::new(), 0.0));
        }
        let mut eviction_units: Vec<(f64, Vec<&ProjectedReplica>)> = engine
            .evictable()
            .into_iter()
            .filter(|eviction_unit| {
                eviction_unit
                    .iter()
                    .all(|held| model.base.as_ref() != Some(&held.model))
            })
            .map(|eviction_unit| {
                let eviction_cost_ms = eviction_unit
                    .iter()
                    .map(|held| (self.eviction_cost_ms)(held, engine))
                    .sum();
                (eviction_cost_ms, eviction_unit)
            })
            .collect();
        // Evicts the replicas with the lowest cost per byte first.
        eviction_units.sort_by(|left, right| per_byte(left).total_cmp(&per_byte(right)));
        let mut chosen: Vec<(f64, Vec<&ProjectedReplica>)> = Vec::new();
        for (eviction_cost_ms, mut eviction_unit) in eviction_units {
            if available_bytes >= model.bytes {
                break;
            }
            eviction_unit.retain(|held| !chosen.iter().any(|(_, taken)| contains(taken, held)));
            if eviction_unit.is_empty() {
                continue;
            }
            available_bytes += bytes_of(&eviction_unit);
            chosen.push((eviction_cost_ms, eviction_unit));
        }
        if available_bytes < model.bytes {
            return None;
        }
        drop_unneeded(&mut chosen, available_bytes - model.bytes);
        let eviction_cost_ms = chosen
            .iter()
            .map(|(eviction_cost_ms, _)| eviction_cost_ms)
            .sum();
        let evict = chosen.iter().flat_map(|(_, eviction_unit)| eviction_unit);
        Some((
            evict.map(|held| held.model.clone()).collect(),
            eviction_cost_ms,
        ))
    }
}

/// Removes the evictions that later ones have made unnecessary.
fn drop_unneeded(chosen: &mut Vec<(f64, Vec<&ProjectedReplica>)>, mut extra_bytes: u64) {
    let mut index = 0;
    while index < chosen.len() {
        let eviction_unit = &chosen[index].1;
        let bytes = bytes_of(eviction_unit);
        // An adapter can't remain if its base is evicted.
        let loses_base = chosen.iter().flat_map(|(_, other)| other).any(|other| {
            eviction_unit
                .iter()
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

fn contains(eviction_unit: &[&ProjectedReplica], replica: &ProjectedReplica) -> bool {
    eviction_unit.iter().any(|held| held.model == replica.model)
}

fn bytes_of(eviction_unit: &[&ProjectedReplica]) -> u64 {
    eviction_unit.iter().map(|held| held.bytes).sum()
}

fn per_byte((eviction_cost_ms, eviction_unit): &(f64, Vec<&ProjectedReplica>)) -> f64 {
    eviction_cost_ms / bytes_of(eviction_unit).max(1) as f64
}
