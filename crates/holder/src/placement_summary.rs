//! State of placement, for logs and metrics.

use crate::engine_ledger::EngineLedger;
use crate::placement::FleetSnapshot;

/// State of placement of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementSummary {
    /// Engines that accept requests.
    pub serving: u32,
    /// Engines that can be sent an order for a model now.
    pub idle: u32,
    /// Replicas on serving engines.
    pub replicas: u32,
    /// Replicas beyond the wanted numbers.
    pub surplus: u32,
    /// Models that at least one serving engine holds.
    pub resident: u32,
    /// Models that were requested recently.
    pub requested: u32,
    /// Requested models that no engine holds or is about to hold.
    pub missing: u32,
    /// Replicas that are wanted and do not exist.
    pub wanted_more: u32,
    /// Requested models whose weights are cached on one engine at most.
    pub single_copies: u32,
    /// Free memory of the serving engines, in megabytes.
    pub free_mb: f64,
    /// Loads from the weight store that are in progress or planned.
    pub store_loads: u32,
}

/// Requests per second from which a model counts as requested.
const REQUESTED_PER_S: f64 = 0.05;

impl FleetSnapshot<'_> {
    /// Returns the state of placement.
    pub fn summary(&self) -> PlacementSummary {
        let engines = || self.engines().iter().filter(|it| it.serving);
        let mut summary = PlacementSummary {
            serving: engines().count() as u32,
            idle: engines().filter(|it| it.is_idle()).count() as u32,
            free_mb: engines().map(|it| it.free_mb(self.spec())).sum(),
            store_loads: self.store_loads() as u32,
            ..PlacementSummary::default()
        };
        for model in self.spec().models.keys() {
            let holds = |it: &&EngineLedger| it.residence.model(model).is_some();
            let resident = engines().filter(holds).count() as u32;
            let replicas = self.replicas(model);
            let is_requested = self.demand(model).requests_per_s >= REQUESTED_PER_S;
            let wanted = match is_requested {
                true => self.wanted_replicas(model),
                false => 0,
            };
            summary.replicas += resident;
            summary.resident += u32::from(resident > 0);
            summary.surplus += replicas.saturating_sub(wanted);
            summary.wanted_more += wanted.saturating_sub(replicas);
            if is_requested {
                summary.requested += 1;
                summary.missing += u32::from(replicas == 0);
                summary.single_copies += u32::from(self.copies(model) <= 1);
            }
        }
        summary
    }
}
