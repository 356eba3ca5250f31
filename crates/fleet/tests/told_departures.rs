//! What VMs tell each other of upstreams that left.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::DirectoryChange;

use support::directory;
use support::entry;
use support::leaving;
use support::serving;

/// Symptom: a live upstream gets requests from one VM only. Sequence: a VM that reads for all tells that
/// the upstream's entry is missing; the upstream writes it again; a VM that was told reads the new
/// entry. Cause: what was told was kept as the upstream's own notice.
#[test]
fn told_missing_is_taken_back_by_a_newer_entry() {
    let mut reader = directory();
    reader.note_entry(entry("e", 5));
    reader.note_vanished(0, &UpstreamName::from("e"));
    let missing = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(missing.kind, DepartureKind::Missing);
    let mut told = directory();
    told.note_entry(entry("e", 4));
    assert_eq!(told.note_departure(&missing), DirectoryChange::Left);
    // The entry that the reader knew may be read here after the telling.
    told.note_entry(entry("e", 5));
    assert_eq!(serving(&told), 0);
    assert_eq!(told.note_entry(entry("e", 6)), DirectoryChange::Came);
    assert_eq!(serving(&told), 1);
    // The telling is repeated, and comes late.
    assert_eq!(told.note_departure(&missing), DirectoryChange::None);
    assert_eq!(serving(&told), 1);
}

#[test]
fn told_notice_is_final() {
    let mut reader = directory();
    reader.note_entry(entry("e", 5));
    reader.note_entry(leaving("e", 6));
    let notice = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(notice.kind, DepartureKind::Final);
    let mut told = directory();
    told.note_entry(entry("e", 5));
    assert_eq!(told.note_departure(&notice), DirectoryChange::Left);
    assert_eq!(told.note_departure(&notice), DirectoryChange::None);
    told.note_entry(entry("e", 7));
    assert_eq!(serving(&told), 0);
}

#[test]
fn no_departure_of_a_serving_upstream() {
    let mut directory = directory();
    let name = UpstreamName::from("e");
    assert_eq!(directory.departure(&name), None);
    directory.note_entry(entry("e", 5));
    assert_eq!(directory.departure(&name), None);
}
