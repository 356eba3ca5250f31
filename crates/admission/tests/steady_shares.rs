//! Shares under a steady overload. Load: demand of twice the capacity in two ranks at 40 VMs, with
//! messages that are late by up to 1 s and some of them lost and doubled.

mod support;

use rstest::rstest;

use support::rank_fleet::Bucket;
use support::rank_fleet::FleetOptions;
use support::rank_fleet::Planted;
use support::rank_fleet::RankFleet;

const CAPACITY_PER_S: f64 = 100.0;
const SETTLED_MS: u64 = 10_000;
const END_MS: u64 = 60_000;

fn run(occupied_ms: f64, estimate: f64, has_retries: bool) -> (f64, Vec<Bucket>) {
    let slots = (CAPACITY_PER_S * occupied_ms / 1_000.0) as u32;
    let mut fleet = RankFleet::new(FleetOptions {
        seed: 3,
        vms: 40,
        slots,
        occupied_ms,
        lost_percent: 5,
        doubled_percent: 5,
        late_ms: 1_000,
        estimate,
        offered: vec![0.6, 1.4],
        has_retries,
        planted: Planted::Nothing,
    });
    fleet.run_until(SETTLED_MS);
    let settled = fleet.buckets.len();
    fleet.run_until(END_MS);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
    (f64::from(slots), fleet.buckets.split_off(settled))
}

fn mean(buckets: &[Bucket], figure: impl Fn(&Bucket) -> f64) -> f64 {
    buckets.iter().map(figure).sum::<f64>() / buckets.len() as f64
}

/// Guards against shares that swing between all and nothing because they follow reports that lag by
/// up to 1 s, against slots that stay free meanwhile, and against a backlog that grows.
#[rstest]
fn steady_overload(
    #[values(300.0, 1_000.0, 3_000.0)] occupied_ms: f64,
    #[values(0.95, 1.0, 1.05)] estimate: f64,
) {
    let (slots, buckets) = run(occupied_ms, estimate, false);
    let share = mean(&buckets, |it| f64::from(it.permilles[1]));
    let variance = mean(&buckets, |it| (f64::from(it.permilles[1]) - share).powi(2));
    let idle = mean(&buckets, |it| (1.0 - it.requests as f64 / slots).max(0.0));
    let waiting_ms =
        mean(&buckets, |it| (it.requests as f64 - slots).max(0.0)) * 1_000.0 / CAPACITY_PER_S;
    let refused = mean(&buckets, |it| {
        it.refused[0] as f64 / it.arrivals[0].max(1) as f64
    });
    let releases = buckets.iter().filter(|it| it.is_release).count();
    println!(
        "{occupied_ms} ms, estimate {estimate}: share {share:.0}, deviation {:.0}, idle {idle:.3}, \
         waiting {waiting_ms:.0} ms, rank 0 refused {refused:.4}, {releases} releases",
        variance.sqrt()
    );
    assert!(variance.sqrt() < 150.0 && releases <= 2);
    assert!(idle < 0.04, "{idle}");
    assert!(waiting_ms < 1_500.0, "{waiting_ms}");
    assert!(refused < 0.01, "{refused}");
}

/// Guards against requests that are refused at each retry. The chance of new requests in the same
/// interval is the measure, since both follow the shares.
#[test]
fn retries_as_new() {
    let (_, buckets) = run(1_000.0, 1.0, true);
    let (mut expected, mut admitted) = (0.0, 0.0);
    for bucket in &buckets {
        let new = bucket.arrivals[1] - bucket.retries[1];
        let refused_retries = bucket.retries[1] - bucket.admitted_retries[1];
        let refused_new = bucket.refused[1] - refused_retries;
        let chance = 1.0 - refused_new as f64 / new.max(1) as f64;
        expected += bucket.retries[1] as f64 * chance;
        admitted += bucket.admitted_retries[1] as f64;
    }
    println!("{admitted} retries are admitted, {expected:.0} as new requests would be");
    assert!(admitted > expected - 3.0 * f64::sqrt(expected));
}
