//! Random draws of silences of sound upstreams and of changes of settings.

use std::ops::RangeInclusive;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::EndlessPart;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::draws::WARM_UP_MS;
use crate::fault::Adjustment;
use crate::fault::Trouble;
use crate::plan::Planned;

/// Number of series of silences, silences of a series, their duration, and the time between two.
const SERIES_COUNT: RangeInclusive<usize> = 2..=4;
const SERIES_LENGTH: RangeInclusive<usize> = 1..=2;
const SILENCE_MS: RangeInclusive<u64> = 500..=1_600;
const SILENCE_INTERVAL_MS: RangeInclusive<u64> = 50..=600;

/// Mask that gives the draws of silences a seed of their own.
const SILENCE_SEED_MASK: u64 = 0x7369_6c65_6e63_6573;

/// Number of changes of settings.
const ADJUSTMENT_COUNT: RangeInclusive<usize> = 4..=8;

/// Values from which changes of settings are drawn. The longer timeouts are beyond the time that
/// callers allow, the shorter ones below it.
const TIMEOUTS_MS: [u64; 4] = [1_500, 2_300, 6_000, 12_000];
const ATTEMPTS: RangeInclusive<u32> = 1..=3;
const IDLE_TIMEOUTS_MS: [u64; 3] = [1_000, 3_000, 15_000];
const PLAIN_PERCENTS: [u32; 4] = [10, 50, 90, 100];
const RATES_PER_S: [u32; 3] = [12, 18, 25];

/// Number of upstreams that answer without end, the answers of each, and the pace.
const ENDLESS_COUNT: RangeInclusive<usize> = 1..=3;
const ENDLESS_ANSWERS: RangeInclusive<u32> = 1..=3;
const ENDLESS_GAP_MS: RangeInclusive<u64> = 1..=200;
const ENDLESS_PARTS: [EndlessPart; 7] = [
    EndlessPart::Garbage,
    EndlessPart::HeaderLine,
    EndlessPart::HeaderLines,
    EndlessPart::InterimAnswers,
    EndlessPart::PlainBody,
    EndlessPart::ChunkSize,
    EndlessPart::Comments,
];

/// Mask that gives the draws of these answers a seed of their own.
const ENDLESS_SEED_MASK: u64 = 0x656e_646c_6573_7361;

/// Mask that gives the draws of these changes a seed of their own.
const ADJUSTMENT_SEED_MASK: u64 = 0x6164_6a75_7374_6564;

/// Draws the silences of sound upstreams, the engines of which have the lower indices.
pub(crate) fn draw_silences(
    seed: u64,
    calm_from_ms: u64,
    engines: usize,
    upstreams: usize,
) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SILENCE_SEED_MASK);
    let mut silences = Vec::new();
    for _ in 0..random.random_range(SERIES_COUNT) {
        let mut at_ms = random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1));
        let silent: Vec<usize> = match random.random_range(0..5) {
            0 => vec![random.random_range(0..upstreams.max(1))],
            1 => (0..upstreams).filter(|_| random.random_bool(0.5)).collect(),
            2 => (0..engines).collect(),
            3 => (engines..upstreams).collect(),
            _ => (0..upstreams).collect(),
        };
        for _ in 0..random.random_range(SERIES_LENGTH) {
            let for_ms = random.random_range(SILENCE_MS);
            if at_ms < calm_from_ms {
                silences.push(Planned {
                    at_ms,
                    trouble: Trouble::SilentUpstreams {
                        upstreams: silent.clone(),
                        for_ms,
                    },
                });
            }
            at_ms += for_ms + random.random_range(SILENCE_INTERVAL_MS);
        }
    }
    silences
}

/// Draws the upstreams that answer without end.
pub(crate) fn draw_endless_answers(seed: u64, calm_from_ms: u64, upstreams: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ENDLESS_SEED_MASK);
    (0..random.random_range(ENDLESS_COUNT))
        .map(|_| Planned {
            at_ms: random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1)),
            trouble: Trouble::Answers {
                upstream: random.random_range(0..upstreams.max(1)),
                fault: AnswerFault::EndlessPart {
                    part: ENDLESS_PARTS[random.random_range(0..ENDLESS_PARTS.len())],
                    gap_ms: random.random_range(ENDLESS_GAP_MS),
                },
                count: random.random_range(ENDLESS_ANSWERS),
            },
        })
        .collect()
}

/// Draws the operators' changes of settings and, in the same series, of the limit of requests.
pub(crate) fn draw_adjustments(seed: u64, calm_from_ms: u64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ADJUSTMENT_SEED_MASK);
    (0..random.random_range(ADJUSTMENT_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1));
            let mut one_of = |values: &[u64]| values.choose(&mut random).copied().unwrap_or(0);
            let timeout = Adjustment::Timeout(one_of(&TIMEOUTS_MS));
            let idle_timeout = Adjustment::IdleTimeout(one_of(&IDLE_TIMEOUTS_MS));
            let percent = PLAIN_PERCENTS.choose(&mut random).copied().unwrap_or(100);
            let rate_per_s = RATES_PER_S.choose(&mut random).copied().unwrap_or(25);
            let attempts = Adjustment::Attempts(random.random_range(ATTEMPTS));
            let trouble = match random.random_range(0..7) {
                0..=2 => Trouble::Adjust(timeout),
                3 => Trouble::Adjust(idle_timeout),
                4 => Trouble::Adjust(Adjustment::PlainPercent(percent)),
                5 => Trouble::Adjust(attempts),
                _ => Trouble::Limit { rate_per_s },
            };
            Planned { at_ms, trouble }
        })
        .collect()
}
