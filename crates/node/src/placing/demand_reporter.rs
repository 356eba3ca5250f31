//! Tells the demand at this VM to the VMs that decide on the models' replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Receiver;

use apricotdale_core::names::VmName;
use apricotdale_core::peer::Demand;
use apricotdale_core::peer::ModelDemand;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::serving::Clock;
use apricotdale_membership::MembershipEvent;

use crate::demand::DemandTable;
use crate::membership_view::SharedMembership;

/// How often demand is reported while there is some.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long after a request arrived its report leaves at the latest, so that a burst becomes one
/// report.
const GATHER: Duration = Duration::from_millis(10);

/// `DemandReporter` reports the demand here.
pub struct DemandReporter {
    /// This VM.
    pub vm: VmName,
    /// The demand.
    pub demand: Arc<DemandTable>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// The way to peers.
    pub link: Arc<dyn PeerLink>,
    /// How long a peer may take to answer.
    pub timeout_ms: u64,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Woken when a request arrives.
    pub wake: Receiver<()>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl DemandReporter {
    /// Reports until the daemon stops.
    pub fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.wake.recv_timeout(REPORT_INTERVAL).is_ok() {
                std::thread::sleep(GATHER);
            }
            self.report();
        }
    }

    fn report(&self) {
        let report = self.demand.take_report(self.clock.monotonic_ms());
        let view = self.membership.view();
        let mut by_vm: BTreeMap<VmName, Vec<ModelDemand>> = BTreeMap::new();
        for demand in report {
            if let Some(vm) = view.preferred(&demand.model).filter(|vm| **vm != self.vm) {
                by_vm.entry(vm.clone()).or_default().push(demand);
            }
        }
        for (vm, models) in by_vm {
            let Some(address) = view.peer_address(&vm) else {
                continue;
            };
            let request = PeerRequest::Demand(Demand {
                vm: self.vm.clone(),
                models,
            });
            // A lost report costs a step of waiting: this VM then proposes by itself.
            if self.link.ask(address, &request, self.timeout_ms).is_err() {
                self.membership
                    .handle(MembershipEvent::HeartbeatMissed { vm });
            }
        }
    }
}
