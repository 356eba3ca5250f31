//! How long VMs rely on the lease holder's reads in place of their own.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::ReadSharing;
use rstest::rstest;

/// Maximum time from an upstream's leave notice to the last request that reaches it.
const LEAVING_BOUND_MS: u64 = 2_000;

/// Maximum time from the acknowledgement of a configuration until it is in force.
const CHANGE_BOUND_MS: u64 = 2_000;

/// Part of these times for a VM's own read of the upstream list and for the request's way.
const OWN_READ_MS: u64 = 100;

const RECEIVED_MS: u64 = 50_000;

fn heartbeat(list_age_ms: u64) -> Freshness {
    Freshness {
        configuration: 3,
        configuration_age_ms: Some(200),
        list_age_ms: Some(list_age_ms),
        list_complete: true,
        list_read_to: Position::new(0, 40),
        list_bytes_per_s: None,
        listed: 7,
        snapshot_bytes: 23_000,
        held: vec![9],
        left: Vec::new(),
        versions: None,
    }
}

/// Handles a heartbeat at a VM that reads for itself `jitter_ms`, of `spread_ms`, before it must.
fn handle_heartbeat(
    sharing: &mut ReadSharing,
    now_ms: u64,
    heartbeat: &Freshness,
    spread_ms: u64,
    jitter_ms: u64,
) {
    sharing.handle_heartbeat(now_ms, heartbeat, spread_ms, jitter_ms);
}

/// Guards against requests that reach an upstream up to 2.2 s after it left. The lease holder can't
/// read, sends one more heartbeat with its old upstream list, and fails; an upstream left right
/// after the lease holder's last read. The age of the list and the validity of the heartbeat were
/// each bounded, but their sum was not.
#[rstest]
fn failed_lease_holder(
    #[values(0, 900, 1_300)] list_age_ms: u64,
    #[values(0, 13, 400)] spread_ms: u64,
) {
    for jitter_ms in [0, spread_ms / 2, spread_ms] {
        let mut sharing = ReadSharing::default();
        handle_heartbeat(
            &mut sharing,
            RECEIVED_MS,
            &heartbeat(list_age_ms),
            spread_ms,
            jitter_ms,
        );
        let last_read_ms = RECEIVED_MS - list_age_ms;
        let reads_itself_ms = sharing.following_until_ms();
        assert!(reads_itself_ms - last_read_ms + OWN_READ_MS <= LEAVING_BOUND_MS);
    }
}

/// Guards against a configuration that takes effect more than 2 s after its acknowledgement. The
/// lease holder's read has fallen silent, a change was acknowledged right after its last answer, and
/// the other VMs still rely on its heartbeats.
#[rstest]
fn silent_configuration_read(
    #[values(0, 950, 1_300, 2_300)] configuration_age_ms: u64,
    #[values(0, 13, 400)] spread_ms: u64,
) {
    for jitter_ms in [0, spread_ms / 2, spread_ms] {
        let mut sharing = ReadSharing::default();
        let heartbeat = Freshness {
            configuration_age_ms: Some(configuration_age_ms),
            ..heartbeat(0)
        };
        handle_heartbeat(&mut sharing, RECEIVED_MS, &heartbeat, spread_ms, jitter_ms);
        let last_read_ms = RECEIVED_MS - configuration_age_ms;
        let relied_until_ms = sharing.following_until_ms();
        assert!(relied_until_ms.saturating_sub(last_read_ms) + OWN_READ_MS <= CHANGE_BOUND_MS);
    }
}

/// While the lease holder reads at its usual intervals, a VM need not read between two heartbeats,
/// whatever jitter its own reads have.
#[rstest]
fn relied_until_next(
    #[values(0, 950)] list_age_ms: u64,
    #[values(0, 950)] configuration_age_ms: u64,
) {
    let mut sharing = ReadSharing::default();
    let heartbeat = Freshness {
        configuration_age_ms: Some(configuration_age_ms),
        ..heartbeat(list_age_ms)
    };
    handle_heartbeat(&mut sharing, RECEIVED_MS, &heartbeat, 400, 400);
    assert!(sharing.is_following(RECEIVED_MS + 400));
}

/// Guards against all VMs reading the upstream list in the same millisecond, which the store can't
/// answer in time. All have received the same last heartbeat of a failed lease holder, and relied
/// on it for the same time.
#[test]
fn reliance_ends_spread() {
    let ends: std::collections::BTreeSet<u64> = (0..=400)
        .map(|jitter_ms| {
            let mut sharing = ReadSharing::default();
            handle_heartbeat(&mut sharing, RECEIVED_MS, &heartbeat(100), 400, jitter_ms);
            sharing.following_until_ms()
        })
        .collect();
    assert_eq!(ends.len(), 401);
}

/// A VM whose reads are old announces their age. Such a heartbeat neither extends nor ends the
/// reliance on another VM's recent read.
#[test]
fn old_list_ignored() {
    let mut sharing = ReadSharing::default();
    handle_heartbeat(&mut sharing, RECEIVED_MS, &heartbeat(1_301), 0, 0);
    assert!(!sharing.is_following(RECEIVED_MS));
    assert!(!heartbeat(1_301).is_fresh() && heartbeat(1_300).is_fresh());
    handle_heartbeat(&mut sharing, RECEIVED_MS, &heartbeat(100), 0, 0);
    let until_ms = sharing.following_until_ms();
    handle_heartbeat(&mut sharing, RECEIVED_MS + 400, &heartbeat(1_301), 0, 0);
    assert_eq!(sharing.following_until_ms(), until_ms);
}

#[rstest]
#[case::complete(true, Some(RECEIVED_MS - 300))]
#[case::live_upstreams_may_be_missing(false, None)]
fn complete_list_required(#[case] list_complete: bool, #[case] read_ms: Option<u64>) {
    let mut received = heartbeat(300);
    received.list_complete = list_complete;
    assert_eq!(received.complete_list_read_ms(RECEIVED_MS), read_ms);
    assert_eq!(
        received.complete_list_read_to(),
        read_ms.map(|_| Position::new(0, 40))
    );
}

#[test]
fn departure_repeated_briefly() {
    let departure = Departure {
        upstream: UpstreamName::from("e"),
        revision: 5,
        read_to: Position::default(),
        kind: DepartureKind::Missing,
    };
    let mut sharing = ReadSharing::default();
    sharing.record_recent_departure(RECEIVED_MS, departure.clone());
    assert_eq!(sharing.left(RECEIVED_MS + 2_400), [departure]);
    assert!(sharing.left(RECEIVED_MS + 2_500).is_empty());
}
