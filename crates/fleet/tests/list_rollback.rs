//! The upstream list after a rollback of the store to an older copy.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::DirectoryChange;
use rstest::rstest;

use support::RESTORE_MS;
use support::directory;
use support::entry;
use support::leaving;
use support::serving;

const ROLLBACK_MS: u64 = 10_000;

fn position(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

/// Guards against refused requests because entries written after the older copy are missing.
#[test]
fn missing_entries_lapse() {
    let mut directory = directory();
    directory.record_list_answer(ROLLBACK_MS - 100);
    directory.record_entry(entry("back", 5));
    directory.record_entry(entry("gone", 5));
    directory.record_list_rollback(ROLLBACK_MS);
    directory.record_list_answer(ROLLBACK_MS);
    let changes = directory.apply_listing(ROLLBACK_MS, Vec::new());
    assert_eq!((changes.lapsed.len(), changes.left.len()), (2, 0));
    assert!(!directory.is_list_complete(ROLLBACK_MS + RESTORE_MS - 1));
    directory.record_entry(entry("back", 6));
    let dropped = directory.drop_lapsed(ROLLBACK_MS + RESTORE_MS);
    assert_eq!(dropped, [UpstreamName::from("gone")]);
}

/// Guards against the return of a removed incarnation, whose old entry has a later position in the
/// new era. An entry that the incarnation writes again is a newer one.
#[rstest]
#[case::old_entry(5, 0)]
#[case::written_again(6, 1)]
fn removed_incarnation_stays(#[case] revision: u64, #[case] serves: usize) {
    let mut directory = directory();
    directory.set_read_position(position(1, 10));
    directory.record_entry(entry("e", 5));
    directory.set_read_position(position(1, 11));
    directory.record_gone(&UpstreamName::from("e"));
    directory.set_read_position(position(2, 9));
    directory.record_entry(entry("e", revision));
    assert_eq!(serving(&directory), serves);
}

/// A departure for a missing entry, announced before the rollback, must not revoke a later entry.
#[test]
fn earlier_departure_ignored() {
    let mut directory = directory();
    directory.set_read_position(position(2, 3));
    directory.record_entry(entry("e", 7));
    let departure = Departure {
        upstream: UpstreamName::from("e"),
        revision: 6,
        read_to: position(1, 40),
        kind: DepartureKind::Missing,
    };
    assert_eq!(
        directory.record_departure(&departure),
        DirectoryChange::None
    );
    assert_eq!(serving(&directory), 1);
}

/// Guards against new requests to a leaving upstream whose notice the rollback has removed.
#[test]
fn lost_notice_kept() {
    let mut directory = directory();
    directory.set_read_position(position(1, 10));
    directory.record_entry(entry("e", 5));
    directory.record_entry(leaving("e", 6));
    directory.record_list_rollback(ROLLBACK_MS);
    directory.set_read_position(position(2, 8));
    directory.apply_listing(ROLLBACK_MS, vec![entry("e", 5)]);
    assert_eq!(serving(&directory), 0);
}
