//! Random search over runs of one request on up to three engines, checked from the caller's side.
//!
//! Engines break off, fail, refuse, answer another request, send wrong event IDs, and end in the
//! middle of an event. They run two versions of the software, which may be unknown. Bodies arrive
//! in pieces of any size. The caller knows nothing of [`Delivery`](apricotdale_delivery::Delivery):
//! it parses the bytes that it receives.

mod caller;
mod course;
mod runs;

use std::collections::HashMap;

use apricotdale_delivery::ContinuationMismatch;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseResult;
use proptest::test_runner::TestRunner;

use crate::caller::AnswerView;
use crate::caller::Event;
use crate::caller::plain_lines;
use crate::caller::read_stream;
use crate::course::Course;
use crate::course::Outcome;
use crate::course::PieceSizes;
use crate::course::REFUSAL;
use crate::course::course;
use crate::runs::Run;

/// Number of courses in which the reached cases are counted.
const COUNTED_COURSES: usize = 4_000;

const EVENT_STREAM: &str = "text/event-stream";

/// Checks that a caller sees one answer, with an end only if it is complete.
fn check_answer(course: &Course, outcome: &Outcome) -> TestCaseResult {
    let view = AnswerView::read(&outcome.out);
    let view = view.ok_or_else(|| TestCaseError::fail("no answer head"))?;
    prop_assert!(view.after_end.is_empty(), "bytes after the end");
    let ends_complete = outcome.ended_by.is_some() || outcome.is_refused;
    prop_assert_eq!(view.is_complete, ends_complete);
    prop_assert_eq!(outcome.is_aborted, !ends_complete);
    let is_answered = outcome.ended_by.is_some();
    prop_assert!(
        !outcome.should_end || is_answered,
        "a run that continues the answer was refused"
    );
    if outcome.is_refused {
        prop_assert_eq!(&outcome.out, REFUSAL);
        return Ok(());
    }
    let is_success = (200..300).contains(&view.status);
    match course.options.is_stream && is_success && view.content_type == EVENT_STREAM {
        true => check_events(course, outcome, &view),
        false => check_body(outcome, &view),
    }
}

/// Checks that a body that is no event stream comes from one run.
fn check_body(outcome: &Outcome, view: &AnswerView) -> TestCaseResult {
    let is_from = |run: &&Run| run.status == view.status && run.body.starts_with(&view.body);
    prop_assert!(outcome.runs.iter().any(|run| is_from(&run)));
    if let Some(index) = outcome.ended_by {
        let run = &outcome.runs[index];
        prop_assert!(run.is_framed_complete);
        prop_assert_eq!(run.status, view.status);
        prop_assert!(run.body == view.body, "body differs from the run's body");
    }
    Ok(())
}

/// Checks that events are in order, that none is repeated or missing, and that only answers that
/// continue each other are joined.
fn check_events(course: &Course, outcome: &Outcome, view: &AnswerView) -> TestCaseResult {
    let stream = read_stream(&view.body);
    let resumes_at = course.options.last_event;
    let resumes_at = resumes_at.filter(|_| course.options.is_resumable);
    let mut next = match (resumes_at, course.options.last_event) {
        (Some(id), _) => Some(id + 1),
        // Engines may ignore the caller's position where a stream can't be resumed.
        (None, Some(_)) => None,
        (None, None) => course.options.first_event,
    };
    let mut version = None;
    let mut first_writer = course.earlier;
    let mut before: Option<&Event> = None;
    for event in &stream.events {
        let index = event.run();
        let run = outcome.runs.get(index);
        let run = run.ok_or_else(|| TestCaseError::fail("event of an unknown run"))?;
        let is_join = before.is_some_and(|before| before.run() != index);
        let begun_by = *first_writer.get_or_insert(run.writer);
        prop_assert!(
            begun_by.may_be_followed_by(run.writer),
            "{:?} continues a stream of {:?}",
            run.writer,
            begun_by
        );
        if is_join || (before.is_none() && resumes_at.is_some()) {
            prop_assert!(event.event_id().is_some(), "resumes without an event ID");
        }
        if is_join {
            prop_assert!(before.is_some_and(|before| before.event_id().is_some()));
            prop_assert!(course.options.is_resumable);
            prop_assert_eq!(run.status, view.status);
            prop_assert_eq!(run.content_type, EVENT_STREAM);
        }
        if is_join || before.is_none() {
            let is_same = version.is_none() || run.version.is_none() || version == run.version;
            prop_assert!(is_same, "weights {:?} after {:?}", run.version, version);
            version = version.or(run.version);
        }
        if let (Some(event_id), Some(next)) = (event.event_id(), next) {
            prop_assert_eq!(event_id, next);
        }
        next = event.event_id().map(|event_id| event_id + 1).or(next);
        version = event.version().or(version);
        before = Some(event);
    }
    check_runs(outcome, view, &stream.events)?;
    let is_part = |run: &Run| plain_lines(&run.body).contains(&stream.unfinished);
    prop_assert!(
        outcome.runs.iter().any(is_part),
        "one event holds parts of several runs"
    );
    prop_assert!(
        !view.is_complete || stream.unfinished.is_empty(),
        "ends inside an event"
    );
    Ok(())
}

