//! What membership believes now.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::rendezvous;
use apricotdale_core::vm_list::VmEntry;

/// `VmView` is what is believed of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Where its daemon listens for its peers.
    pub peer_address: Option<SocketAddr>,
    /// Whether it is preferred for keys: listed as live, not stopping and not suspected.
    pub live: bool,
}

/// `UpstreamView` is what is believed of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// The upstream as last listed.
    pub entry: VmEntry,
    /// Whether it may receive new work.
    pub accepts: bool,
    /// Whether this VM reached it lately, as far as it tried. It lowers preference only.
    pub reachable: bool,
}

/// `View` is what membership believes at one moment. Two VMs may believe different things.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// This VM.
    pub own: VmName,
    /// The time of which the last listing spoke, in milliseconds of Unix time, or none before the
    /// first listing.
    pub as_of_ms: Option<u64>,
    /// The entry VMs that are listed as live, and this VM unless it is stopping.
    pub vms: BTreeMap<VmName, VmView>,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamView>,
    /// The wait after which the next VM in rank may propose.
    pub propose_step_ms: u64,
}

impl View {
    /// Returns the VMs among which work is shared out.
    pub fn live_vms(&self) -> impl Iterator<Item = &VmName> {
        let live = self.vms.iter().filter(|(_, view)| view.live);
        live.map(|(vm, _)| vm)
    }

    /// Returns the VM that this VM prefers for a key, or none if none is live.
    pub fn preferred<K: Hash + ?Sized>(&self, key: &K) -> Option<&VmName> {
        rendezvous::preferred(self.live_vms(), key)
    }

    /// Returns whether this VM is the preferred one for a key, in its own view.
    pub fn is_preferred<K: Hash + ?Sized>(&self, key: &K) -> bool {
        self.preferred(key) == Some(&self.own)
    }

    /// Returns this VM's rank for a key, zero for the preferred one, or none if it is not live.
    pub fn rank<K: Hash + ?Sized>(&self, key: &K) -> Option<usize> {
        let own = self.live_vms().find(|vm| **vm == self.own)?;
        Some(rank_among(own, self.live_vms(), key))
    }

    /// Returns whether this VM may propose for a key whose demand has waited for `waited_ms`
    /// without an answer. The preferred VM may at once, and each further one a step later, so a
    /// preferred VM that is down, or that this view knows wrongly, delays the proposal and does not
    /// prevent it. Two VMs that propose at the same time are told apart by replay.
    pub fn may_propose<K: Hash + ?Sized>(&self, key: &K, waited_ms: u64) -> bool {
        // Most questions are of fresh demand, for which only the preferred VM counts.
        if waited_ms < self.propose_step_ms {
            return self.is_preferred(key);
        }
        let rank = self.rank(key).map(|rank| rank as u64);
        rank.is_some_and(|rank| waited_ms >= rank.saturating_mul(self.propose_step_ms))
    }

    /// Returns this VM's rank for a key among all listed VMs and their number, or none if this VM
    /// is stopping. Suspected VMs count, because they may run and use their share of a limit.
    pub fn share_rank<K: Hash + ?Sized>(&self, key: &K) -> Option<(u32, u32)> {
        let (own, _) = self.vms.get_key_value(&self.own)?;
        let rank = rank_among(own, self.vms.keys(), key);
        Some((rank as u32, self.vms.len() as u32))
    }

    /// Returns where a VM's daemon listens for its peers.
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
    /// Returns the upstream as routing sees it.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            upstream: UpstreamName::new(&self.entry.name),
            address: self.entry.address,
            zone: self.entry.zone.clone(),
        }
    }
}

/// Returns how many of the VMs the key prefers to this one. It compares pairs, because sorting all
/// VMs for each key costs ten times as much among hundreds of them.
fn rank_among<'a, K: Hash + ?Sized>(
    own: &VmName,
    vms: impl Iterator<Item = &'a VmName>,
    key: &K,
) -> usize {
    let is_preferred = |vm: &&VmName| rendezvous::preferred([own, *vm], key) != Some(own);
    vms.filter(is_preferred).count()
}
