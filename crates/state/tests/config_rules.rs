//! Tests of the rules by which changes of the configuration are accepted.

mod common;

use rstest::rstest;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::numbers::ConfigVersion;

use apricotdale_state::ControlState;
use apricotdale_state::IgnoreReason;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;

use common::Stream;
use common::model;

fn class(name: &str, answer_within_ms: u64) -> ConfigEdit {
    ConfigEdit::PutClass(ClassTarget {
        class: name.into(),
        answer_within_ms,
    })
}

fn service(paths: Vec<String>) -> ConfigEdit {
    ConfigEdit::PutService(ServiceSpec {
        service: "till".into(),
        idempotent_paths: paths,
    })
}

fn many_classes() -> Vec<ConfigEdit> {
    (0..65)
        .map(|index| class(&format!("c{index}"), 1))
        .collect()
}

#[rstest]
#[case::no_edits(vec![], "no_edits")]
#[case::empty_name(vec![class("", 1)], "bad_name")]
#[case::name_with_space(vec![class("quick answer", 1)], "bad_name")]
#[case::name_with_slash(vec![model("../m", None, 1)], "bad_name")]
#[case::long_name(vec![class(&"x".repeat(129), 1)], "bad_name")]
#[case::zero_target(vec![class("quick", 0)], "bad_target")]
#[case::target_too_long(vec![class("quick", u64::MAX)], "bad_target")]
#[case::zero_size(vec![model("m9", None, 0)], "bad_size")]
#[case::oversized(vec![model("m9", None, u64::MAX)], "bad_size")]
#[case::unknown_base(vec![model("ad", Some("m9"), 1)], "unknown_base")]
#[case::own_base(vec![model("m9", Some("m9"), 1)], "base_is_adapter")]
#[case::adapter_of_adapter(vec![model("ad", Some("m1-ad"), 1)], "base_is_adapter")]
#[case::base_removed(vec![ConfigEdit::RemoveModel("m1".into())], "unknown_base")]
#[case::unknown_model(vec![ConfigEdit::RemoveModel("m9".into())], "not_configured")]
#[case::unknown_class(vec![ConfigEdit::RemoveClass("c9".into())], "not_configured")]
#[case::unknown_service(vec![ConfigEdit::RemoveService("s9".into())], "not_configured")]
#[case::empty_path(vec![service(vec![String::new()])], "bad_path")]
#[case::path_with_newline(vec![service(vec!["/a\n/b".to_owned()])], "bad_path")]
#[case::many_paths(vec![service(vec!["/a".to_owned(); 65])], "too_many_paths")]
#[case::many_classes(many_classes(), "too_many_classes")]
#[case::second_edit_bad(vec![class("quick", 5), class("late", 0)], "bad_target")]
fn invalid_change_rejected(#[case] edits: Vec<ConfigEdit>, #[case] code: &str) {
    let (mut stream, _, _) = Stream::ready(true);
    let before = stream.state.config().clone();
    let verdict = stream.configure(edits);
    assert_eq!(verdict.as_str(), code);
    assert!(matches!(
        verdict,
        Verdict::Rejected(RejectReason::InvalidChange(_))
    ));
    assert_eq!(*stream.state.config(), before);
    assert_eq!(stream.state.counters().count(code), 1);
}

#[test]
fn base_removed_together() {
    let (mut stream, _, _) = Stream::ready(true);
    let edits = vec![
        ConfigEdit::RemoveModel("m1".into()),
        ConfigEdit::RemoveModel("m1-ad".into()),
        service(vec!["/stock".to_owned()]),
    ];
    assert!(stream.configure(edits).is_accepted());
    assert!(stream.state.config().model(&"m1".into()).is_none());
    assert_eq!(stream.state.config().models().count(), 1);
    assert!(stream.state.config().service(&"till".into()).is_some());
}

#[test]
fn unchanged_version_kept() {
    let (mut stream, _, _) = Stream::ready(true);
    let before = stream
        .state
        .config()
        .model(&"m1".into())
        .map(|model| model.version);
    stream.configure(vec![model("m1", None, 60), model("m2", None, 41)]);
    let config = stream.state.config();
    assert_eq!(
        config.model(&"m1".into()).map(|model| model.version),
        before
    );
    assert_eq!(
        config.model(&"m2".into()).map(|model| model.version),
        Some(config.version())
    );
}

fn change(change_id: u64, base_version: ConfigVersion) -> ConfigChange {
    let edits = vec![class("quick", change_id)];
    ConfigChange {
        change_id,
        operator: "operator".to_owned(),
        base_version,
        edits,
    }
}

/// Guards against a change that undoes another one which its operator has not seen. Two operators
/// read the same version; the first change is accepted, and the second is based on the old version.
#[test]
fn first_change_wins() {
    let (mut stream, _, _) = Stream::ready(true);
    let version = stream.state.config().version();
    let first = stream.append(&ControlRecord::Config(change(101, version)));
    let second = stream.append(&ControlRecord::Config(change(102, version)));
    assert!(first.is_accepted());
    assert_eq!(second, Verdict::Rejected(RejectReason::VersionConflict));
    let target = stream
        .state
        .config()
        .class(&"quick".into())
        .expect("the class was put");
    assert_eq!(target.answer_within_ms, 101);
    let decided = stream.state.change(102).expect("the change was decided");
    assert_eq!(decided.verdict, second);
}

/// Guards against a publisher that sees its change rejected although it is in force. The answer
/// to the append is lost and the publisher appends again. The duplicate would conflict with the
/// first copy if it were not recognised.
#[test]
fn duplicate_change_ignored() {
    let (mut stream, _, _) = Stream::ready(true);
    let record = ControlRecord::Config(change(101, stream.state.config().version()));
    assert!(stream.append(&record).is_accepted());
    assert_eq!(
        stream.append(&record),
        Verdict::Ignored(IgnoreReason::RepeatedChange)
    );
    assert!(
        stream
            .state
            .change(101)
            .expect("the change was decided")
            .verdict
            .is_accepted()
    );
}

/// Guards against a second change that undoes the first, where both are based on the empty
/// configuration. A change in the first record of the stream would get version zero, which is also
/// the version of the empty configuration.
#[test]
fn first_offset_rejected() {
    let mut stream = Stream::default();
    let verdict = stream.append(&ControlRecord::Config(change(1, ConfigVersion(0))));
    assert_eq!(verdict.as_str(), "first_offset");
    let verdict = stream.append(&ControlRecord::Config(change(2, ConfigVersion(0))));
    assert!(verdict.is_accepted());
}

#[test]
fn publisher_validation() {
    let state = ControlState::new();
    let good = change(1, ConfigVersion(0));
    let bad = ConfigChange {
        edits: vec![class("quick", 0)],
        ..good.clone()
    };
    assert!(state.config().validate(&good).is_none());
    let fault = state
        .config()
        .validate(&bad)
        .expect("a target of zero breaks a rule");
    assert_eq!(fault.to_string(), "bad_target: quick");
}
