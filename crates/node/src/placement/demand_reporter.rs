//! Sends this VM's demand to the VMs that decide on the models' replicas.

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

/// Interval of the demand reports when no request arrives.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between the first arrival and its report, so that a burst of arrivals becomes one report.
const BURST_WINDOW: Duration = Duration::from_millis(10);

/// Reports this VM's demand for each model to the VM preferred for that model.
pub struct DemandReporter {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Demand for each model, at this VM and reported by peers.
    pub demand: Arc<DemandTable>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Link over which peers are sent requests.
    pub link: Arc<dyn PeerLink>,
    /// Timeout of one request to a peer, in milliseconds.
    pub timeout_ms: u64,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Signalled when a request arrives.
    pub wake: Receiver<()>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl DemandReporter {
    /// Sends reports until the daemon stops.
    pub fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.wake.recv_timeout(REPORT_INTERVAL).is_ok() {
                std::thread::sleep(BURST_WINDOW);
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
            // A lost report delays a load by one step of the rank: this VM then proposes it itself.
            if self.link.ask(address, &request, self.timeout_ms).is_err() {
                self.membership
                    .handle(MembershipEvent::HeartbeatMissed { vm });
            }
        }
    }
}
