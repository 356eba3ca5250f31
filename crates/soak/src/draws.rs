//! Random draws of faults, crashers, bursts and changes of organisations from a seed. Each kind has
//! a generator of its own, so that a change of one leaves the draws of the others as they are.

use std::ops::Range;
use std::ops::RangeInclusive;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StoreFault;
use apricotdale_standins::platform::StreamFault;
use apricotdale_standins::proxy::LinkFault;

use crate::fault::PathCut;
use crate::fault::Trouble;
use crate::keys::LIMITED_ORGANISATION;
use crate::keys::STABLE_ORGANISATION;
use crate::plan::Burst;
use crate::plan::CRASH_MARKS;
use crate::plan::CRASH_PARTS;
use crate::plan::Crasher;
use crate::plan::Planned;
use crate::streams::software_versions;
use crate::workload::MODELS;

/// Time before the first fault, in which the VMs begin to serve.
pub(crate) const WARM_UP_MS: u64 = 1_500;

/// Time after the last fault, in which its effects pass.
pub(crate) const SETTLE_MS: u64 = 3_500;

/// Scale of the time between the starts of two random faults: 1/3 of it up to twice it.
const FAULT_INTERVAL_MS: u64 = 900;

/// Upper bound of different requests that crash engines.
const MAX_CRASHERS: usize = 3;

/// Upper bound of concurrent callers that send the same such request.
const MAX_COPIES: usize = 6;

/// Mask that gives the draws of crashers a seed of their own.
const CRASHER_SEED_MASK: u64 = 0x6372_6173_6865_7273;

/// Mask that gives the draws of crashing parts a seed of their own.
const PART_CRASHER_SEED_MASK: u64 = 0x7061_7274_6372_6173;

/// Upper bound of rollbacks of the store.
const MAX_ROLLBACKS: usize = 2;

/// Upper bound of the duration of a rollback; none starts later than this before the last fault.
const MAX_ROLLBACK_MS: u64 = 6_000;

/// Mask that gives the draws of rollbacks a seed of their own.
const ROLLBACK_SEED_MASK: u64 = 0x7365_7462_6163_6b73;

/// Number of faults that concern the continuation of a stream at another engine.
const CONTINUATION_FAULT_COUNT: RangeInclusive<usize> = 4..=8;

/// Mask that gives the draws of continuation faults a seed of their own.
const CONTINUATION_SEED_MASK: u64 = 0x6a6f_696e_7321_0000;

/// Number of rate limits that engines state.
const STATED_LIMIT_COUNT: RangeInclusive<usize> = 1..=2;

/// Rate limits that engines state, in thousandths of a request per second.
const STATED_LIMITS_MILLI_PER_S: [u32; 5] = [0, 500, 1_000, 2_000, 4_500];

/// Duration of a statement: longer than the time after which it binds.
const STATED_LIMIT_MS: Range<u64> = 4_000..8_000;

/// Mask that gives the draws of stated limits a seed of their own.
const STATED_LIMIT_SEED_MASK: u64 = 0x7374_6174_6564_6c69;

/// Number of cuts of VMs from all upstreams, and their duration.
const PATH_CUT_COUNT: RangeInclusive<usize> = 0..=2;
const PATH_CUT_MS: Range<u64> = 500..7_000;

/// Mask that gives the draws of these cuts a seed of their own.
const PATH_CUT_SEED_MASK: u64 = 0x7061_7468_5f63_7574;

/// Number of releases of engines' software.
const RELEASE_COUNT: RangeInclusive<usize> = 1..=2;

/// Time from the begin of an engine's departure to its end in a release, from there to its restart,
/// and from there to the next engine.
const RELEASE_DRAIN_MS: Range<u64> = 500..1_500;
const RELEASE_DOWN_MS: Range<u64> = 50..500;
const RELEASE_INTERVAL_MS: Range<u64> = 0..1_200;

/// Mask that gives the draws of releases a seed of their own.
const RELEASE_SEED_MASK: u64 = 0x7265_6c65_6173_6573;

/// Number of changes of keys and limits.
const ORGANISATION_CHANGE_COUNT: RangeInclusive<usize> = 3..=6;

/// Number of bursts of an organisation.
const BURST_COUNT: RangeInclusive<usize> = 1..=2;

/// Duration of a burst.
const BURST_MS: Range<u64> = 800..3_000;

/// Limits from which a change of a limit is drawn, in requests per second.
const RATE_LIMITS_PER_S: [u32; 4] = [8, 12, 18, 25];

/// Mask that gives the draws of bursts and changes of organisations a seed of their own.
const ORGANISATION_SEED_MASK: u64 = 0x6f72_6761_6e69_7361;

