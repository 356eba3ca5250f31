//! Missing entries around an outage of the list: which are departures, and from when on.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::ReadPacing;
use rstest::rstest;

use support::LAPSE_MS;
use support::RESTORE_MS;
use support::directory;
use support::entry;
use support::leaving;
use support::serving;

/// The time between two reads of the list.
const READ_EVERY_MS: u64 = 900;

/// When the list comes back, and when live upstreams' entries are back in it.
const RETURN_MS: u64 = 10_000;
const WHOLE_MS: u64 = RETURN_MS + RESTORE_MS;

/// Guards against lapses that count as departures: in an outage of the list heartbeats fail and
/// entries lapse, and all requests were refused once the list came back without them.
#[test]
fn lapse_around_an_outage() {
    let mut directory = directory();
    directory.record_entry(entry("back", 5));
    directory.record_entry(entry("gone", 5));
    directory.record_list_failure();
    directory.record_list_answer(RETURN_MS);
    let changes = directory.apply_listing(RETURN_MS, Vec::new());
    assert!(changes.left.is_empty());
    assert_eq!(changes.lapsed.len(), 2);
    assert_eq!(serving(&directory), 2);
    directory.record_entry(entry("back", 6));
    assert!(directory.drop_lapsed(WHOLE_MS - 1).is_empty());
    assert_eq!(
        directory.drop_lapsed(WHOLE_MS),
        [UpstreamName::from("gone")]
    );
    assert_eq!(serving(&directory), 1);
}

/// Guards against a removal that counts as a lapse because a read failed before the list was whole
/// again.
#[test]
fn removal_from_a_whole_list() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    for read_ms in (RETURN_MS..WHOLE_MS).step_by(READ_EVERY_MS as usize) {
        directory.record_list_answer(read_ms);
    }
    directory.record_list_answer(WHOLE_MS);
    let change = directory.record_missing_entry(WHOLE_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Symptom and sequence as above, but the removal is read just before the list is whole. Cause: the
/// time in which an entry can come back was counted from the read of its removal, so that reads and
/// that time added up beyond the bound.
#[test]
fn removal_just_before_the_list_is_whole() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    directory.record_list_answer(RETURN_MS);
    let name = UpstreamName::from("e");
    let change = directory.record_missing_entry(WHOLE_MS - 1, &name);
    assert_eq!(change, DirectoryChange::Lapsed);
    assert_eq!(directory.list_complete_at_ms(WHOLE_MS - 1), Some(WHOLE_MS));
    assert_eq!(directory.drop_lapsed(WHOLE_MS), [name]);
    assert_eq!(serving(&directory), 0);
}

/// A second outage before the list is whole begins the wait anew: live upstreams could not write
/// their entries meanwhile.
#[test]
fn second_outage_while_the_list_recovers() {
    const SECOND_RETURN_MS: u64 = WHOLE_MS + 700;
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    directory.record_list_answer(RETURN_MS);
    directory.record_missing_entry(RETURN_MS, &UpstreamName::from("e"));
    directory.record_list_failure();
    assert_eq!(directory.list_complete_at_ms(WHOLE_MS), None);
    directory.record_list_answer(SECOND_RETURN_MS);
    assert!(directory.drop_lapsed(SECOND_RETURN_MS).is_empty());
    assert_eq!(serving(&directory), 1);
    let whole_ms = SECOND_RETURN_MS + RESTORE_MS;
    assert_eq!(
        directory.list_complete_at_ms(SECOND_RETURN_MS),
        Some(whole_ms)
    );
    assert_eq!(directory.drop_lapsed(whole_ms).len(), 1);
}

