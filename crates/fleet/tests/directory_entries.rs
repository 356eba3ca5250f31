//! Entries of upstreams: what is learned and what is not taken back.

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
fn entry_comes_and_changes() {
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

/// Symptom: an upstream that leaves gets requests again. Sequence: its notice is read, then an
/// entry that it wrote before the notice. Cause: the older entry replaced the newer one.
#[test]
fn notice_is_not_taken_back() {
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

/// Symptom: an upstream that is gone gets requests. Sequence: its entry vanishes, then an entry
/// from before is read once more. Cause: the directory had forgotten that it is gone.
#[test]
fn old_entry_of_a_gone_upstream() {
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
fn listing_without_an_upstream() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    let left = directory.apply_listing(0, vec![entry("f", 1)]).left;
    assert_eq!(left, [UpstreamName::from("e")]);
    assert!(directory.upstream(&UpstreamName::from("f")).is_some());
}

/// Symptom: a VM serves a route that was removed. Sequence: version 8 is in force, a late answer
/// brings version 7. Cause: the version was not compared.
#[test]
fn configuration_never_goes_back() {
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
fn not_complete_before_list_and_configuration() {
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
