//! Upstreams that start again under the name that they had.

mod support;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_fleet::incarnation_name;
use rstest::rstest;

const FIRST_MS: u64 = 1_000;
const SECOND_MS: u64 = 2_000;
const THIRD_MS: u64 = 3_000;

fn directory() -> Directory {
    Directory::new(DirectoryOptions::default())
}

fn entry(born_ms: u64, revision: u64, models: &[&str]) -> Upstream {
    let instance = InstanceName::from("e");
    let mut residence = Residence::default();
    for model in models {
        residence.record_loaded(&ModelName::from(*model));
    }
    Upstream {
        name: incarnation_name(&instance, born_ms),
        born_ms,
        residence,
        ..support::entry("e", revision)
    }
}

fn run(born_ms: u64) -> UpstreamName {
    incarnation_name(&InstanceName::from("e"), born_ms)
}

fn serving(directory: &Directory) -> Vec<UpstreamName> {
    let service = GroupName::from("s");
    let serving = directory.serving(&service);
    serving.map(|upstream| upstream.name.clone()).collect()
}

/// Symptom: an engine that has started again gets requests for models that it does not hold, and no
/// orders. Sequence: its entry had revision 40; it crashes, starts again under the same name and
/// writes revision 1. Cause: a revision below the last one known was taken for an old entry.
#[test]
fn lower_revision_of_a_later_run() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 40, &["m"]));
    let change = directory.record_entry(entry(SECOND_MS, 1, &[]));
    let former = run(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    assert_eq!(serving(&directory), [run(SECOND_MS)]);
    assert!(directory.has_restarted(&run(FIRST_MS)));
    let now = directory.upstream(&run(SECOND_MS)).expect("known");
    assert!(now.residence.models.is_empty());
}

/// Symptom: models of a former run seem to be there again. Sequence: the later run's entry is read,
/// then one of the former run that was written before it, also after the later run is gone. Cause:
/// entries were told apart by their revision only.
#[rstest]
#[case::while_the_later_runs(false)]
#[case::after_it_is_gone(true)]
fn late_entry_of_the_former_run(#[case] gone: bool) {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 40, &["m"]));
    directory.record_entry(entry(SECOND_MS, 1, &[]));
    if gone {
        directory.record_missing_entry(0, &run(SECOND_MS));
    }
    let change = directory.record_entry(entry(FIRST_MS, 41, &["m"]));
    assert_eq!(change, DirectoryChange::None);
    assert_eq!(serving(&directory).len(), usize::from(!gone));
    assert!(directory.upstream(&run(FIRST_MS)).is_none());
}

/// Symptom: a restarted engine stays out of use. Sequence: it had given notice that it leaves, then
/// crashed and started again. Cause: the notice of the former run was kept for the later one.
#[test]
fn notice_ends_with_the_run() {
    let mut directory = directory();
    directory.record_entry(Upstream {
        phase: UpstreamPhase::Leaving,
        ..entry(FIRST_MS, 7, &["m"])
    });
    directory.record_entry(entry(SECOND_MS, 1, &[]));
    assert_eq!(serving(&directory), [run(SECOND_MS)]);
}

#[test]
fn two_restarts_between_two_reads() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    let change = directory.record_entry(entry(THIRD_MS, 2, &[]));
    let former = run(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    let change = directory.record_entry(entry(SECOND_MS, 30, &["m"]));
    assert_eq!(change, DirectoryChange::None);
    assert_eq!(serving(&directory), [run(THIRD_MS)]);
}

/// Symptom: orders by what a former run held, while the list can't be read. Sequence: the store is
/// away, the engine restarts, its report tells the later start. Cause: only the list was believed.
#[test]
fn restart_told_by_a_report() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    let change = directory.record_restart(&run(FIRST_MS), SECOND_MS, Residence::default());
    let former = run(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    assert_eq!(serving(&directory), [run(SECOND_MS)]);
    let late = directory.record_restart(&run(FIRST_MS), SECOND_MS, Residence::default());
    assert_eq!(late, DirectoryChange::None);
    // The run's own entry follows and is no further restart.
    let change = directory.record_entry(entry(SECOND_MS, 1, &["n"]));
    assert_eq!(change, DirectoryChange::Residence);
}

#[test]
fn restart_in_a_whole_list() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    directory.record_list_failure();
    directory.record_list_answer(0);
    let left = directory
        .apply_listing(0, vec![entry(SECOND_MS, 1, &[])])
        .left;
    assert_eq!(left, [run(FIRST_MS)]);
    assert!(directory.has_restarted(&run(FIRST_MS)));
    // A list that is older than what is known takes nothing back.
    let left = directory
        .apply_listing(0, vec![entry(FIRST_MS, 9, &["m"])])
        .left;
    assert!(left.is_empty());
    assert_eq!(serving(&directory), [run(SECOND_MS)]);
}

/// Symptom: requests go to an address that another writer has named, or to an engine whose entry is
/// no longer its own. Sequence: a foreign entry replaces an engine's; its next own entry follows.
/// Cause: what could not be understood was left alone, and a reader of the newest entries only saw
/// something else than one that reads each change.
#[test]
fn own_entry_after_a_foreign_one() {
    let mut directory = directory();
    let instance = InstanceName::from("e");
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    assert_eq!(
        directory.record_foreign_entry(&instance),
        DirectoryChange::Left
    );
    assert_eq!(
        directory.record_foreign_entry(&instance),
        DirectoryChange::None
    );
    assert!(serving(&directory).is_empty());
    let change = directory.record_entry(entry(FIRST_MS, 10, &["m"]));
    assert_eq!(change, DirectoryChange::Added);
    assert!(!directory.has_restarted(&run(FIRST_MS)));
}
