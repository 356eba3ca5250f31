//! Frequency with which requests are blocked for crashes that they did not cause.
//!
//! Engines crash by themselves, one at a time, which no rule can distinguish from a crash that a
//! request caused. Each request runs on a random engine. One that is lost runs again, up to four
//! times.

use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Quarantine;
use apricotdale_quarantine::Scope;
use apricotdale_quarantine::Suspect;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Requests in progress at an engine.
const SLOTS: usize = 24;

/// Longest run of a request.
const RUN_MS: u64 = 500;

/// Largest number of runs of a request: two attempts of its route, each for the first send and one
/// retry of its caller.
const RUNS: u32 = 4;

/// Time for which an engine that crashed is down.
const DOWN_MS: u64 = 5_000;

struct Count {
    lost: usize,
    blocked: usize,
}

/// Simulates engines that crash at a constant rate, and returns how many requests were lost and how
/// many of them were blocked.
fn simulate(engines: usize, crashes: usize, gap_ms: u64, seed: u64) -> Count {
    let options = Options::default();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::new(options.clone());
    let mut now_ms = 1_000_000;
    // Requests on each engine: their number, how many times they have run, and when they end.
    let mut running: Vec<Vec<(u32, u32, u64)>> = vec![Vec::new(); engines];
    let mut up_from_ms = vec![0; engines];
    let mut next = 0_u32;
    let mut lost = HashSet::new();
    let mut blocked = HashSet::new();
    for crash in 0..crashes {
        now_ms += gap_ms;
        for slots in &mut running {
            slots.retain(|(.., until_ms)| *until_ms > now_ms);
            while slots.len() < SLOTS {
                next += 1;
                slots.push((next, 1, now_ms + random.random_range(1..RUN_MS)));
            }
        }
        let alive: Vec<usize> = (0..engines)
            .filter(|it| up_from_ms[*it] <= now_ms)
            .collect();
        if alive.len() < 2 {
            continue;
        }
        let crashed = alive[random.random_range(0..alive.len())];
        up_from_ms[crashed] = now_ms + DOWN_MS;
        let ended = std::mem::take(&mut running[crashed]);
        let suspects = ended.iter().map(|(number, ..)| {
            let fingerprint = Fingerprint::of(None, "POST", &[], &number.to_le_bytes());
            Suspect::new(fingerprint, CallerHash::of(&number.to_le_bytes()))
        });
        let report = CrashReport {
            upstream: UpstreamName::from(format!("i-{crash}")),
            ago_ms: 0,
            reporter: 1,
            suspects: suspects.collect(),
        };
        quarantine.record_crash(now_ms, &report);
        let rows = quarantine.judge(now_ms + options.settle_ms, Scope::Fleet);
        blocked.extend(rows.into_iter().map(|row| row.fingerprint));
        for (number, runs, _) in ended {
            lost.insert(number);
            let others: Vec<usize> = alive.iter().copied().filter(|it| *it != crashed).collect();
            let slot = others[random.random_range(0..others.len())];
            if runs < RUNS {
                running[slot].push((number, runs + 1, now_ms + RUN_MS));
            }
        }
    }
    Count {
        lost: lost.len(),
        blocked: blocked.len(),
    }
}

/// Guards against blocking requests for engines that crash by themselves, one after the other.
#[rstest]
#[case::small(18, 2_000)]
#[case::large(134, 400)]
fn isolated_crashes(#[case] engines: usize, #[case] gap_ms: u64) {
    let (mut lost, mut blocked) = (0, 0);
    for seed in 0..40 {
        let count = simulate(engines, 60, gap_ms, seed);
        lost += count.lost;
        blocked += count.blocked;
    }
    println!("{engines} engines: {blocked} of {lost} lost requests blocked");
    assert!(lost > 10_000);
    assert!(blocked * 1_000 <= lost, "{blocked} of {lost}");
}
