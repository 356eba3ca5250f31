//! Effects of engine statuses on replicas and engines, read in order or appended late.

mod common;

use rstest::rstest;

use apricotdale_core::control::SettledAs;
use apricotdale_core::engine::Residency;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Offset;

use apricotdale_state::Accepted;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;
use apricotdale_state::members::LIST_CLOCK_MARGIN_MS;
use apricotdale_state::replicas::Stage;

use common::Stream;
use common::resident;

/// Guards against reassigning memory that is in use. A VM reads the status and is paused. A load
/// ends and is settled. Then the VM appends the status, which is newer than the last one observed
/// but older than the settlement, and does not show the replica.
#[test]
fn status_before_settlement() {
    let (mut stream, a, b) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 5));
    let verdict = stream.observe(b, "e1", true, 1, 4, 0, &[]);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert_eq!(stream.stage(load), Some(Stage::Loaded));
    stream.observe(b, "e1", true, 1, 6, 0, &[]);
    assert_eq!(stream.stage(load), None);
}

#[rstest]
#[case::older_sequence(1, 2, 9)]
#[case::repeated_status(1, 3, 9)]
#[case::older_incarnation(0, 8, 99)]
fn old_status_rejected(#[case] boot: u64, #[case] sequence: u64, #[case] highest: u64) {
    let (mut stream, a, _) = Stream::ready(true);
    stream.observe(a, "e1", true, 1, 3, 9, &[]);
    let unmanaged = [resident("m1", Residency::Loaded, 60, Offset(1))];
    let verdict = stream.observe(a, "e1", true, boot, sequence, highest, &unmanaged);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert_eq!(stream.held_bytes("e1"), 0);
}

/// Raising the fence changes no model, so the sequence stays the same. The status is still applied.
#[test]
fn higher_fence_applied() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    assert!(
        stream
            .observe(b, "e1", true, 1, 0, load.0 + 1, &[])
            .is_accepted()
    );
    assert_eq!(stream.stage(load), Some(Stage::Revoked));
    assert_eq!(stream.held_bytes("e1"), 0);
}

#[rstest]
#[case::lower(-1, Stage::Reserved)]
#[case::equal(0, Stage::Reserved)]
#[case::higher(1, Stage::Revoked)]
fn lower_tokens_refused(#[case] difference: i64, #[case] stage: Stage) {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    let highest = load
        .0
        .checked_add_signed(difference)
        .expect("the load is not at zero");
    stream.observe(b, "e1", true, 1, 1, highest, &[]);
    assert_eq!(stream.stage(load), Some(stage));
}

#[test]
fn restart_keeps_orders() {
    let (mut stream, a, b) = Stream::ready(true);
    let loaded = stream.loaded(a, "m1", "e1", (1, 2));
    let (ordered, _) = stream.load(a, "m2", "e1");
    stream.observe(b, "e1", true, 2, 0, 0, &[]);
    assert_eq!(stream.stage(loaded), None);
    assert_eq!(stream.stage(ordered), Some(Stage::Reserved));
    assert_eq!(stream.held_bytes("e1"), 40);
}

/// Guards against requests to an engine that no longer has the model. The load ends, the engine
/// restarts and is observed, and the settlement of the load is appended after that. The settlement
/// is true only of an incarnation that has ended.
#[test]
fn load_before_restart() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.observe(b, "e1", true, 2, 0, 0, &[]);
    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((1, 2)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
    assert_eq!(stream.held_bytes("e1"), 0);
}

#[test]
fn gone_engine_load() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.remove_engine(b, "e1", 1);
    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((1, 2)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
}

#[test]
fn unobserved_incarnation_load() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.settle_load(a, load, SettledAs::Done, Some((2, 2)));
    let (_, verdict) = stream.load(a, "m2", "e1");
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineRestarted));
    let loaded = [resident("m1", Residency::Loaded, 60, load)];
    stream.observe(b, "e1", true, 2, 2, load.0, &loaded);
    assert_eq!(stream.stage(load), Some(Stage::Loaded));
    assert_eq!(stream.held_bytes("e1"), 60);
}

#[test]
fn unmanaged_model() {
    let (mut stream, a, b) = Stream::ready(true);
    let unmanaged = resident("m1", Residency::Loaded, 60, Offset(1));
    stream.observe(b, "e1", true, 1, 1, 1, std::slice::from_ref(&unmanaged));
    assert_eq!(stream.held_bytes("e1"), 60);
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
    let verdict = stream.load(a, "m1", "e1").1;
    assert_eq!(verdict, Verdict::Rejected(RejectReason::AlreadyOnEngine));
    let verdict = stream.unload(a, "m1", "e1", Offset(2));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::UnknownReplica));
    assert!(stream.unload(a, "m1", "e1", Offset(1)).is_accepted());
    let unload = stream.last_offset();
    // A new status that still shows the model keeps the unload in progress.
    stream.observe(b, "e1", true, 1, 2, 1, &[unmanaged]);
    assert_eq!(stream.state.unsettled().count(), 1);
    let verdict = stream.settle_unload(a, unload, SettledAs::Done, Some((1, 3)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::Unloaded));
    assert_eq!(stream.held_bytes("e1"), 0);
}

