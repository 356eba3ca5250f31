//! What VMs take from the giver of orders in place of their own reads, and for how long.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::ReadSharing;
use rstest::rstest;

/// How long after an upstream said that it leaves requests may still reach it.
const LEAVING_BOUND_MS: u64 = 2_000;

/// What a VM's own read of the list and the way of a request may take of that.
const OWN_READ_MS: u64 = 100;

const HEARD_MS: u64 = 50_000;

fn beat(list_age_ms: u64) -> Freshness {
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
    }
}

/// Takes in a beat at a VM that reads for itself `jitter_ms` sooner than it must, of `spread_ms`.
fn handle_heartbeat(
    sharing: &mut ReadSharing,
    now_ms: u64,
    beat: &Freshness,
    spread_ms: u64,
    jitter_ms: u64,
) {
    sharing.handle_heartbeat(now_ms, beat, spread_ms, jitter_ms);
}

/// Symptom: requests reach an upstream for up to 2.2 s after it left. Sequence: the giver can't
/// read and its list grows old; it tells so once more and is lost; an upstream left right after the
/// giver's last read. Cause: the age of the giver's list and the time for which its word is good
/// were each bounded, and their sum was not.
#[rstest]
fn list_of_a_lost_giver(
    #[values(0, 900, 1_300)] list_age_ms: u64,
    #[values(0, 13, 400)] spread_ms: u64,
) {
    for jitter_ms in [0, spread_ms / 2, spread_ms] {
        let mut sharing = ReadSharing::default();
        handle_heartbeat(
            &mut sharing,
            HEARD_MS,
            &beat(list_age_ms),
            spread_ms,
            jitter_ms,
        );
        let last_read_ms = HEARD_MS - list_age_ms;
        let reads_itself_ms = sharing.following_until_ms();
        assert!(reads_itself_ms - last_read_ms + OWN_READ_MS <= LEAVING_BOUND_MS);
    }
}

/// Until the next beat a VM relies on the last one, whatever it drew, while the giver reads at its
/// usual pace.
#[rstest]
fn followed_until_the_next_beat(#[values(0, 950)] list_age_ms: u64) {
    let mut sharing = ReadSharing::default();
    handle_heartbeat(&mut sharing, HEARD_MS, &beat(list_age_ms), 400, 400);
    assert!(sharing.is_following(HEARD_MS + 400));
}

/// Symptom: all VMs read the list in the same millisecond, and the store can't answer in time.
/// Sequence: the giver is lost; all VMs have heard the same last beat. Cause: each relied on it for
/// the same time.
#[test]
fn vms_end_to_rely_at_different_times() {
    let ends: std::collections::BTreeSet<u64> = (0..=400)
        .map(|jitter_ms| {
            let mut sharing = ReadSharing::default();
            handle_heartbeat(&mut sharing, HEARD_MS, &beat(100), 400, jitter_ms);
            sharing.following_until_ms()
        })
        .collect();
    assert_eq!(ends.len(), 401);
}

/// A VM whose reads are old tells so; what another VM has read a moment ago goes on to hold, and no
/// longer than that.
#[test]
fn old_list_is_not_followed() {
    let mut sharing = ReadSharing::default();
    handle_heartbeat(&mut sharing, HEARD_MS, &beat(1_301), 0, 0);
    assert!(!sharing.is_following(HEARD_MS));
    assert!(!beat(1_301).is_fresh() && beat(1_300).is_fresh());
    handle_heartbeat(&mut sharing, HEARD_MS, &beat(100), 0, 0);
    let until_ms = sharing.following_until_ms();
    handle_heartbeat(&mut sharing, HEARD_MS + 400, &beat(1_301), 0, 0);
    assert_eq!(sharing.following_until_ms(), until_ms);
}

#[rstest]
#[case::whole(true, Some(HEARD_MS - 300))]
#[case::live_upstreams_may_be_missing(false, None)]
fn only_a_whole_list_counts_for_others(#[case] list_complete: bool, #[case] read_ms: Option<u64>) {
    let mut told = beat(300);
    told.list_complete = list_complete;
    assert_eq!(told.complete_list_read_ms(HEARD_MS), read_ms);
    assert_eq!(
        told.complete_list_read_to(),
        read_ms.map(|_| Position::new(0, 40))
    );
}

#[test]
fn departure_is_told_for_a_time() {
    let departure = Departure {
        upstream: UpstreamName::from("e"),
        revision: 5,
        read_to: Position::default(),
        kind: DepartureKind::Missing,
    };
    let mut sharing = ReadSharing::default();
    sharing.record_recent_departure(HEARD_MS, departure.clone());
    assert_eq!(sharing.left(HEARD_MS + 2_400), [departure]);
    assert!(sharing.left(HEARD_MS + 2_500).is_empty());
}
