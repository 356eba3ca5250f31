//! Where a VM gets its state from when it starts or has fallen behind.

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

fn later(next: u64) -> Position {
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
// Ordinary starts.
#[case::nothing_known(None, Unknown, Unread, &[], ReadLogRange)]
#[case::all_kept(None, keeps(0, 9), Unread, &[], Follow(Offset(0)))]
#[case::read_snapshots(None, keeps(5, 9), Unread, &[NotAsked], ReadSnapshotStream)]
#[case::from_stream(None, keeps(5, 9), stream(5), &[NotAsked], InstallFromStream)]
#[case::ask_peers(None, keeps(5, 9), stream(4), &[NotAsked], AskPeers(vec!["p0".into()]))]
#[case::from_peer(None, keeps(5, 9), Absent, &[reaches(6), reaches(8)], InstallFromPeer("p1".into()))]
// A VM with a state of its own.
#[case::following(Some(at(7)), keeps(5, 9), Unread, &[], Follow(Offset(7)))]
#[case::idle_and_trimmed(Some(at(9)), keeps(9, 9), Unread, &[], Follow(Offset(9)))]
#[case::fell_behind(Some(at(4)), keeps(5, 9), stream(6), &[], InstallFromStream)]
#[case::log_went_back(Some(at(10)), keeps(0, 9), Unread, &[], Halt)]
// The log is down.
#[case::serving(Some(at(7)), Down, Unread, &[NotAsked], ServeOnly)]
#[case::asking(None, Down, Unread, &[NotAsked], AskPeers(vec!["p0".into()]))]
#[case::serving_a_peers(None, Down, Unread, &[Silent, reaches(2)], InstallFromPeer("p1".into()))]
#[case::nobody_knows(None, Down, Unread, &[Silent, NoState], Wait(WaitReason::NoSource))]
// All VMs were replaced and the log has trimmed past everything.
#[case::silent_peer(None, keeps(5, 9), Absent, &[Silent, NoState], Wait(WaitReason::SilentPeer))]
#[case::all_lost(None, keeps(5, 9), stream(4), &[NoState], ProposeFresh(Offset(9)))]
#[case::alone(None, keeps(5, 9), Absent, &[], ProposeFresh(Offset(9)))]
#[case::own_outdated(Some(at(4)), keeps(5, 9), Absent, &[NoState], SaveAndRestart)]
#[case::peer_outdated(None, keeps(5, 9), Absent, &[reaches(4)], Wait(WaitReason::OutdatedPeer))]
#[case::others_went_on(Some(at(4)), keeps(5, 9), StreamSnapshot::Reaches(later(6)), &[], Restart)]
fn the_next_step_follows_from_what_is_known(
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
    let knowledge = StateSources {
        own,
        log,
        stream,
        lineage,
        peers: Some(peers),
    };
    assert_eq!(plan(&knowledge), action);
}

#[test]
fn without_a_list_of_vms_nothing_counts_as_lost() {
    let log = keeps(5, 9);
    let lineage = Lineage::default();
    let knowledge = StateSources {
        own: None,
        log,
        stream: Absent,
        lineage,
        peers: None,
    };
    assert_eq!(plan(&knowledge), Wait(WaitReason::NoList));
}

/// Symptom: a VM goes on from a state of before a loss.
/// Sequence: the others have agreed on a fresh start; a VM that was paused holds an old state that
/// the log could still continue.
/// Cause: offsets alone do not tell the two histories apart.
#[test]
fn a_state_of_a_lost_history_is_given_up() {
    let stream = StreamSnapshot::Reaches(later(6));
    let lineage = Lineage(Offset(3));
    let own = Some(at(7));
    let knowledge = StateSources {
        own,
        log: keeps(5, 9),
        stream,
        lineage,
        peers: None,
    };
    assert_eq!(plan(&knowledge), Restart);
}
