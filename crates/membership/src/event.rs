//! Events that membership handles and actions that it requests.

use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::vm_list::VmListing;

/// Simultaneous reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds on a monotonic clock with an arbitrary origin.
    pub monotonic_ms: u64,
    /// Milliseconds of Unix time.
    pub unix_ms: u64,
}

/// Status of a peer's process, as stated in its heartbeat or its answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Identity of the process, chosen at random at its start.
    pub process_id: u64,
    /// Whether the process is stopping.
    pub draining: bool,
}

/// Event that may change the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A listing was read from the platform.
    ListingRead(VmListing),
    /// The VM list could not be read.
    ListingFailed,
    /// A peer answered this VM's heartbeat.
    HeartbeatAnswered(PeerStatus),
    /// A peer's heartbeat reached this VM. It shows that the peer runs, but not that this VM can
    /// reach the peer.
    HeartbeatReceived(PeerStatus),
    /// A peer did not answer a heartbeat or another request in time.
    HeartbeatMissed {
        /// Peer that did not answer.
        vm: VmName,
    },
    /// An attempt to send a request to an upstream ended.
    UpstreamAttempted {
        /// Upstream that the attempt was made at.
        upstream: UpstreamName,
        /// How the attempt ended.
        outcome: UpstreamOutcome,
    },
    /// Replay showed that a VM's process was departed.
    Departed {
        /// VM of the departed process.
        vm: VmName,
    },
    /// Replay showed that an upstream was recorded as gone.
    UpstreamDeparted {
        /// Upstream that is gone.
        upstream: UpstreamName,
    },
    /// This VM's daemon began to drain.
    DrainBegun,
    /// Time has passed.
    Tick,
}

/// Action that membership requests from the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat and report its outcome as an event.
    Heartbeat {
        /// Recipient of the heartbeat.
        vm: VmName,
        /// Address on which the recipient listens for peers.
        address: SocketAddr,
    },
    /// Append a record that the VM is gone. The VM list stated so explicitly, and nothing has been
    /// received from the VM for a while.
    ProposeDepart {
        /// VM that is gone.
        vm: VmName,
        /// Time of the listing that stated it, in milliseconds of Unix time. A process that joined
        /// later is another one, and must not be departed.
        as_of_ms: u64,
    },
    /// Append a record that the upstream is gone. The VM list stated so explicitly.
    ProposeUpstreamGone {
        /// Upstream that is gone.
        upstream: UpstreamName,
        /// Time of the listing that stated it, in milliseconds of Unix time.
        as_of_ms: u64,
    },
    /// A peer runs another process than before, so state kept for the former one is void.
    PeerRestarted {
        /// Peer that has restarted.
        vm: VmName,
        /// Identity of its new process.
        process_id: u64,
    },
    /// The VM list states that the platform is removing this VM, which has to drain now.
    OwnVmLeaving,
    /// The view has changed and has to be read again.
    ViewChanged,
}
