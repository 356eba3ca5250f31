//! What VMs take from the giver of orders in place of their own reads, and for how long.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DepartureKind;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::Sharing;
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
        list_whole: true,
        came: 1,
        left: Vec::new(),
    }
}

fn hear(sharing: &mut Sharing, now_ms: u64, beat: &Freshness) -> bool {
    sharing.hear(now_ms, &VmName::from("vm-a"), 7, beat)
}

/// Symptom: requests reach an upstream for up to 2.2 s after it left. Sequence: the giver can't read and
/// its list grows old; it tells so once more and is lost; an upstream left right after the giver's
/// last read. Cause: the age of the giver's list and the time for which its word is good were each
/// bounded, and their sum was not.
#[rstest]
#[case::read_just_now(0)]
#[case::read_a_while_ago(900)]
#[case::oldest_that_is_followed(1_300)]
fn list_of_a_lost_giver(#[case] list_age_ms: u64) {
    let mut sharing = Sharing::default();
    hear(&mut sharing, HEARD_MS, &beat(list_age_ms));
    assert!(sharing.follows(HEARD_MS + 400), "until the next beat");
    let last_read_ms = HEARD_MS - list_age_ms;
    let reads_itself_ms = sharing.followed_until_ms();
    assert!(reads_itself_ms - last_read_ms + OWN_READ_MS <= LEAVING_BOUND_MS);
}

#[test]
fn old_list_is_not_followed() {
    let mut sharing = Sharing::default();
    hear(&mut sharing, HEARD_MS, &beat(100));
    assert!(sharing.follows(HEARD_MS));
    assert!(!hear(&mut sharing, HEARD_MS + 400, &beat(1_301)));
    assert!(!sharing.follows(HEARD_MS + 400));
}

#[test]
fn list_is_read_when_upstreams_came() {
    let mut sharing = Sharing::default();
    assert!(hear(&mut sharing, HEARD_MS, &beat(100)));
    assert!(!hear(&mut sharing, HEARD_MS + 400, &beat(100)));
    let mut more = beat(100);
    more.came = 2;
    assert!(hear(&mut sharing, HEARD_MS + 800, &more));
}

#[rstest]
#[case::whole(true, Some(HEARD_MS - 300))]
#[case::live_upstreams_may_be_missing(false, None)]
fn only_a_whole_list_counts_for_others(#[case] list_whole: bool, #[case] read_ms: Option<u64>) {
    let mut told = beat(300);
    told.list_whole = list_whole;
    assert_eq!(told.whole_list_read_ms(HEARD_MS), read_ms);
}

#[test]
fn departure_is_told_for_a_time() {
    let departure = Departure {
        upstream: UpstreamName::from("e"),
        revision: 5,
        kind: DepartureKind::Missing,
    };
    let mut sharing = Sharing::default();
    sharing.note_left(HEARD_MS, departure.clone());
    assert_eq!(sharing.left(HEARD_MS + 2_400), [departure]);
    assert!(sharing.left(HEARD_MS + 2_500).is_empty());
}
