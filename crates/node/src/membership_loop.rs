//! Feeds membership and carries out what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_core::control::UpstreamGone;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::serving::Clock;
use apricotdale_core::vm_list::VmList;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;
use apricotdale_gateway::Gateway;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;

use crate::appender::Appender;
use crate::appender::Persistence;
use crate::membership_view::SharedMembership;
use crate::peer_answers::HeartbeatSource;
use crate::peer_answers::sign_of;
use crate::replayed::Replayed;

/// How often membership's clock moves.
const TICK: Duration = Duration::from_millis(100);

/// How often the list is read until it shows an upstream.
const FIRST_LIST_INTERVAL_MS: u64 = 200;

/// `MembershipLoop` is what the loop works with.
pub struct MembershipLoop {
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// The platform's list.
    pub vm_list: Arc<dyn VmList>,
    /// How often the list is read.
    pub list_interval_ms: u64,
    /// The way to peers.
    pub link: Arc<dyn PeerLink>,
    /// How long a peer may take to answer.
    pub peer_timeout_ms: u64,
    /// Makes this VM's heartbeats.
    pub heartbeats: Arc<HeartbeatSource>,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// Appends departures.
    pub appender: Appender,
    /// Lets routing forget upstreams.
    pub gateway: Arc<Gateway>,
    /// Called when the platform takes this VM away.
    pub leaving: Box<dyn Fn() + Send + Sync>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// When this process started, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl MembershipLoop {
    /// Runs until the daemon stops.
    pub fn run(self) {
        let this = Arc::new(self);
        let reader = Arc::clone(&this);
        // The list is read on a thread of its own: a platform that answers slowly must not hold up
        // heartbeats, or peers would be suspected because of it.
        let reading = thread::Builder::new()
            .name("vm-list".into())
            .spawn(move || reader.read_list());
        while !this.stopped() {
            this.take_in(MembershipEvent::Tick);
            thread::sleep(TICK);
        }
        match reading {
            Ok(reading) => drop(reading.join()),
            Err(error) => warn!("no thread to read the list of VMs: {error}"),
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn read_list(self: &Arc<Self>) {
        let mut next_ms = 0;
        while !self.stopped() {
            let now_ms = self.clock.monotonic_ms();
            if now_ms >= next_ms {
                next_ms = now_ms + self.list_pause_ms();
                match self.vm_list.list() {
                    Ok(listing) => self.take_in_listing(listing),
                    Err(error) => {
                        warn!("the list of VMs can't be read: {error}");
                        self.take_in(MembershipEvent::ListingFailed);
                    }
                }
            }
            thread::sleep(TICK);
        }
    }

    /// Returns how long to wait for the next reading. Until an upstream is known there is nobody to
    /// send a request to, so the list is read more often.
    fn list_pause_ms(&self) -> u64 {
        match self.membership.view().upstreams.is_empty() {
            true => self.list_interval_ms.min(FIRST_LIST_INTERVAL_MS),
            false => self.list_interval_ms,
        }
    }

    /// Takes in a reading of the list, without what it says of an earlier VM of this VM's name.
    ///
    /// The list lags: a VM that starts under the name of one that was taken away finds itself
    /// listed as gone, or as leaving at a time before its own start, and would stop at once.
    fn take_in_listing(self: &Arc<Self>, mut listing: VmListing) {
        let is_of_earlier = |state: VmState| match state {
            VmState::Live => false,
            VmState::Leaving => listing.as_of_ms < self.started_unix_ms,
            VmState::Gone => true,
        };
        let own = self.heartbeats.vm.as_str();
        listing.entries.retain(|entry| {
            entry.role != VmRole::Entry || entry.name != own || !is_of_earlier(entry.state)
        });
        self.take_in(MembershipEvent::ListingRead(listing));
    }

    fn take_in(self: &Arc<Self>, event: MembershipEvent) {
        for action in self.membership.handle(event) {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Arc<Self>, action: MembershipAction) {
        match action {
            MembershipAction::Heartbeat { vm, address } => {
                let this = Arc::clone(self);
                let beat = move || this.beat(&vm, address);
                if let Err(error) = thread::Builder::new().name("heartbeat".into()).spawn(beat) {
                    warn!("no thread for a heartbeat: {error}");
                }
            }
            // The newest reading still shows what the first one showed, so its time is the one
            // before which a process or a run must have begun for the list to mean it.
            MembershipAction::ProposeDepart { vm, as_of_ms } => {
                self.propose_depart(vm, self.list_as_of_ms(as_of_ms));
            }
            MembershipAction::ProposeUpstreamGone { upstream, as_of_ms } => {
                self.propose_gone(upstream, self.list_as_of_ms(as_of_ms));
            }
            MembershipAction::PeerRestarted { vm, process_id } => {
                info!("{vm} runs a new process {process_id:x}");
            }
            MembershipAction::OwnVmLeaving => (self.leaving)(),
            MembershipAction::ViewChanged => {}
        }
    }

    fn list_as_of_ms(&self, first_ms: u64) -> u64 {
        self.membership
            .view()
            .as_of_ms
            .map_or(first_ms, |newest_ms| newest_ms.max(first_ms))
    }

    fn beat(self: &Arc<Self>, vm: &VmName, address: SocketAddr) {
        let request = PeerRequest::Heartbeat(self.heartbeats.heartbeat());
        let event = match self.link.ask(address, &request, self.peer_timeout_ms) {
            Ok(PeerReply::Heartbeat(beat)) => {
                self.check_digest(&beat);
                MembershipEvent::HeartbeatAnswered(sign_of(&beat))
            }
            Ok(_) | Err(_) => MembershipEvent::HeartbeatMissed { vm: vm.clone() },
        };
        self.take_in(event);
    }

    /// Two VMs that replayed the same records have the same digest. A difference means that a VM
    /// runs another program version with other rules, or has a fault in its memory.
    fn check_digest(&self, beat: &Heartbeat) {
        if self.heartbeats.note_peer(beat) {
            warn!(
                "{} has another state than this VM at offset {}",
                beat.vm, beat.digest_at
            );
        }
    }

    /// Proposes the end of the processes that the list can mean. A process that joined later runs on
    /// a VM that took the listed one's place.
    fn propose_depart(&self, vm: VmName, as_of_ms: u64) {
        let (is_member, epochs): (bool, Vec<Epoch>) = self.replayed.read(|state| {
            let members = state.members();
            let is_member = members.newest().any(|(name, _)| *name == vm);
            (is_member, members.departable_epochs(&vm, as_of_ms))
        });
        if !is_member {
            self.membership.handle(MembershipEvent::Departed { vm });
            return;
        }
        for epoch in epochs {
            info!("the list of {as_of_ms} says that {vm} is gone; its process {epoch} departs");
            let vm = vm.clone();
            self.appender.propose(
                Persistence::Drop,
                move |proposer| {
                    ControlRecord::Depart(Depart {
                        proposer,
                        vm: vm.clone(),
                        epoch,
                    })
                },
                |_| {},
            );
        }
    }

    fn propose_gone(&self, upstream: UpstreamName, as_of_ms: u64) {
        self.gateway.learn_routing(RoutingEvent::Removed {
            upstream: upstream.clone(),
        });
        let (is_there, boot) = self.replayed.read(|state| {
            let engine = state.engine(&upstream).filter(|engine| !engine.is_gone());
            (engine.is_some(), state.removable_boot(&upstream, as_of_ms))
        });
        if !is_there {
            self.membership
                .handle(MembershipEvent::UpstreamDeparted { upstream });
            return;
        }
        let Some(boot) = boot else { return };
        info!("the list of {as_of_ms} says that {upstream} is gone");
        self.appender.propose(
            Persistence::Drop,
            move |proposer| {
                ControlRecord::UpstreamGone(UpstreamGone {
                    proposer,
                    engine: upstream.clone(),
                    boot,
                })
            },
            |_| {},
        );
    }
}
