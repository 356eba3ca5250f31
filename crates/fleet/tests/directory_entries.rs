//! Entries of the upstream list: how the directory changes, and that it never moves backwards.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::Error;

use support::directory;
use support::entry;
use support::leaving;
use support::serving;

#[test]
fn entry_changes() {
    let mut directory = directory();
    assert_eq!(
        directory.record_entry(entry("e", 1)),
        DirectoryChange::Added
    );
    assert_eq!(directory.record_entry(entry("e", 2)), DirectoryChange::None);
    let mut holding = entry("e", 3);
    holding.residence.record_loaded(&ModelName::from("m"));
    assert_eq!(directory.record_entry(holding), DirectoryChange::Residence);
}

/// Guards against new requests to a leaving upstream. An entry written before its leave notice can
/// be read after the notice, and must not replace it.
#[test]
fn leave_notice_final() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    assert_eq!(
        directory.record_entry(leaving("e", 6)),
        DirectoryChange::Left
    );
    directory.record_entry(entry("e", 4));
    directory.record_entry(entry("e", 7));
    assert_eq!(serving(&directory), 0);
}

/// Guards against requests to a removed upstream. An entry from before the removal can be read once
/// more after it, and must not add the upstream again.
#[test]
fn old_entry_ignored() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    let name = UpstreamName::from("e");
    assert_eq!(
        directory.record_missing_entry(0, &name),
        DirectoryChange::Left
    );
    directory.record_entry(entry("e", 5));
    assert_eq!(serving(&directory), 0);
    directory.record_entry(entry("e", 6));
    assert_eq!(serving(&directory), 1);
}

#[test]
fn unlisted_upstream_leaves() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    let left = directory.apply_listing(0, vec![entry("f", 1)]).left;
    assert_eq!(left, [UpstreamName::from("e")]);
    assert!(directory.upstream(&UpstreamName::from("f")).is_some());
}

/// Guards against a VM that serves a removed route. A late answer can bring configuration version 7
/// when version 8 is already in force.
#[test]
fn older_configuration_rejected() {
    let mut directory = directory();
    let version = |version| Configuration {
        version,
        ..Configuration::default()
    };
    directory.configure(version(8)).expect("newer");
    let older = directory.configure(version(7));
    assert_eq!(
        older,
        Err(Error::OlderVersion {
            offered: 7,
            in_force: 8
        })
    );
    assert_eq!(directory.version(), 8);
}

#[test]
fn both_parts_required() {
    let mut directory = directory();
    assert!(!directory.is_complete());
    directory.apply_listing(0, Vec::new());
    assert!(!directory.is_complete());
    directory
        .configure(Configuration {
            version: 1,
            ..Configuration::default()
        })
        .expect("newer");
    assert!(directory.is_complete());
}
