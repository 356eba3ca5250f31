//! Missing entries around an outage of the upstream list: which are departures, and from when on.

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

/// Interval between two reads of the upstream list.
const READ_INTERVAL_MS: u64 = 900;

/// End of the outage, and the time at which live upstreams' entries are back in the upstream list.
const OUTAGE_END_MS: u64 = 10_000;
const COMPLETE_MS: u64 = OUTAGE_END_MS + RESTORE_MS;

/// Guards against lapses that count as departures. During an outage heartbeats fail and entries
/// lapse; all requests were refused once the upstream list came back without them.
#[test]
fn outage_lapses_entries() {
    let mut directory = directory();
    directory.record_entry(entry("back", 5));
    directory.record_entry(entry("gone", 5));
    directory.record_list_failure();
    directory.record_list_answer(OUTAGE_END_MS);
    let changes = directory.apply_listing(OUTAGE_END_MS, Vec::new());
    assert!(changes.left.is_empty());
    assert_eq!(changes.lapsed.len(), 2);
    assert_eq!(serving(&directory), 2);
    directory.record_entry(entry("back", 6));
    assert!(directory.drop_lapsed(COMPLETE_MS - 1).is_empty());
    assert_eq!(
        directory.drop_lapsed(COMPLETE_MS),
        [UpstreamName::from("gone")]
    );
    assert_eq!(serving(&directory), 1);
}

/// Guards against a removal that counts as a lapse because a read failed before the upstream list
/// was complete again.
#[test]
fn removal_after_recovery() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    for read_ms in (OUTAGE_END_MS..COMPLETE_MS).step_by(READ_INTERVAL_MS as usize) {
        directory.record_list_answer(read_ms);
    }
    directory.record_list_answer(COMPLETE_MS);
    let change = directory.record_missing_entry(COMPLETE_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against a departed upstream that stays in use beyond the bound, when its removal is read
/// just before the upstream list is complete. The time in which an entry can come back was counted
/// from the read of its removal, and so added to the time of the read.
#[test]
fn removal_during_recovery() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    directory.record_list_answer(OUTAGE_END_MS);
    let name = UpstreamName::from("e");
    let change = directory.record_missing_entry(COMPLETE_MS - 1, &name);
    assert_eq!(change, DirectoryChange::Lapsed);
    assert_eq!(
        directory.list_complete_at_ms(COMPLETE_MS - 1),
        Some(COMPLETE_MS)
    );
    assert_eq!(directory.drop_lapsed(COMPLETE_MS), [name]);
    assert_eq!(serving(&directory), 0);
}

/// A second outage before the upstream list is complete restarts the wait, since live upstreams
/// could not write their entries meanwhile.
#[test]
fn second_outage() {
    const SECOND_OUTAGE_END_MS: u64 = COMPLETE_MS + 700;
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_failure();
    directory.record_list_answer(OUTAGE_END_MS);
    directory.record_missing_entry(OUTAGE_END_MS, &UpstreamName::from("e"));
    directory.record_list_failure();
    assert_eq!(directory.list_complete_at_ms(COMPLETE_MS), None);
    directory.record_list_answer(SECOND_OUTAGE_END_MS);
    assert!(directory.drop_lapsed(SECOND_OUTAGE_END_MS).is_empty());
    assert_eq!(serving(&directory), 1);
    let complete_ms = SECOND_OUTAGE_END_MS + RESTORE_MS;
    assert_eq!(
        directory.list_complete_at_ms(SECOND_OUTAGE_END_MS),
        Some(complete_ms)
    );
    assert_eq!(directory.drop_lapsed(complete_ms).len(), 1);
}

#[test]
fn leaving_never_lapses() {
    let mut directory = directory();
    directory.record_entry(leaving("e", 5));
    directory.record_list_failure();
    let change = directory.record_missing_entry(0, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against a single lost read that counts as an outage, also where many VMs read or the VM
/// starts the read late. No entry can lapse in so short a time.
#[rstest]
fn one_lost_read(
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
    directory.record_list_answer(OUTAGE_END_MS);
    let age_ms = READ_INTERVAL_MS + late_ms;
    let lost_ms =
        age_ms + pacing.list_answer_timeout_ms(LOST_READ_MS, answer_bytes, 0, Some(age_ms));
    directory.record_list_failure();
    let next_ms = OUTAGE_END_MS + lost_ms + pacing.retry_delay_ms(1) + ANSWER_MS;
    directory.record_list_answer(next_ms);
    let change = directory.record_missing_entry(next_ms, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against retrying before the store can have answered: VMs whose upstream list is old, or
/// whose last read failed, wait for as long as reads of all VMs take.
#[rstest]
#[case::never_read(0, None)]
#[case::old_list(0, Some(1_300))]
#[case::after_a_failure(1, Some(1_800))]
fn full_round_timeout(#[case] failures: u32, #[case] age_ms: Option<u64>) {
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

/// Guards against an outage that goes unnoticed by a VM whose process was paused throughout, so
/// that none of its own reads failed and all upstreams count as departed.
#[test]
fn outage_during_pause() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_list_answer(OUTAGE_END_MS - 2 * LAPSE_MS);
    directory.record_list_answer(OUTAGE_END_MS);
    let change = directory.record_missing_entry(OUTAGE_END_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
}

/// Guards against a VM that keeps a departed upstream because it takes its own partition for an
/// outage, while another VM reads the upstream list and announces that.
#[test]
fn own_partition_only() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_entry(entry("f", 5));
    directory.record_list_answer(OUTAGE_END_MS - 2 * LAPSE_MS);
    directory.record_list_failure();
    // This VM reads before it receives the announcement.
    directory.record_list_answer(OUTAGE_END_MS);
    let change = directory.record_missing_entry(OUTAGE_END_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
    directory.record_complete_list(OUTAGE_END_MS - 300);
    assert_eq!(
        directory.drop_lapsed(OUTAGE_END_MS + 1),
        [UpstreamName::from("e")]
    );
    let change = directory.record_missing_entry(OUTAGE_END_MS + 1, &UpstreamName::from("f"));
    assert_eq!(change, DirectoryChange::Left);
}

/// Guards against lapsed entries that count as departures at a VM that relied on the reads of
/// others and did not read during the outage.
#[test]
fn late_own_read() {
    let mut directory = directory();
    directory.record_entry(entry("e", 5));
    directory.record_complete_list(OUTAGE_END_MS - LAPSE_MS);
    directory.record_list_answer(OUTAGE_END_MS);
    let change = directory.record_missing_entry(OUTAGE_END_MS, &UpstreamName::from("e"));
    assert_eq!(change, DirectoryChange::Lapsed);
    assert!(!directory.is_list_complete(COMPLETE_MS - 1));
}

/// A VM must not announce its upstream list as complete before it has read it, while it can't read
/// it, and until live upstreams are back in it, also after a start.
#[test]
fn completeness_announced_late() {
    let mut directory = directory();
    assert!(!directory.is_list_complete(0));
    directory.record_list_answer(OUTAGE_END_MS);
    assert!(!directory.is_list_complete(COMPLETE_MS - 1));
    directory.record_list_answer(COMPLETE_MS - 1);
    assert!(directory.is_list_complete(COMPLETE_MS));
    directory.record_list_failure();
    assert!(!directory.is_list_complete(COMPLETE_MS));
    let return_ms = COMPLETE_MS + 2 * LAPSE_MS;
    directory.record_list_answer(return_ms);
    assert!(!directory.is_list_complete(return_ms + RESTORE_MS - 1));
    assert!(directory.is_list_complete(return_ms + RESTORE_MS));
}
