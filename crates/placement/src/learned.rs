//! The policy in use.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use crate::fixed_timeout::FixedTimeout;
use crate::options::Options;

/// `LearnedPlacement` is the policy in use. For now it decides as the baseline does.
#[derive(Debug)]
pub struct LearnedPlacement {
    plain: FixedTimeout,
}

impl LearnedPlacement {
    /// Returns a policy that has seen nothing.
    pub fn new(options: Options) -> Self {
        Self {
            plain: FixedTimeout::new(options),
        }
    }
}

impl PlacementPolicy for LearnedPlacement {
    fn arrived(&mut self, now_ms: u64, model: &ModelName) {
        self.plain.arrived(now_ms, model);
    }

    fn loaded(&mut self, now_ms: u64, model: &ModelName, tier: CacheTier, took_ms: u64) {
        self.plain.loaded(now_ms, model, tier, took_ms);
    }

    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction> {
        self.plain.plan(now_ms, fleet)
    }
}
