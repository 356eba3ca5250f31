//! Passes events to membership and carries out its actions.

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
use crate::peer_answers::peer_status;
use crate::replayed::Replayed;

/// Interval of membership's ticks.
const TICK: Duration = Duration::from_millis(100);

/// Interval of reads of the VM list until it shows an upstream.
const FIRST_LIST_INTERVAL_MS: u64 = 200;

/// Threads that drive membership: ticks, reads of the VM list, heartbeats.
pub struct MembershipLoop {
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Client of the platform's VM list.
    pub vm_list: Arc<dyn VmList>,
    /// Interval of reads of the VM list, in milliseconds.
    pub list_interval_ms: u64,
    /// Link over which peers are sent requests.
    pub link: Arc<dyn PeerLink>,
    /// Timeout of one request to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Builds this VM's heartbeats and keeps those of peers.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Appends departures of processes and upstreams.
    pub appender: Appender,
    /// Gateway, whose routing policy forgets removed upstreams.
    pub gateway: Arc<Gateway>,
    /// Called when the VM list shows this VM as leaving.
    pub leaving: Box<dyn Fn() + Send + Sync>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Start of this process, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl MembershipLoop {
    /// Drives membership until the daemon stops.
    pub fn run(self) {
        let this = Arc::new(self);
        let reader = Arc::clone(&this);
        // The VM list is read on a thread of its own: a slow platform must not delay heartbeats, or
        // peers would suspect this VM.
        let reading = thread::Builder::new()
            .name("vm-list".into())
            .spawn(move || reader.read_list());
        while !this.stopped() {
            this.handle_event(MembershipEvent::Tick);
            thread::sleep(TICK);
        }
        match reading {
            Ok(reading) => drop(reading.join()),
            Err(error) => warn!("starting the thread that reads the VM list failed: {error}"),
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
                    Ok(listing) => self.handle_listing(listing),
                    Err(error) => {
                        warn!("reading the VM list failed: {error}");
                        self.handle_event(MembershipEvent::ListingFailed);
                    }
                }
            }
            thread::sleep(TICK);
        }
    }

    /// Returns the pause before the next read. Until an upstream is listed no request can be
    /// served, so the list is read more often.
    fn list_pause_ms(&self) -> u64 {
        match self.membership.view().upstreams.is_empty() {
            true => self.list_interval_ms.min(FIRST_LIST_INTERVAL_MS),
            false => self.list_interval_ms,
        }
    }

    /// Passes a VM list to membership, without entries of an earlier VM with this VM's name.
    ///
    /// The list is delayed: a VM that starts under the name of a removed one finds itself listed as
    /// gone, or as leaving at a time before its own start, and would stop at once.
    fn handle_listing(self: &Arc<Self>, mut listing: VmListing) {
        let is_of_earlier_vm = |state: VmState| match state {
            VmState::Live => false,
            VmState::Leaving => listing.as_of_ms < self.started_unix_ms,
            VmState::Gone => true,
        };
        let own = self.heartbeats.vm.as_str();
        listing.entries.retain(|entry| {
            entry.role != VmRole::Entry || entry.name != own || !is_of_earlier_vm(entry.state)
        });
        self.handle_event(MembershipEvent::ListingRead(listing));
    }

    fn handle_event(self: &Arc<Self>, event: MembershipEvent) {
        for action in self.membership.handle(event) {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Arc<Self>, action: MembershipAction) {
        match action {
            MembershipAction::Heartbeat { vm, address } => {
                let this = Arc::clone(self);
                let heartbeat = move || this.send_heartbeat(&vm, address);
                if let Err(error) = thread::Builder::new()
                    .name("heartbeat".into())
                    .spawn(heartbeat)
                {
                    warn!("starting a heartbeat thread failed: {error}");
                }
            }
            // The newest list still shows what the first one showed. A process or engine boot that
            // the list can mean began before the newest list's time.
            MembershipAction::ProposeDepart { vm, as_of_ms } => {
                self.propose_depart(vm, self.list_as_of_ms(as_of_ms));
            }
            MembershipAction::ProposeUpstreamGone { upstream, as_of_ms } => {
                self.propose_upstream_gone(upstream, self.list_as_of_ms(as_of_ms));
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

    fn send_heartbeat(self: &Arc<Self>, vm: &VmName, address: SocketAddr) {
        let request = PeerRequest::Heartbeat(self.heartbeats.heartbeat());
        let event = match self.link.ask(address, &request, self.peer_timeout_ms) {
            Ok(PeerReply::Heartbeat(heartbeat)) => {
                self.check_digest(&heartbeat);
                MembershipEvent::HeartbeatAnswered(peer_status(&heartbeat))
            }
            Ok(_) | Err(_) => MembershipEvent::HeartbeatMissed { vm: vm.clone() },
        };
        self.handle_event(event);
    }

    /// Compares the digests of two VMs, which are equal after the same records. A difference means
    /// that a VM runs a program version with other rules, or has a memory fault.
    fn check_digest(&self, heartbeat: &Heartbeat) {
        if self.heartbeats.record_heartbeat(heartbeat) {
            warn!(
                "the state of {} differs from this VM's at offset {}",
                heartbeat.vm, heartbeat.digest_at
            );
        }
    }

    /// Proposes the departure of the processes that the list can mean. A process that joined later
    /// runs on a newer VM of the same name.
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
            info!(
                "the VM list of {as_of_ms} shows {vm} as gone; proposing the departure of epoch {epoch}"
            );
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

    fn propose_upstream_gone(&self, upstream: UpstreamName, as_of_ms: u64) {
        self.gateway.learn_routing(RoutingEvent::Removed {
            upstream: upstream.clone(),
        });
        let (is_known, boot) = self.replayed.read(|state| {
            let engine = state.engine(&upstream).filter(|engine| !engine.is_gone());
            (engine.is_some(), state.removable_boot(&upstream, as_of_ms))
        });
        if !is_known {
            self.membership
                .handle(MembershipEvent::UpstreamDeparted { upstream });
            return;
        }
        let Some(boot) = boot else { return };
        info!("the VM list of {as_of_ms} shows {upstream} as gone");
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
