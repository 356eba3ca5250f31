//! Software versions of entries, in messages between VMs of two releases and in the directory.

mod support;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Directory;
use apricotdale_fleet::ListSnapshot;
use apricotdale_fleet::ListSnapshotPart;
use apricotdale_fleet::RecentVersions;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::append_versions;
use apricotdale_fleet::incarnation_name;
use apricotdale_fleet::set_versions;
use rstest::rstest;

use support::directory;
use support::entry;

const NOW_MS: u64 = 10_000;
const BORN_MS: u64 = 5_000;

fn versioned(name: &str, revision: u64, version: Option<&str>) -> Upstream {
    let instance = InstanceName::from(name);
    Upstream {
        name: incarnation_name(&instance, BORN_MS),
        born_ms: BORN_MS,
        version: version.map(SoftwareVersion::from),
        ..entry(name, revision)
    }
}

fn part(entries: Vec<Upstream>) -> ListSnapshotPart {
    ListSnapshotPart {
        read_to: Position::new(0, 40),
        configuration: 3,
        parts: 1,
        entries,
        recent_versions: RecentVersions::default(),
    }
}

fn without_versions(part: &ListSnapshotPart) -> ListSnapshotPart {
    let mut part = part.clone();
    for entry in &mut part.entries {
        entry.version = None;
    }
    part
}

/// Returns the version of the only upstream that is known.
fn known_version(directory: &Directory) -> Option<String> {
    let mut upstreams = directory.upstreams();
    let upstream = upstreams.next().expect("an upstream");
    assert!(upstreams.next().is_none());
    upstream.version.as_ref().map(ToString::to_string)
}

fn some_part() -> ListSnapshotPart {
    part(vec![
        versioned("a", 1, Some("v1")),
        versioned("b", 1, None),
        versioned("c", 1, Some("v2")),
    ])
}

#[rstest]
#[case::empty(part(Vec::new()))]
#[case::known_and_unknown(some_part())]
fn part_with_versions(#[case] part: ListSnapshotPart) {
    let bytes = part.to_bytes().expect("a part can be encoded");
    assert_eq!(ListSnapshotPart::from_bytes(&bytes), Ok(part));
}

/// Guards against a VM of this release that can't read the list of an earlier release during a
/// rolling update, or that takes a version from it.
#[test]
fn part_of_earlier_release() {
    let part = some_part();
    let bytes = postcard::to_stdvec(&part).expect("a part can be encoded");
    let read = ListSnapshotPart::from_bytes(&bytes).expect("it can be read");
    assert_eq!(read, without_versions(&part));
}

/// Guards against a VM of an earlier release that can't read the list of this one.
#[test]
fn part_for_earlier_release() {
    let part = some_part();
    let bytes = part.to_bytes().expect("a part can be encoded");
    let read: ListSnapshotPart = postcard::from_bytes(&bytes).expect("it can be read");
    assert_eq!(read, without_versions(&part));
}

/// Guards against versions that are taken for those of other entries, or a list that is not read
/// at all, because the bytes behind the part are damaged or of a later release.
#[rstest]
#[case::too_few(&[versioned("a", 1, Some("v9"))])]
#[case::too_many(&[
    versioned("a", 1, Some("v9")),
    versioned("a", 1, Some("v9")),
    versioned("a", 1, Some("v9")),
    versioned("a", 1, Some("v9")),
])]
fn other_number_of_versions(#[case] others: &[Upstream]) {
    let part = some_part();
    let bytes = postcard::to_stdvec(&part).expect("a part can be encoded");
    let bytes = append_versions(bytes, others).expect("versions can be encoded");
    let read = ListSnapshotPart::from_bytes(&bytes).expect("it can be read");
    assert_eq!(read, without_versions(&part));
}

#[test]
fn truncated_versions() {
    let part = some_part();
    let entries_bytes = postcard::to_stdvec(&part).expect("a part can be encoded");
    let begin = entries_bytes.len();
    let versions_bytes = append_versions(entries_bytes, &part.entries);
    let versions_end = versions_bytes.expect("versions can be encoded").len();
    let bytes = part.to_bytes().expect("a part can be encoded");
    assert!(versions_end < bytes.len());
    for end in begin..bytes.len() {
        let read = ListSnapshotPart::from_bytes(&bytes[..end]).expect("it can be read");
        let expected = match end < versions_end {
            true => without_versions(&part),
            false => part.clone(),
        };
        assert_eq!(read, expected, "{end}");
    }
}

