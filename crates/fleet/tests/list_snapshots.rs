//! Snapshots and digests of the upstream list that VMs exchange, and repairs of differences.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ListSnapshot;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::residence_digests;
use apricotdale_fleet::serving_digest;
use rstest::rstest;

use support::directory;
use support::entry;
use support::leaving;
use support::serving;

const NOW_MS: u64 = 10_000;

fn listing(names: &[&str]) -> Directory {
    let mut directory = directory();
    let entries = names.iter().map(|name| entry(name, 1)).collect();
    directory.apply_listing(NOW_MS, entries);
    directory
}

fn holding(name: &str, revision: u64, model: &str) -> Upstream {
    let mut upstream = entry(name, revision);
    upstream.residence.record_loaded(&ModelName::from(model));
    upstream
}

fn encode_and_decode(snapshot: ListSnapshot) -> Option<ListSnapshot> {
    let parts = snapshot.into_parts().into_iter().map(|part| {
        let bytes = postcard::to_stdvec(&part).expect("a part can be encoded");
        assert!(
            bytes.len() < 256 * 1024,
            "{} bytes in a record",
            bytes.len()
        );
        postcard::from_bytes(&bytes).expect("it can be decoded")
    });
    ListSnapshot::from_parts(parts.collect())
}

#[rstest]
#[case::none(0)]
#[case::some(134)]
#[case::several_parts(3_000)]
fn snapshot_is_complete(#[case] upstreams: usize) {
    let names: Vec<String> = (0..upstreams).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let read = listing(&names);
    let snapshot = encode_and_decode(ListSnapshot::new(Position::new(0, 40), &read))
        .expect("a complete snapshot");
    let mut peer = directory();
    peer.apply_snapshot(NOW_MS, snapshot.entries, true);
    assert_eq!(serving(&peer), upstreams);
    assert!(peer.is_listed());
    assert_eq!(serving_digest(&peer), serving_digest(&read));
    assert_eq!(residence_digests(&peer), residence_digests(&read));
}

/// Each VM reads a snapshot at its start, so the size of one entry counts once per VM.
#[test]
fn small_snapshot_entry() {
    let upstream = Upstream {
        instance: "i-13511b8177".into(),
        name: "i-13511b8177@1772562990000".into(),
        born_ms: 1_772_562_990_000,
        service: "planner-lm".into(),
        zone: "hall-a".into(),
        ..entry("e", 1_000)
    };
    let bytes = postcard::to_stdvec(&upstream).expect("an entry can be encoded");
    assert!(bytes.len() <= 60, "{} bytes", bytes.len());
    let decoded: Upstream = postcard::from_bytes(&bytes).expect("it can be decoded");
    assert_eq!(decoded, upstream);
}

/// Guards against a VM that drops live upstreams. It can read the parts of a snapshot while another
/// one is being written, or with left-over parts of a longer one, and must not combine them.
#[test]
fn mixed_parts_rejected() {
    let names: Vec<String> = (0..1_100).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let former = ListSnapshot::new(Position::new(0, 40), &listing(&names)).into_parts();
    let newer = ListSnapshot::new(Position::new(0, 50), &listing(&names)).into_parts();
    let mixed = vec![newer[0].clone(), newer[1].clone(), former[2].clone()];
    assert_eq!(ListSnapshot::from_parts(mixed), None);
    let shorter = ListSnapshot::new(Position::new(0, 60), &listing(&["a"])).into_parts();
    let with_stale_parts = vec![shorter[0].clone(), former[1].clone(), former[2].clone()];
    let snapshot =
        ListSnapshot::from_parts(with_stale_parts).expect("the newest snapshot is complete");
    assert_eq!(snapshot.entries.len(), 1);
}

/// Guards against loads from the weight store that the engine's cache would serve, after a change
/// of the lease holder. Entries from other VMs lack the cached weights and replaced those that this
/// VM had read.
#[test]
fn cached_weights_kept() {
    let mut directory = directory();
    directory.apply_listing(NOW_MS, vec![holding("e", 1, "m")]);
    let mut update = holding("e", 2, "m");
    update.residence.in_memory.clear();
    update.residence.on_disk.clear();
    directory.record_peer_entry(update.clone());
    directory.apply_snapshot(
        NOW_MS,
        vec![Upstream {
            revision: 3,
            ..update
        }],
        true,
    );
    let known = directory.upstreams().next().expect("it is there");
    assert!(known.residence.in_memory.contains(&ModelName::from("m")));
    assert!(known.residence.on_disk.contains(&ModelName::from("m")));
}

