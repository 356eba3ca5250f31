//! Where a VM gets the state of a stream from when it starts or has fallen behind.
//!
//! A VM keeps nothing over a restart. The records that the log still keeps may not reach back to
//! the beginning, so a starting VM takes a snapshot, from the snapshot stream or from a peer, and
//! replays the records since. If nothing reaches far enough back, the state is lost, and the VMs
//! agree on a fresh start. [`plan`] says what to do next from what is known so far.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;

use crate::snapshot::Lineage;

/// `Position` is how far a state reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The history that the state belongs to.
    pub lineage: Lineage,
    /// The offset up to which it has replayed, exclusive.
    pub next: Offset,
}

/// `LogRange` is what is known of the stream on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogRange {
    /// Nothing yet.
    Unknown,
    /// The log can't be read now.
    Down,
    /// The log keeps the records from `first` up to `end`, exclusive.
    Keeps {
        /// The first offset kept.
        first: Offset,
        /// The offset of the next append.
        end: Offset,
    },
}

/// `StreamSnapshot` is what the snapshot stream offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSnapshot {
    /// The snapshot stream has not been read to its end.
    Unread,
    /// It holds no whole section of the stream.
    Absent,
    /// Its newest whole section reaches so far.
    Reaches(Position),
}

/// `PeerAnswer` is what a peer says of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The peer has not been asked.
    NotAsked,
    /// The peer has been asked and does not answer. It may have a state.
    Silent,
    /// The peer has no state either.
    NoState,
    /// The peer's state reaches so far.
    Reaches(Position),
}

/// `StateSources` is what a VM knows about the sources of a stream's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSources {
    /// How far the VM's own state reaches, if it has one.
    pub own: Option<Position>,
    /// What the log keeps.
    pub log: LogRange,
    /// What the snapshot stream offers.
    pub stream: StreamSnapshot,
    /// The lineage that the snapshot stream shows.
    pub lineage: Lineage,
    /// Every other entry VM which the platform's list does not show as gone, or none as long as the
    /// list has not been read.
    pub peers: Option<Vec<(VmName, PeerAnswer)>>,
}

/// `CatchUpAction` is what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpAction {
    /// Ask the log what it keeps.
    ReadLogRange,
    /// Replay the records from an offset on, on top of the own state or of an empty one.
    Follow(Offset),
    /// Read the snapshot stream to its end.
    ReadSnapshotStream,
    /// Install the newest section of the snapshot stream.
    InstallFromStream,
    /// Ask the peers that have not been asked.
    AskPeers(Vec<VmName>),
    /// Install a peer's snapshot.
    InstallFromPeer(VmName),
    /// Serve with the own state; take no decisions until the log can be read again.
    ServeOnly,
    /// Wait for something to change.
    Wait(WaitReason),
    /// Propose a fresh start on the snapshot stream from an offset on, with as much of the
    /// configuration as the newest outdated state holds, and read what was accepted.
    ProposeFresh(Offset),
    /// Append the own state to the snapshot stream, so that its configuration is not lost, then as
    /// for `Restart`.
    SaveAndRestart,
    /// End the process, so that no order of a lost history is sent any more, and start anew.
    Restart,
    /// Take no decisions: the log has lost records that had been read.
    Halt,
}

/// `WaitReason` is why a VM waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Neither the log nor a peer with a state answers.
    NoSource,
    /// The state may be lost, but the list of VMs that might have it is not known.
    NoList,
    /// The state may be lost, but a VM that might have it does not answer.
    SilentPeer,
    /// The state is lost, but a VM still holds an outdated one. It has to give that up first.
    OutdatedPeer,
}

/// Returns what to do next.
pub fn plan(knowledge: &StateSources) -> CatchUpAction {
    match knowledge.log {
        LogRange::Unknown => CatchUpAction::ReadLogRange,
        LogRange::Down => plan_without_log(knowledge),
        LogRange::Keeps { first, end } => plan_with_log(knowledge, first, end),
    }
}

/// While the log is down, any state serves: nothing can be decided in the meantime, so the state of
/// the peer that reaches furthest is the newest there is.
fn plan_without_log(knowledge: &StateSources) -> CatchUpAction {
    if knowledge.own.is_some() {
        return CatchUpAction::ServeOnly;
    }
    let peers = knowledge.peers.as_deref().unwrap_or_default();
    let not_asked = not_asked(peers);
    match furthest(peers, |_| true) {
        _ if !not_asked.is_empty() => CatchUpAction::AskPeers(not_asked),
        Some(vm) => CatchUpAction::InstallFromPeer(vm),
        None => CatchUpAction::Wait(WaitReason::NoSource),
    }
}

fn plan_with_log(knowledge: &StateSources, first: Offset, end: Offset) -> CatchUpAction {
    let lineage = knowledge.lineage;
    let usable = |position: Position| {
        position.lineage >= lineage && position.next >= first && position.next <= end
    };
    match (knowledge.own, knowledge.stream) {
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
        _ => plan_with_peers(knowledge, end, usable),
    }
}

fn plan_with_peers(
    knowledge: &StateSources,
    end: Offset,
    usable: impl Fn(Position) -> bool,
) -> CatchUpAction {
    let Some(peers) = &knowledge.peers else {
        return CatchUpAction::Wait(WaitReason::NoList);
    };
    let not_asked = not_asked(peers);
    let any = |wanted: fn(&PeerAnswer) -> bool| peers.iter().any(|(_, answer)| wanted(answer));
    match furthest(peers, usable) {
        Some(vm) => CatchUpAction::InstallFromPeer(vm),
        None if !not_asked.is_empty() => CatchUpAction::AskPeers(not_asked),
        // A VM that is paused may hold the state and an order that it has not yet sent. A fresh
        // start would forget the order's memory while the order can still take it. The same goes
        // for every process that holds an outdated state, this one included: it ends first.
        None if any(|answer| *answer == PeerAnswer::Silent) => {
            CatchUpAction::Wait(WaitReason::SilentPeer)
        }
        None if knowledge.own.is_some() => CatchUpAction::SaveAndRestart,
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

fn furthest(peers: &[(VmName, PeerAnswer)], usable: impl Fn(Position) -> bool) -> Option<VmName> {
    let reaching = peers.iter().filter_map(|(vm, answer)| match answer {
        PeerAnswer::Reaches(position) if usable(*position) => Some((*position, vm)),
        _ => None,
    });
    reaching.max().map(|(_, vm)| vm.clone())
}
