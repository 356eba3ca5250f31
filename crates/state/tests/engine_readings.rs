//! What follows from engines' readings, in order and late.

mod common;

use rstest::rstest;

use apricotdale_core::control::SettledAs;
use apricotdale_core::engine::Residency;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Offset;

use apricotdale_state::Accepted;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;
use apricotdale_state::members::LIST_MARGIN_MS;
use apricotdale_state::replicas::Stage;

use common::Stream;
use common::resident;

/// Symptom: memory that is in use is given away.
/// Sequence: a VM reads the engine and is paused; a load ends and is settled; the VM appends its
/// reading, which does not show the replica.
/// Cause: the reading is later than the last one observed, but older than the settlement.
#[test]
fn a_reading_from_before_a_settlement_frees_nothing() {
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
#[case::same_again(1, 3, 9)]
#[case::older_run(0, 8, 99)]
fn an_old_reading_is_dropped(#[case] boot: u64, #[case] sequence: u64, #[case] highest: u64) {
    let (mut stream, a, _) = Stream::ready(true);
    stream.observe(a, "e1", true, 1, 3, 9, &[]);
    let ghost = [resident("m1", Residency::Loaded, 60, Offset(1))];
    let verdict = stream.observe(a, "e1", true, boot, sequence, highest, &ghost);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert_eq!(stream.held("e1"), 0);
}

/// Raising the fence changes no model, so the sequence stays; the reading is news all the same.
#[test]
fn a_higher_fence_at_the_same_sequence_counts() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    assert!(
        stream
            .observe(b, "e1", true, 1, 0, load.0 + 1, &[])
            .is_accepted()
    );
    assert_eq!(stream.stage(load), Some(Stage::Revoked));
    assert_eq!(stream.held("e1"), 0);
}

#[rstest]
#[case::lower(-1, Stage::Reserved)]
#[case::equal(0, Stage::Reserved)]
#[case::higher(1, Stage::Revoked)]
fn an_engine_refuses_only_lower_numbers(#[case] difference: i64, #[case] stage: Stage) {
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
fn a_new_run_has_lost_what_was_loaded_but_not_what_is_ordered() {
    let (mut stream, a, b) = Stream::ready(true);
    let loaded = stream.loaded(a, "m1", "e1", (1, 2));
    let (ordered, _) = stream.load(a, "m2", "e1");
    stream.observe(b, "e1", true, 2, 0, 0, &[]);
    assert_eq!(stream.stage(loaded), None);
    assert_eq!(stream.stage(ordered), Some(Stage::Reserved));
    assert_eq!(stream.held("e1"), 40);
}

/// Symptom: requests are sent to an engine that no longer has the model.
/// Sequence: the load ends, the engine restarts and is observed, and only then the load's
/// settlement lands.
/// Cause: the settlement is true of a run that is over.
#[test]
fn a_load_done_in_a_run_that_is_over_is_gone() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.observe(b, "e1", true, 2, 0, 0, &[]);
    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((1, 2)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
    assert_eq!(stream.held("e1"), 0);
}

#[test]
fn a_load_done_on_an_engine_that_is_gone_is_gone() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.gone(b, "e1", 1);
    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((1, 2)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
}

#[test]
fn a_load_done_in_a_run_not_yet_observed_counts_there() {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.settle_load(a, load, SettledAs::Done, Some((2, 2)));
    let (_, verdict) = stream.load(a, "m2", "e1");
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineRestarted));
    let loaded = [resident("m1", Residency::Loaded, 60, load)];
    stream.observe(b, "e1", true, 2, 2, load.0, &loaded);
    assert_eq!(stream.stage(load), Some(Stage::Loaded));
    assert_eq!(stream.held("e1"), 60);
}

#[test]
fn what_was_not_decided_takes_memory_and_can_be_unloaded() {
    let (mut stream, a, b) = Stream::ready(true);
    let stray = resident("m1", Residency::Loaded, 60, Offset(1));
    stream.observe(b, "e1", true, 1, 1, 1, std::slice::from_ref(&stray));
    assert_eq!(stream.held("e1"), 60);
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
    let verdict = stream.load(a, "m1", "e1").1;
    assert_eq!(verdict, Verdict::Rejected(RejectReason::AlreadyOnEngine));
    let verdict = stream.unload(a, "m1", "e1", Offset(2));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::UnknownReplica));
    assert!(stream.unload(a, "m1", "e1", Offset(1)).is_accepted());
    let unload = stream.last();
    // A new reading that still shows it does not forget that it is on its way out.
    stream.observe(b, "e1", true, 1, 2, 1, &[stray]);
    assert_eq!(stream.state.unsettled().count(), 1);
    let verdict = stream.settle_unload(a, unload, SettledAs::Done, Some((1, 3)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::Unloaded));
    assert_eq!(stream.held("e1"), 0);
}

#[test]
fn a_resident_larger_than_configured_takes_what_it_takes() {
    let (mut stream, a, b) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 1));
    let large = [resident("m1", Residency::Loaded, u64::MAX, load)];
    stream.observe(b, "e1", true, 1, 2, load.0, &large);
    assert_eq!(stream.held("e1"), u64::MAX);
    assert_eq!(
        stream.load(a, "m2", "e1").1,
        Verdict::Rejected(RejectReason::NoMemory)
    );
}

