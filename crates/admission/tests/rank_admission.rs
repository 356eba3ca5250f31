//! Admission of arrivals by announced shares. Load: one overloaded service at many VMs, each of
//! which receives a few requests per second and their retries.

use apricotdale_admission::RankAdmission;
use apricotdale_admission::RankDecision;
use apricotdale_admission::RankShareRow;
use apricotdale_admission::service_key;
use apricotdale_core::names::GroupName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SERVICE: u32 = 7;
const REQUESTS: u64 = 20_000;

fn row(rank: u8, permille: u16, retry_after_ms: u32) -> RankShareRow {
    RankShareRow {
        service: SERVICE,
        rank,
        permille,
        retry_after_ms,
    }
}

fn told(now_ms: u64, rows: &[RankShareRow]) -> RankAdmission {
    let mut admission = RankAdmission::default();
    admission.record(now_ms, rows.to_vec());
    admission
}

fn hashes() -> impl Iterator<Item = u64> {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    (0..REQUESTS).map(move |_| random.random())
}

fn admitted(admission: &RankAdmission, rank: u8, hashes: impl Iterator<Item = u64>) -> f64 {
    let decide = |hash| admission.decide(0, SERVICE, rank, hash);
    let (mut all, mut admitted) = (0, 0);
    for hash in hashes {
        all += 1;
        admitted += u32::from(decide(hash) == RankDecision::Admit);
    }
    f64::from(admitted) / f64::from(all)
}

/// Guards against a part of the arrivals that differs from the share, also where the hash has chosen
/// the service before.
#[rstest]
#[case::none(0)]
#[case::floor(100)]
#[case::half(500)]
#[case::all(1_000)]
fn share_of_arrivals(#[case] permille: u16) {
    let admission = told(0, &[row(1, permille, 1_000)]);
    let share = f64::from(permille) / 1_000.0;
    assert!((admitted(&admission, 1, hashes()) - share).abs() < 0.015);
    let of_one_service = hashes().filter(|hash| hash % 100 < 10);
    assert!((admitted(&admission, 1, of_one_service) - share).abs() < 0.04);
    let with_low_hashes = 0..REQUESTS;
    assert!((admitted(&admission, 1, with_low_hashes) - share).abs() < 0.015);
}

/// Guards against VMs that decide differently, so that a caller gains by asking another one.
#[test]
fn vms_decide_alike() {
    let rows = [row(0, 700, 1_003), row(2, 200, 4_003)];
    let (first, second) = (told(500, &rows), told(730, &rows));
    for hash in hashes() {
        for rank in [0, 1, 2] {
            let decision = first.decide(900, SERVICE, rank, hash);
            assert_eq!(second.decide(1_400, SERVICE, rank, hash), decision);
        }
    }
}

/// Guards against requests that are refused at each retry because their hash stays the same.
#[test]
fn retries_drawn_anew() {
    let admission = told(0, &[row(1, 300, 1_008)]);
    let refused: Vec<u64> = hashes()
        .filter(|hash| admission.decide(0, SERVICE, 1, *hash) != RankDecision::Admit)
        .collect();
    let next = told(0, &[row(1, 300, 1_009)]);
    let share = admitted(&next, 1, refused.into_iter());
    assert!((share - 0.3).abs() < 0.015, "{share}");
}

/// Guards against callers who are told to return before the backlog is worked off, or all at once.
#[test]
fn retry_times_spread() {
    let admission = told(0, &[row(1, 0, 2_000)]);
    let mut quarters = [0_u64; 4];
    for hash in hashes() {
        match admission.decide(0, SERVICE, 1, hash) {
            RankDecision::Refuse { retry_after_ms } => {
                assert!((2_000..4_000).contains(&retry_after_ms));
                quarters[(retry_after_ms as usize - 2_000) / 500] += 1;
            }
            RankDecision::Admit => panic!("admitted with a share of none"),
        }
    }
    for count in quarters {
        assert!(count.abs_diff(REQUESTS / 4) < REQUESTS / 50, "{quarters:?}");
    }
}

/// Guards against shares that stay in force although the holder is lost or has ended them.
#[rstest]
#[case::fresh(1_500, 0)]
#[case::stale(1_501, 1_000)]
fn stale_shares(#[case] age_ms: u64, #[case] lowest_permille: u16) {
    let mut admission = told(10_000, &[row(0, 0, 1_000)]);
    let now_ms = 10_000 + age_ms;
    let is_admitted = admission.decide(now_ms, SERVICE, 0, 1) == RankDecision::Admit;
    assert_eq!(is_admitted, lowest_permille > 0);
    assert_eq!(admission.lowest_permille(now_ms), lowest_permille);
    admission.record(now_ms, Vec::new());
    let decision = admission.decide(now_ms, SERVICE, 0, 1);
    assert_eq!(decision, RankDecision::Admit);
}

/// Guards against a rank that the holder has not heard of and that overtakes those it refuses, and
/// against refusals at other services.
#[rstest]
#[case::more_urgent(SERVICE, 0, true)]
#[case::refused(SERVICE, 1, false)]
#[case::between(SERVICE, 2, false)]
#[case::admitted(SERVICE, 3, true)]
#[case::less_urgent(SERVICE, 9, true)]
#[case::other_service(SERVICE + 1, 1, true)]
fn other_ranks(#[case] service: u32, #[case] rank: u8, #[case] is_admitted: bool) {
    let admission = told(0, &[row(3, 1_000, 1_000), row(1, 0, 1_000)]);
    let decision = admission.decide(0, service, rank, 11);
    assert_eq!(decision == RankDecision::Admit, is_admitted);
}

/// Guards against VMs of different builds that name a service differently.
#[test]
fn service_keys() {
    let key = service_key(&GroupName::from("looks"));
    assert_eq!(key, xxhash_rust::xxh3::xxh3_64(b"looks") as u32);
    assert_ne!(key, service_key(&GroupName::from("books")));
}
