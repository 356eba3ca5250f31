//! Departures of upstreams that VMs announce to each other.

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

/// Guards against a live upstream that receives requests from one VM only. A VM announces that an
/// upstream's entry is missing, and then the upstream writes it again. The announcement was kept
/// like the upstream's own leave notice.
#[test]
fn newer_entry_revokes() {
    let mut reader = directory();
    reader.record_entry(entry("e", 5));
    reader.record_missing_entry(0, &UpstreamName::from("e"));
    let missing = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(missing.kind, DepartureKind::Missing);
    let mut peer = directory();
    peer.record_entry(entry("e", 4));
    assert_eq!(peer.record_departure(&missing), DirectoryChange::Left);
    // This VM may read the last entry known to the reader after the announcement.
    peer.record_entry(entry("e", 5));
    assert_eq!(serving(&peer), 0);
    assert_eq!(peer.record_entry(entry("e", 6)), DirectoryChange::Added);
    assert_eq!(serving(&peer), 1);
    // The announcement is repeated and arrives late.
    assert_eq!(peer.record_departure(&missing), DirectoryChange::None);
    assert_eq!(serving(&peer), 1);
}

#[test]
fn announced_notice_final() {
    let mut reader = directory();
    reader.record_entry(entry("e", 5));
    reader.record_entry(leaving("e", 6));
    let notice = reader.departure(&UpstreamName::from("e")).expect("it left");
    assert_eq!(notice.kind, DepartureKind::Final);
    let mut peer = directory();
    peer.record_entry(entry("e", 5));
    assert_eq!(peer.record_departure(&notice), DirectoryChange::Left);
    assert_eq!(peer.record_departure(&notice), DirectoryChange::None);
    peer.record_entry(entry("e", 7));
    assert_eq!(serving(&peer), 0);
}

#[test]
fn serving_without_departure() {
    let mut directory = directory();
    let name = UpstreamName::from("e");
    assert_eq!(directory.departure(&name), None);
    directory.record_entry(entry("e", 5));
    assert_eq!(directory.departure(&name), None);
}

/// Position up to which one VM has read the upstream list, and the later one at which another VM
/// finds that an upstream is missing.
const READ: Position = Position {
    era: 0,
    offset: 190,
};
const MISSING_AT: Position = Position {
    era: 0,
    offset: 210,
};

/// Guards against requests to an upstream whose entry was removed: one arrived 3.7 s after the
/// removal, though all VMs had received the departure within 0.3 s.
///
/// The lease holder is partitioned from the store. Another VM, which relied on its announcements
/// and lacks the latest revisions, continues to read at the lease holder's position, finds the
/// removal and announces it with the last revision that it knows. Then VMs read the snapshot that
/// the lease holder wrote before the removal, with later revisions. So positions have to decide
/// which fact is later, and not revisions.
#[test]
fn snapshot_before_removal() {
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

/// The same at a VM that had read the later revisions and receives the departure: it must not treat
/// the removal as older than its entry.
#[test]
fn departure_old_revision() {
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
    // An entry announced before the departure arrives later.
    vm.set_read_position(READ);
    assert_eq!(vm.record_peer_entry(entry("e", 60)), DirectoryChange::None);
    vm.set_read_position(MISSING_AT.after(5));
    assert_eq!(vm.record_peer_entry(entry("e", 60)), DirectoryChange::Added);
    // The departure is announced for seconds; the upstream is back meanwhile.
    assert_eq!(vm.record_departure(&departure), DirectoryChange::None);
}
