//! Deployments for tests.

#![allow(dead_code)]

use std::path::Path;

use apricotdale_policy_replay::deployment::Deployment;

/// Returns the deployment described by the INI file of this name.
pub fn deployment(name: &str) -> Deployment {
    let path = format!("{}/deployments/{name}.ini", env!("CARGO_MANIFEST_DIR"));
    Deployment::read(Path::new(&path)).unwrap()
}

/// Returns Hjulvaerk's deployment with fewer engines and models.
pub fn small() -> Deployment {
    let mut small = deployment("hjulvaerk");
    small.engines.count = 3;
    small.models.count = 8;
    small.models.adapters = 4;
    small.models.adapter_bases = 2;
    small
}

/// Returns a small deployment with few slots and late first tokens, so that a fault finds requests
/// in every state.
pub fn busy() -> Deployment {
    let mut busy = small();
    busy.engines.slots = 2;
    busy.activity.hot_share = 0.2;
    busy.activity.hot_gap_median_ms = 20_000.0;
    for class in busy.classes.iter_mut().skip(1) {
        class.first_token_ms = 10_000;
        class.run_ms = 20_000;
    }
    busy
}
