//! Tests of the decision where a VM gets its state from when it starts or has fallen behind.

use rstest::rstest;

use apricotdale_core::numbers::Offset;

use apricotdale_state::catch_up::CatchUpAction;
use apricotdale_state::catch_up::LogRange;
use apricotdale_state::catch_up::PeerAnswer;
use apricotdale_state::catch_up::Position;
use apricotdale_state::catch_up::StateSources;
use apricotdale_state::catch_up::StreamSnapshot;
use apricotdale_state::catch_up::WaitReason;
use apricotdale_state::catch_up::plan;
use apricotdale_state::snapshot::Lineage;

use CatchUpAction::AskPeers;
use CatchUpAction::Follow;
use CatchUpAction::Halt;
use CatchUpAction::InstallFromPeer;
use CatchUpAction::InstallFromStream;
use CatchUpAction::ProposeFresh;
use CatchUpAction::ReadLogRange;
use CatchUpAction::ReadSnapshotStream;
use CatchUpAction::Restart;
use CatchUpAction::SaveAndRestart;
use CatchUpAction::ServeOnly;
use CatchUpAction::Wait;
use LogRange::Down;
use LogRange::Unknown;
use PeerAnswer::NoState;
use PeerAnswer::NotAsked;
use PeerAnswer::Silent;
use StreamSnapshot::Absent;
use StreamSnapshot::Unread;

fn keeps(first: u64, end: u64) -> LogRange {
    LogRange::Keeps {
        first: Offset(first),
        end: Offset(end),
    }
}

fn at(next: u64) -> Position {
    Position {
        lineage: Lineage::default(),
        next: Offset(next),
    }
}

fn position_after_loss(next: u64) -> Position {
    Position {
        lineage: Lineage(Offset(3)),
        next: Offset(next),
    }
}

fn reaches(next: u64) -> PeerAnswer {
    PeerAnswer::Reaches(at(next))
}

fn stream(next: u64) -> StreamSnapshot {
    StreamSnapshot::Reaches(at(next))
}

#[rstest]
// Starts with a log that can be read.
#[case::nothing_known(None, Unknown, Unread, &[], ReadLogRange)]
#[case::all_kept(None, keeps(0, 9), Unread, &[], Follow(Offset(0)))]
#[case::read_snapshots(None, keeps(5, 9), Unread, &[NotAsked], ReadSnapshotStream)]
#[case::from_stream(None, keeps(5, 9), stream(5), &[NotAsked], InstallFromStream)]
#[case::ask_peers(None, keeps(5, 9), stream(4), &[NotAsked], AskPeers(vec!["p0".into()]))]
#[case::from_peer(None, keeps(5, 9), Absent, &[reaches(6), reaches(8)], InstallFromPeer("p1".into()))]
// The log is available and the VM already holds a state.
#[case::following(Some(at(7)), keeps(5, 9), Unread, &[], Follow(Offset(7)))]
#[case::idle_log_trimmed(Some(at(9)), keeps(9, 9), Unread, &[], Follow(Offset(9)))]
#[case::fell_behind(Some(at(4)), keeps(5, 9), stream(6), &[], InstallFromStream)]
#[case::log_truncated(Some(at(10)), keeps(0, 9), Unread, &[], Halt)]
// The log is down.
#[case::serving(Some(at(7)), Down, Unread, &[NotAsked], ServeOnly)]
#[case::asking(None, Down, Unread, &[NotAsked], AskPeers(vec!["p0".into()]))]
#[case::serving_peer_state(None, Down, Unread, &[Silent, reaches(2)], InstallFromPeer("p1".into()))]
#[case::no_source(None, Down, Unread, &[Silent, NoState], Wait(WaitReason::NoSource))]
// All VMs were replaced, and the log no longer has the records that their state needs.
#[case::silent_peer(None, keeps(5, 9), Absent, &[Silent, NoState], Wait(WaitReason::SilentPeer))]
#[case::all_lost(None, keeps(5, 9), stream(4), &[NoState], ProposeFresh(Offset(9)))]
#[case::no_peers(None, keeps(5, 9), Absent, &[], ProposeFresh(Offset(9)))]
#[case::own_outdated(Some(at(4)), keeps(5, 9), Absent, &[NoState], SaveAndRestart)]
#[case::peer_outdated(None, keeps(5, 9), Absent, &[reaches(4)], Wait(WaitReason::OutdatedPeer))]
#[case::others_restarted(Some(at(4)), keeps(5, 9), StreamSnapshot::Reaches(position_after_loss(6)), &[], Restart)]
fn next_action(
    #[case] own: Option<Position>,
    #[case] log: LogRange,
    #[case] stream: StreamSnapshot,
    #[case] peers: &[PeerAnswer],
    #[case] action: CatchUpAction,
) {
    let lineage = match stream {
        StreamSnapshot::Reaches(position) => position.lineage,
        _ => Lineage::default(),
    };
    let peers = peers.iter().enumerate();
    let peers = peers
        .map(|(index, answer)| (format!("p{index}").into(), *answer))
        .collect();
    let sources = StateSources {
        own,
        log,
        stream,
        lineage,
        peers: Some(peers),
    };
    assert_eq!(plan(&sources), action);
}

#[test]
fn missing_vm_list() {
    let log = keeps(5, 9);
    let lineage = Lineage::default();
    let sources = StateSources {
        own: None,
        log,
        stream: Absent,
        lineage,
        peers: None,
    };
    assert_eq!(plan(&sources), Wait(WaitReason::NoList));
}

/// Guards against a VM that continues from a state of before a loss. The other VMs have agreed on a
/// fresh start, and a VM that was paused holds an old state that the records of the log would fit.
/// Only the lineage distinguishes the two histories; the offsets do not.
#[test]
fn outdated_lineage_restarts() {
    let stream = StreamSnapshot::Reaches(position_after_loss(6));
    let lineage = Lineage(Offset(3));
    let own = Some(at(7));
    let sources = StateSources {
        own,
        log: keeps(5, 9),
        stream,
        lineage,
        peers: None,
    };
    assert_eq!(plan(&sources), Restart);
}
