//! Runs of up to three engines for one request, drawn at random, as their caller sees them.
//!
//! Engines break off, fail, refuse, answer another request, number their events wrongly, and end
//! in the middle of an event; bodies arrive in parts of any size. The caller knows nothing of
//! [`Delivery`](apricotdale_delivery::Delivery): it parses the bytes that it is given.

mod caller;
mod course;
mod runs;

use std::collections::HashMap;

use apricotdale_delivery::Misfit;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseResult;
use proptest::test_runner::TestRunner;

use crate::caller::Event;
use crate::caller::View;
use crate::caller::plain_lines;
use crate::caller::read_stream;
use crate::course::Course;
use crate::course::Parts;
use crate::course::Played;
use crate::course::REFUSAL;
use crate::course::course;
use crate::runs::Run;

/// Courses by which it is shown what the search reaches.
const COUNTED_COURSES: usize = 2_000;

const EVENT_STREAM: &str = "text/event-stream";

/// Checks that a caller sees one answer, and its end only where it ends.
fn check_answer(course: &Course, played: &Played) -> TestCaseResult {
    let view = View::read(&played.out);
    let view = view.ok_or_else(|| TestCaseError::fail("no head"))?;
    prop_assert!(view.behind.is_empty(), "something behind the end");
    let is_told_whole = played.ended_by.is_some() || played.is_refused;
    prop_assert_eq!(view.is_whole, is_told_whole);
    prop_assert_eq!(played.is_aborted, !is_told_whole);
    let is_answered = played.ended_by.is_some();
    prop_assert!(!played.should_end || is_answered, "what fits is refused");
    if played.is_refused {
        prop_assert_eq!(&played.out, REFUSAL);
        return Ok(());
    }
    let is_success = (200..300).contains(&view.status);
    match course.options.is_stream && is_success && view.content_type == EVENT_STREAM {
        true => check_events(course, played, &view),
        false => check_body(played, &view),
    }
}

/// Checks that a body that is no stream comes from one run.
fn check_body(played: &Played, view: &View) -> TestCaseResult {
    let is_from = |run: &&Run| run.status == view.status && run.body.starts_with(&view.body);
    prop_assert!(played.runs.iter().any(|run| is_from(&run)));
    if let Some(index) = played.ended_by {
        let run = &played.runs[index];
        prop_assert!(run.is_framed_whole);
        prop_assert_eq!(run.status, view.status);
        prop_assert!(run.body == view.body, "not all of the body, or more");
    }
    Ok(())
}

/// Checks that events are in order, that none is there twice and none is missing, and that runs are
/// joined only where they fit.
fn check_events(course: &Course, played: &Played, view: &View) -> TestCaseResult {
    let stream = read_stream(&view.body);
    let resumes_at = course.options.last_event;
    let resumes_at = resumes_at.filter(|_| course.options.is_resumable);
    let mut next = match (resumes_at, course.options.last_event) {
        (Some(id), _) => Some(id + 1),
        // Where a stream can't be resumed, engines need not heed the caller's place.
        (None, Some(_)) => None,
        (None, None) => course.options.first_event,
    };
    let mut version = None;
    let mut before: Option<&Event> = None;
    for event in &stream.events {
        let index = event.run();
        let run = played.runs.get(index);
        let run = run.ok_or_else(|| TestCaseError::fail("an event of no run"))?;
        let is_join = before.is_some_and(|before| before.run() != index);
        if is_join || (before.is_none() && resumes_at.is_some()) {
            prop_assert!(event.number().is_some(), "goes on without a number");
        }
        if is_join {
            prop_assert!(before.is_some_and(|before| before.number().is_some()));
            prop_assert!(course.options.is_resumable);
            prop_assert_eq!(run.status, view.status);
            prop_assert_eq!(run.content_type, EVENT_STREAM);
        }
        if is_join || before.is_none() {
            let is_same = version.is_none() || run.version.is_none() || version == run.version;
            prop_assert!(is_same, "weights {:?} behind {:?}", run.version, version);
            version = version.or(run.version);
        }
        if let (Some(number), Some(next)) = (event.number(), next) {
            prop_assert_eq!(number, next);
        }
        next = event.number().map(|number| number + 1).or(next);
        version = event.version().or(version);
        before = Some(event);
    }
    check_runs(played, view, &stream.events)?;
    let is_part = |run: &Run| plain_lines(&run.body).contains(&stream.rest);
    prop_assert!(played.runs.iter().any(is_part), "parts in one event");
    prop_assert!(!view.is_whole || stream.rest.is_empty(), "ends in an event");
    Ok(())
}

