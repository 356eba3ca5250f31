//! Time to compute a fingerprint, by the size of the body, and to judge a crash.

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Quarantine;
use apricotdale_quarantine::Scope;
use apricotdale_quarantine::Suspect;
use criterion::Criterion;

const BODIES_BYTES: [usize; 4] = [0, 2_500, 64 * 1024, 1024 * 1024];

/// Number of remembered crashes.
const CRASHES: u64 = 100;

/// Number of requests in progress at each crash.
const REQUESTS: u32 = 24;

fn report(upstream: u64) -> CrashReport {
    let suspects = (0..REQUESTS).map(|number| {
        let body = format!("{upstream} {number}");
        let fingerprint = Fingerprint::of(None, "POST", &["site.example"], body.as_bytes());
        Suspect::new(fingerprint, CallerHash::of(&number.to_le_bytes()))
    });
    CrashReport {
        upstream: UpstreamName::from(format!("i-{upstream}")),
        ago_ms: 0,
        reporter: 1,
        suspects: suspects.collect(),
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for bytes in BODIES_BYTES {
        let body = vec![b'x'; bytes];
        criterion.bench_function(&format!("fingerprint_{bytes}_bytes"), |bencher| {
            bencher.iter(|| Fingerprint::of(None, "POST", &["site.example", "/quick/1"], &body));
        });
    }
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    for upstream in 0..CRASHES {
        quarantine.record_crash(upstream * 1_000, &report(upstream));
    }
    criterion.bench_function("judge_a_crash_after_100", |bencher| {
        bencher.iter_batched(
            || {
                let mut quarantine = quarantine.clone();
                quarantine.record_crash(CRASHES * 1_000, &report(CRASHES));
                quarantine
            },
            |mut quarantine| quarantine.judge(CRASHES * 1_000 + options.settle_ms, Scope::Fleet),
            criterion::BatchSize::SmallInput,
        );
    });
    criterion.final_summary();
}
