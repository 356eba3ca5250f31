//! Notices by which upstreams state themselves that they leave.

mod support;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::incarnation_name;
use rstest::rstest;

use support::directory;
use support::entry;
use support::serving;

fn name() -> UpstreamName {
    UpstreamName::from("e")
}

/// Returns a directory with one upstream, which has stated that it leaves.
fn noticed() -> Directory {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    assert_eq!(
        directory.record_leave_notice(&name()),
        DirectoryChange::Left
    );
    directory
}

fn later_entry(directory: &mut Directory) {
    directory.record_entry(entry("e", 9));
}

fn lapse_and_return(directory: &mut Directory) {
    directory.record_missing_entry(0, &name());
    directory.record_entry(entry("e", 9));
}

fn foreign_entry(directory: &mut Directory) {
    directory.record_foreign_entry(&InstanceName::from("e"));
    directory.record_entry(entry("e", 9));
}

fn complete_list(directory: &mut Directory) {
    directory.apply_listing(0, Vec::new());
    directory.apply_listing(0, vec![entry("e", 9)]);
}

fn copy_of_another_vm(directory: &mut Directory) {
    directory.apply_snapshot(0, Vec::new(), true);
    directory.apply_snapshot(0, vec![entry("e", 9)], true);
}

fn peer_entry(directory: &mut Directory) {
    directory.record_gone(&name());
    directory.record_peer_entry(entry("e", 9));
}

/// Guards against an upstream that is used again by what was written or read before its notice.
#[rstest]
fn notice_outlasts(
    #[values(
        later_entry,
        lapse_and_return,
        foreign_entry,
        complete_list,
        copy_of_another_vm,
        peer_entry
    )]
    then: fn(&mut Directory),
) {
    let mut directory = noticed();
    then(&mut directory);
    assert_eq!(serving(&directory), 0);
    let departure = directory.departure(&name()).expect("it left");
    assert_eq!(departure.kind, DepartureKind::Final);
}

/// Guards against an upstream whose notice is announced before its entry is known.
#[test]
fn notice_before_entry() {
    let notice = noticed().departure(&name()).expect("it left");
    let mut peer = directory();
    assert_eq!(peer.record_departure(&notice), DirectoryChange::None);
    peer.record_entry(entry("e", 9));
    assert_eq!(serving(&peer), 0);
}

/// Guards against a notice that outlasts the process which gave it.
#[test]
fn restart_ends_notice() {
    let mut directory = noticed();
    let instance = InstanceName::from("e");
    directory.record_entry(Upstream {
        name: incarnation_name(&instance, 7),
        born_ms: 7,
        ..entry("e", 1)
    });
    assert_eq!(serving(&directory), 1);
}

#[test]
fn repeated_notice() {
    let mut directory = noticed();
    let change = directory.record_leave_notice(&name());
    assert_eq!(change, DirectoryChange::None);
    let unknown = UpstreamName::from("unknown");
    let change = directory.record_leave_notice(&unknown);
    assert_eq!(change, DirectoryChange::None);
}

/// Guards against a service that counts as leaving while an upstream serves, or without any.
#[test]
fn leaving_service() {
    let service = GroupName::from("s");
    assert!(!directory().is_leaving(&service));
    let mut directory = noticed();
    assert!(directory.is_leaving(&service));
    directory.record_entry(entry("f", 1));
    assert!(!directory.is_leaving(&service));
}