/// Faults of a stream, from its start or resumed, after which it must not look complete.
const FAULTY_STREAMS: [StreamFault; 4] = [
    StreamFault::InterimOnly,
    StreamFault::ClosedInside,
    StreamFault::EndsInside,
    StreamFault::OversizeClosedInside,
];

/// Faults of the other engines' answers while one engine cuts its streams.
const FAULTS_AFTER_CUT: [AnswerFault; 10] = [
    AnswerFault::TurnedAway,
    AnswerFault::Failed,
    AnswerFault::LostAnswer,
    AnswerFault::Mute,
    AnswerFault::Unsigned,
    AnswerFault::CrossedFirst,
    AnswerFault::ExtraAfter,
    AnswerFault::Unframed,
    AnswerFault::UnframedCut,
    AnswerFault::Garbage,
];

/// Draws the faults that occur at random times, in order of their start.
pub(crate) fn draw_random_faults(
    seed: u64,
    calm_from_ms: u64,
    vms: usize,
    engines: usize,
    upstreams: usize,
) -> Vec<Planned> {
    let mut draw = FaultGenerator {
        random: ChaCha8Rng::seed_from_u64(seed),
        vms,
        engines,
        upstreams,
    };
    let mut faults = Vec::new();
    let mut at_ms = WARM_UP_MS;
    while at_ms < calm_from_ms {
        let trouble = draw.trouble(calm_from_ms - at_ms);
        faults.push(Planned { at_ms, trouble });
        // One in three faults starts at the same time as the next, so that the two overlap.
        if draw.random.random_ratio(2, 3) {
            at_ms += draw
                .random
                .random_range(FAULT_INTERVAL_MS / 3..FAULT_INTERVAL_MS * 2);
        }
    }
    faults
}

/// Draws the callers whose requests crash engines.
pub(crate) fn draw_crashers(seed: u64, calm_from_ms: u64) -> Vec<Crasher> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ CRASHER_SEED_MASK);
    let count = random.random_range(0..=MAX_CRASHERS);
    (0..count)
        .map(|number| Crasher {
            // One mark crashes engines before their first event, the other after some events.
            body: format!("{}{number}", CRASH_MARKS[random.random_range(0..2)]),
            model: MODELS[random.random_range(0..2)],
            at_ms: random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1)),
            pause_ms: random.random_range(50..900),
            resumable: random.random_bool(0.5),
            copies: random.random_range(1..=MAX_COPIES),
        })
        .collect()
}

/// Draws the callers whose requests have a part that crashes engines, and are otherwise all
/// different.
pub(crate) fn draw_part_crashers(seed: u64, calm_from_ms: u64) -> Vec<Crasher> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PART_CRASHER_SEED_MASK);
    let parts = CRASH_PARTS.iter().filter(|_| random.random_bool(0.5));
    let parts: Vec<&str> = parts.copied().collect();
    parts
        .into_iter()
        .map(|part| Crasher {
            body: part.to_owned(),
            model: MODELS[random.random_range(0..2)],
            at_ms: random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1)),
            pause_ms: random.random_range(50..900),
            resumable: random.random_bool(0.5),
            copies: random.random_range(1..=MAX_COPIES),
        })
        .collect()
}

/// Draws the rollbacks of the store to an older copy; none if the plan is too short for one.
pub(crate) fn draw_rollbacks(seed: u64, calm_from_ms: u64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ROLLBACK_SEED_MASK);
    let latest_ms = calm_from_ms.saturating_sub(MAX_ROLLBACK_MS);
    let count = random.random_range(0..=MAX_ROLLBACKS);
    (0..count)
        .filter(|_| latest_ms > WARM_UP_MS)
        .map(|_| Planned {
            at_ms: random.random_range(WARM_UP_MS..latest_ms),
            trouble: Trouble::SetBack {
                lost_ms: random.random_range(0..MAX_ROLLBACK_MS / 2),
                away_ms: random.random_range(50..MAX_ROLLBACK_MS / 4),
                again_ms: random.random_range(50..MAX_ROLLBACK_MS / 4),
            },
        })
        .collect()
}

