//! Checkpoints in the disk caches of the engines' hosts at the start of a run.

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

/// Constant mixed into the seed, so that these draws are independent of the schedule's.
const SEED_SALT: u64 = 0xcac4e;

/// Factor on the weight store's transfer times while the caches are filled.
const FILL_TIME_FACTOR: f64 = 1e-6;

/// Limit and pause for repeating a load that the weight store's rate limit refuses.
const MAX_ATTEMPTS: u32 = 100;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);

/// Puts the checkpoint of each model that is not in the weight store only onto the disk of one
/// host, as the policy replay does, and returns how many there were. Restarts all engines after
/// that.
///
/// # Errors
///
/// If a stand-in can't be reached, or an engine keeps refusing the orders.
pub fn fill(cluster: &Cluster, trace: &Trace, seed: u64) -> Result<usize> {
    let mut source = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let engines = cluster.engines();
    let weights = cluster.standin(WEIGHTS)?;
    weights.fault(&json!({"mode": "slow", "factor": FILL_TIME_FACTOR}))?;
    let mut filled = 0;
    for model in trace.models.iter().filter(|model| !model.remote_only) {
        let (_, engine) = engines[source.random_range(0..engines.len())];
        put_on_host(engine, model)?;
        filled += 1;
    }
    weights.fault(&json!({"mode": "up"}))?;
    for (_, engine) in engines {
        // A restarted engine loses the checkpoints in memory and keeps those on disk.
        engine.fault(&json!({"restart": true}))?;
    }
    Ok(filled)
}

fn put_on_host(engine: &StandinClient, model: &TraceModel) -> Result<()> {
    for _ in 0..MAX_ATTEMPTS {
        let fence = engine.engine_status()?.highest_fence;
        let load = LoadOrder {
            model: model.model.clone(),
            // Loading without the base caches the same checkpoint, and the base need not be loaded.
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
        thread::sleep(ATTEMPT_PAUSE);
    }
    let detail = format!("{} could not be cached on a host", model.model);
    Err(Error::failed(detail))
}
