//! Deadlines of requests while configurations change the time-out of their route.

use apricotdale_dispatch::Deadline;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ARRIVED_MS: u64 = 10_000;

/// Time before the end of a request's time at which it gets its final answer.
const MARGIN_MS: u64 = 30;

/// How much longer than its caller's an upstream's time may be.
const MAX_EXCESS_MS: u64 = 500;

const SEEDS: u64 = 400;

/// Fault that is planted between the search and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    None,
    /// The time-out at the arrival counts for good.
    ArrivalOnly,
    /// A shorter time-out takes away time that was promised.
    NewestOnly,
    /// A longer time-out takes the place of the time for which the caller waits.
    CallerIgnored,
    /// A longer time-out counts from the change.
    CountedFromChange,
    /// An upstream stops at the time-out that was in force when it got the request.
    UpstreamBound,
}

struct Search {
    planted: Planted,
    caller_timeout_ms: Option<u64>,
    deadline: Deadline,
    /// Largest time-out that the route has had since the arrival.
    promised_ms: u64,
    random: ChaCha8Rng,
}

impl Search {
    fn new(seed: u64, planted: Planted) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let timeout_ms = random.random_range(0..4_000);
        let caller_timeout_ms = (!seed.is_multiple_of(3)).then(|| random.random_range(0..6_000));
        Self {
            planted,
            caller_timeout_ms,
            deadline: Deadline::new(ARRIVED_MS, caller_timeout_ms, timeout_ms),
            promised_ms: timeout_ms,
            random,
        }
    }

    fn change(&mut self, now_ms: u64) {
        let timeout_ms = self.random.random_range(0..6_000);
        self.promised_ms = self.promised_ms.max(timeout_ms);
        let caller_timeout_ms = self.caller_timeout_ms;
        match self.planted {
            Planted::ArrivalOnly => {}
            Planted::NewestOnly => {
                self.deadline = Deadline::new(ARRIVED_MS, caller_timeout_ms, timeout_ms);
            }
            Planted::CallerIgnored => {
                self.deadline = Deadline::new(ARRIVED_MS, None, self.promised_ms);
            }
            Planted::CountedFromChange => {
                self.deadline = Deadline::new(now_ms, caller_timeout_ms, self.promised_ms);
            }
            Planted::None | Planted::UpstreamBound => {
                self.deadline.apply_route_timeout(timeout_ms);
            }
        }
    }

    /// Returns the first promise that is broken.
    fn run(mut self) -> Option<&'static str> {
        let mut now_ms = ARRIVED_MS;
        let mut upstream_until_ms = Vec::new();
        for _ in 0..self.random.random_range(1..6) {
            upstream_until_ms.push(now_ms + self.deadline.upstream_left_ms(now_ms));
            now_ms += self.random.random_range(0..1_500);
            let before_ms = self.deadline.answer_by_ms();
            self.change(now_ms);
            if self.deadline.answer_by_ms() < before_ms {
                return Some("promised time taken away");
            }
        }
        let caller_ms = self.caller_timeout_ms.unwrap_or(u64::MAX);
        let timeout_ms = self.promised_ms.min(caller_ms).saturating_sub(MARGIN_MS);
        let expected_ms = ARRIVED_MS + timeout_ms;
        match self.deadline.answer_by_ms() {
            answer_by_ms if answer_by_ms > expected_ms => return Some("too late"),
            answer_by_ms if answer_by_ms < expected_ms => return Some("too early"),
            _ => {}
        }
        let latest_ms = ARRIVED_MS.saturating_add(caller_ms.saturating_add(MAX_EXCESS_MS));
        for until_ms in upstream_until_ms {
            let until_ms = match self.planted {
                Planted::UpstreamBound => until_ms.min(ARRIVED_MS + 1_000),
                _ => until_ms,
            };
            match () {
                _ if until_ms > latest_ms.max(now_ms) => return Some("upstream outlasts caller"),
                _ if until_ms < expected_ms => return Some("upstream stops early"),
                _ => {}
            }
        }
        None
    }
}

#[test]
fn promises_hold() {
    for seed in 0..SEEDS {
        assert_eq!(Search::new(seed, Planted::None).run(), None, "seed {seed}");
    }
}

/// Guards against a search that would not find these faults.
#[rstest]
#[case(Planted::ArrivalOnly, "too early")]
#[case(Planted::NewestOnly, "promised time taken away")]
#[case(Planted::CallerIgnored, "too late")]
#[case(Planted::CountedFromChange, "too late")]
#[case(Planted::UpstreamBound, "upstream stops early")]
fn planted_fault_found(#[case] planted: Planted, #[case] found: &str) {
    let mut runs = (0..SEEDS).map(|seed| Search::new(seed, planted).run());
    assert!(runs.any(|it| it == Some(found)), "{planted:?} is not found");
}

#[test]
fn margin_before_timeout() {
    let deadline = Deadline::new(ARRIVED_MS, Some(2_000), 1_000);
    assert_eq!(deadline.answer_by_ms(), ARRIVED_MS + 970);
    assert_eq!(deadline.upstream_left_ms(ARRIVED_MS + 100), 1_900);
}

#[test]
fn timeout_below_margin() {
    let deadline = Deadline::new(ARRIVED_MS, Some(5), 1_000);
    assert_eq!(deadline.answer_by_ms(), ARRIVED_MS);
    assert_eq!(deadline.upstream_left_ms(ARRIVED_MS), 5);
}
