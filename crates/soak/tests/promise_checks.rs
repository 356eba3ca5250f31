//! Each broken promise is found in a record that shows it, and none in a sound one.

use apricotdale_soak::Attempt;
use apricotdale_soak::BodySeen;
use apricotdale_soak::ConfigurationProbe;
use apricotdale_soak::Continued;
use apricotdale_soak::Crash;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Drain;
use apricotdale_soak::Ending;
use apricotdale_soak::KeySeen;
use apricotdale_soak::Kind;
use apricotdale_soak::LimitSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Presented;
use apricotdale_soak::Promise;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_soak::StopSeen;
use apricotdale_soak::StreamSeen;
use apricotdale_soak::check;
use apricotdale_soak::fullest_window;
use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::EngineEffects;
use apricotdale_standins::platform::StreamFault;
use rstest::rstest;

/// A plain body as the upstream gives it.
const PLAIN: BodySeen = BodySeen::Plain { own: true };

fn attempt(id: &str, kind: Kind, status: u16) -> Attempt {
    Attempt {
        id: id.to_owned(),
        kind,
        vm: 0,
        presented: Presented::Key(0),
        after_event: 0,
        sent_ms: 10_000,
        ended_ms: 10_050,
        patience_ms: 3_000,
        ending: Ending::Answered {
            status,
            whole: true,
            id: Some(id.to_owned()),
            signed: true,
            body: PLAIN,
        },
    }
}

fn run(id: &str) -> Run {
    Run {
        id: id.to_owned(),
        upstream: "p-0".to_owned(),
        at_ms: 10_010,
        unchanged: true,
        after_event: 0,
        fault: None,
        organisations: vec!["north".to_owned()],
        shows_key: false,
    }
}

fn effects(holders: &[(u64, &str)]) -> (String, EngineEffects) {
    let effects = EngineEffects {
        loads: 0,
        refused: 0,
        overcommitted: 0,
        holders: holders
            .iter()
            .map(|(fence, holder)| (*fence, (*holder).to_owned()))
            .collect(),
    };
    ("i-0".to_owned(), effects)
}

fn disturbance(place: Place, from_ms: u64, until_ms: u64) -> Disturbance {
    Disturbance {
        what: "kill".to_owned(),
        place,
        from_ms,
        until_ms,
    }
}

fn sound() -> Record {
    Record {
        attempts: vec![attempt("a", Kind::Book, 200), attempt("b", Kind::Book, 503)],
        last_attempts: vec![attempt("c", Kind::Look, 200)],
        runs: vec![run("a"), run("c"), run("c")],
        engines: vec![effects(&[(1, "vm0"), (1, "vm0"), (4, "vm1")])],
        drains: vec![Drain {
            upstream: "i-9".to_owned(),
            at_ms: 9_000,
        }],
        stops: vec![StopSeen {
            vm: 2,
            at_ms: 9_000,
            ended: Some((12_000, Some(0))),
        }],
        keys: vec![key("north"), key("south")],
        limits: vec![limit(0, 100)],
        ..Record::default()
    }
}

fn key(organisation: &str) -> KeySeen {
    KeySeen {
        secret: format!("{organisation}-secret-0"),
        organisation: organisation.to_owned(),
        acknowledged_ms: 0,
        leaving_ms: None,
        left_ms: None,
    }
}

fn limit(at_ms: u64, most_in_window: usize) -> LimitSeen {
    LimitSeen {
        organisation: "north".to_owned(),
        written_ms: at_ms,
        acknowledged_ms: at_ms,
        most_in_window,
    }
}

fn promises(record: &Record) -> Vec<Promise> {
    check(record).into_iter().map(|it| it.promise).collect()
}

#[test]
fn sound_record() {
    assert_eq!(promises(&sound()), Vec::new());
}

#[test]
fn second_run() {
    let mut record = sound();
    record.runs.push(run("a"));
    assert_eq!(promises(&record), vec![Promise::RunsOnce]);
}

#[test]
fn refused_and_run() {
    let mut record = sound();
    record.runs.push(run("b"));
    assert_eq!(promises(&record), vec![Promise::TrueRefusal]);
}