#[test]
fn leaving_upstream_does_not_lapse_gently() {
    let mut directory = directory();
    directory.record_entry(leaving("e", 5));
    directory.record_list_failure();
    let change = directory.record_missing_entry(0, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against a single lost read that counts as an outage, also where many VMs read or the VM
/// begins the read late. No entry can lapse in so short a time.
#[rstest]
fn one_lost_read_is_no_outage(
    #[values(None, Some(1), Some(300), Some(1_000))] vms: Option<u32>,
    #[values(64 * 1024, 8 * 1024 * 1024)] answer_bytes: usize,
    #[values(0, 100, 300)] late_ms: u64,
) {
    const LOST_READ_MS: u64 = 800;
    const ANSWER_MS: u64 = 100;
    let mut pacing = ReadPacing::new(80e6, 1);
    vms.into_iter().for_each(|vms| pacing.set_vms(vms));
    let mut directory = Directory::new(DirectoryOptions::default());
    directory.record_entry(entry("e", 5));
    directory.record_list_answer(RETURN_MS);
    let age_ms = READ_EVERY_MS + late_ms;
    let lost_ms =
        age_ms + pacing.list_answer_timeout_ms(LOST_READ_MS, answer_bytes, 0, Some(age_ms));
    directory.record_list_failure();
    let next_ms = RETURN_MS + lost_ms + pacing.retry_delay_ms(1) + ANSWER_MS;
    directory.record_list_answer(next_ms);
    let change = directory.record_missing_entry(next_ms, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against asking the store again before it can have answered: VMs whose list is old, or
/// whose last read failed, wait for as long as reads of all VMs take.
#[rstest]
#[case::never_read(0, None)]
#[case::old_list(0, Some(1_300))]
#[case::after_a_failure(1, Some(1_800))]
fn reads_of_all_vms_are_waited_for(#[case] failures: u32, #[case] age_ms: Option<u64>) {
    const ALONE_MS: u64 = 800;
    const BYTES: usize = 1024 * 1024;
    let new_pacing = || {
        let mut pacing = ReadPacing::new(80e6, 1);
        pacing.set_vms(300);
        pacing
    };
    let answer_timeout_ms = new_pacing().list_answer_timeout_ms(ALONE_MS, BYTES, failures, age_ms);
    assert_eq!(
        answer_timeout_ms,
        new_pacing().answer_timeout_ms(ALONE_MS, BYTES, failures)
    );
}

/// Guards against an outage that goes unnoticed by a VM that stood still throughout, so that no
/// read of its own failed and all upstreams count as gone.
#[test]
fn outage_that_was_slept_through() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_answer(RETURN_MS - 2 * LAPSE_MS);
    directory.record_list_answer(RETURN_MS);
    let change = directory.record_missing_entry(RETURN_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
}

/// Guards against a VM that takes its own partition for an outage of the list, while another VM
/// reads and tells so, and keeps an upstream that has left.
#[test]
fn list_was_there_for_others() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_entry(entry("f", 5));
    directory.record_list_answer(RETURN_MS - 2 * LAPSE_MS);
    directory.record_list_failure();
    // This VM reads before it is told.
    directory.record_list_answer(RETURN_MS);
    let change = directory.record_missing_entry(RETURN_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
    directory.record_complete_list(RETURN_MS - 300);
    assert_eq!(
        directory.drop_lapsed(RETURN_MS + 1),
        [UpstreamName::from("e")]
    );
    let change = directory.record_missing_entry(RETURN_MS + 1, &UpstreamName::from("f"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against lapsed entries that count as departures at a VM which left reading to others and
/// made no read during the outage.
#[test]
fn first_own_read_follows_an_outage() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_complete_list(RETURN_MS - LAPSE_MS);
    directory.record_list_answer(RETURN_MS);
    let change = directory.record_missing_entry(RETURN_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
    assert!(!directory.is_list_complete(WHOLE_MS - 1));
}

/// A VM does not tell others that its list is whole while it may not be: before it has read it,
/// while it can't, and until live upstreams are back in it, also after a start.
#[test]
fn whole_list_is_told_late_enough() {
    let mut directory = directory();
    assert!(!directory.is_list_complete(0));
    directory.record_list_answer(RETURN_MS);
    assert!(!directory.is_list_complete(WHOLE_MS - 1));
    directory.record_list_answer(WHOLE_MS - 1);
    assert!(directory.is_list_complete(WHOLE_MS));
    directory.record_list_failure();
    assert!(!directory.is_list_complete(WHOLE_MS));
    let return_ms = WHOLE_MS + 2 * LAPSE_MS;
    directory.record_list_answer(return_ms);
    assert!(!directory.is_list_complete(return_ms + RESTORE_MS - 1));
    assert!(directory.is_list_complete(return_ms + RESTORE_MS));
}