/// Draws faults of streams that break off at one engine and continue at another.
pub(crate) fn draw_continuation_faults(
    seed: u64,
    calm_from_ms: u64,
    engines: usize,
) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ CONTINUATION_SEED_MASK);
    let count = random.random_range(CONTINUATION_FAULT_COUNT);
    (0..count)
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1));
            let events = random.random_range(1..4);
            let rest = StreamFault::CONTINUATION_FAULTS
                [random.random_range(0..StreamFault::CONTINUATION_FAULTS.len())];
            let stream = FAULTY_STREAMS[random.random_range(0..FAULTY_STREAMS.len())];
            let other = FAULTS_AFTER_CUT[random.random_range(0..FAULTS_AFTER_CUT.len())];
            let engine = random.random_range(0..engines.max(1));
            let count = random.random_range(2..8);
            let of_all = |fault| Trouble::EnginesAnswer { fault, count };
            let trouble = match random.random_range(0..12) {
                0..=6 => of_all(AnswerFault::CutThen { events, then: rest }),
                7 => of_all(AnswerFault::Stream(stream)),
                8 => of_all(AnswerFault::CutAfter { events }),
                9 | 10 => Trouble::CutBefore {
                    engine,
                    events,
                    then: other,
                    count,
                },
                _ => Trouble::LargeCuts { count },
            };
            Planned { at_ms, trouble }
        })
        .collect()
}

/// Draws the rate limits that engines state.
pub(crate) fn draw_stated_limits(seed: u64, calm_from_ms: u64, engines: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ STATED_LIMIT_SEED_MASK);
    let half_ms = WARM_UP_MS + calm_from_ms.saturating_sub(WARM_UP_MS).div_ceil(2);
    (0..random.random_range(STATED_LIMIT_COUNT))
        .map(|_| {
            let limits = STATED_LIMITS_MILLI_PER_S;
            let at_ms = random.random_range(WARM_UP_MS..half_ms.max(WARM_UP_MS + 1));
            let for_ms = random.random_range(STATED_LIMIT_MS);
            Planned {
                at_ms,
                trouble: Trouble::StatedLimit {
                    engine: random.random_range(0..engines.max(1)),
                    milli_per_s: limits[random.random_range(0..limits.len())],
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}

/// Draws the cuts of VMs from all upstreams.
pub(crate) fn draw_path_cuts(seed: u64, calm_from_ms: u64, vms: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PATH_CUT_SEED_MASK);
    let ways = [PathCut::Silent, PathCut::Reset, PathCut::NewRefused];
    (0..random.random_range(PATH_CUT_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..calm_from_ms.max(WARM_UP_MS + 1));
            let for_ms = random.random_range(PATH_CUT_MS);
            Planned {
                at_ms,
                trouble: Trouble::PathsCut {
                    first_vm: random.random_range(0..vms.max(1)),
                    vms: random.random_range(1..=vms.max(1)),
                    way: ways[random.random_range(0..ways.len())],
                    for_ms: for_ms.min(calm_from_ms.saturating_sub(at_ms)),
                },
            }
        })
        .collect()
}

/// Draws the releases of engines' software.
pub(crate) fn draw_releases(seed: u64, calm_from_ms: u64, engines: usize) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RELEASE_SEED_MASK);
    let versions = software_versions();
    let half_ms = WARM_UP_MS + calm_from_ms.saturating_sub(WARM_UP_MS).div_ceil(2);
    (0..random.random_range(RELEASE_COUNT))
        .map(|number| {
            // All engines run the first version at the start.
            let software = match number {
                0 => versions[1],
                _ => versions[random.random_range(0..versions.len())],
            };
            Planned {
                at_ms: random.random_range(WARM_UP_MS..half_ms.max(WARM_UP_MS + 1)),
                trouble: Trouble::Release {
                    first_engine: random.random_range(0..engines.max(1)),
                    software,
                    notice: random.random_bool(0.5),
                    drain_ms: random.random_range(RELEASE_DRAIN_MS),
                    down_ms: random.random_range(RELEASE_DOWN_MS),
                    interval_ms: random.random_range(RELEASE_INTERVAL_MS),
                },
            }
        })
        .collect()
}

/// Draws the bursts of an organisation and the operators' changes of keys and limits.
pub(crate) fn draw_organisation_events(seed: u64, calm_from_ms: u64) -> (Vec<Burst>, Vec<Planned>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ORGANISATION_SEED_MASK);
    let until_ms = calm_from_ms.max(WARM_UP_MS + 1);
    let bursts = (0..random.random_range(BURST_COUNT))
        .map(|_| {
            let at_ms = random.random_range(WARM_UP_MS..until_ms);
            Burst {
                organisation: LIMITED_ORGANISATION,
                at_ms,
                for_ms: random.random_range(BURST_MS).min(until_ms - at_ms),
                callers: random.random_range(3..7),
                pause_ms: random.random_range(10..40),
            }
        })
        .collect();
    let first_until_ms = WARM_UP_MS + (until_ms - WARM_UP_MS).div_ceil(2);
    let changes = (0..random.random_range(ORGANISATION_CHANGE_COUNT))
        .map(|number| {
            // The first change starts in the first half, so that it must be in force before the
            // end.
            let at_ms = match number {
                0 => random.random_range(WARM_UP_MS..first_until_ms),
                _ => random.random_range(WARM_UP_MS..until_ms),
            };
            let organisation = random.random_range(0..STABLE_ORGANISATION);
            let rate_per_s = RATE_LIMITS_PER_S[random.random_range(0..RATE_LIMITS_PER_S.len())];
            let trouble = match random.random_range(0..3) {
                _ if number == 0 => Trouble::KeyTaken { organisation },
                0 => Trouble::KeyAdded { organisation },
                1 => Trouble::KeyTaken { organisation },
                _ => Trouble::Limit { rate_per_s },
            };
            Planned { at_ms, trouble }
        })
        .collect();
    (bursts, changes)
}