#[rstest]
#[case::of_nobody("x", true)]
#[case::changed("a", false)]
fn run_not_asked_for(#[case] id: &str, #[case] unchanged: bool) {
    let mut record = sound();
    record.runs.retain(|it| it.id != id);
    record.runs.push(Run {
        unchanged,
        ..run(id)
    });
    assert_eq!(promises(&record), vec![Promise::AskedFor]);
}

#[rstest]
#[case::of_another(Some("z"), true, true)]
#[case::of_nobody(None, true, true)]
#[case::unsigned(Some("a"), false, true)]
#[case::other_body(Some("a"), true, false)]
fn wrong_answer(#[case] id: Option<&str>, #[case] signed: bool, #[case] own_body: bool) {
    let mut record = sound();
    record.attempts[0].ending = Ending::Answered {
        status: 200,
        whole: true,
        id: id.map(str::to_owned),
        signed,
        body: BodySeen::Plain { own: own_body },
    };
    assert_eq!(promises(&record), vec![Promise::OwnAnswer]);
}

/// Returns a record of a stream over two engines, of which the caller got some text.
fn stream(after_event: u64, whole: bool, text: &str) -> Record {
    let mut record = sound();
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
    let rest = Run {
        upstream: "i-1".to_owned(),
        after_event: after_event + 2,
        ..run("s")
    };
    record.runs.push(Run {
        after_event,
        ..run("s")
    });
    record.runs.push(rest);
    record
}

