//! Random search over fleets, loads and failures for admission by rank. Load: 3 to 80 VMs with
//! demand of up to several times the capacity; messages lost, late and doubled; VMs that hear
//! nothing, that start, and half of them lost; holders lost.

mod support;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use support::rank_fleet::BUCKET_MS;
use support::rank_fleet::Bucket;
use support::rank_fleet::Event;
use support::rank_fleet::FleetOptions;
use support::rank_fleet::Planted;
use support::rank_fleet::RankFleet;

const SEEDS: u64 = 160;
const PLANTED_SEEDS: u64 = 24;
const END_MS: u64 = 48_000;

/// Time after a change for which everything may be admitted: rates are averaged over 1 s at the VMs
/// and over 1 s at the holder.
const ADMITTING_LAG_S: f64 = 2.0;

/// Time from a change until the shares of all VMs have followed it: the averages, the interval and
/// delay of reports (0.7 and 1 s) and of heartbeats (0.4 and 1 s), as far as they add up.
const SETTLING_MS: u64 = 4_000;

/// Time in which admitted requests are counted.
const WINDOW_MS: u64 = 20_000;

fn scenario(seed: u64, planted: Planted) -> (FleetOptions, Vec<(u64, Event)>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let capacity_per_s: f64 = random.random_range(20.0..200.0);
    let occupied_ms = random.random_range(200.0..3_000.0);
    let ranks = match random.random_range(0..8) {
        0 => 1,
        1..4 => 2,
        _ => 3,
    };
    let slots = (capacity_per_s * occupied_ms / 1_000.0).max(12.0) as u32;
    let offered = load(&mut random, ranks);
    let options = FleetOptions {
        seed,
        vms: match random.random_range(0..2) {
            0 => random.random_range(3..=12),
            _ => random.random_range(13..=80),
        },
        slots,
        occupied_ms,
        lost_percent: random.random_range(0..=20),
        doubled_percent: random.random_range(0..=20),
        late_ms: random.random_range(0..=1_000),
        estimate: random.random_range(0.9..1.1),
        offered,
        has_retries: random.random_bool(0.5),
        planted,
    };
    let mut events = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(500..14_000);
        if at_ms >= END_MS {
            return (options, events);
        }
        let event = match random.random_range(0..7) {
            0..2 => Event::Load(load(&mut random, ranks)),
            2..4 => Event::Deaf {
                vm: random.random_range(0..80),
                for_ms: random.random_range(500..8_000),
            },
            4 => Event::Start,
            5 => Event::LoseHalf,
            _ => Event::LoseHolder {
                gap_ms: random.random_range(0..3_000),
            },
        };
        events.push((at_ms, event));
    }
}

fn load(random: &mut ChaCha8Rng, ranks: usize) -> Vec<f64> {
    (0..ranks)
        .map(|_| match random.random_range(0..4) {
            0 => random.random_range(0.0..0.2),
            1..3 => random.random_range(0.2..0.8),
            _ => random.random_range(0.8..2.5),
        })
        .collect()
}

/// Plays a scenario and returns what was violated in it.
fn play(seed: u64, planted: Planted) -> Vec<String> {
    let (options, events) = scenario(seed, planted);
    let mut fleet = RankFleet::new(options);
    for (at_ms, event) in events {
        fleet.run_until(at_ms);
        fleet.apply(&event);
    }
    fleet.run_until(END_MS);
    check_admitted(&mut fleet);
    check_order(&mut fleet);
    check_floor(&mut fleet);
    let options = &fleet.options;
    let describe = |it: &String| format!("seed {seed}: {it}; {options:?}");
    fleet.violations.iter().map(describe).collect()
}

fn sum(bucket: &[u64]) -> f64 {
    bucket.iter().sum::<u64>() as f64
}

/// Returns the offered requests per second, with those of callers who ask again.
fn offered_per_s(bucket: &Bucket) -> f64 {
    let measured = sum(&bucket.arrivals) * 1_000.0 / BUCKET_MS as f64;
    bucket.offered_per_s.iter().sum::<f64>().max(measured)
}

