//! Random search over what callers send, changes of the limits on them and a planned stop: no
//! request that has been read ends because of a limit, and each other connection ends in time.

use apricotdale_fleet::CallerDue;
use apricotdale_fleet::CallerLimits;
use apricotdale_fleet::CallerPhase;
use apricotdale_fleet::CallerTimes;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const CASES: u32 = 4_000;
const SEED: u64 = 59;

/// Fault that is planted between the search and the times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    None,
    /// The limits in force judge what began before them.
    LimitsInForce,
    /// A request of which a part has arrived is dropped without an answer.
    PartDropped,
    /// A request that is being answered has a time limit.
    AnswerTimesOut,
    /// A planned stop closes connections with unwritten bytes.
    StopCutsAnswer,
    /// Bytes of the next request lower the limits on the answer that is being written.
    NextRequestLowers,
    /// Written bytes of an answer do not count as progress.
    WritesForgotten,
    /// Nothing times out.
    NeverDue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Limits(CallerLimits),
    /// Part of a request arrives.
    Part,
    /// The rest of a head arrives.
    HeadEnd,
    /// The rest of a request arrives.
    RequestEnd,
    /// The request gets its final answer, of which a part may be unwritten.
    Answer {
        is_written: bool,
    },
    /// Bytes of the answer are written.
    Write {
        is_last: bool,
    },
    StopCloses,
}

/// Connection as its caller sees it.
struct Connection {
    planted: Planted,
    times: CallerTimes,
    phase: CallerPhase,
    /// Part of a next request that arrives while an answer is written.
    has_next: bool,
    /// Limits in force when the request began that is arriving or was last answered.
    promised: CallerLimits,
    /// Largest limits that the request may be given, besides those in force.
    kept: CallerLimits,
    /// Limits in force when the next request began to arrive behind an answer being written.
    next_promised: Option<CallerLimits>,
    in_force: CallerLimits,
    since_ms: u64,
    stop_closes: bool,
}

impl Connection {
    fn new(planted: Planted, limits: CallerLimits) -> Self {
        Self {
            planted,
            times: CallerTimes::new(0, &limits),
            phase: CallerPhase::Idle,
            has_next: false,
            promised: limits,
            kept: limits,
            next_promised: None,
            in_force: limits,
            since_ms: 0,
            stop_closes: false,
        }
    }

    fn apply(&mut self, now_ms: u64, event: Event) {
        match (event, self.phase) {
            (Event::Limits(limits), _) => self.in_force = limits,
            (Event::StopCloses, _) => self.stop_closes = true,
            (Event::Part, CallerPhase::Idle) => {
                self.times.received(now_ms, &self.in_force, false);
                self.phase = CallerPhase::Head;
                self.promised = self.in_force;
                self.kept = self.in_force;
                self.since_ms = now_ms;
            }
            (Event::Part, CallerPhase::Writing) if !self.has_next => {
                let is_writing = self.planted != Planted::NextRequestLowers;
                self.times.received(now_ms, &self.in_force, is_writing);
                self.has_next = true;
                self.next_promised = Some(self.in_force);
            }
            (Event::HeadEnd, CallerPhase::Head) => self.phase = CallerPhase::Body,
            (Event::RequestEnd, CallerPhase::Head | CallerPhase::Body) => {
                self.phase = CallerPhase::Answering;
            }
            (Event::Answer { is_written }, CallerPhase::Answering) => {
                self.times.answered(now_ms);
                self.since_ms = now_ms;
                self.phase = match is_written {
                    true => CallerPhase::Idle,
                    false => CallerPhase::Writing,
                };
            }
            (Event::Write { is_last }, CallerPhase::Writing) => {
                if self.planted != Planted::WritesForgotten {
                    self.times.wrote(now_ms);
                }
                self.since_ms = now_ms;
                if is_last {
                    self.end_writing();
                }
            }
            _ => {}
        }
    }

    fn end_writing(&mut self) {
        let next_promised = self.next_promised.take();
        self.phase = match std::mem::take(&mut self.has_next) {
            true => CallerPhase::Head,
            false => CallerPhase::Idle,
        };
        if let Some(limits) = next_promised {
            self.promised = limits;
            self.kept = self.kept.loosened_by(&limits);
        }
    }

