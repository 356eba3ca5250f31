//! What this VM tells and answers its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::serving::Clock;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::PeerStatus;

use crate::demand::DemandTable;
use crate::engine_reports::ReportTable;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;
use crate::streams::SnapshotServer;

/// `KnownPeer` is what a peer said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPeer {
    /// How far it has replayed.
    pub replayed: Offset,
    /// When it was heard, on the monotonic clock.
    pub at_ms: u64,
    /// Whether it said that it is stopping.
    pub draining: bool,
    /// Whether its digest differed from ours at the same offset.
    pub diverged: bool,
}

/// `HeartbeatSource` makes this VM's heartbeats and keeps what peers said in theirs.
pub struct HeartbeatSource {
    /// This VM.
    pub vm: VmName,
    /// This process.
    pub process_id: u64,
    /// Set once the daemon is stopping.
    pub draining: Arc<AtomicBool>,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    peers: Mutex<BTreeMap<VmName, KnownPeer>>,
}

impl HeartbeatSource {
    /// Returns a source that has heard of no peer.
    pub fn new(
        vm: VmName,
        process_id: u64,
        draining: Arc<AtomicBool>,
        replayed: Arc<Replayed>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            vm,
            process_id,
            draining,
            replayed,
            clock,
            peers: Mutex::default(),
        }
    }

    /// Returns this VM's heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        let (replayed, digest) = self
            .replayed
            .read(|state| (state.next_offset(), state.digest().unwrap_or_default()));
        Heartbeat {
            vm: self.vm.clone(),
            process_id: self.process_id,
            draining: self.draining.load(Ordering::Relaxed),
            replayed,
            digest: digest.digest,
            digest_at: digest.at,
        }
    }

    /// Takes in a peer's heartbeat and returns whether its state has diverged from ours.
    pub fn note_peer(&self, beat: &Heartbeat) -> bool {
        let own = self.replayed.read(|state| state.digest_at(beat.digest_at));
        let diverged = own.is_some_and(|own| own.digest != beat.digest);
        let known = KnownPeer {
            replayed: beat.replayed,
            at_ms: self.clock.monotonic_ms(),
            draining: beat.draining,
            diverged,
        };
        self.peers.lock().insert(beat.vm.clone(), known);
        diverged
    }

    /// Returns what a peer said last.
    pub fn peer(&self, vm: &VmName) -> Option<KnownPeer> {
        self.peers.lock().get(vm).cloned()
    }
}

/// Returns what a heartbeat says of its sender's process.
pub fn sign_of(beat: &Heartbeat) -> PeerStatus {
    PeerStatus {
        vm: beat.vm.clone(),
        process_id: beat.process_id,
        draining: beat.draining,
    }
}

/// `PeerAnswers` answers this VM's peers.
pub struct PeerAnswers {
    /// Makes heartbeats.
    pub heartbeats: Arc<HeartbeatSource>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Takes the demand that peers tell.
    pub demand: Arc<DemandTable>,
    /// Wakes placement.
    pub wake: Box<dyn Fn() + Send + Sync>,
    /// The last load reports.
    pub reports: Arc<ReportTable>,
    /// Hands out this daemon's state.
    pub snapshots: SnapshotServer,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

impl PeerHandler for PeerAnswers {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(beat) => {
                self.heartbeats.note_peer(&beat);
                self.membership
                    .handle(MembershipEvent::HeartbeatReceived(sign_of(&beat)));
                PeerReply::Heartbeat(self.heartbeats.heartbeat())
            }
            PeerRequest::Demand(demand) => {
                let now_ms = self.clock.monotonic_ms();
                self.demand.note_remote(now_ms, &demand.vm, demand.models);
                (self.wake)();
                PeerReply::DemandNoted
            }
            PeerRequest::Replicas(query) => {
                PeerReply::Replicas(self.reports.loads(self.clock.unix_ms(), &query.engines))
            }
            PeerRequest::Snapshot(query) => match self.snapshots.part(&query) {
                Ok(part) => PeerReply::Snapshot(part),
                Err(error) => PeerReply::Declined(error.to_string()),
            },
        }
    }
}