/// Returns events as engines send them.
fn events(ids: &[u64]) -> String {
    let ids = ids.iter();
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Returns events of other weights.
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
fn sound_stream(#[case] after_event: u64, #[case] whole: bool, #[case] text: String) {
    assert_eq!(promises(&stream(after_event, whole, &text)), []);
}

/// Guards against joined streams that look whole and aren't, and against parts that do not fit.
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
fn wrong_stream(#[case] after_event: u64, #[case] whole: bool, #[case] text: String) {
    let record = stream(after_event, whole, &text);
    assert_eq!(promises(&record), [Promise::OwnAnswer]);
}

/// Guards against an excuse for joined streams: only what an engine alone gives to a caller that
/// resumed by itself may hold no events.
#[rstest]
#[case::resumed(3, 3, StreamFault::Empty, "", true)]
#[case::resumed_other_content(3, 3, StreamFault::OtherContent, "{\"text\":\"whole\"}", true)]
#[case::resumed_for_another_reason(3, 3, StreamFault::Skips, "", false)]
#[case::by_the_vm(0, 2, StreamFault::Empty, "", false)]
#[case::by_the_vm_behind_a_caller(3, 5, StreamFault::Empty, "", false)]
#[case::behind_events(3, 3, StreamFault::Empty, "id: 4\ndata: piece 4\n\n", false)]
fn empty_rest(
    #[case] after_event: u64,
    #[case] run_after: u64,
    #[case] then: StreamFault,
    #[case] text: &str,
    #[case] is_excused: bool,
) {
    let mut record = stream(after_event, true, text);
    let fault = AnswerFault::CutThen { events: 1, then };
    let run = record.runs.last_mut().expect("a run");
    run.after_event = run_after;
    run.fault = Some(fault);
    assert_eq!(promises(&record).is_empty(), is_excused);
}

#[test]
fn streams_over_two_engines() {
    let mut record = stream(0, true, &events(&[1, 2, 3, 4, 5, 6]));
    let continued = Continued {
        streams: 1,
        spoiled: 0,
        whole: 1,
    };
    assert_eq!(record.continued(), continued);
    let last = record.runs.len() - 1;
    record.runs[last].fault = Some(AnswerFault::Failed);
    assert_eq!(record.continued().spoiled, 1);
    // One that the caller resumed by itself, or that began anew elsewhere, was not joined.
    record.runs[last].after_event = 0;
    assert_eq!(record.continued(), Continued::default());
}

#[rstest]
#[case::lower_fence(&[(4, "vm1"), (1, "vm0")])]
#[case::shared_fence(&[(1, "vm0"), (1, "vm1")])]
fn two_givers(#[case] holders: &[(u64, &str)]) {
    let mut record = sound();
    record.engines = vec![effects(holders)];
    assert_eq!(promises(&record), vec![Promise::OneGiver]);
}

#[test]
fn too_much_memory() {
    let mut record = sound();
    record.engines[0].1.overcommitted = 1;
    assert_eq!(promises(&record), vec![Promise::FitsMemory]);
}

#[rstest]
#[case::late(Ending::Answered { status: 504, whole: true, id: None, signed: false, body: PLAIN }, 15_000)]
#[case::lost(Ending::Unanswered, 10_050)]
fn no_answer_in_time(#[case] ending: Ending, #[case] ended_ms: u64) {
    let mut record = sound();
    record.attempts[1].ending = ending;
    record.attempts[1].ended_ms = ended_ms;
    assert_eq!(promises(&record), vec![Promise::InTime]);
    // A VM that was killed meanwhile owes no answer.
    record.disturbances = vec![disturbance(Place::Vm(0), 9_000, 9_500)];
    assert_eq!(promises(&record), Vec::new());
    // The store's troubles excuse nothing.
    record.disturbances = vec![disturbance(Place::Store, 9_000, 20_000)];
    assert_eq!(promises(&record), vec![Promise::InTime]);
}

#[test]
fn request_after_leaving() {
    let mut record = sound();
    record.drains[0].upstream = "p-0".to_owned();
    record.drains[0].at_ms = 6_000;
    assert!(promises(&record).contains(&Promise::Drained));
    record.disturbances = vec![disturbance(Place::Store, 5_000, 6_500)];
    assert_eq!(promises(&record), Vec::new());
}

#[rstest]
#[case::not_there_yet(true, 404)]
#[case::still_there(false, 200)]
fn old_configuration(#[case] exists: bool, #[case] status: u16) {
    let mut record = sound();
    record.probes = vec![ConfigurationProbe {
        vm: 1,
        acknowledged_ms: 5_000,
        sent_ms: 7_300,
        exists,
        status,
    }];
    assert_eq!(promises(&record), vec![Promise::InForce]);
    record.probes[0].sent_ms = 6_900;
    assert_eq!(promises(&record), Vec::new());
}

#[rstest]
#[case::never(None)]
#[case::late(Some((19_000, Some(0))))]
#[case::failed(Some((12_000, Some(1))))]
#[case::by_signal(Some((12_000, None)))]
fn bad_stop(#[case] ended: Option<(u64, Option<i32>)>) {
    let mut record = sound();
    record.stops[0].ended = ended;
    assert_eq!(promises(&record), vec![Promise::PlannedStop]);
}

#[test]
fn call_cut_by_a_stop() {
    let mut record = sound();
    record.attempts[0].vm = 2;
    record.attempts[0].ending = Ending::Unanswered;
    record.disturbances = vec![Disturbance {
        what: "stop".to_owned(),
        ..disturbance(Place::Vm(2), 9_000, 12_000)
    }];
    assert_eq!(promises(&record), vec![Promise::PlannedStop]);
}

#[test]
fn large_call_cut_by_its_upstream() {
    let mut record = sound();
    record.attempts[0].vm = 2;
    record.attempts[0].ending = Ending::Answered {
        status: 200,
        whole: false,
        id: Some("a".to_owned()),
        signed: true,
        body: PLAIN,
    };
    record.disturbances = vec![Disturbance {
        what: "stop".to_owned(),
        ..disturbance(Place::Vm(2), 9_000, 12_000)
    }];
    assert_eq!(promises(&record), [Promise::PlannedStop]);
    record.runs[0].fault = Some(AnswerFault::LargeCut);
    assert_eq!(promises(&record), []);
}

#[test]
fn no_recovery() {
    let mut record = sound();
    record.last_attempts = vec![attempt("c", Kind::Look, 503), attempt("d", Kind::Look, 503)];
    record.runs.retain(|it| it.id != "c");
    assert_eq!(promises(&record), vec![Promise::Recovers]);
    record.last_attempts.push(attempt("e", Kind::Look, 200));
    assert_eq!(promises(&record), Vec::new());
}

#[test]
fn process_that_ended() {
    let mut record = sound();
    record.own_ends = vec!["vm1: exit status: 101".to_owned()];
    assert_eq!(promises(&record), vec![Promise::StaysUp]);
}

/// Returns a record of a request under which three engines ended by 10 s, and which was sent again
/// at some times.
fn crashers(sent_ms: &[u64]) -> Record {
    let mut record = sound();
    record.crashes = [8_000, 9_000, 10_000]
        .map(|at_ms| Crash {
            body: "body".to_owned(),
            upstream: format!("i-{at_ms}"),
            at_ms,
        })
        .to_vec();
    for at_ms in sent_ms {
        let id = format!("e-{at_ms}");
        record.attempts.push(attempt(&id, Kind::Quick, 502));
        record.runs.push(Run {
            at_ms: *at_ms,
            ..run(&id)
        });
        record.crasher_ids.push((id, "body".to_owned()));
    }
    record
}

#[test]
fn stopped_crasher_is_sound() {
    let record = crashers(&[10_500, 11_000, 12_000, 12_900, 13_500, 14_000, 15_000]);
    assert_eq!(promises(&record), []);
}

#[test]
fn crasher_that_goes_on() {
    let mut record = crashers(&[13_500, 14_000, 15_000, 16_000]);
    assert_eq!(promises(&record), [Promise::StopsCrashers]);
    record
        .disturbances
        .push(disturbance(Place::Vm(0), 12_000, 12_500));
    assert_eq!(promises(&record), []);
}

/// Guards against a caller without a good key who is served, and nobody sees it.
#[rstest]
#[case::none(Presented::None)]
#[case::unknown(Presented::Unknown)]
#[case::several(Presented::Several)]
fn run_without_key(#[case] presented: Presented) {
    let mut record = sound();
    record.attempts[0].presented = presented;
    record.disturbances = vec![disturbance(Place::Vm(0), 0, 20_000)];
    assert_eq!(promises(&record), vec![Promise::WhoMayAsk]);
}

/// Guards against a key that goes on after it was taken away, and nobody sees it.
#[rstest]
#[case::in_time(7_500, None, &[])]
#[case::late(5_000, None, &[Promise::WhoMayAsk])]
#[case::vm_disturbed(5_000, Some(Place::Vm(0)), &[])]
#[case::vm_disturbed_later(3_000, Some(Place::Vm(0)), &[Promise::WhoMayAsk])]
#[case::other_vm_disturbed(5_000, Some(Place::Vm(1)), &[Promise::WhoMayAsk])]
#[case::store_disturbed(5_000, Some(Place::Store), &[])]
fn run_with_taken_key(
    #[case] left_ms: u64,
    #[case] place: Option<Place>,
    #[case] expected: &[Promise],
) {
    let mut record = sound();
    record.last_attempts.clear();
    record.runs.truncate(1);
    record.keys[0].leaving_ms = Some(left_ms);
    record.keys[0].left_ms = Some(left_ms);
    record.disturbances = place
        .map(|it| disturbance(it, 7_000, 7_500))
        .into_iter()
        .collect();
    assert_eq!(promises(&record), expected);
}

/// Guards against a set-back of the store that is taken for a broken promise.
#[rstest]
#[case::just_now(8_000, &[])]
#[case::long_ago(5_000, &[Promise::WhoMayAsk])]
fn taken_key_after_set_back(#[case] until_ms: u64, #[case] expected: &[Promise]) {
    let mut record = sound();
    record.last_attempts.clear();
    record.runs.truncate(1);
    record.keys[0].leaving_ms = Some(3_000);
    record.keys[0].left_ms = Some(3_000);
    record.disturbances = vec![Disturbance {
        what: "set back".to_owned(),
        ..disturbance(Place::Store, 4_000, until_ms)
    }];
    assert_eq!(promises(&record), expected);
}

/// Guards against a good key that is refused, and nobody sees it.
#[rstest]
#[case::first_key(0, None, Some(Place::Vm(0)), &[Promise::WhoMayAsk])]
#[case::new_key(9_000, None, None, &[])]
#[case::added_key(5_000, None, None, &[Promise::WhoMayAsk])]
#[case::added_key_disturbed(5_000, None, Some(Place::Vm(0)), &[])]
#[case::leaving_key(0, Some(10_020), None, &[])]
fn refused_with_key(
    #[case] acknowledged_ms: u64,
    #[case] leaving_ms: Option<u64>,
    #[case] place: Option<Place>,
    #[case] expected: &[Promise],
) {
    let mut record = sound();
    record.attempts[1] = attempt("b", Kind::Book, 401);
    record.attempts[1].presented = Presented::Key(1);
    record.keys[1].acknowledged_ms = acknowledged_ms;
    record.keys[1].leaving_ms = leaving_ms;
    record.disturbances = place
        .map(|it| disturbance(it, 7_000, 7_500))
        .into_iter()
        .collect();
    assert_eq!(promises(&record), expected);
}

/// Guards against an upstream that is told another organisation or a key, and nobody sees it.
#[rstest]
#[case::another(&["south"], false)]
#[case::none(&[], false)]
#[case::two(&["north", "south"], false)]
#[case::key(&["north"], true)]
fn wrong_organisation(#[case] organisations: &[&str], #[case] shows_key: bool) {
    let mut record = sound();
    record.runs[0].organisations = organisations.iter().map(ToString::to_string).collect();
    record.runs[0].shows_key = shows_key;
    assert_eq!(promises(&record), vec![Promise::OrganisationTold]);
}

/// Returns a record in which an organisation has a number of requests run, 10 ms apart from 10,000
/// ms on.
fn used(count: u64) -> Record {
    let mut record = sound();
    record.attempts.clear();
    record.runs.clear();
    for number in 0..count {
        let id = format!("u-{number}");
        record.attempts.push(Attempt {
            sent_ms: 10_000 + 10 * number,
            ended_ms: 10_050 + 10 * number,
            ..attempt(&id, Kind::Look, 200)
        });
        record.runs.push(Run {
            at_ms: 10_010 + 10 * number,
            ..run(&id)
        });
    }
    record
}

/// Guards against an organisation that gets more than its limit, and nobody sees it.
#[rstest]
#[case::within(5, vec![limit(0, 5)], None, &[])]
#[case::beyond(6, vec![limit(0, 5)], None, &[Promise::WithinLimits])]
#[case::beyond_disturbed(6, vec![limit(0, 5)], Some(Place::Store), &[Promise::WithinLimits])]
#[case::raised(6, vec![limit(0, 5), limit(12_000, 6)], None, &[])]
#[case::lowered_just_now(6, vec![limit(0, 6), limit(4_000, 5)], None, &[])]
#[case::lowered(6, vec![limit(0, 6), limit(2_500, 5)], None, &[Promise::WithinLimits])]
#[case::lowered_disturbed(6, vec![limit(0, 6), limit(2_500, 5)], Some(Place::Vm(1)), &[])]
fn beyond_limit(
    #[case] count: u64,
    #[case] limits: Vec<LimitSeen>,
    #[case] place: Option<Place>,
    #[case] expected: &[Promise],
) {
    let mut record = used(count);
    record.limits = limits;
    record.disturbances = place
        .map(|it| disturbance(it, 4_000, 4_500))
        .into_iter()
        .collect();
    assert_eq!(promises(&record), expected);
}

#[test]
fn fullest_window_is_told() {
    let mut record = used(3);
    record.limits = vec![limit(0, 5)];
    let window = fullest_window(&record).expect("a window");
    assert_eq!((window.from_ms, window.ran, window.most), (10_000, 3, 5));
}

/// Guards against repeats of a request that count against its organisation's limit.
#[test]
fn repeat_counts_once() {
    let mut record = used(5);
    record.limits = vec![limit(0, 5)];
    record.runs.push(run("u-0"));
    assert_eq!(promises(&record), Vec::new());
}

/// Guards against a key in a log line that nobody sees.
#[test]
fn key_in_log() {
    let mut record = sound();
    record.key_lines.push("refused north-secret-0".to_owned());
    assert_eq!(promises(&record), vec![Promise::KeysStaySecret]);
}
