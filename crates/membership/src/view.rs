//! Result of membership at one moment.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::rendezvous;
use apricotdale_core::vm_list::VmEntry;

/// State of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Address on which its daemon listens for peers; `None` if it is not listed.
    pub peer_address: Option<SocketAddr>,
    /// Whether it may be preferred for keys: listed as live, not stopping and not suspected.
    pub live: bool,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Upstream as last listed.
    pub entry: VmEntry,
    /// Whether it may receive new work.
    pub accepts: bool,
    /// Whether this VM's latest attempts reached it; true without attempts. Lowers preference only.
    pub reachable: bool,
}

/// VMs and upstreams at one moment, as far as this VM can tell. The views of two VMs may differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Name of this VM.
    pub own: VmName,
    /// Time stated by the last listing in milliseconds of Unix time, or `None` before the first.
    pub as_of_ms: Option<u64>,
    /// Entry VMs that are listed as live, and this VM unless it is stopping.
    pub vms: BTreeMap<VmName, VmView>,
    /// All upstreams that are listed or have not been missing for long.
    pub upstreams: BTreeMap<UpstreamName, UpstreamView>,
    /// Additional delay of each rank before a VM may propose.
    pub propose_step_ms: u64,
}

impl View {
    /// Returns the VMs among which keys are distributed.
    pub fn live_vms(&self) -> impl Iterator<Item = &VmName> {
        let live = self.vms.iter().filter(|(_, view)| view.live);
        live.map(|(vm, _)| vm)
    }

    /// Returns the VM that this VM prefers for a key by rendezvous hashing, or `None` if no VM is
    /// live.
    pub fn preferred<K: Hash + ?Sized>(&self, key: &K) -> Option<&VmName> {
        rendezvous::preferred(self.live_vms(), key)
    }

    /// Returns whether this VM is the preferred one for a key in its own view.
    pub fn is_preferred<K: Hash + ?Sized>(&self, key: &K) -> bool {
        self.preferred(key) == Some(&self.own)
    }

    /// Returns this VM's rank for a key, 0 for the preferred VM, or `None` if it is not live.
    pub fn rank<K: Hash + ?Sized>(&self, key: &K) -> Option<usize> {
        let own = self.live_vms().find(|vm| **vm == self.own)?;
        Some(rank_among(own, self.live_vms(), key))
    }

    /// Returns whether this VM may propose for a key whose demand has waited for `waited_ms`
    /// without an answer. The preferred VM may at once, and each further rank one step later, so a
    /// preferred VM that is down, or is wrongly considered live, delays the proposal and does not
    /// prevent it. If two VMs propose at the same time, replay decides between them.
    pub fn may_propose<K: Hash + ?Sized>(&self, key: &K, waited_ms: u64) -> bool {
        // Most calls are for recent demand, for which only the preferred VM may propose.
        if waited_ms < self.propose_step_ms {
            return self.is_preferred(key);
        }
        let rank = self.rank(key).map(|rank| rank as u64);
        rank.is_some_and(|rank| waited_ms >= rank.saturating_mul(self.propose_step_ms))
    }

    /// Returns this VM's rank for a key among all listed VMs and the number of VMs, or `None` if
    /// this VM is stopping. Suspected VMs count, because they may run and use their share of a
    /// limit.
    pub fn share_rank<K: Hash + ?Sized>(&self, key: &K) -> Option<(u32, u32)> {
        let (own, _) = self.vms.get_key_value(&self.own)?;
        let rank = rank_among(own, self.vms.keys(), key);
        Some((rank as u32, self.vms.len() as u32))
    }

    /// Returns the address on which a VM's daemon listens for peers, if it is known.
    pub fn peer_address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.vms.get(vm).and_then(|view| view.peer_address)
    }

    /// Returns whether an upstream may receive new work.
    pub fn accepts(&self, upstream: &UpstreamName) -> bool {
        let view = self.upstreams.get(upstream);
        view.is_some_and(|view| view.accepts)
    }

    /// Returns the upstreams of a group that may receive new work.
    pub fn candidates(&self, group: &GroupName) -> Vec<Candidate> {
        let of_group = |view: &&UpstreamView| view.accepts && view.entry.group == *group;
        self.upstreams
            .values()
            .filter(of_group)
            .map(UpstreamView::candidate)
            .collect()
    }
}

impl UpstreamView {
    /// Returns the upstream as a candidate for routing.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            upstream: UpstreamName::new(&self.entry.name),
            address: self.entry.address,
            zone: self.entry.zone.clone(),
        }
    }
}

/// Returns the number of VMs that precede this one for the key. Compares pairs, because sorting all
/// VMs for each key costs ten times as much among hundreds of VMs.
fn rank_among<'a, K: Hash + ?Sized>(
    own: &VmName,
    vms: impl Iterator<Item = &'a VmName>,
    key: &K,
) -> usize {
    let is_preferred = |vm: &&VmName| rendezvous::preferred([own, *vm], key) != Some(own);
    vms.filter(is_preferred).count()
}
