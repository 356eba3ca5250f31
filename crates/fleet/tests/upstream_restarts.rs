//! Upstreams that restart under the same instance name.

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

fn incarnation(born_ms: u64) -> UpstreamName {
    incarnation_name(&InstanceName::from("e"), born_ms)
}

fn serving(directory: &Directory) -> Vec<UpstreamName> {
    let service = GroupName::from("s");
    let serving = directory.serving(&service);
    serving.map(|upstream| upstream.name.clone()).collect()
}

/// Guards against requests to a restarted engine for models that it no longer holds, and against
/// missing orders to it. After a crash the engine writes entries from revision 1 on, which were
/// ignored as older than revision 40 of the former incarnation.
#[test]
fn restart_lowers_revision() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 40, &["m"]));
    let change = directory.record_entry(entry(SECOND_MS, 1, &[]));
    let former = incarnation(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    assert_eq!(serving(&directory), [incarnation(SECOND_MS)]);
    assert!(directory.has_restarted(&incarnation(FIRST_MS)));
    let now = directory.upstream(&incarnation(SECOND_MS)).expect("known");
    assert!(now.residence.models.is_empty());
}

/// Guards against models of a former incarnation that seem to be loaded again. An entry of the
/// former incarnation can be read after one of the later, also after the later was removed.
/// Revisions alone can't tell the two apart.
#[rstest]
#[case::later_present(false)]
#[case::later_removed(true)]
fn late_former_entry(#[case] gone: bool) {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 40, &["m"]));
    directory.record_entry(entry(SECOND_MS, 1, &[]));
    if gone {
        directory.record_missing_entry(0, &incarnation(SECOND_MS));
    }
    let change = directory.record_entry(entry(FIRST_MS, 41, &["m"]));
    assert_eq!(change, DirectoryChange::None);
    assert_eq!(serving(&directory).len(), usize::from(!gone));
    assert!(directory.upstream(&incarnation(FIRST_MS)).is_none());
}

/// Guards against a restarted engine that stays out of use because the leave notice of the former
/// incarnation is applied to it.
#[test]
fn notice_ends_too() {
    let mut directory = directory();
    directory.record_entry(Upstream {
        phase: UpstreamPhase::Leaving,
        ..entry(FIRST_MS, 7, &["m"])
    });
    directory.record_entry(entry(SECOND_MS, 1, &[]));
    assert_eq!(serving(&directory), [incarnation(SECOND_MS)]);
}

#[test]
fn skipped_restart() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    let change = directory.record_entry(entry(THIRD_MS, 2, &[]));
    let former = incarnation(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    let change = directory.record_entry(entry(SECOND_MS, 30, &["m"]));
    assert_eq!(change, DirectoryChange::None);
    assert_eq!(serving(&directory), [incarnation(THIRD_MS)]);
}

/// Guards against orders that assume the residence of a former incarnation. While the store is
/// unavailable, an engine's restart is visible only from the start time in its report.
#[test]
fn reported_restart() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    let change = directory.record_restart(&incarnation(FIRST_MS), SECOND_MS, Residence::default());
    let former = incarnation(FIRST_MS);
    assert_eq!(change, DirectoryChange::Restarted { former });
    assert_eq!(serving(&directory), [incarnation(SECOND_MS)]);
    let late = directory.record_restart(&incarnation(FIRST_MS), SECOND_MS, Residence::default());
    assert_eq!(late, DirectoryChange::None);
    // The incarnation's own entry follows and is no further restart.
    let change = directory.record_entry(entry(SECOND_MS, 1, &["n"]));
    assert_eq!(change, DirectoryChange::Residence);
}

#[test]
fn restart_in_listing() {
    let mut directory = directory();
    directory.record_entry(entry(FIRST_MS, 9, &["m"]));
    directory.record_list_failure();
    directory.record_list_answer(0);
    let left = directory
        .apply_listing(0, vec![entry(SECOND_MS, 1, &[])])
        .left;
    assert_eq!(left, [incarnation(FIRST_MS)]);
    assert!(directory.has_restarted(&incarnation(FIRST_MS)));
    // A list that is older than the directory's state changes nothing.
    let left = directory
        .apply_listing(0, vec![entry(FIRST_MS, 9, &["m"])])
        .left;
    assert!(left.is_empty());
    assert_eq!(serving(&directory), [incarnation(SECOND_MS)]);
}

/// Guards against requests to an address from another writer's entry, or to an engine whose entry
/// is overwritten. Entries that could not be decoded were ignored, so that a VM which reads only
/// the newest entries and one which reads each change ended in different states.
#[test]
fn foreign_entry() {
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
    assert!(!directory.has_restarted(&incarnation(FIRST_MS)));
}