/// Checks that the caller received the beginning of each run, and all of the run that ended the
/// answer.
fn check_runs(outcome: &Outcome, view: &AnswerView, delivered: &[Event]) -> TestCaseResult {
    prop_assert!(delivered.is_sorted_by_key(Event::run), "runs out of order");
    for (index, run) in outcome.runs.iter().enumerate() {
        let received_of_run: Vec<&Event> = delivered
            .iter()
            .filter(|event| event.run() == index)
            .collect();
        let sent = read_stream(&run.body);
        let is_beginning = sent
            .events
            .iter()
            .take(received_of_run.len())
            .eq(received_of_run.clone());
        prop_assert!(is_beginning, "not the beginning of run {}", index);
        if outcome.ended_by == Some(index) {
            prop_assert!(run.is_framed_complete && sent.unfinished.is_empty());
            prop_assert_eq!(run.status, view.status);
            prop_assert_eq!(received_of_run.len(), sent.events.len());
            prop_assert!(
                !received_of_run.is_empty() || delivered.is_empty(),
                "an empty run ended the answer"
            );
        }
    }
    Ok(())
}

/// Checks that the sizes of the pieces make no difference.
fn check_parts(course: &Course, outcome: &Outcome, in_one: &Outcome) -> TestCaseResult {
    // Whether an event ID can be checked in time depends on how much of its event has arrived.
    if course.runs.iter().any(|run| run.fault.id_is_late()) {
        return Ok(());
    }
    prop_assert_eq!(&outcome.mismatches, &in_one.mismatches);
    let views = [&outcome.out, &in_one.out].map(|out| AnswerView::read(out).expect("a head"));
    prop_assert_eq!(views[0].status, views[1].status);
    prop_assert_eq!(views[0].is_complete, views[1].is_complete);
    // The line feed after a carriage return may come too late to be part of its event.
    let [body, other] = views.map(|view| plain_lines(&view.body));
    prop_assert!(body == other, "{body:.200} is not {other:.200}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::with_cases(6_000)
    })]

    /// Guards against an answer whose parts don't continue each other, or that ends too early.
    #[test]
    fn one_answer(course in course()) {
        let outcome = course.play(PieceSizes::Random);
        check_answer(&course, &outcome)?;
        let in_one = course.play(PieceSizes::Single);
        check_answer(&course, &in_one)?;
        check_parts(&course, &outcome, &in_one)?;
    }
}

/// Guards against a search that does not reach the cases that it has to cover.
#[test]
fn reached_cases() {
    let mut runner = TestRunner::deterministic();
    let strategy = course();
    let mut mismatches: HashMap<ContinuationMismatch, usize> = HashMap::new();
    let (mut joined, mut joined_complete, mut aborted, mut refused) = (0, 0, 0, 0);
    let (mut other_process, mut unknown_version) = (0, 0);
    for _ in 0..COUNTED_COURSES {
        let course = strategy.new_tree(&mut runner).expect("a course").current();
        let outcome = course.play(PieceSizes::Random);
        for mismatch in outcome.mismatches.iter().flatten() {
            *mismatches.entry(*mismatch).or_default() += 1;
        }
        let body = AnswerView::read(&outcome.out).map(|view| view.body);
        let events = match course.options.is_stream {
            true => read_stream(&body.unwrap_or_default()).events,
            false => Vec::new(),
        };
        let is_event = |event: &&Event| event.fields.contains_key("data");
        let runs: Vec<usize> = events.iter().filter(is_event).map(Event::run).collect();
        let is_joined = runs.first() != runs.last();
        if let (true, Some(first), Some(last)) = (is_joined, runs.first(), runs.last()) {
            let writers = [first, last].map(|run| outcome.runs[*run].writer);
            other_process += usize::from(writers[0].process != writers[1].process);
            unknown_version += usize::from(!writers[0].is_known);
        }
        joined += usize::from(is_joined);
        joined_complete += usize::from(is_joined && outcome.ended_by.is_some());
        aborted += usize::from(outcome.is_aborted);
        refused += usize::from(outcome.is_refused);
    }
    println!("{mismatches:?}");
    println!("joined {joined}, complete {joined_complete}, aborted {aborted}, refused {refused}");
    println!("joined by another process {other_process}, of unknown version {unknown_version}");
    let reached = [
        joined,
        joined_complete,
        aborted,
        refused,
        other_process,
        unknown_version,
    ];
    assert!(reached.iter().all(|count| *count > 20), "{reached:?}");
    let expected = [
        ContinuationMismatch::Status,
        ContinuationMismatch::ContentType,
        ContinuationMismatch::Version,
        ContinuationMismatch::Software,
        ContinuationMismatch::Gap,
        ContinuationMismatch::Repeated,
        ContinuationMismatch::Unnumbered,
        ContinuationMismatch::Empty,
        ContinuationMismatch::Unfinished,
    ];
    for mismatch in expected {
        let count = mismatches.get(&mismatch).copied().unwrap_or(0);
        assert!(count > 10, "{mismatch}: {count}");
    }
}
