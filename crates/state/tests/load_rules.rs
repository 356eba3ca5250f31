//! Tests of the rules by which loads and unloads are accepted.

mod common;

use rstest::rstest;

use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::SettledAs;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Offset;

use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;
use apricotdale_state::replicas::Stage;

use common::Stream;
use common::model;

#[rstest]
#[case::unknown_model(|intent: &mut LoadIntent| intent.model = "m9".into(), RejectReason::UnknownModel)]
#[case::old_model(|intent: &mut LoadIntent| intent.model_version = ConfigVersion(1), RejectReason::ModelChanged)]
#[case::unknown_engine(|intent: &mut LoadIntent| intent.engine = "e9".into(), RejectReason::UnknownEngine)]
#[case::old_incarnation(|intent: &mut LoadIntent| intent.boot = BootId(0), RejectReason::EngineRestarted)]
#[case::later_incarnation(|intent: &mut LoadIntent| intent.boot = BootId(2), RejectReason::EngineRestarted)]
#[case::other_count(|intent: &mut LoadIntent| intent.expected_replicas = 1, RejectReason::ReplicaCountChanged)]
#[case::base_missing(|intent: &mut LoadIntent| intent.model = "m1-ad".into(), RejectReason::BaseNotLoaded)]
fn outdated_load_rejected(#[case] change: fn(&mut LoadIntent), #[case] reason: RejectReason) {
    let (mut stream, a, _) = Stream::ready(true);
    let mut intent = stream.load_intent(a, "m1", "e1");
    change(&mut intent);
    let verdict = stream.append(&ControlRecord::Load(intent));
    assert_eq!(verdict, Verdict::Rejected(reason));
    assert_eq!(stream.held_bytes("e1"), 0);
}

/// Guards against two VMs that each load a replica for the same burst of first requests. Both see
/// no replica and propose one; the expected number of replicas makes the second proposal fail.
#[test]
fn one_proposal_accepted() {
    let (mut stream, a, b) = Stream::ready(true);
    stream.observe(a, "e2", true, 1, 0, 0, &[]);
    let first = stream.load_intent(a, "m1", "e1");
    let second = stream.load_intent(b, "m1", "e2");
    assert!(stream.append(&ControlRecord::Load(first)).is_accepted());
    let verdict = stream.append(&ControlRecord::Load(second));
    assert_eq!(
        verdict,
        Verdict::Rejected(RejectReason::ReplicaCountChanged)
    );
}

#[test]
fn memory_accounting() {
    let (mut stream, a, _) = Stream::ready(true);
    stream.configure(vec![model("m3", None, 41), model("m4", None, 1)]);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    assert_eq!(
        stream.load(a, "m3", "e1").1,
        Verdict::Rejected(RejectReason::NoMemory)
    );
    assert!(stream.load(a, "m2", "e1").1.is_accepted());
    assert!(stream.unload(a, "m1", "e1", load).is_accepted());
    assert_eq!(
        stream.load(a, "m4", "e1").1,
        Verdict::Rejected(RejectReason::NoMemory)
    );
}

#[test]
fn model_once_per_engine() {
    let (mut stream, a, _) = Stream::ready(true);
    stream.configure(vec![model("m4", None, 10)]);
    stream.loaded(a, "m4", "e1", (1, 2));
    assert_eq!(
        stream.load(a, "m4", "e1").1,
        Verdict::Rejected(RejectReason::AlreadyOnEngine)
    );
}

#[test]
fn wrong_group_rejected() {
    let (mut stream, a, _) = Stream::ready(true);
    stream.configure(vec![ConfigEdit::PutModel(ModelSpec {
        model: "far".into(),
        base: None,
        group: "g2".into(),
        bytes: 1,
    })]);
    assert_eq!(
        stream.load(a, "far", "e1").1,
        Verdict::Rejected(RejectReason::WrongGroup)
    );
}

#[test]
fn adapter_needs_base() {
    let (mut stream, a, _) = Stream::ready(true);
    let (base, _) = stream.load(a, "m1", "e1");
    assert_eq!(
        stream.load(a, "m1-ad", "e1").1,
        Verdict::Rejected(RejectReason::BaseNotLoaded)
    );
    stream.settle_load(a, base, SettledAs::Done, Some((1, 2)));
    let (adapter, verdict) = stream.load(a, "m1-ad", "e1");
    assert!(verdict.is_accepted());
    let verdict = stream.unload(a, "m1", "e1", base);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::HasAdapters));
    stream.settle_load(a, adapter, SettledAs::Failed("no".to_owned()), None);
    assert!(stream.unload(a, "m1", "e1", base).is_accepted());
    assert_eq!(
        stream.load(a, "m1-ad", "e1").1,
        Verdict::Rejected(RejectReason::BaseNotLoaded)
    );
}

/// Guards against unloading a replica that was just loaded for waiting requests. A VM decides to
/// unload an idle replica and is paused. That replica is unloaded and another one of the same model
/// is loaded on the same engine before the VM's proposal is appended.
#[test]
fn late_unload_rejected() {
    let (mut stream, a, b) = Stream::ready(true);
    let first = stream.loaded(a, "m1", "e1", (1, 2));
    assert!(stream.unload(a, "m1", "e1", first).is_accepted());
    let unload = stream.last_offset();
    assert!(
        stream
            .settle_unload(a, unload, SettledAs::Done, Some((1, 4)))
            .is_accepted()
    );
    stream.loaded(a, "m1", "e1", (1, 6));
    let verdict = stream.unload(b, "m1", "e1", first);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::UnknownReplica));
}

#[rstest]
#[case::not_sent(SettledAs::Abandoned)]
#[case::refused(SettledAs::Failed("stale".to_owned()))]
fn failed_unload_cancelled(#[case] outcome: SettledAs) {
    let (mut stream, a, _) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    stream.unload(a, "m1", "e1", load);
    let verdict = stream.unload(a, "m1", "e1", load);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::NotLoaded));
    let unload = stream.last_offset().0 - 1;
    let unload = Offset(unload);
    assert!(stream.settle_unload(a, unload, outcome, None).is_accepted());
    assert_eq!(stream.stage(load), Some(Stage::Loaded));
    assert_eq!(stream.held_bytes("e1"), 60);
}

#[rstest]
#[case::without_reading(SettledAs::Done, None, RejectReason::NoReading)]
#[case::not_owner(SettledAs::Done, Some((1, 2)), RejectReason::NotOwner)]
fn settlement_requirements(
    #[case] outcome: SettledAs,
    #[case] reading: Option<(u64, u64)>,
    #[case] reason: RejectReason,
) {
    let (mut stream, a, b) = Stream::ready(true);
    let (load, _) = stream.load(a, "m1", "e1");
    let by = if reading.is_some() { b } else { a };
    let verdict = stream.settle_load(by, load, outcome, reading);
    assert_eq!(verdict, Verdict::Rejected(reason));
    assert_eq!(stream.held_bytes("e1"), 60);
}

#[test]
fn load_settles_once() {
    let (mut stream, a, _) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    let verdict = stream.settle_load(a, load, SettledAs::Failed("late".to_owned()), None);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::UnknownIntent));
    assert_eq!(stream.held_bytes("e1"), 60);
}
