//! What membership takes in and what it asks for.

use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::vm_list::VmListing;

/// `Moment` is one reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds on a clock that never goes back.
    pub monotonic_ms: u64,
    /// Milliseconds of Unix time.
    pub unix_ms: u64,
}

/// `PeerStatus` is what a peer's heartbeat says of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub vm: VmName,
    /// Its process, chosen at random at its start.
    pub process_id: u64,
    /// Whether it is stopping.
    pub draining: bool,
}

/// `MembershipEvent` is what membership learns from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The platform's list was read.
    ListingRead(VmListing),
    /// The platform's list could not be read.
    ListingFailed,
    /// A peer answered this VM's heartbeat.
    HeartbeatAnswered(PeerStatus),
    /// A peer's heartbeat reached this VM. It shows that the peer runs, but not that the peer can
    /// be reached from here.
    HeartbeatReceived(PeerStatus),
    /// A peer did not answer a heartbeat or another request in time.
    HeartbeatMissed {
        /// The peer.
        vm: VmName,
    },
    /// A try at an upstream ended.
    UpstreamAttempted {
        /// The upstream.
        upstream: UpstreamName,
        /// How the try ended.
        outcome: UpstreamOutcome,
    },
    /// Replay showed that a VM's process was departed.
    Departed {
        /// The VM.
        vm: VmName,
    },
    /// Replay showed that an upstream was recorded as gone.
    UpstreamDeparted {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// This VM's daemon began to stop.
    DrainBegun,
    /// Time has passed.
    Tick,
}

/// `MembershipAction` is what membership asks of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat and tell how it went.
    Heartbeat {
        /// The peer.
        vm: VmName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Append a record saying that the VM is gone. The list said so in words and nothing has been
    /// heard of the VM since.
    ProposeDepart {
        /// The VM.
        vm: VmName,
        /// The time of which the list spoke, in milliseconds of Unix time. A process that joined
        /// after it is another one, and must not be departed.
        as_of_ms: u64,
    },
    /// Append a record saying that the upstream is gone. The list said so in words.
    ProposeUpstreamGone {
        /// The upstream.
        upstream: UpstreamName,
        /// The time of which the list spoke, in milliseconds of Unix time.
        as_of_ms: u64,
    },
    /// A peer runs another process than before; what was known of the earlier one is void.
    PeerRestarted {
        /// The peer.
        vm: VmName,
        /// Its process.
        process_id: u64,
    },
    /// The list says that this VM is being taken away: drain now.
    OwnVmLeaving,
    /// The view has changed; read it again.
    ViewChanged,
}
