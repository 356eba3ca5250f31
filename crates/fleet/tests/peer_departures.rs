//! What VMs tell each other of upstreams that left.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::DirectoryChange;

use support::directory;
use support::entry;
use support::leaving;
use support::serving;

/// Symptom: a live upstream gets requests from one VM only. Sequence: a VM that reads for all tells
/// that the upstream's entry is missing; the upstream writes it again; a VM that was told reads the
/// new entry. Cause: what was told was kept as the upstream's own notice.
#[test]
fn told_missing_is_taken_back_by_a_newer_entry() {
    let mut reader = directory();
    reader.record_entry(entry("e", 5));
    reader.record_missing_entry(0, &UpstreamName::from("e"));
    let missing = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(missing.kind, DepartureKind::Missing);
    let mut told = directory();
    told.record_entry(entry("e", 4));
    assert_eq!(told.record_departure(&missing), DirectoryChange::Left);
    // The entry that the reader knew may be read here after the telling.
    told.record_entry(entry("e", 5));
    assert_eq!(serving(&told), 0);
    assert_eq!(told.record_entry(entry("e", 6)), DirectoryChange::Added);
    assert_eq!(serving(&told), 1);
    // The telling is repeated, and comes late.
    assert_eq!(told.record_departure(&missing), DirectoryChange::None);
    assert_eq!(serving(&told), 1);
}

#[test]
fn told_notice_is_final() {
    let mut reader = directory();
    reader.record_entry(entry("e", 5));
    reader.record_entry(leaving("e", 6));
    let notice = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(notice.kind, DepartureKind::Final);
    let mut told = directory();
    told.record_entry(entry("e", 5));
    assert_eq!(told.record_departure(&notice), DirectoryChange::Left);
    assert_eq!(told.record_departure(&notice), DirectoryChange::None);
    told.record_entry(entry("e", 7));
    assert_eq!(serving(&told), 0);
}

#[test]
fn no_departure_of_a_serving_upstream() {
    let mut directory = directory();
    let name = UpstreamName::from("e");
    assert_eq!(directory.departure(&name), None);
    directory.record_entry(entry("e", 5));
    assert_eq!(directory.departure(&name), None);
}

/// How far the list was read by one VM, and then by another which finds that an upstream is
/// missing.
const READ: Position = Position {
    era: 0,
    offset: 190,
};
const MISSING_AT: Position = Position {
    era: 0,
    offset: 210,
};

/// Symptom: a request reached an upstream 3.7 s after its entry had been removed, though all VMs
/// had been told within 0.3 s.
///
/// Sequence: the VM that reads the list for all is cut off from the store. Another one, which had
/// been told of the list and had not read the last heartbeats, reads from where the first had come,
/// finds the removal and tells it with the last revision that it knows. Then VMs read the copy that
/// the first had written before the removal, with later revisions.
///
/// Cause: revisions decided which is later. A VM that skips what another has read does not know
/// them.
#[test]
fn copy_from_before_the_removal() {
    let mut vm = directory();
    vm.set_read_position(Position::new(0, 10));
    vm.apply_listing(1_000, vec![entry("e", 1), entry("other", 1)]);
    vm.record_same_list(READ);
    let name = entry("e", 1).name;
    vm.set_read_position(MISSING_AT);
    assert_eq!(vm.record_missing_entry(1_000, &name), DirectoryChange::Left);
    vm.set_read_position(READ);
    vm.apply_snapshot(1_000, vec![entry("e", 50), entry("other", 50)], false);
    assert_eq!(serving(&vm), 1);
    vm.set_read_position(MISSING_AT.after(1));
    assert_eq!(vm.record_entry(entry("e", 51)), DirectoryChange::Added);
}

/// The same at a VM that had read the later revisions and is told of the removal: it must not take
/// the removal for an old one.
#[test]
fn departure_told_with_an_old_revision() {
    let mut vm = directory();
    vm.set_read_position(READ);
    vm.apply_listing(1_000, vec![entry("e", 50)]);
    let departure = Departure {
        upstream: entry("e", 1).name,
        revision: 1,
        read_to: MISSING_AT,
        kind: DepartureKind::Missing,
    };
    assert_eq!(vm.record_departure(&departure), DirectoryChange::Left);
    // What was told before it left, and comes later.
    vm.set_read_position(READ);
    assert_eq!(vm.record_peer_entry(entry("e", 60)), DirectoryChange::None);
    vm.set_read_position(MISSING_AT.after(5));
    assert_eq!(vm.record_peer_entry(entry("e", 60)), DirectoryChange::Added);
    // The departure is told for seconds; the upstream is back.
    assert_eq!(vm.record_departure(&departure), DirectoryChange::None);
}
