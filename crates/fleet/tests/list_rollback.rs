//! The list when the store comes back from an older copy.

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

const BACK_MS: u64 = 10_000;

fn place(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

/// Guards against refusals because entries that were written after the copy are missing.
#[test]
fn missing_entry_may_come_back() {
    let mut directory = directory();
    directory.record_list_answer(BACK_MS - 100);
    directory.record_entry(entry("back", 5));
    directory.record_entry(entry("gone", 5));
    directory.record_list_rollback(BACK_MS);
    directory.record_list_answer(BACK_MS);
    let changes = directory.apply_listing(BACK_MS, Vec::new());
    assert_eq!((changes.lapsed.len(), changes.left.len()), (2, 0));
    assert!(!directory.is_list_complete(BACK_MS + RESTORE_MS - 1));
    directory.record_entry(entry("back", 6));
    let dropped = directory.drop_lapsed(BACK_MS + RESTORE_MS);
    assert_eq!(dropped, [UpstreamName::from("gone")]);
}

/// Guards against a return of a run that was gone: in the new era its old entry stands at a later
/// place. An entry that it writes again is a newer one.
#[rstest]
#[case::old_entry(5, 0)]
#[case::written_again(6, 1)]
fn gone_run_in_an_older_copy(#[case] revision: u64, #[case] serves: usize) {
    let mut directory = directory();
    directory.set_read_position(place(1, 10));
    directory.record_entry(entry("e", 5));
    directory.set_read_position(place(1, 11));
    directory.record_gone(&UpstreamName::from("e"));
    directory.set_read_position(place(2, 9));
    directory.record_entry(entry("e", revision));
    assert_eq!(serving(&directory), serves);
}

/// A word that an entry was missing, from before the set-back, takes back no entry of after it.
#[test]
fn earlier_departure_of_a_live_run() {
    let mut directory = directory();
    directory.set_read_position(place(2, 3));
    directory.record_entry(entry("e", 7));
    let departure = Departure {
        upstream: UpstreamName::from("e"),
        revision: 6,
        read_to: place(1, 40),
        kind: DepartureKind::Missing,
    };
    assert_eq!(
        directory.record_departure(&departure),
        DirectoryChange::None
    );
    assert_eq!(serving(&directory), 1);
}

/// Guards against new requests to an upstream whose word that it leaves is lost with the copy.
#[test]
fn lost_notice_still_holds() {
    let mut directory = directory();
    directory.set_read_position(place(1, 10));
    directory.record_entry(entry("e", 5));
    directory.record_entry(leaving("e", 6));
    directory.record_list_rollback(BACK_MS);
    directory.set_read_position(place(2, 8));
    directory.apply_listing(BACK_MS, vec![entry("e", 5)]);
    assert_eq!(serving(&directory), 0);
}
