//! Random draws of loads: an organisation far above its limit, and models asked for in turn.

use std::ops::Range;
use std::ops::RangeInclusive;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::draws::WARM_UP_MS;
use crate::fault::Trouble;
use crate::notice_draws::first_half_end_ms;
use crate::plan::Planned;

/// Number of times in which an organisation sends several times its limit, how many times, from how
/// many callers, and for how long.
const OVER_LIMIT_COUNT: RangeInclusive<usize> = 1..=2;
const OVER_LIMIT_TIMES: RangeInclusive<u32> = 3..=6;
const OVER_LIMIT_CALLERS: RangeInclusive<usize> = 6..=12;
const OVER_LIMIT_MS: Range<u64> = 2_000..5_000;

/// Mask that gives the draws of these times a seed of their own.
const OVER_LIMIT_SEED_MASK: u64 = 0x6f76_6572_5f6c_696d;

/// Number of times in which more models than the engines hold are asked for in turn, by how many
/// callers, and for how long.
const IN_TURN_COUNT: RangeInclusive<usize> = 1..=2;
const IN_TURN_CALLERS: RangeInclusive<usize> = 3..=8;
const IN_TURN_MS: Range<u64> = 3_000..7_000;

/// Mask that gives the draws of these times a seed of their own.
const IN_TURN_SEED_MASK: u64 = 0x696e_5f74_7572_6e73;

/// Draws the times in which an organisation sends several times its limit.
pub(crate) fn draw_over_limit(seed: u64, calm_from_ms: u64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ OVER_LIMIT_SEED_MASK);
    (0..random.random_range(OVER_LIMIT_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..first_half_end_ms(calm_from_ms));
            let for_ms = random.random_range(OVER_LIMIT_MS);
            Planned {
                at_ms,
                trouble: Trouble::OverLimit {
                    times: random.random_range(OVER_LIMIT_TIMES),
                    callers: random.random_range(OVER_LIMIT_CALLERS),
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}

/// Draws the times in which models are asked for in turn.
pub(crate) fn draw_models_in_turn(seed: u64, calm_from_ms: u64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ IN_TURN_SEED_MASK);
    (0..random.random_range(IN_TURN_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..first_half_end_ms(calm_from_ms));
            let for_ms = random.random_range(IN_TURN_MS);
            Planned {
                at_ms,
                trouble: Trouble::ModelsInTurn {
                    callers: random.random_range(IN_TURN_CALLERS),
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}
