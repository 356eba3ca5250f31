//! Tests of joins, epochs, sequences and departures, which decide whose records are accepted.

mod common;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Join;
use apricotdale_core::control::SettledAs;
use apricotdale_core::numbers::Epoch;

use apricotdale_state::IgnoreReason;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;

use common::Stream;

fn join_record(vm: &str, process_id: u64) -> ControlRecord {
    ControlRecord::Join(Join {
        vm: vm.into(),
        zone: "z1".into(),
        process_id,
    })
}

#[test]
fn first_record_supersedes() {
    let (mut stream, a, _) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    let next = stream.join("a", 10);
    assert!(stream.state.is_current(a), "a join alone ends no process");
    assert!(stream.take_over(next, load).is_accepted());
    assert!(!stream.state.is_current(a));
    assert!(
        !stream
            .state
            .replica(load)
            .expect("the load is unsettled")
            .sender_may_act()
    );
    let (_, verdict) = stream.load(a, "m2", "e1");
    assert_eq!(verdict, Verdict::Rejected(RejectReason::StaleEpoch));
}

/// Guards against two orders that take the same memory of an engine that does not check fencing
/// tokens. A process ends while its join is being appended. Its successor joins, proposes a load
/// and is paused before it sends the order. The late join is appended. If it ended the successor,
/// another VM would take the load over and reassign its memory, and the successor would then still
/// send it. The order of joins on the stream is not the order in which the processes ran.
#[test]
fn late_join_harmless() {
    let (mut stream, a, b) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.append(&join_record("a", 99));
    assert!(stream.state.is_current(a));
    assert!(stream.take_over(b, load).is_accepted());
    let verdict = stream.settle_load(b, load, SettledAs::Abandoned, Some((1, 0)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::SenderMayAct));
    assert_eq!(stream.held_bytes("e1"), 60);
}

/// Guards against the same failure after a join whose append was repeated.
#[test]
fn duplicate_join_ignored() {
    let (mut stream, a, _) = Stream::ready(true);
    let verdict = stream.append(&join_record("a", 1));
    assert_eq!(verdict, Verdict::Ignored(IgnoreReason::RepeatedJoin));
    assert_eq!(stream.state.epoch_of(&"a".into(), 1), Some(a));
    assert!(stream.load(a, "m1", "e1").1.is_accepted());
}

#[test]
fn unconfirmed_process_superseded() {
    let (mut stream, _, _) = Stream::ready(true);
    let second = stream.join("a", 10);
    let third = stream.join("a", 11);
    assert!(stream.load(third, "m1", "e1").1.is_accepted());
    let (_, verdict) = stream.load(second, "m2", "e1");
    assert_eq!(verdict, Verdict::Rejected(RejectReason::StaleEpoch));
}

#[test]
fn duplicate_record_ignored() {
    let (mut stream, a, _) = Stream::ready(true);
    let record = ControlRecord::Load(stream.load_intent(a, "m1", "e1"));
    assert!(stream.append(&record).is_accepted());
    assert_eq!(
        stream.append(&record),
        Verdict::Ignored(IgnoreReason::RepeatedSequence)
    );
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
}

#[rstest]
#[case::unknown_vm("x", 0, RejectReason::UnknownProcess)]
#[case::older_process("a", 77, RejectReason::UnknownProcess)]
fn unknown_departure_rejected(#[case] vm: &str, #[case] epoch: u64, #[case] reason: RejectReason) {
    let (mut stream, _, b) = Stream::ready(true);
    let verdict = stream.depart(b, vm, Epoch(epoch));
    assert_eq!(verdict, Verdict::Rejected(reason));
}

#[test]
fn departed_process_rejected() {
    let (mut stream, a, b) = Stream::ready(true);
    assert!(stream.depart(b, "a", a).is_accepted());
    let (_, verdict) = stream.load(a, "m1", "e1");
    assert_eq!(verdict, Verdict::Rejected(RejectReason::NotMember));
    assert!(!stream.state.members().has_process(1));
}

#[rstest]
#[case::invalid_utf8(b"\xff\x00".to_vec())]
#[case::empty(Vec::new())]
#[case::other_json(b"{\"reboot\":{}}".to_vec())]
fn undecodable_record_ignored(#[case] payload: Vec<u8>) {
    let (mut stream, a, _) = Stream::ready(true);
    assert_eq!(
        stream.append_bytes(payload),
        Verdict::Ignored(IgnoreReason::Undecodable)
    );
    assert!(stream.load(a, "m1", "e1").1.is_accepted());
}

#[test]
fn out_of_order_ignored() {
    let (mut stream, a, _) = Stream::ready(true);
    let record = ControlRecord::Load(stream.load_intent(a, "m1", "e1")).encode();
    let before = stream.state.clone();
    let next = stream.state.next_offset();
    let ahead = stream.state.apply(next.next(), 1, &record);
    assert_eq!(ahead, Verdict::Ignored(IgnoreReason::Gap));
    let behind = stream.state.apply(stream.last_offset(), 1, &record);
    assert_eq!(behind, Verdict::Ignored(IgnoreReason::AlreadyReplayed));
    assert_eq!(stream.state, before);
}
