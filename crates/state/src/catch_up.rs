//! Decides where a VM gets the state of a stream from when it starts or has fallen behind.
//!
//! A VM keeps no state across a restart. The log may no longer have the first records of a stream,
//! so a starting VM installs a snapshot, from the snapshot stream or from a peer, and replays the
//! records after it. If no snapshot reaches up to the first record that the log still has, the
//! state is lost, and the VMs agree on a fresh start. [`plan`] returns the next action, given what
//! is known about the sources so far.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;

use crate::snapshot::Lineage;

/// How far a state has been replayed. A later position compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// History that the state belongs to.
    pub lineage: Lineage,
    /// Offset up to which it has been replayed, exclusive.
    pub next: Offset,
}

/// Range of records that the log keeps, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogRange {
    /// The log has not been read yet.
    Unknown,
    /// The log can't be read at present.
    Down,
    /// The log keeps the records from `first` up to `end`, exclusive.
    Keeps {
        /// First offset that is kept.
        first: Offset,
        /// Offset of the next append.
        end: Offset,
    },
}

/// Newest section that the snapshot stream has, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSnapshot {
    /// The snapshot stream has not been read to its end.
    Unread,
    /// The snapshot stream has no complete section of the stream.
    Absent,
    /// The newest complete section reaches up to this position.
    Reaches(Position),
}

/// Answer of a peer to the question how far its state reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The peer has not been asked.
    NotAsked,
    /// The peer has been asked and has not answered. It may have a state.
    Silent,
    /// The peer has no state.
    NoState,
    /// The state of the peer reaches up to this position.
    Reaches(Position),
}

/// Sources of the state of a stream, as far as a VM knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSources {
    /// How far the VM's own state reaches; `None` if it has none.
    pub own: Option<Position>,
    /// Range of records that the log keeps.
    pub log: LogRange,
    /// Newest section that the snapshot stream has.
    pub stream: StreamSnapshot,
    /// Newest lineage of the stream on the snapshot stream.
    pub lineage: Lineage,
    /// Every other entry VM that the platform's VM list does not show as gone, with its answer;
    /// `None` until the list has been read.
    pub peers: Option<Vec<(VmName, PeerAnswer)>>,
}

/// Next action of a VM that needs the state of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpAction {
    /// Ask the log which records it keeps.
    ReadLogRange,
    /// Replay the records from an offset on, onto the state that the VM holds, or onto an empty
    /// one.
    Follow(Offset),
    /// Read the snapshot stream to its end.
    ReadSnapshotStream,
    /// Install the newest section of the snapshot stream.
    InstallFromStream,
    /// Ask the peers that have not been asked yet.
    AskPeers(Vec<VmName>),
    /// Install the snapshot of a peer.
    InstallFromPeer(VmName),
    /// Serve requests with the state that the VM holds, but take no decisions until the log can be
    /// read again.
    ServeOnly,
    /// Wait until a source changes.
    Wait(WaitReason),
    /// Propose on the snapshot stream a fresh start from an offset on, with the configuration of
    /// the newest outdated state if there is one, and read which proposal was accepted.
    ProposeFresh(Offset),
    /// Append the VM's state to the snapshot stream so that its configuration is not lost, then
    /// proceed as for `Restart`.
    SaveAndRestart,
    /// Restart the process, so that no further order of the lost history is sent.
    Restart,
    /// Take no decisions, because the log has lost records that this VM has read.
    Halt,
}

/// Reason for which a VM waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Neither the log nor a peer with a state answers.
    NoSource,
    /// The state may be lost, but the list of VMs that may have it has not been read.
    NoList,
    /// The state may be lost, but a VM that may have it does not answer.
    SilentPeer,
    /// The state is lost, but a VM still holds an outdated one, which it has to discard first.
    OutdatedPeer,
}