struct FaultGenerator {
    random: ChaCha8Rng,
    vms: usize,
    engines: usize,
    upstreams: usize,
}

impl FaultGenerator {
    fn trouble(&mut self, left_ms: u64) -> Trouble {
        let for_ms = self.random.random_range(200..3_000).min(left_ms);
        match self.random.random_range(0..24) {
            0 | 1 => Trouble::Kill {
                vm: self.vm(),
                down_ms: for_ms / 2,
            },
            2 => Trouble::KillAll {
                down_ms: for_ms / 4,
            },
            3 | 4 => Trouble::Pause {
                vm: self.vm(),
                for_ms,
            },
            5 | 6 => Trouble::Stop { vm: self.vm() },
            7 => Trouble::Reload { vm: self.vm() },
            8..=10 => Trouble::Store {
                vm: self.some_vm(),
                fault: self.store_fault(),
                for_ms,
            },
            11 => Trouble::Forget,
            12 | 13 => Trouble::StoreLink {
                vm: self.vm(),
                fault: self.link_fault(),
                for_ms,
            },
            14 | 15 => Trouble::UpstreamLink {
                upstream: self.upstream(),
                fault: self.link_fault(),
                for_ms,
            },
            16 => Trouble::Reset {
                upstream: self.upstream(),
            },
            17 => Trouble::Silence { vm: self.vm() },
            18 | 19 => Trouble::Answers {
                upstream: self.upstream(),
                fault: self.answer_fault(),
                count: self.random.random_range(1..6),
            },
            20 => {
                let late_ms = self.random.random_range(100..2_500);
                Trouble::Orders {
                    engine: self.engine(),
                    late_ms: self.random.random_bool(0.5).then_some(late_ms),
                    count: self.random.random_range(1..4),
                }
            }
            21 => Trouble::EngineDies {
                engine: self.engine(),
            },
            22 => Trouble::EngineLeaves {
                engine: self.engine(),
                notice: for_ms.is_multiple_of(2),
            },
            _ => Trouble::Configure,
        }
    }

    fn vm(&mut self) -> usize {
        self.random.random_range(0..self.vms)
    }

    fn some_vm(&mut self) -> Option<usize> {
        let vm = self.vm();
        self.random.random_bool(0.5).then_some(vm)
    }

    fn engine(&mut self) -> usize {
        self.random.random_range(0..self.engines)
    }

    fn upstream(&mut self) -> usize {
        self.random.random_range(0..self.upstreams)
    }

    fn store_fault(&mut self) -> StoreFault {
        match self.random.random_range(0..7) {
            0 => StoreFault::Busy,
            1 => StoreFault::Limited,
            2 => StoreFault::Reset,
            3 => StoreFault::Silent,
            4 => StoreFault::LostAnswer,
            5 => StoreFault::Late {
                after_ms: self.random.random_range(100..1_500),
            },
            _ => StoreFault::Slow {
                by_ms: self.random.random_range(50..600),
            },
        }
    }

    fn link_fault(&mut self) -> LinkFault {
        match self.random.random_range(0..5) {
            0 => LinkFault::Delayed {
                by_ms: self.random.random_range(20..300),
            },
            1 => LinkFault::Refused,
            2 => LinkFault::CutToServer,
            3 => LinkFault::CutToClient,
            _ => LinkFault::Cut,
        }
    }

    fn answer_fault(&mut self) -> AnswerFault {
        match self.random.random_range(0..12) {
            0 => AnswerFault::TurnedAway,
            1 => AnswerFault::Failed,
            2 => AnswerFault::LostAnswer,
            3 => AnswerFault::Mute,
            4 => AnswerFault::CutAfter {
                events: self.random.random_range(0..4),
            },
            5 => AnswerFault::Unsigned,
            6 => AnswerFault::CrossedFirst,
            7 => AnswerFault::ExtraAfter,
            8 => AnswerFault::Unframed,
            9 => AnswerFault::UnframedCut,
            10 => AnswerFault::Garbage,
            _ => AnswerFault::Encoded,
        }
    }
}