    fn due(&self, now_ms: u64) -> CallerDue {
        let mut times = self.times.clone();
        let mut phase = self.phase;
        match self.planted {
            Planted::LimitsInForce => {
                times = CallerTimes::new(self.since_ms, &self.in_force);
            }
            Planted::AnswerTimesOut if phase == CallerPhase::Answering => {
                phase = CallerPhase::Body;
            }
            Planted::StopCutsAnswer if self.stop_closes && phase == CallerPhase::Writing => {
                phase = CallerPhase::Idle;
            }
            Planted::NeverDue => return CallerDue::Nothing,
            _ => {}
        }
        let due = times.due(now_ms, phase, &self.in_force, self.stop_closes);
        match due {
            CallerDue::Refuse if self.planted == Planted::PartDropped => CallerDue::Close,
            due => due,
        }
    }

    /// Returns the time that a limit allows in the phase.
    fn allowed_ms(&self, limits: &CallerLimits) -> u64 {
        match self.phase {
            CallerPhase::Head => limits.head_timeout_ms,
            CallerPhase::Body => limits.head_timeout_ms + limits.idle_timeout_ms,
            _ => limits.idle_timeout_ms,
        }
    }

    /// Checks what is due. Returns whether the connection goes on.
    fn check(&self, now_ms: u64) -> Result<bool, TestCaseError> {
        let due = self.due(now_ms);
        let age_ms = now_ms - self.since_ms;
        let is_by_stop = self.stop_closes && self.phase == CallerPhase::Idle;
        let is_late = age_ms > self.allowed_ms(&self.promised);
        match (due, self.phase) {
            (CallerDue::Nothing, CallerPhase::Answering) => {}
            (CallerDue::Nothing, _) => {
                let limits = self.kept.loosened_by(&self.in_force);
                let is_overdue = age_ms > self.allowed_ms(&limits) && self.next_promised.is_none();
                prop_assert!(!is_overdue && !is_by_stop, "open for {age_ms} ms");
            }
            (CallerDue::Close, CallerPhase::Idle) => {
                prop_assert!(is_late || is_by_stop, "idle for {age_ms} ms only");
            }
            (CallerDue::Close, CallerPhase::Writing) => {
                prop_assert!(is_late, "an answer is cut after {age_ms} ms");
            }
            (CallerDue::Refuse, CallerPhase::Head | CallerPhase::Body) => {
                prop_assert!(is_late, "a request is refused after {age_ms} ms");
            }
            (due, phase) => prop_assert!(false, "{due:?} in {phase:?}"),
        }
        Ok(due == CallerDue::Nothing)
    }
}

fn limits() -> impl Strategy<Value = CallerLimits> {
    let timeout_ms = || prop::sample::select(vec![100_u64, 500, 2_000, 10_000]);
    (timeout_ms(), timeout_ms()).prop_map(|(head_timeout_ms, idle_timeout_ms)| CallerLimits {
        head_timeout_ms,
        idle_timeout_ms,
        ..CallerLimits::default()
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => limits().prop_map(Event::Limits),
        6 => Just(Event::Part),
        3 => Just(Event::HeadEnd),
        4 => Just(Event::RequestEnd),
        6 => any::<bool>().prop_map(|is_written| Event::Answer { is_written }),
        4 => any::<bool>().prop_map(|is_last| Event::Write { is_last }),
        1 => Just(Event::StopCloses),
    ]
}

fn search(planted: Planted) -> bool {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    });
    let course = prop::collection::vec((0..800_u64, event()), 4..40);
    let result = runner.run(&(limits(), course), |(limits, course)| {
        let mut connection = Connection::new(planted, limits);
        let mut now_ms = 0;
        for (pause_ms, event) in course {
            now_ms += pause_ms;
            if !connection.check(now_ms)? {
                break;
            }
            connection.apply(now_ms, event);
            if !connection.check(now_ms)? {
                break;
            }
        }
        Ok(())
    });
    if planted == Planted::None {
        assert_eq!(result, Ok(()));
    }
    result.is_err()
}

/// Guards against limits and stops that end a request which has been read, or cut its answer.
#[test]
fn requests_kept() {
    assert!(!search(Planted::None));
}

#[rstest]
fn planted_fault_found(
    #[values(
        Planted::LimitsInForce,
        Planted::PartDropped,
        Planted::AnswerTimesOut,
        Planted::StopCutsAnswer,
        Planted::NextRequestLowers,
        Planted::WritesForgotten,
        Planted::NeverDue
    )]
    planted: Planted,
) {
    assert!(search(planted), "{planted:?} is not found");
}