/// Returns the next action.
pub fn plan(sources: &StateSources) -> CatchUpAction {
    match sources.log {
        LogRange::Unknown => CatchUpAction::ReadLogRange,
        LogRange::Down => plan_without_log(sources),
        LogRange::Keeps { first, end } => plan_with_log(sources, first, end),
    }
}

/// Plans while the log is down. Any state may serve then: no decisions are made in the meantime, so
/// the state of the most advanced peer is the newest one.
fn plan_without_log(sources: &StateSources) -> CatchUpAction {
    if sources.own.is_some() {
        return CatchUpAction::ServeOnly;
    }
    let peers = sources.peers.as_deref().unwrap_or_default();
    let not_asked = not_asked(peers);
    match most_advanced_peer(peers, |_| true) {
        _ if !not_asked.is_empty() => CatchUpAction::AskPeers(not_asked),
        Some(vm) => CatchUpAction::InstallFromPeer(vm),
        None => CatchUpAction::Wait(WaitReason::NoSource),
    }
}

fn plan_with_log(sources: &StateSources, first: Offset, end: Offset) -> CatchUpAction {
    let lineage = sources.lineage;
    let usable = |position: Position| {
        position.lineage >= lineage && position.next >= first && position.next <= end
    };
    match (sources.own, sources.stream) {
        (Some(own), _) if own.next > end => CatchUpAction::Halt,
        (Some(own), _) if usable(own) => CatchUpAction::Follow(own.next),
        (None, _) if first == Offset(0) && lineage == Lineage::default() => {
            CatchUpAction::Follow(first)
        }
        (_, StreamSnapshot::Unread) => CatchUpAction::ReadSnapshotStream,
        (Some(own), StreamSnapshot::Reaches(stream)) if own.lineage < stream.lineage => {
            CatchUpAction::Restart
        }
        (_, StreamSnapshot::Reaches(stream)) if usable(stream) => CatchUpAction::InstallFromStream,
        _ => plan_with_peers(sources, end, usable),
    }
}

fn plan_with_peers(
    sources: &StateSources,
    end: Offset,
    usable: impl Fn(Position) -> bool,
) -> CatchUpAction {
    let Some(peers) = &sources.peers else {
        return CatchUpAction::Wait(WaitReason::NoList);
    };
    let not_asked = not_asked(peers);
    let any = |wanted: fn(&PeerAnswer) -> bool| peers.iter().any(|(_, answer)| wanted(answer));
    match most_advanced_peer(peers, usable) {
        Some(vm) => CatchUpAction::InstallFromPeer(vm),
        None if !not_asked.is_empty() => CatchUpAction::AskPeers(not_asked),
        // A VM that is paused may have the state, and an order that it has not sent yet. A fresh
        // start would free the memory that the order can still take. The same applies to every
        // process that has an outdated state, including this one: the process has to end first.
        None if any(|answer| *answer == PeerAnswer::Silent) => {
            CatchUpAction::Wait(WaitReason::SilentPeer)
        }
        None if sources.own.is_some() => CatchUpAction::SaveAndRestart,
        None if any(|answer| matches!(answer, PeerAnswer::Reaches(_))) => {
            CatchUpAction::Wait(WaitReason::OutdatedPeer)
        }
        None => CatchUpAction::ProposeFresh(end),
    }
}

fn not_asked(peers: &[(VmName, PeerAnswer)]) -> Vec<VmName> {
    let not_asked = peers
        .iter()
        .filter(|(_, answer)| *answer == PeerAnswer::NotAsked);
    not_asked.map(|(vm, _)| vm.clone()).collect()
}

fn most_advanced_peer(
    peers: &[(VmName, PeerAnswer)],
    usable: impl Fn(Position) -> bool,
) -> Option<VmName> {
    let reaching = peers.iter().filter_map(|(vm, answer)| match answer {
        PeerAnswer::Reaches(position) if usable(*position) => Some((*position, vm)),
        _ => None,
    });
    reaching.max().map(|(_, vm)| vm.clone())
}
