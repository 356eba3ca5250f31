//! State machine of membership: handles events and returns actions and a view.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmState;

use crate::departures::Departures;
use crate::event::MembershipAction;
use crate::event::MembershipEvent;
use crate::event::Moment;
use crate::event::PeerStatus;
use crate::listing::EntryKey;
use crate::listing::KnownEntry;
use crate::listing::Listing;
use crate::listing::ListingOutcome;
use crate::options::Options;
use crate::peers::Peers;
use crate::peers::StatusOutcome;
use crate::view::UpstreamView;
use crate::view::View;
use crate::view::VmView;

/// State of all VMs and upstreams, as far as this VM can tell.
#[derive(Debug)]
pub struct Membership {
    own: VmName,
    options: Options,
    listing: Listing,
    peers: Peers,
    failed_attempts: BTreeMap<UpstreamName, u32>,
    departures: Departures,
    draining: bool,
    leave_reported: bool,
    view_outdated: bool,
    view: Arc<View>,
}

impl Membership {
    /// Returns the state of a VM before its first VM list.
    pub fn new(own: VmName, options: Options) -> Self {
        let view = View {
            own: own.clone(),
            as_of_ms: None,
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            propose_step_ms: options.propose_step_ms,
        };
        let mut membership = Self {
            peers: Peers::new(&own, options.seed),
            own,
            options,
            listing: Listing::default(),
            failed_attempts: BTreeMap::new(),
            departures: Departures::default(),
            draining: false,
            leave_reported: false,
            view_outdated: false,
            view: Arc::new(view),
        };
        membership.view = Arc::new(membership.current_view());
        membership
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Handles an event and returns what the daemon has to do now.
    pub fn handle(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        let now_ms = now.monotonic_ms;
        let mut actions = Vec::new();
        match event {
            MembershipEvent::ListingRead(listing) => {
                self.read_listing(now_ms, listing, &mut actions);
            }
            MembershipEvent::ListingFailed => {}
            MembershipEvent::HeartbeatAnswered(status) => {
                let outcome = self.update_peer(&status.vm, |peers, options| {
                    peers.record_answer(now_ms, &status, options)
                });
                actions.extend(restart_action(&status, outcome));
            }
            MembershipEvent::HeartbeatReceived(status) => {
                let outcome = self.update_peer(&status.vm, |peers, _| {
                    peers.record_heartbeat(now_ms, &status)
                });
                actions.extend(restart_action(&status, outcome));
            }
            MembershipEvent::HeartbeatMissed { vm } => {
                self.update_peer(&vm, |peers, options| peers.record_miss(&vm, options));
            }
            MembershipEvent::UpstreamAttempted { upstream, outcome } => {
                self.record_attempt(upstream, outcome)
            }
            MembershipEvent::Departed { vm } => {
                self.departures
                    .record_replayed(&EntryKey::Vm(vm.to_string()));
            }
            MembershipEvent::UpstreamDeparted { upstream } => {
                let key = EntryKey::Upstream(upstream.to_string());
                self.departures.record_replayed(&key);
            }
            MembershipEvent::DrainBegun => {
                self.draining = true;
                self.view_outdated = true;
            }
            MembershipEvent::Tick => self.tick(now_ms, &mut actions),
        }
        self.refresh_view(&mut actions);
        actions
    }

    /// Changes a peer's state and marks the view as outdated if that affects the peer's liveness.
    fn update_peer<T>(&mut self, vm: &VmName, change: impl FnOnce(&mut Peers, &Options) -> T) -> T {
        let before = self.peers.is_trusted(vm);
        let outcome = change(&mut self.peers, &self.options);
        self.view_outdated |= self.peers.is_trusted(vm) != before;
        outcome
    }

    fn read_listing(
        &mut self,
        now_ms: u64,
        listing: VmListing,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.listing.apply(listing, &self.options) == ListingOutcome::Stale {
            return;
        }
        self.view_outdated = true;
        let is_gone = |key: &EntryKey| self.listing.get(key).is_some_and(KnownEntry::is_gone);
        self.departures.retain(is_gone);
        for (key, known) in self.listing.known().filter(|(_, known)| known.is_gone()) {
            self.departures.record(now_ms, key, known.state_as_of_ms);
        }
        let known: BTreeSet<VmName> = self.listed_vms().map(|(vm, _)| vm).collect();
        self.peers.retain(&known);
        let listing = &self.listing;
        self.failed_attempts.retain(|upstream, _| {
            let key = EntryKey::Upstream(upstream.to_string());
            listing.get(&key).is_some()
        });
        actions.extend(self.own_leave_action());
    }

    fn own_leave_action(&mut self) -> Option<MembershipAction> {
        let key = EntryKey::Vm(self.own.to_string());
        let state = self.listing.get(&key).map(|known| known.entry.state);
        let leaving = matches!(state, Some(VmState::Leaving | VmState::Gone));
        let reported = std::mem::replace(&mut self.leave_reported, leaving);
        (leaving && !reported).then_some(MembershipAction::OwnVmLeaving)
    }

    fn record_attempt(&mut self, upstream: UpstreamName, outcome: UpstreamOutcome) {
        match outcome {
            UpstreamOutcome::Unreachable => {
                let failed_attempts = self.failed_attempts.entry(upstream).or_default();
                *failed_attempts = failed_attempts.saturating_add(1);
                self.view_outdated |= *failed_attempts == self.options.unreachable_after;
            }
            UpstreamOutcome::Answered | UpstreamOutcome::Refused => {
                self.view_outdated |= self.failed_attempts.remove(&upstream).is_some();
            }
            UpstreamOutcome::Lost | UpstreamOutcome::Cancelled => {}
        }
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<MembershipAction>) {
        let view = self.view();
        if self.peers.is_round_due(now_ms) {
            self.send_heartbeats(now_ms, &view, actions);
        }
        self.propose_departures(now_ms, &view, actions);
    }

    fn send_heartbeats(&mut self, now_ms: u64, view: &View, actions: &mut Vec<MembershipAction>) {
        let targets: Vec<VmName> = view
            .vms
            .iter()
            .filter(|(vm, peer)| **vm != self.own && peer.peer_address.is_some())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in self.peers.next_round(now_ms, &targets, &self.options) {
            let address = view.peer_address(&vm);
            actions.extend(address.map(|address| MembershipAction::Heartbeat { vm, address }));
        }
    }

    fn propose_departures(
        &mut self,
        now_ms: u64,
        view: &View,
        actions: &mut Vec<MembershipAction>,
    ) {
        let silence_ms = self.options.gone_silence_ms;
        let peers = &self.peers;
        // A VM that is listed as gone but still sends heartbeats is a wrong entry, or a new VM
        // under the old name. Its departure would hand its intents to another VM while it executes
        // them.
        let is_unresponsive = |key: &EntryKey| match key {
            EntryKey::Vm(name) => !peers.received_within(now_ms, &VmName::new(name), silence_ms),
            EntryKey::Upstream(_) => true,
        };
        let may_propose = |key: &EntryKey, waited_ms: u64| {
            is_unresponsive(key) && view.may_propose(name_of(key), waited_ms)
        };
        let due = self
            .departures
            .due(now_ms, self.options.repropose_ms, may_propose);
        for (key, as_of_ms) in due {
            actions.push(departure_proposal(key, as_of_ms));
        }
    }

    fn refresh_view(&mut self, actions: &mut Vec<MembershipAction>) {
        if !std::mem::take(&mut self.view_outdated) {
            return;
        }
        let view = self.current_view();
        if view == *self.view {
            return;
        }
        self.view = Arc::new(view);
        actions.push(MembershipAction::ViewChanged);
    }

    fn current_view(&self) -> View {
        let vms = self
            .listed_vms()
            .filter(|(_, known)| self.accepts_work(known));
        let mut vms: BTreeMap<VmName, VmView> = vms
            .map(|(vm, known)| {
                let view = self.vm_view(&vm, known);
                (vm, view)
            })
            .collect();
        self.insert_own_vm(&mut vms);
        View {
            own: self.own.clone(),
            as_of_ms: self.listing.as_of_ms(),
            vms,
            upstreams: self.upstream_views(),
            propose_step_ms: self.options.propose_step_ms,
        }
    }

    fn accepts_work(&self, known: &KnownEntry) -> bool {
        self.listing.accepts(known, &self.options)
    }

    fn vm_view(&self, vm: &VmName, known: &KnownEntry) -> VmView {
        VmView {
            peer_address: known.entry.peer_address,
            live: self.peers.is_trusted(vm),
        }
    }

    /// Adds this VM to the view even while the delayed VM list lacks it, and removes it while it
    /// drains or is being removed by the platform.
    fn insert_own_vm(&self, vms: &mut BTreeMap<VmName, VmView>) {
        let key = EntryKey::Vm(self.own.to_string());
        let known = self.listing.get(&key);
        let leaving = known.is_some_and(|known| known.entry.state != VmState::Live);
        if self.draining || leaving {
            vms.remove(&self.own);
            return;
        }
        let view = VmView {
            peer_address: known.and_then(|known| known.entry.peer_address),
            live: true,
        };
        vms.insert(self.own.clone(), view);
    }

    fn upstream_views(&self) -> BTreeMap<UpstreamName, UpstreamView> {
        let mut views = BTreeMap::new();
        for (key, known) in self.listing.known() {
            let EntryKey::Upstream(name) = key else {
                continue;
            };
            let upstream = UpstreamName::new(name);
            let failed_attempts = self
                .failed_attempts
                .get(&upstream)
                .copied()
                .unwrap_or_default();
            let view = UpstreamView {
                entry: known.entry.clone(),
                accepts: self.accepts_work(known),
                reachable: failed_attempts < self.options.unreachable_after,
            };
            views.insert(upstream, view);
        }
        views
    }

    fn listed_vms(&self) -> impl Iterator<Item = (VmName, &KnownEntry)> {
        self.listing.known().filter_map(|(key, known)| match key {
            EntryKey::Vm(name) => Some((VmName::new(name), known)),
            EntryKey::Upstream(_) => None,
        })
    }
}

fn restart_action(status: &PeerStatus, outcome: StatusOutcome) -> Option<MembershipAction> {
    let action = MembershipAction::PeerRestarted {
        vm: status.vm.clone(),
        process_id: status.process_id,
    };
    (outcome == StatusOutcome::Restarted).then_some(action)
}

fn name_of(key: &EntryKey) -> &str {
    match key {
        EntryKey::Vm(name) | EntryKey::Upstream(name) => name,
    }
}

fn departure_proposal(key: EntryKey, as_of_ms: u64) -> MembershipAction {
    match key {
        EntryKey::Vm(name) => MembershipAction::ProposeDepart {
            vm: VmName::from(name),
            as_of_ms,
        },
        EntryKey::Upstream(name) => MembershipAction::ProposeUpstreamGone {
            upstream: UpstreamName::from(name),
            as_of_ms,
        },
    }
}