#[test]
fn oversized_resident() {
    let (mut stream, a, b) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 1));
    let large = [resident("m1", Residency::Loaded, u64::MAX, load)];
    stream.observe(b, "e1", true, 1, 2, load.0, &large);
    assert_eq!(stream.held_bytes("e1"), u64::MAX);
    assert_eq!(
        stream.load(a, "m2", "e1").1,
        Verdict::Rejected(RejectReason::NoMemory)
    );
}

/// Guards against reassigning memory that is in use. The settlement of an unload names a status
/// from before the replica existed, when the engine did not hold the model either.
#[test]
fn old_unload_status() {
    let (mut stream, a, _) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 5));
    stream.unload(a, "m1", "e1", load);
    let unload = stream.last_offset();
    let verdict = stream.settle_unload(a, unload, SettledAs::Done, Some((1, 4)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert_eq!(stream.held_bytes("e1"), 60);
    // An unload that is not settled ends when a status no longer shows the model.
    stream.observe(a, "e1", true, 1, 7, 0, &[]);
    assert_eq!(stream.held_bytes("e1"), 0);
    assert_eq!(stream.state.unsettled().count(), 0);
}

#[test]
fn orders_outlive_engine() {
    let (mut stream, a, b) = Stream::ready(false);
    let loaded = stream.loaded(a, "m1", "e1", (1, 2));
    let (ordered, _) = stream.load(a, "m2", "e1");
    assert!(stream.remove_engine(b, "e1", 1).is_accepted());
    assert_eq!(stream.stage(loaded), None);
    assert_eq!(stream.stage(ordered), Some(Stage::Reserved));
    assert_eq!(stream.state.engines().count(), 0);
    let verdict = stream.load(a, "m1", "e1").1;
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineGone));
    // A late status does not restore the engine. A later engine with the same name has another
    // incarnation.
    let verdict = stream.observe(b, "e1", false, 1, 1, 0, &[]);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert!(stream.observe(b, "e1", false, 2, 0, 0, &[]).is_accepted());
    assert_eq!(stream.held_bytes("e1"), 40);
    let verdict = stream.remove_engine(b, "e1", 1);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineRestarted));
}

/// Guards against overcommitting an engine that replaced another under the same name. The sender is
/// paused, the engine is replaced, and the sender sends to the new engine and ends. The old engine
/// is recorded as gone and the sender as departed. If the order were forgotten with the old engine,
/// the memory of the new one would be reassigned before it handles the order.
#[test]
fn successor_memory_reserved() {
    let (mut stream, a, b) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    assert!(stream.remove_engine(b, "e1", 1).is_accepted());
    assert_eq!(stream.state.unsettled().count(), 1);
    stream.depart(b, "a", a);
    assert_eq!(stream.state.unsettled().count(), 0, "nobody can settle it");
    stream.observe(b, "e1", false, 2, 0, 0, &[]);
    assert_eq!(stream.held_bytes("e1"), 60);
    assert_eq!(stream.state.unsettled().count(), 1);
    stream.take_over(b, load);
    let failed = SettledAs::Failed("not there".to_owned());
    stream.settle_load(b, load, failed, Some((2, 0)));
    assert_eq!(stream.stage(load), Some(Stage::Lingering));
    assert!(stream.remove_engine(b, "e1", 2).is_accepted());
    assert_eq!(stream.stage(load), None);
}

#[test]
fn gone_engines_bounded() {
    let (mut stream, a, _) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.remove_engine(a, "e1", 1);
    for index in 0..1_024 {
        let name = format!("late-{index}");
        stream.observe(a, &name, false, 1, 0, 0, &[]);
        assert!(stream.remove_engine(a, &name, 1).is_accepted());
    }
    assert!(stream.state.engine(&"e1".into()).is_none());
    assert_eq!(stream.stage(load), None);
    assert!(stream.state.engine(&"late-0".into()).is_some());
}

/// Guards against a running engine that stays unused, with its replicas not counted. The delayed VM
/// list shows the end of an earlier machine of the same name, and the engine is recorded as gone.
/// Then the engine answers.
#[test]
fn engine_returns() {
    let (mut stream, a, b) = Stream::ready(false);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    assert!(stream.remove_engine(b, "e1", 1).is_accepted());
    let loaded = [resident("m1", Residency::Loaded, 60, load)];
    assert!(
        stream
            .observe(b, "e1", false, 1, 3, 0, &loaded)
            .is_accepted()
    );
    assert_eq!(stream.held_bytes("e1"), 60);
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
}

#[test]
fn list_clock_margin() {
    let (stream, a, _) = Stream::ready(false);
    let engine = stream
        .state
        .engine(&"e1".into())
        .expect("the engine was observed");
    let since_ms = engine.incarnation_since_ms;
    let removable = |as_of_ms| stream.state.removable_boot(&"e1".into(), as_of_ms);
    assert_eq!(removable(since_ms + LIST_CLOCK_MARGIN_MS), None);
    assert_eq!(
        removable(since_ms + LIST_CLOCK_MARGIN_MS + 1),
        Some(BootId(1))
    );
    let members = stream.state.members();
    let joined_ms = 1_000 + a.0;
    assert!(
        members
            .departable_epochs(&"a".into(), joined_ms + LIST_CLOCK_MARGIN_MS)
            .is_empty()
    );
    assert_eq!(
        members.departable_epochs(&"a".into(), joined_ms + LIST_CLOCK_MARGIN_MS + 1),
        [a]
    );
}