/// Checks that of each run the beginning was given, and of the run that ended the answer all.
fn check_runs(played: &Played, view: &View, given: &[Event]) -> TestCaseResult {
    prop_assert!(given.is_sorted_by_key(Event::run), "runs in turn");
    for (index, run) in played.runs.iter().enumerate() {
        let of_run: Vec<&Event> = given.iter().filter(|event| event.run() == index).collect();
        let made = read_stream(&run.body);
        let is_beginning = made.events.iter().take(of_run.len()).eq(of_run.clone());
        prop_assert!(is_beginning, "not the beginning of run {}", index);
        if played.ended_by == Some(index) {
            prop_assert!(run.is_framed_whole && made.rest.is_empty());
            prop_assert_eq!(run.status, view.status);
            prop_assert_eq!(of_run.len(), made.events.len());
            prop_assert!(
                !of_run.is_empty() || given.is_empty(),
                "an empty run ends it"
            );
        }
    }
    Ok(())
}

/// Checks that it makes no difference in which parts bodies arrive.
fn check_parts(course: &Course, played: &Played, in_one: &Played) -> TestCaseResult {
    // Whether a number can be checked in time depends on how much of its event has come.
    if course.runs.iter().any(|run| run.way.is_late()) {
        return Ok(());
    }
    prop_assert_eq!(&played.misfits, &in_one.misfits);
    let views = [&played.out, &in_one.out].map(|out| View::read(out).expect("a head"));
    prop_assert_eq!(views[0].status, views[1].status);
    prop_assert_eq!(views[0].is_whole, views[1].is_whole);
    // Of a carriage return and a line feed, the line feed may come too late for its event.
    let [body, other] = views.map(|view| plain_lines(&view.body));
    prop_assert!(body == other, "{body:.200} is not {other:.200}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::with_cases(4_000)
    })]

    /// Guards against an answer whose parts do not fit, or that ends before its end.
    #[test]
    fn caller_sees_one_answer(course in course()) {
        let played = course.play(Parts::AsDrawn);
        check_answer(&course, &played)?;
        let in_one = course.play(Parts::InOne);
        check_answer(&course, &in_one)?;
        check_parts(&course, &played, &in_one)?;
    }
}

/// Guards against a search that does not reach what it looks for.
#[test]
fn courses_are_reached() {
    let mut runner = TestRunner::deterministic();
    let strategy = course();
    let mut misfits: HashMap<Misfit, usize> = HashMap::new();
    let (mut joined, mut joined_whole, mut aborted, mut refused) = (0, 0, 0, 0);
    for _ in 0..COUNTED_COURSES {
        let course = strategy.new_tree(&mut runner).expect("a course").current();
        let played = course.play(Parts::AsDrawn);
        for misfit in played.misfits.iter().flatten() {
            *misfits.entry(*misfit).or_default() += 1;
        }
        let body = View::read(&played.out).map(|view| view.body);
        let events = match course.options.is_stream {
            true => read_stream(&body.unwrap_or_default()).events,
            false => Vec::new(),
        };
        let is_event = |event: &&Event| event.fields.contains_key("data");
        let runs: Vec<usize> = events.iter().filter(is_event).map(Event::run).collect();
        let is_joined = runs.first() != runs.last();
        joined += usize::from(is_joined);
        joined_whole += usize::from(is_joined && played.ended_by.is_some());
        aborted += usize::from(played.is_aborted);
        refused += usize::from(played.is_refused);
    }
    println!("{misfits:?}");
    println!("joined {joined}, whole {joined_whole}, aborted {aborted}, refused {refused}");
    let reached = [joined, joined_whole, aborted, refused];
    assert!(reached.iter().all(|count| *count > 20), "{reached:?}");
    let expected = [
        Misfit::Status,
        Misfit::ContentType,
        Misfit::Version,
        Misfit::Gap,
        Misfit::Repeated,
        Misfit::Unnumbered,
        Misfit::Empty,
        Misfit::Unfinished,
    ];
    for misfit in expected {
        let count = misfits.get(&misfit).copied().unwrap_or(0);
        assert!(count > 10, "{misfit}: {count}");
    }
}
