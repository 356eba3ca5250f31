//! Random draws of what engines state about themselves in their answers.

use std::ops::Range;
use std::ops::RangeInclusive;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::draws::WARM_UP_MS;
use crate::fault::Trouble;
use crate::plan::Planned;
use crate::rooms::ROOM_NOTICE_MS;

/// Number of engines that state that they leave.
const STATED_LEAVE_COUNT: RangeInclusive<usize> = 1..=2;

/// Time from the first statement to the engine's end: longer than the time after which it binds.
const STATED_LEAVE_MS: Range<u64> = 4_000..7_000;

/// Mask that gives the draws of these engines a seed of their own.
const STATED_LEAVE_SEED_MASK: u64 = 0x6c65_6176_655f_7361;

/// Number of engines that ask for rest, the seconds that they state, and the time for which they
/// do.
const REST_COUNT: RangeInclusive<usize> = 1..=2;
const REST_SECONDS: RangeInclusive<u64> = 1..=3;
const REST_MS: Range<u64> = 500..4_000;

/// Mask that gives the draws of these engines a seed of their own.
const REST_SEED_MASK: u64 = 0x7265_7374_5f73_6561;

/// Slots to which upstreams with a limit on rejections shrink, their limits, and the time for which they
/// state these.
const SMALL_ROOM_SLOTS: RangeInclusive<usize> = 1..=4;
const MAX_REJECTIONS: RangeInclusive<usize> = 2..=8;
const SMALL_ROOM_MS: Range<u64> = 5_000..9_000;

/// Mask that gives the draws of these engines a seed of their own.
const SMALL_ROOM_SEED_MASK: u64 = 0x726f_6f6d_5f73_6d6c;

/// Silences of upstreams that have lost room, and their lengths.
const SMALL_ROOM_SILENCE_COUNT: RangeInclusive<usize> = 1..=2;
const SMALL_ROOM_SILENCE_MS: Range<u64> = 800..2_000;

/// Mask that gives the draws of these silences a seed of their own.
const SMALL_ROOM_SILENCE_SEED_MASK: u64 = 0x726f_6f6d_5f73_696c;

/// Draws the time in which all upstreams state a limit on rejections, and silences of all of them, or of
/// all instances of the service, once they have less room. The engines have the lower indices.
pub(crate) fn draw_small_room(
    seed: u64,
    calm_from_ms: u64,
    engines: usize,
    upstreams: usize,
) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SMALL_ROOM_SEED_MASK);
    let at_ms = random.random_range(WARM_UP_MS..first_half_end_ms(calm_from_ms));
    let for_ms = random.random_range(SMALL_ROOM_MS);
    let trouble = Trouble::SmallRoom {
        slots: random.random_range(SMALL_ROOM_SLOTS),
        max_rejections: random.random_range(MAX_REJECTIONS),
        for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
    };
    let mut planned = vec![Planned { at_ms, trouble }];
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SMALL_ROOM_SILENCE_SEED_MASK);
    for _ in 0..random.random_range(SMALL_ROOM_SILENCE_COUNT) {
        let first = match random.random_bool(0.5) {
            true => 0,
            false => engines,
        };
        let at_ms = at_ms + random.random_range(ROOM_NOTICE_MS..SMALL_ROOM_MS.end);
        let for_ms = random.random_range(SMALL_ROOM_SILENCE_MS);
        if at_ms < calm_from_ms {
            planned.push(Planned {
                at_ms,
                trouble: Trouble::SilentUpstreams {
                    upstreams: (first..upstreams).collect(),
                    for_ms,
                },
            });
        }
    }
    planned
}

/// Draws the engines that state that they leave.
pub(crate) fn draw_stated_leaves(seed: u64, calm_from_ms: u64, engines: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ STATED_LEAVE_SEED_MASK);
    (0..random.random_range(STATED_LEAVE_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..first_half_end_ms(calm_from_ms));
            let for_ms = random.random_range(STATED_LEAVE_MS);
            Planned {
                at_ms,
                trouble: Trouble::StatedLeave {
                    engine: random.random_range(0..engines.max(1)),
                    calls: random.random_ratio(1, 3),
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}

/// Draws the engines that ask for rest.
pub(crate) fn draw_rests(seed: u64, calm_from_ms: u64, engines: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ REST_SEED_MASK);
    (0..random.random_range(REST_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..first_half_end_ms(calm_from_ms));
            let for_ms = random.random_range(REST_MS);
            Planned {
                at_ms,
                trouble: Trouble::Rest {
                    engine: random.random_range(0..engines.max(1)),
                    seconds: random.random_range(REST_SECONDS),
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}

/// Returns the end of the first half of the time in which faults start.
pub(crate) fn first_half_end_ms(calm_from_ms: u64) -> u64 {
    let half_ms = calm_from_ms.saturating_sub(WARM_UP_MS).div_ceil(2);
    WARM_UP_MS + half_ms.max(1)
}