#[rstest]
#[case::newer(true, 1)]
#[case::older(false, 2)]
fn upstream_not_in_snapshot(#[case] is_newer: bool, #[case] left: usize) {
    let mut directory = listing(&["a", "b"]);
    directory.apply_snapshot(NOW_MS, vec![entry("a", 1)], is_newer);
    assert_eq!(serving(&directory), left);
}

/// An older snapshot does not add a departed upstream again.
#[test]
fn old_snapshot_ignored() {
    let mut directory = listing(&["a", "b"]);
    let gone = directory.upstreams().find(|it| it.name.as_str() == "b");
    let gone = gone.expect("listed").name.clone();
    directory.record_gone(&gone);
    directory.record_entry(leaving("a", 2));
    directory.apply_snapshot(NOW_MS, vec![entry("a", 1), entry("b", 1)], false);
    assert_eq!(serving(&directory), 0);
    assert_eq!(
        directory.record_peer_entry(entry("b", 2)),
        DirectoryChange::Added
    );
}

#[test]
fn digests_show_differences() {
    let mut one = listing(&["a", "b"]);
    let mut other = listing(&["b", "a"]);
    assert_eq!(serving_digest(&one), serving_digest(&other));
    one.record_entry(holding("a", 2, "m"));
    assert_eq!(serving_digest(&one), serving_digest(&other));
    assert_ne!(residence_digests(&one), residence_digests(&other));
    // Entries that differ only in their revision have equal digests.
    other.record_entry(holding("a", 9, "m"));
    assert_eq!(residence_digests(&one), residence_digests(&other));
    other.record_entry(leaving("b", 2));
    assert_ne!(serving_digest(&one), serving_digest(&other));
}

fn repair_times(repair: &mut ListRepair, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let mut repairs = Vec::new();
    for now_ms in from_ms..to_ms {
        if now_ms % 400 == 0 {
            repair.record_comparison(now_ms, &[false], 7);
        }
        if repair.is_due(now_ms) {
            repair.begin(now_ms, 7);
            repairs.push(now_ms);
        }
    }
    repairs
}

/// Repairs that do not help are repeated with growing delays.
#[rstest]
#[case::serving(ListRepair::for_serving_upstreams(), 500)]
#[case::residences(ListRepair::for_residences(), 3_000)]
#[case::without_snapshot(ListRepair::without_snapshot(), 6_000)]
fn repair_backoff(#[case] mut repair: ListRepair, #[case] min_difference_ms: u64) {
    let repairs = repair_times(&mut repair, 0, 60_000);
    assert!(repairs[0] >= min_difference_ms && repairs[0] < min_difference_ms + 500);
    assert!(repairs.len() < 8, "{repairs:?}");
    repair.record_comparison(60_000, &[true], 7);
    assert_eq!(repair.due_ms(), None);
    assert_eq!(
        repair_times(&mut repair, 60_001, 62_000).is_empty(),
        min_difference_ms > 1_999
    );
}

/// A difference as short as a message's transit time is not repaired.
#[test]
fn short_difference_ignored() {
    let mut repair = ListRepair::for_serving_upstreams();
    repair.record_comparison(1_000, &[false], 0);
    repair.record_comparison(1_400, &[true], 0);
    repair.record_comparison(1_800, &[false], 0);
    let due_ms = repair.due_ms().expect("it differs again");
    assert!(due_ms > 2_200);
}

/// Guards against VMs that read the snapshot every few seconds without having missed anything.
/// Orders change residences many times a second and VMs receive each change a moment later, so a
/// single digest of all engines would differ at every moment.
#[test]
fn alternating_groups_ignored() {
    let mut repair = ListRepair::for_residences();
    for heartbeat in 0..200_usize {
        let same: Vec<bool> = (0..16).map(|group| (group + heartbeat) % 4 != 0).collect();
        repair.record_comparison(heartbeat as u64 * 400, &same, 0);
        let due_ms = repair.due_ms().expect("some differ");
        assert!(due_ms > heartbeat as u64 * 400);
    }
}
