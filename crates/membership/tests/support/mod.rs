//! Listings, clocks and peer statuses for the tests of membership.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::Membership;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Moment;
use apricotdale_membership::Options;
use apricotdale_membership::PeerStatus;

/// Unix time at which the tests' monotonic clock shows zero.
pub const UNIX_START_MS: u64 = 1_790_000_000_000;

/// Returns the readings of both clocks at a time of the monotonic clock.
pub fn at(monotonic_ms: u64) -> Moment {
    Moment {
        monotonic_ms,
        unix_ms: UNIX_START_MS + monotonic_ms,
    }
}

/// Returns an entry of the VM list for an entry VM.
pub fn vm(name: &str, state: VmState) -> VmEntry {
    entry(name, VmRole::Entry, "apricotdale", state)
}

/// Returns an entry of the VM list for an engine.
pub fn engine(name: &str, state: VmState) -> VmEntry {
    entry(name, VmRole::Engine, "planner-lm", state)
}

fn entry(name: &str, role: VmRole, group: &str, state: VmState) -> VmEntry {
    let number: u16 = name.bytes().map(u16::from).sum();
    VmEntry {
        name: name.to_owned(),
        role,
        group: GroupName::new(group),
        zone: ZoneName::new("hall-a"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        peer_address: (role == VmRole::Entry).then(|| SocketAddr::from(([127, 0, 0, 1], number))),
        state,
    }
}

/// Membership of one VM with a clock that the test sets.
pub struct Fixture {
    pub membership: Membership,
    pub now_ms: u64,
}

impl Fixture {
    /// Returns the membership of a VM before its first listing.
    pub fn new(own: &str) -> Self {
        Self::with(own, Options::default())
    }

    /// Returns the membership of a VM with the given options.
    pub fn with(own: &str, options: Options) -> Self {
        Self {
            membership: Membership::new(VmName::new(own), options),
            now_ms: 0,
        }
    }

    /// Handles an event now.
    pub fn handle(&mut self, event: MembershipEvent) -> Vec<MembershipAction> {
        self.membership.handle(at(self.now_ms), event)
    }

    /// Sets the clock and reads a listing of that time.
    pub fn list_at(&mut self, now_ms: u64, entries: &[VmEntry]) -> Vec<MembershipAction> {
        self.now_ms = now_ms;
        self.list_as_of(now_ms, entries)
    }

    /// Reads a listing that states another time.
    pub fn list_as_of(&mut self, as_of_ms: u64, entries: &[VmEntry]) -> Vec<MembershipAction> {
        self.handle(MembershipEvent::ListingRead(VmListing {
            as_of_ms: UNIX_START_MS + as_of_ms,
            entries: entries.to_vec(),
        }))
    }

    /// Sets the clock and handles a tick.
    pub fn tick_at(&mut self, now_ms: u64) -> Vec<MembershipAction> {
        self.now_ms = now_ms;
        self.handle(MembershipEvent::Tick)
    }

    /// Handles answers of a peer to `times` heartbeats.
    pub fn answer(&mut self, vm: &str, process_id: u64, times: usize) -> Vec<MembershipAction> {
        let status = status(vm, process_id);
        let answer = |_| MembershipEvent::HeartbeatAnswered(status.clone());
        let events: Vec<MembershipEvent> = (0..times).map(answer).collect();
        events
            .into_iter()
            .flat_map(|event| self.handle(event))
            .collect()
    }

    /// Handles `times` heartbeats that a peer did not answer.
    pub fn miss(&mut self, vm: &str, times: usize) {
        for _ in 0..times {
            let vm = VmName::new(vm);
            self.handle(MembershipEvent::HeartbeatMissed { vm });
        }
    }

    /// Handles `times` heartbeats of a peer.
    pub fn receive(&mut self, vm: &str, process_id: u64, times: usize) {
        for _ in 0..times {
            self.handle(MembershipEvent::HeartbeatReceived(status(vm, process_id)));
        }
    }

    /// Returns the names of the VMs that this VM may prefer for keys.
    pub fn live(&self) -> BTreeSet<String> {
        let view = self.membership.view();
        view.live_vms().map(|vm| vm.to_string()).collect()
    }

    /// Returns whether an engine may receive new work.
    pub fn accepts(&self, engine: &str) -> bool {
        self.membership.view().accepts(&UpstreamName::new(engine))
    }
}

/// Returns the status of a peer that is not draining.
pub fn status(vm: &str, process_id: u64) -> PeerStatus {
    PeerStatus {
        vm: VmName::new(vm),
        process_id,
        draining: false,
    }
}

/// Returns a set of names.
pub fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}
