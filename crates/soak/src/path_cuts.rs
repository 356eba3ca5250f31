//! Cuts of VMs from all upstreams.

use apricotdale_standins::proxy::LinkFault;
use apricotdale_standins::proxy::Proxy;

use crate::fault::PathCut;
use crate::record::PathCutSeen;
use crate::vms::vm_address;
use crate::world::World;
use crate::world::pause;

impl World {
    /// Cuts VMs off from all upstreams for a time.
    pub(crate) fn cut_paths(&self, first_vm: usize, vms: usize, way: PathCut, for_ms: u64) {
        let of_vms = self.vms.len();
        let cut: Vec<usize> = (0..vms).map(|it| (first_vm + it) % of_vms).collect();
        let from_ms = self.clock.now_ms();
        for address in cut.iter().map(|vm| vm_address(*vm)) {
            self.for_each_proxy(|proxy| {
                match way {
                    PathCut::Silent => proxy.set_client_fault(address, LinkFault::Cut),
                    PathCut::Reset | PathCut::NewRefused => {
                        proxy.set_client_fault(address, LinkFault::Refused);
                    }
                }
                if way == PathCut::Reset {
                    proxy.reset_client(address);
                }
            });
        }
        pause(for_ms);
        let until_ms = self.clock.now_ms();
        for address in cut.iter().map(|vm| vm_address(*vm)) {
            self.for_each_proxy(|proxy| proxy.clear_client_fault(address));
        }
        self.events.lock().path_cuts.push(PathCutSeen {
            vms: cut,
            of_vms,
            from_ms,
            until_ms,
        });
    }

    fn for_each_proxy(&self, apply: impl Fn(&Proxy)) {
        self.engines
            .lock()
            .iter()
            .for_each(|slot| apply(&slot.proxy));
        self.services.iter().for_each(apply);
    }
}
