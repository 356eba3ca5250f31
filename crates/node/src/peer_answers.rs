//! Heartbeats of this VM, and its answers to peers.

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

/// State of a peer by its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPeer {
    /// Offset of the next control record that the peer replays.
    pub replayed: Offset,
    /// Time at which the heartbeat was received, on the monotonic clock.
    pub at_ms: u64,
    /// Whether the peer is in a planned stop.
    pub draining: bool,
    /// Whether the peer's digest differed from this VM's at the same offset.
    pub diverged: bool,
}

/// Builds this VM's heartbeats and keeps the last heartbeat of each peer.
pub struct HeartbeatSource {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Set once a planned stop has begun.
    pub draining: Arc<AtomicBool>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    peers: Mutex<BTreeMap<VmName, KnownPeer>>,
}

impl HeartbeatSource {
    /// Returns a source that has received no heartbeat.
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

    /// Returns this VM's present heartbeat.
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

    /// Records a peer's heartbeat and returns whether its state has diverged from this VM's.
    pub fn record_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let own = self
            .replayed
            .read(|state| state.digest_at(heartbeat.digest_at));
        let diverged = own.is_some_and(|own| own.digest != heartbeat.digest);
        let known = KnownPeer {
            replayed: heartbeat.replayed,
            at_ms: self.clock.monotonic_ms(),
            draining: heartbeat.draining,
            diverged,
        };
        self.peers.lock().insert(heartbeat.vm.clone(), known);
        diverged
    }

    /// Returns the state of a peer by its last heartbeat, or none if no heartbeat was received.
    pub fn peer(&self, vm: &VmName) -> Option<KnownPeer> {
        self.peers.lock().get(vm).cloned()
    }
}

/// Returns the part of a heartbeat that membership uses.
pub fn peer_status(heartbeat: &Heartbeat) -> PeerStatus {
    PeerStatus {
        vm: heartbeat.vm.clone(),
        process_id: heartbeat.process_id,
        draining: heartbeat.draining,
    }
}

/// Answers the requests of peers.
pub struct PeerAnswers {
    /// Source of this VM's heartbeats.
    pub heartbeats: Arc<HeartbeatSource>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Table that peers' demand reports are recorded in.
    pub demand: Arc<DemandTable>,
    /// Wakes the placement loop.
    pub wake: Box<dyn Fn() + Send + Sync>,
    /// Last load report of each engine.
    pub reports: Arc<ReportTable>,
    /// Serves snapshots of this daemon's state.
    pub snapshots: SnapshotServer,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
}

impl PeerHandler for PeerAnswers {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                self.heartbeats.record_heartbeat(&heartbeat);
                self.membership
                    .handle(MembershipEvent::HeartbeatReceived(peer_status(&heartbeat)));
                PeerReply::Heartbeat(self.heartbeats.heartbeat())
            }
            PeerRequest::Demand(demand) => {
                let now_ms = self.clock.monotonic_ms();
                self.demand.record_remote(now_ms, &demand.vm, demand.models);
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