/// Guards against versions that are lost on the way of a snapshot through the store.
#[test]
fn snapshot_carries_versions() {
    let mut read = directory();
    read.apply_listing(NOW_MS, vec![versioned("a", 1, Some("v1"))]);
    let parts = ListSnapshot::new(Position::new(0, 40), &read).into_parts();
    let parts = parts.iter().map(|part| {
        let bytes = part.to_bytes().expect("a part can be encoded");
        ListSnapshotPart::from_bytes(&bytes).expect("it can be read")
    });
    let snapshot = ListSnapshot::from_parts(parts.collect()).expect("a complete snapshot");
    let mut peer = directory();
    peer.apply_snapshot(NOW_MS, snapshot.entries, true);
    assert_eq!(known_version(&peer).as_deref(), Some("v1"));
}

#[test]
fn entries_of_message() {
    let sent = [versioned("a", 1, Some("v1")), versioned("b", 1, None)];
    let rest = append_versions(Vec::new(), &sent).expect("versions can be encoded");
    let mut received = sent.clone().map(|entry| Upstream {
        version: None,
        ..entry
    });
    set_versions(&mut received, &rest);
    assert_eq!(received, sent);
}

/// Guards against refusing streams for want of their version, because a VM of an earlier release
/// told the entry of the same incarnation without it.
#[rstest]
#[case::same_revision(1)]
#[case::later_revision(2)]
fn copy_without_version(#[case] revision: u64) {
    let mut directory = directory();
    directory.record_entry(versioned("a", 1, Some("v1")));
    directory.record_peer_entry(versioned("a", revision, None));
    assert_eq!(known_version(&directory).as_deref(), Some("v1"));
    directory.apply_snapshot(NOW_MS, vec![versioned("a", revision, None)], true);
    assert_eq!(known_version(&directory).as_deref(), Some("v1"));
}

#[test]
fn version_known_later() {
    let mut directory = directory();
    directory.record_peer_entry(versioned("a", 1, None));
    assert_eq!(known_version(&directory), None);
    directory.record_entry(versioned("a", 1, Some("v1")));
    assert_eq!(known_version(&directory).as_deref(), Some("v1"));
}

#[test]
fn entry_changed_in_place() {
    let mut directory = directory();
    directory.record_entry(versioned("a", 1, Some("v1")));
    directory.record_entry(versioned("a", 2, Some("v2")));
    assert_eq!(known_version(&directory).as_deref(), Some("v2"));
    // An entry that was written before arrives late.
    directory.record_entry(versioned("a", 1, Some("v1")));
    assert_eq!(known_version(&directory).as_deref(), Some("v2"));
}

/// Guards against taking a restarted engine for one of the version that its former incarnation had.
#[test]
fn restart_of_unknown_version() {
    let mut directory = directory();
    let former = versioned("a", 1, Some("v1"));
    directory.record_entry(former.clone());
    directory.record_restart(&former.name, BORN_MS + 1_000, Residence::default());
    assert_eq!(known_version(&directory), None);
    // A late entry of the former incarnation does not give the new one its version.
    directory.record_entry(versioned("a", 2, Some("v1")));
    assert_eq!(known_version(&directory), None);
}

/// Guards against a restarted engine that takes over the version of its former incarnation from a
/// copy without version.
#[test]
fn restart_told_without_version() {
    let mut directory = directory();
    directory.record_entry(versioned("a", 9, Some("v1")));
    let restarted = Upstream {
        name: incarnation_name(&InstanceName::from("a"), BORN_MS + 1_000),
        born_ms: BORN_MS + 1_000,
        ..versioned("a", 1, None)
    };
    directory.record_peer_entry(restarted);
    assert_eq!(known_version(&directory), None);
}

/// Guards against a restarted engine that takes over the version of its former process where the
/// start time is not reported, so that both have one name.
#[test]
fn unreported_start_told_without_version() {
    let mut directory = directory();
    directory.record_entry(Upstream {
        version: Some(SoftwareVersion::from("v1")),
        ..entry("a", 9)
    });
    directory.record_peer_entry(entry("a", 10));
    assert_eq!(known_version(&directory), None);
}
