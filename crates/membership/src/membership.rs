//! Membership's event loop: events and time in, actions and a view out.

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
use crate::listing::Known;
use crate::listing::Listing;
use crate::listing::ListingOutcome;
use crate::options::Options;
use crate::peers::Peers;
use crate::peers::SignOutcome;
use crate::view::UpstreamView;
use crate::view::View;
use crate::view::VmView;

/// `Membership` keeps which VMs and upstreams are there, as far as this VM can tell.
#[derive(Debug)]
pub struct Membership {
    own: VmName,
    options: Options,
    listing: Listing,
    peers: Peers,
    unreached: BTreeMap<UpstreamName, u32>,
    departures: Departures,
    draining: bool,
    told_leaving: bool,
    stale_view: bool,
    view: Arc<View>,
}

impl Membership {
    /// Returns membership as one VM sees it before the first listing.
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
            unreached: BTreeMap::new(),
            departures: Departures::default(),
            draining: false,
            told_leaving: false,
            stale_view: false,
            view: Arc::new(view),
        };
        membership.view = Arc::new(membership.current_view());
        membership
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Takes in an event and returns what is to be done now.
    pub fn handle(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        let now_ms = now.monotonic_ms;
        let mut actions = Vec::new();
        match event {
            MembershipEvent::ListingRead(listing) => {
                self.read_listing(now_ms, listing, &mut actions);
            }
            MembershipEvent::ListingFailed => {}
            MembershipEvent::HeartbeatAnswered(sign) => {
                let outcome = self.watch(&sign.vm, |peers, options| {
                    peers.answered(now_ms, &sign, options)
                });
                actions.extend(restarted(&sign, outcome));
            }
            MembershipEvent::HeartbeatReceived(sign) => {
                let outcome = self.watch(&sign.vm, |peers, _| peers.heard(now_ms, &sign));
                actions.extend(restarted(&sign, outcome));
            }
            MembershipEvent::HeartbeatMissed { vm } => {
                self.watch(&vm, |peers, options| peers.missed(&vm, options));
            }
            MembershipEvent::UpstreamAttempted { upstream, outcome } => {
                self.tried(upstream, outcome)
            }
            MembershipEvent::Departed { vm } => {
                self.departures.settle(&EntryKey::Vm(vm.to_string()));
            }
            MembershipEvent::UpstreamDeparted { upstream } => {
                let key = EntryKey::Upstream(upstream.to_string());
                self.departures.settle(&key);
            }
            MembershipEvent::DrainBegun => {
                self.draining = true;
                self.stale_view = true;
            }
            MembershipEvent::Tick => self.tick(now_ms, &mut actions),
        }
        self.refresh_view(&mut actions);
        actions
    }

    /// Changes what is known of a peer and notes whether the view has to follow.
    fn watch<T>(&mut self, vm: &VmName, change: impl FnOnce(&mut Peers, &Options) -> T) -> T {
        let before = self.peers.is_trusted(vm);
        let outcome = change(&mut self.peers, &self.options);
        self.stale_view |= self.peers.is_trusted(vm) != before;
        outcome
    }

    fn read_listing(
        &mut self,
        now_ms: u64,
        listing: VmListing,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.listing.read(listing, &self.options) == ListingOutcome::Stale {
            return;
        }
        self.stale_view = true;
        let is_gone = |key: &EntryKey| self.listing.get(key).is_some_and(Known::is_gone);
        self.departures.retain(is_gone);
        for (key, known) in self.listing.known().filter(|(_, known)| known.is_gone()) {
            self.departures.note(now_ms, key, known.state_as_of_ms);
        }
        let known: BTreeSet<VmName> = self.listed_vms().map(|(vm, _)| vm).collect();
        self.peers.retain(&known);
        let listing = &self.listing;
        self.unreached.retain(|upstream, _| {
            let key = EntryKey::Upstream(upstream.to_string());
            listing.get(&key).is_some()
        });
        actions.extend(self.own_leaving());
    }

    fn own_leaving(&mut self) -> Option<MembershipAction> {
        let key = EntryKey::Vm(self.own.to_string());
        let state = self.listing.get(&key).map(|known| known.entry.state);
        let leaving = matches!(state, Some(VmState::Leaving | VmState::Gone));
        let told = std::mem::replace(&mut self.told_leaving, leaving);
        (leaving && !told).then_some(MembershipAction::OwnVmLeaving)
    }

    fn tried(&mut self, upstream: UpstreamName, outcome: UpstreamOutcome) {
        match outcome {
            UpstreamOutcome::Unreachable => {
                let unreached = self.unreached.entry(upstream).or_default();
                *unreached = unreached.saturating_add(1);
                self.stale_view |= *unreached == self.options.unreachable_after;
            }
            UpstreamOutcome::Answered | UpstreamOutcome::Refused => {
                self.stale_view |= self.unreached.remove(&upstream).is_some();
            }
            UpstreamOutcome::Lost | UpstreamOutcome::Cancelled => {}
        }
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<MembershipAction>) {
        let view = self.view();
        if self.peers.is_round_due(now_ms) {
            self.visit_peers(now_ms, &view, actions);
        }
        self.propose_departures(now_ms, &view, actions);
    }

    fn visit_peers(&mut self, now_ms: u64, view: &View, actions: &mut Vec<MembershipAction>) {
        let visitable: Vec<VmName> = view
            .vms
            .iter()
            .filter(|(vm, peer)| **vm != self.own && peer.peer_address.is_some())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in self.peers.next_round(now_ms, &visitable, &self.options) {
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
        // A VM that the list calls gone but that is still heard is a wrong entry or a new VM under
        // the old name. Departing it would hand its intents to another VM while it acts on them.
        let silent = |key: &EntryKey| match key {
            EntryKey::Vm(name) => !peers.heard_within(now_ms, &VmName::new(name), silence_ms),
            EntryKey::Upstream(_) => true,
        };
        let may_propose = |key: &EntryKey, waited_ms: u64| {
            silent(key) && view.may_propose(name_of(key), waited_ms)
        };
        let due = self
            .departures
            .due(now_ms, self.options.repropose_ms, may_propose);
        for (key, as_of_ms) in due {
            actions.push(proposal(key, as_of_ms));
        }
    }

    fn refresh_view(&mut self, actions: &mut Vec<MembershipAction>) {
        if !std::mem::take(&mut self.stale_view) {
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
        let vms = self.listed_vms().filter(|(_, known)| self.may_work(known));
        let mut vms: BTreeMap<VmName, VmView> = vms
            .map(|(vm, known)| {
                let view = self.vm_view(&vm, known);
                (vm, view)
            })
            .collect();
        self.put_own(&mut vms);
        View {
            own: self.own.clone(),
            as_of_ms: self.listing.as_of_ms(),
            vms,
            upstreams: self.upstream_views(),
            propose_step_ms: self.options.propose_step_ms,
        }
    }

    fn may_work(&self, known: &Known) -> bool {
        self.listing.accepts(known, &self.options)
    }

    fn vm_view(&self, vm: &VmName, known: &Known) -> VmView {
        VmView {
            peer_address: known.entry.peer_address,
            live: self.peers.is_trusted(vm),
        }
    }

    /// Puts this VM into the view even while the lagging list does not show it yet, and takes it
    /// out while it stops or is being taken away.
    fn put_own(&self, vms: &mut BTreeMap<VmName, VmView>) {
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
            let unreached = self.unreached.get(&upstream).copied().unwrap_or_default();
            let view = UpstreamView {
                entry: known.entry.clone(),
                accepts: self.may_work(known),
                reachable: unreached < self.options.unreachable_after,
            };
            views.insert(upstream, view);
        }
        views
    }

    fn listed_vms(&self) -> impl Iterator<Item = (VmName, &Known)> {
        self.listing.known().filter_map(|(key, known)| match key {
            EntryKey::Vm(name) => Some((VmName::new(name), known)),
            EntryKey::Upstream(_) => None,
        })
    }
}

fn restarted(sign: &PeerStatus, outcome: SignOutcome) -> Option<MembershipAction> {
    let action = MembershipAction::PeerRestarted {
        vm: sign.vm.clone(),
        process_id: sign.process_id,
    };
    (outcome == SignOutcome::Restarted).then_some(action)
}

fn name_of(key: &EntryKey) -> &str {
    match key {
        EntryKey::Vm(name) | EntryKey::Upstream(name) => name,
    }
}

fn proposal(key: EntryKey, as_of_ms: u64) -> MembershipAction {
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
