//! Checkpoints on the engines' hosts at the beginning of a run.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::WEIGHTS;
use apricotdale_launcher::standin::StandinClient;
use apricotdale_policy_replay::trace::Trace;
use apricotdale_policy_replay::trace::TraceModel;

use crate::errors::Error;
use crate::errors::Result;

/// What the seed is mixed with, so that the hosts are not drawn like the schedule.
const SEED_MIX: u64 = 0xcac4e;

/// By how much the weight store is made faster while the caches are filled.
const FILLING_FACTOR: f64 = 1e-6;

/// How often a load is tried that the store's rate limit refuses, and the pause between two tries.
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);

/// Puts the checkpoint of each model that is not only in the store onto the disk of one host, as
/// the policy replay does, and returns how many. The engines begin a new run after that.
///
/// # Errors
///
/// If an engine does not take the orders.
pub fn fill(cluster: &Cluster, trace: &Trace, seed: u64) -> Result<usize> {
    let mut source = ChaCha8Rng::seed_from_u64(seed ^ SEED_MIX);
    let engines = cluster.engines();
    let weights = cluster.standin(WEIGHTS)?;
    weights.fault(&json!({"mode": "slow", "factor": FILLING_FACTOR}))?;
    let mut filled = 0;
    for model in trace.models.iter().filter(|model| !model.remote_only) {
        let (_, engine) = engines[source.random_range(0..engines.len())];
        put_on_host(engine, model)?;
        filled += 1;
    }
    weights.fault(&json!({"mode": "up"}))?;
    for (_, engine) in engines {
        // A new run forgets the checkpoints in memory and keeps those on disk.
        engine.fault(&json!({"restart": true}))?;
    }
    Ok(filled)
}

fn put_on_host(engine: &StandinClient, model: &TraceModel) -> Result<()> {
    for _ in 0..TRIES {
        let fence = engine.engine_status()?.highest_fence;
        let load = LoadOrder {
            model: model.model.clone(),
            // The base does not matter to the host, and would have to be loaded first.
            base: None,
            bytes: model.bytes,
            fence,
        };
        let unload = UnloadOrder {
            model: model.model.clone(),
            fence,
        };
        let loaded = engine.post("/orders/load", &load);
        if loaded.is_ok() && engine.post("/orders/unload", &unload).is_ok() {
            return Ok(());
        }
        thread::sleep(PAUSE);
    }
    let detail = format!("{} could not be put onto a host", model.model);
    Err(Error::failed(detail))
}