/// Symptom: memory that is in use is given away.
/// Sequence: an unload's answer names a status from before the replica was there.
/// Cause: the model was absent then, too.
#[test]
fn an_unload_is_not_done_by_an_old_reading() {
    let (mut stream, a, _) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 5));
    stream.unload(a, "m1", "e1", load);
    let unload = stream.last();
    let verdict = stream.settle_unload(a, unload, SettledAs::Done, Some((1, 4)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert_eq!(stream.held("e1"), 60);
    // An unload that nobody settles is settled by what the engine shows.
    stream.observe(a, "e1", true, 1, 7, 0, &[]);
    assert_eq!(stream.held("e1"), 0);
    assert_eq!(stream.state.unsettled().count(), 0);
}

#[test]
fn a_gone_engine_takes_all_with_it_but_orders_at_large() {
    let (mut stream, a, b) = Stream::ready(false);
    let loaded = stream.loaded(a, "m1", "e1", (1, 2));
    let (ordered, _) = stream.load(a, "m2", "e1");
    assert!(stream.gone(b, "e1", 1).is_accepted());
    assert_eq!(stream.stage(loaded), None);
    assert_eq!(stream.stage(ordered), Some(Stage::Reserved));
    assert_eq!(stream.state.engines().count(), 0);
    let verdict = stream.load(a, "m1", "e1").1;
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineGone));
    // A late reading does not bring it back; its successor under the same name is another run.
    let verdict = stream.observe(b, "e1", false, 1, 1, 0, &[]);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
    assert!(stream.observe(b, "e1", false, 2, 0, 0, &[]).is_accepted());
    assert_eq!(stream.held("e1"), 40);
    let verdict = stream.gone(b, "e1", 1);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::EngineRestarted));
}

/// Symptom: an engine's successor under the same name is overcommitted.
/// Sequence: the sender is paused; the engine is replaced; the sender sends to the successor and
/// dies; the engine is said to be gone, its sender to have departed; the successor is observed, its
/// memory given away; the order is acted on.
/// Cause: the order had been forgotten with the engine.
#[test]
fn an_order_of_a_dead_sender_outlives_its_engine() {
    let (mut stream, a, b) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    assert!(stream.gone(b, "e1", 1).is_accepted());
    assert_eq!(stream.state.unsettled().count(), 1);
    stream.depart(b, "a", a);
    assert_eq!(stream.state.unsettled().count(), 0, "nobody can settle it");
    stream.observe(b, "e1", false, 2, 0, 0, &[]);
    assert_eq!(stream.held("e1"), 60);
    assert_eq!(stream.state.unsettled().count(), 1);
    stream.take_over(b, load);
    let failed = SettledAs::Failed("not there".to_owned());
    stream.settle_load(b, load, failed, Some((2, 0)));
    assert_eq!(stream.stage(load), Some(Stage::Lingering));
    assert!(stream.gone(b, "e1", 2).is_accepted());
    assert_eq!(stream.stage(load), None);
}

#[test]
fn only_so_many_gone_engines_are_remembered() {
    let (mut stream, a, _) = Stream::ready(false);
    let (load, _) = stream.load(a, "m1", "e1");
    stream.gone(a, "e1", 1);
    for index in 0..1_024 {
        let name = format!("late-{index}");
        stream.observe(a, &name, false, 1, 0, 0, &[]);
        assert!(stream.gone(a, &name, 1).is_accepted());
    }
    assert!(stream.state.engine(&"e1".into()).is_none());
    assert_eq!(stream.stage(load), None);
    assert!(stream.state.engine(&"late-0".into()).is_some());
}

/// Symptom: an engine that runs is out of use for good, and its replicas count as none.
/// Sequence: the lagging list shows the end of an engine's earlier machine; the engine is said to be
/// gone; the engine answers.
/// Cause: the list was read too early to mean the present run.
#[test]
fn an_engine_that_answers_again_is_back() {
    let (mut stream, a, b) = Stream::ready(false);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    assert!(stream.gone(b, "e1", 1).is_accepted());
    let loaded = [resident("m1", Residency::Loaded, 60, load)];
    assert!(
        stream
            .observe(b, "e1", false, 1, 3, 0, &loaded)
            .is_accepted()
    );
    assert_eq!(stream.held("e1"), 60);
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
}

#[test]
fn a_listing_speaks_only_of_what_is_older() {
    let (stream, a, _) = Stream::ready(false);
    let engine = stream
        .state
        .engine(&"e1".into())
        .expect("the engine was observed");
    let since_ms = engine.run_since_ms;
    let removable = |as_of_ms| stream.state.removable_boot(&"e1".into(), as_of_ms);
    assert_eq!(removable(since_ms + LIST_MARGIN_MS), None);
    assert_eq!(removable(since_ms + LIST_MARGIN_MS + 1), Some(BootId(1)));
    let members = stream.state.members();
    let joined_ms = 1_000 + a.0;
    assert!(
        members
            .departable_epochs(&"a".into(), joined_ms + LIST_MARGIN_MS)
            .is_empty()
    );
    assert_eq!(
        members.departable_epochs(&"a".into(), joined_ms + LIST_MARGIN_MS + 1),
        [a]
    );
}
