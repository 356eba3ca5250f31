//! Records of streams over two engines: a stream that looks complete is complete, and each flaw of
//! a joined stream is found.

mod support;

use apricotdale_soak::Attempt;
use apricotdale_soak::BodySeen;
use apricotdale_soak::ContinuedStreams;
use apricotdale_soak::Ending;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_soak::StreamSeen;
use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StreamFault;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::run;
use support::valid_record;

/// Returns a record of a stream over two engines, the first of which broke off, whose caller received `text`.
fn stream_record(after_event: u64, whole: bool, text: &str) -> Record {
    let mut record = valid_record();
    let first = after_event + 1;
    record.attempts.push(Attempt {
        after_event,
        ending: Ending::Answered {
            status: 200,
            whole,
            id: Some("s".to_owned()),
            signed: true,
            body: BodySeen::Stream(StreamSeen::read(text, first, 6, Some("1".to_owned()))),
        },
        ..attempt("s", Kind::Quick, 200)
    });
    let resumed = Run {
        upstream: "i-1".to_owned(),
        after_event: after_event + 2,
        ..run("s")
    };
    record.runs.push(Run {
        after_event,
        fault: Some(AnswerFault::CutAfter { events: 2 }),
        ..run("s")
    });
    record.runs.push(resumed);
    record
}

/// Returns events as engines send them.
fn events(ids: &[u64]) -> String {
    let ids = ids.iter();
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Returns events as engines with another version of the weights send them.
fn other_events(ids: &[u64]) -> String {
    events(ids).replace("data: piece", "data: other piece")
}

#[rstest]
#[case::whole(0, true, events(&[1, 2, 3, 4, 5, 6]))]
#[case::resumed(3, true, events(&[4, 5, 6]))]
#[case::broken(0, false, events(&[1, 2, 3]))]
#[case::broken_resumed(3, false, events(&[4]))]
#[case::broken_inside(0, false, events(&[1, 2]) + "id: 3\nda")]
#[case::broken_large(0, false, events(&[1, 2]) + "id: 3\ndata: xxxxxx")]
#[case::broken_at_once(0, false, String::new())]
#[case::broken_behind_all(0, false, events(&[1, 2, 3, 4, 5, 6]))]
fn valid_stream(#[case] after_event: u64, #[case] whole: bool, #[case] text: String) {
    assert_eq!(
        broken_invariants(&stream_record(after_event, whole, &text)),
        []
    );
}

/// Guards against a check that misses an incomplete stream that looks complete, or a remainder that
/// does not continue the first part.
#[rstest]
#[case::short(0, true, events(&[1, 2, 3]))]
#[case::nothing(0, true, String::new())]
#[case::resumed_short(3, true, events(&[4, 5]))]
#[case::resumed_nothing(3, true, String::new())]
#[case::ends_inside(0, true, events(&[1, 2]) + "id: 3\ndata: pie")]
#[case::ends_inside_the_last(0, true, events(&[1, 2, 3, 4, 5]) + "id: 6\ndata: piece 6\n")]
#[case::ends_inside_a_large_one(0, true, events(&[1, 2]) + "id: 3\ndata: xxxxxx")]
#[case::missing(0, true, events(&[1, 2, 4, 5, 6]))]
#[case::missing_and_broken(0, false, events(&[1, 2, 4]))]
#[case::first_missing(0, false, events(&[2, 3]))]
#[case::resumed_missing(3, false, events(&[5]))]
#[case::twice(0, true, events(&[1, 2, 2, 3, 4, 5, 6]))]
#[case::twice_and_broken(0, false, events(&[1, 2, 2]))]
#[case::anew(0, true, events(&[1, 2, 1, 2, 3, 4, 5, 6]))]
#[case::resumed_anew(3, true, events(&[1, 2, 3, 4, 5, 6]))]
#[case::resumed_one_early(3, false, events(&[3, 4]))]
#[case::out_of_order(0, true, events(&[1, 3, 2, 4, 5, 6]))]
#[case::out_of_order_and_broken(0, false, events(&[1, 3, 2]))]
#[case::beyond(0, false, events(&[1, 2, 3, 4, 5, 6, 7]))]
#[case::two_versions(0, true, events(&[1, 2]) + &other_events(&[3, 4, 5, 6]))]
#[case::two_versions_and_broken(0, false, events(&[1, 2]) + &other_events(&[3]))]
#[case::other_version_than_named(0, true, other_events(&[1, 2, 3, 4, 5, 6]))]
#[case::unnumbered(0, true, events(&[1, 2]) + "data: piece 3\n\n")]
#[case::failure_behind(0, true, events(&[1, 2]) + "{\"error\":\"failed\"}")]
#[case::failure_behind_and_broken(0, false, events(&[1, 2]) + "{\"error\":\"failed\"}")]
#[case::part_of_an_event_between(0, false, "id: 1\nda".to_owned() + &events(&[1, 2]))]
#[case::other_content(0, true, "{\"text\":\"whole\"}".to_owned())]
fn flawed_stream(#[case] after_event: u64, #[case] whole: bool, #[case] text: String) {
    let record = stream_record(after_event, whole, &text);
    assert_eq!(broken_invariants(&record), [Invariant::OwnAnswer]);
}

/// Guards against a check that excuses too much: an empty remainder is only excused if a single
/// engine sent it to a caller that resumed the stream by itself.
#[rstest]
#[case::resumed(3, 3, StreamFault::Empty, "", true)]
#[case::resumed_other_content(3, 3, StreamFault::OtherContent, "{\"text\":\"whole\"}", true)]
#[case::resumed_for_another_reason(3, 3, StreamFault::Skips, "", false)]
#[case::by_the_vm(0, 2, StreamFault::Empty, "", false)]
#[case::by_the_vm_behind_a_caller(3, 5, StreamFault::Empty, "", false)]
#[case::behind_events(3, 3, StreamFault::Empty, "id: 4\ndata: piece 4\n\n", false)]
fn empty_remainder(
    #[case] after_event: u64,
    #[case] run_after: u64,
    #[case] then: StreamFault,
    #[case] text: &str,
    #[case] is_excused: bool,
) {
    let mut record = stream_record(after_event, true, text);
    let fault = AnswerFault::CutThen { events: 1, then };
    let run = record.runs.last_mut().expect("a run");
    run.after_event = run_after;
    run.fault = Some(fault);
    assert_eq!(broken_invariants(&record).is_empty(), is_excused);
}

#[test]
fn continued_streams() {
    let mut record = stream_record(0, true, &events(&[1, 2, 3, 4, 5, 6]));
    let continued = ContinuedStreams {
        streams: 1,
        faulty: 0,
        whole: 1,
    };
    assert_eq!(record.continued(), continued);
    let last = record.runs.len() - 1;
    record.runs[last].fault = Some(AnswerFault::Failed);
    assert_eq!(record.continued().faulty, 1);
    // A stream that the caller resumed by itself, or that another engine began anew, is not joined.
    record.runs[last].after_event = 0;
    assert_eq!(record.continued(), ContinuedStreams::default());
}