/// In each window, VMs that hear of the holder admit what the engines complete, the requests in the
/// slots at the target pressure, and what exceeds the capacity in the lag after a change.
fn check_admitted(fleet: &mut RankFleet) {
    if fleet.options.offered.len() == 1 {
        return;
    }
    let capacity_per_s = fleet.capacity_per_s();
    let length = (WINDOW_MS / BUCKET_MS) as usize;
    let mut worst = 0.0_f64;
    for window in fleet.buckets.windows(length) {
        let admitted: f64 = window.iter().map(|it| sum(&it.admitted)).sum();
        let most_per_s = window.iter().map(offered_per_s).fold(0.0, f64::max);
        let changes = 1 + window.iter().filter(|it| it.is_change).count();
        let excess_per_s = (most_per_s - capacity_per_s).max(0.0);
        let lag_s = ADMITTING_LAG_S * changes as f64;
        let completed = capacity_per_s * WINDOW_MS as f64 / 1_000.0;
        let completed = completed / fleet.options.estimate.min(1.0);
        let allowed = completed
            + 1.1 * f64::from(fleet.options.slots)
            + excess_per_s * lag_s
            + 3.0 * completed.sqrt();
        worst = worst.max(admitted / allowed);
    }
    if worst > 1.0 {
        fleet.violate(&format!("{worst:.2} of the requests that fit are admitted"));
    }
}

/// Requests that are admitted after more urgent ones were refused fit the floor, except in the lag
/// after a change, and after the holder has ended the refusals: VMs that have been told admit all
/// requests while others still refuse.
fn check_order(fleet: &mut RankFleet) {
    let (mut overtaking, mut allowed) = (0.0, 0.0);
    for bucket in settled(&fleet.buckets) {
        if sum(&bucket.refused) > 0.0 {
            overtaking += bucket.overtaking as f64;
            allowed += fleet.capacity_per_s() / 10.0 * BUCKET_MS as f64 / 1_000.0;
        }
    }
    if overtaking > 1.4 * allowed + 4.0 * f64::sqrt(allowed) + 10.0 {
        fleet.violate(&format!(
            "{overtaking} overtake, {allowed:.0} fit the floor"
        ));
    }
}

/// Ranks behind the most urgent one get the floor, as far as they want it, while it is refused.
fn check_floor(fleet: &mut RankFleet) {
    let floor_per_s = fleet.capacity_per_s() / 10.0;
    let (mut admitted, mut kept) = (0.0, 0.0);
    for bucket in settled(&fleet.buckets) {
        if bucket.refused[0] > 0 {
            let behind_per_s: f64 = bucket.offered_per_s[1..].iter().sum();
            admitted += sum(&bucket.admitted[1..]) + bucket.untold as f64;
            kept += behind_per_s.min(floor_per_s) * BUCKET_MS as f64 / 1_000.0;
        }
    }
    if admitted < 0.8 * kept - 4.0 * f64::sqrt(kept) {
        fleet.violate(&format!(
            "{admitted} are admitted, {kept:.0} are kept for them"
        ));
    }
}

/// Returns the intervals that are not within the lag of a change or of the end of refusals.
fn settled(buckets: &[Bucket]) -> impl Iterator<Item = &Bucket> {
    let lag = (SETTLING_MS / BUCKET_MS) as usize;
    let is_settled = move |end: &usize| {
        let before = &buckets[*end - lag..=*end];
        !before.iter().any(|it| it.is_change || it.is_release)
    };
    (lag..buckets.len())
        .filter(is_settled)
        .map(|end| &buckets[end])
}

/// Guards against more admitted requests than engines can hold in time, more urgent ones refused
/// before less urgent ones, a floor that is not kept, refusals without need, and shares that stay in
/// force at a VM that hears nothing.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
#[case::fourth(3)]
fn rank_search(#[case] part: u64) {
    let seeds = part * SEEDS / 4..(part + 1) * SEEDS / 4;
    let violations: Vec<String> = seeds.flat_map(|it| play(it, Planted::Nothing)).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a search that does not notice a fault.
#[rstest]
#[case::ranks_ignored(Planted::RanksIgnored, "overtake")]
#[case::floor_missing(Planted::FloorMissing, "kept for them")]
#[case::stale_kept(Planted::StaleKept, "heard nothing")]
#[case::all_admitted(Planted::AllAdmitted, "that fit are admitted")]
#[case::free_refused(Planted::FreeRefused, "refused at a pressure")]
fn planted_fault_found(#[case] planted: Planted, #[case] violation: &str) {
    let found = (0..PLANTED_SEEDS)
        .filter(|seed| play(*seed, planted).iter().any(|it| it.contains(violation)))
        .count();
    eprintln!("{planted:?} is found in {found} of {PLANTED_SEEDS} seeds");
    assert!(found > 0);
}
