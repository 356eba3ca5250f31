//! Tests of snapshots in parts, damaged or mixed, and of fresh starts.

mod common;

use rstest::rstest;

use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;

use apricotdale_state::ClaimTable;
use apricotdale_state::ControlState;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::errors::Error;
use apricotdale_state::parts::FreshStart;
use apricotdale_state::parts::SnapshotCatalog;
use apricotdale_state::parts::SnapshotRecord;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;
use apricotdale_state::snapshot::Snapshot;

use common::Stream;

fn control() -> StreamName {
    "control".into()
}

fn section() -> (Section, ControlState) {
    let (mut stream, a, _) = Stream::ready(true);
    let load = stream.loaded(a, "m1", "e1", (1, 2));
    stream.unload(a, "m1", "e1", load);
    stream.load(a, "m2", "e1");
    let section = Section::of_control(Lineage::default(), &stream.state);
    (section, stream.state)
}

fn payloads(section: &Section) -> Vec<Vec<u8>> {
    let records = SnapshotRecord::of_section(&control(), section, 64);
    records.iter().map(SnapshotRecord::encode).collect()
}

fn apply_all(catalog: &mut SnapshotCatalog, payloads: &[Vec<u8>]) {
    for payload in payloads {
        let next = catalog.next_offset();
        catalog
            .apply(next, payload)
            .expect("the record is complete");
    }
}

#[test]
fn writers_combine() {
    let (section, state) = section();
    let payloads = payloads(&section);
    assert!(payloads.len() > 2);
    let mut catalog = SnapshotCatalog::new(Offset(0));
    apply_all(&mut catalog, &payloads[..payloads.len() - 1]);
    assert!(catalog.newest(&control()).is_none());
    apply_all(&mut catalog, &payloads);
    let newest = catalog.newest(&control()).expect("all parts came");
    assert_eq!(newest.control().expect("the section is complete"), state);
}

#[test]
fn newest_section_kept() {
    let (newer, _) = section();
    let older = Section::of_control(Lineage::default(), &ControlState::new());
    let mut catalog = SnapshotCatalog::new(Offset(0));
    apply_all(&mut catalog, &payloads(&newer));
    apply_all(&mut catalog, &payloads(&older));
    assert_eq!(catalog.newest(&control()), Some(&newer));
}

#[rstest]
#[case::flipped_bit(|bytes: &mut Vec<u8>| { let last = bytes.len() - 1; bytes[last] ^= 1; })]
#[case::truncated(|bytes: &mut Vec<u8>| { bytes.pop(); })]
#[case::empty(|bytes: &mut Vec<u8>| bytes.clear())]
fn damaged_part_skipped(#[case] damage: fn(&mut Vec<u8>)) {
    let (section, _) = section();
    let good = payloads(&section);
    let mut damaged = good.clone();
    damage(&mut damaged[1]);
    let mut catalog = SnapshotCatalog::new(Offset(0));
    let mut errors = 0;
    for payload in &damaged {
        let next = catalog.next_offset();
        errors += usize::from(catalog.apply(next, payload).is_err());
    }
    assert_eq!(errors, 1);
    assert!(catalog.newest(&control()).is_none());
    apply_all(&mut catalog, &good);
    assert_eq!(catalog.newest(&control()), Some(&section));
}

#[test]
fn unsupported_format() {
    let mut payload = payloads(&section().0).remove(0);
    payload[0] = 99;
    let error = SnapshotRecord::decode(&payload).expect_err("the format is unknown");
    assert_eq!(error, Error::UnsupportedFormat { found: 99 });
}

#[test]
fn peer_snapshot_complete() {
    let (section, state) = section();
    let table = ClaimTable::new(ClaimOptions::default());
    let mut snapshot = Snapshot::default();
    snapshot.sections.insert(control(), section.clone());
    snapshot.sections.insert(
        "claims-0".into(),
        Section::of_claims(Lineage::default(), &table),
    );
    let parts = snapshot.to_parts(section.next, 100);
    assert!(parts.len() > 2);
    let again = Snapshot::from_parts(&parts).expect("all parts are there");
    let sections = &again.sections;
    assert_eq!(
        sections[&control()]
            .control()
            .expect("the section is complete"),
        state
    );
    assert_eq!(
        sections[&"claims-0".into()]
            .claims()
            .expect("the section is complete"),
        table
    );
    assert!(Snapshot::from_parts(&parts[1..]).is_err());
    let mut mixed = parts.clone();
    mixed[1].at = Offset(0);
    assert!(Snapshot::from_parts(&mixed).is_err());
}

#[test]
fn snapshot_keeps_digests() {
    let mut state = ControlState::new();
    for _ in 0..2_100 {
        state.apply(state.next_offset(), 1, b"noise");
    }
    let section = Section::of_control(Lineage::default(), &state);
    let again = section.control().expect("the section is complete");
    assert_eq!(again.digest(), state.digest());
    assert_eq!(again.digest_at(Offset(1024)), state.digest_at(Offset(1024)));
    assert_eq!(again.digest().map(|digest| digest.at), Some(Offset(2048)));
}

fn fresh(after: u64, next: u64) -> Vec<u8> {
    let state = ControlState::after_loss(Offset(next), None);
    let bytes = Section::of_control(Lineage::default(), &state).bytes;
    let fresh = FreshStart {
        after: Offset(after),
        next: Offset(next),
        bytes,
    };
    SnapshotRecord::of_fresh_start(&control(), fresh).encode()
}

/// Guards against two VMs that continue from different states after a total loss. Both find no
/// state and propose fresh starts at different offsets. If each used its own proposal, they would
/// differ.
#[test]
fn first_start_wins() {
    let mut catalog = SnapshotCatalog::new(Offset(4));
    apply_all(&mut catalog, &[fresh(4, 100), fresh(4, 150)]);
    let newest = catalog.newest(&control()).expect("a fresh start counts");
    assert_eq!(
        (newest.lineage, newest.next),
        (Lineage(Offset(4)), Offset(100))
    );
    // The proposer of the next fresh start has read the first one.
    apply_all(&mut catalog, &[fresh(6, 900)]);
    assert_eq!(catalog.lineage(&control()), Lineage(Offset(6)));
}

#[test]
fn old_lineage_ignored() {
    let (section, _) = section();
    let mut catalog = SnapshotCatalog::new(Offset(0));
    apply_all(&mut catalog, &[fresh(0, 100)]);
    apply_all(&mut catalog, &payloads(&section));
    assert_eq!(
        catalog.newest(&control()).map(|newest| newest.next),
        Some(Offset(100))
    );
}

#[test]
fn unverifiable_start_ignored() {
    let mut catalog = SnapshotCatalog::new(Offset(7));
    apply_all(&mut catalog, &[fresh(6, 100)]);
    assert!(catalog.newest(&control()).is_none());
}

#[test]
fn configuration_survives_loss() {
    let (_, state) = section();
    let fresh = ControlState::after_loss(Offset(500), Some(&state));
    assert_eq!(fresh.config(), state.config());
    assert_eq!(fresh.replicas().count() + fresh.engines().count(), 0);
    assert_eq!(fresh.next_offset(), Offset(500));
}
