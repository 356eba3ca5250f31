//! Records of streams while engines run two versions of their software.

mod support;

use apricotdale_soak::Attempt;
use apricotdale_soak::BodySeen;
use apricotdale_soak::Ending;
use apricotdale_soak::EngineTime;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::PathCutSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::ResumedShare;
use apricotdale_soak::Run;
use apricotdale_soak::StreamSeen;
use apricotdale_soak::resumed_share;
use apricotdale_standins::platform::AnswerFault;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::run;
use support::valid_record;

/// Events of a complete stream.
const EVENTS: u64 = 6;

/// Returns events of a version.
fn events(ids: std::ops::RangeInclusive<u64>, software: &str) -> String {
    let suffix = match software {
        "v1" => String::new(),
        other => format!(" of {other}"),
    };
    ids.map(|id| format!("id: {id}\ndata: piece {id}{suffix}\n\n"))
        .collect()
}

/// Returns an attempt of the stream `s` whose caller received `text`.
fn part(try_number: u64, after_event: u64, text: &str, whole: bool) -> Attempt {
    let id = match try_number {
        0 => "s".to_owned(),
        number => format!("s-{number}"),
    };
    Attempt {
        after_event,
        resumes: (try_number > 0).then(|| "s".to_owned()),
        sent_ms: 10_000 + 100 * try_number,
        ended_ms: 10_050 + 100 * try_number,
        ending: Ending::Answered {
            status: 200,
            whole,
            id: Some(id.clone()),
            signed: true,
            body: BodySeen::Stream(StreamSeen::read(text, after_event + 1, EVENTS, None)),
        },
        ..attempt(&id, Kind::Quick, 200)
    }
}

/// Returns a record of these attempts. Engines broke off those that are not whole.
fn record_of(parts: Vec<Attempt>) -> Record {
    let mut record = valid_record();
    let is_broken = |part: &&Attempt| matches!(part.ending, Ending::Answered { whole: false, .. });
    let runs = parts.iter().filter(is_broken).map(|part| Run {
        fault: Some(AnswerFault::CutAfter { events: 2 }),
        ..run(&part.id)
    });
    record.runs.extend(runs);
    record.attempts.extend(parts);
    record
}

/// Guards against a check that reports streams which one version wrote.
#[rstest]
#[case::old(vec![part(0, 0, &events(1..=6, "v1"), true)])]
#[case::new(vec![part(0, 0, &events(1..=6, "v2"), true)])]
#[case::resumed(vec![
    part(0, 0, &events(1..=2, "v2"), false),
    part(1, 2, "", false),
    part(2, 2, &events(3..=6, "v2"), true),
])]
#[case::two_streams(vec![
    part(0, 0, &events(1..=6, "v1"), true),
    Attempt { resumes: None, ..part(1, 0, &events(1..=6, "v2"), true) },
])]
fn one_version(#[case] parts: Vec<Attempt>) {
    assert_eq!(broken_invariants(&record_of(parts)), []);
}

/// Guards against a check that misses a stream which goes on at another version: in one answer,
/// on the second request of its caller or the third, or without its last events.
#[rstest]
#[case::one_answer(vec![part(0, 0, &(events(1..=2, "v1") + &events(3..=6, "v2")), true)])]
#[case::second_request(vec![
    part(0, 0, &events(1..=2, "v1"), false),
    part(1, 2, &events(3..=6, "v2"), true),
])]
#[case::third_request(vec![
    part(0, 0, &events(1..=2, "v2"), false),
    part(1, 2, &events(3..=4, "v2"), false),
    part(2, 4, &events(5..=6, "v1"), true),
])]
#[case::unfinished(vec![
    part(0, 0, &events(1..=1, "v3"), false),
    part(1, 1, &events(2..=2, "v2"), false),
])]
fn two_versions(#[case] parts: Vec<Attempt>) {
    let broken = broken_invariants(&record_of(parts));
    assert_eq!(broken, [Invariant::OneSoftwareVersion]);
}

fn engine_time(upstream: &str, software: &str, until_ms: Option<u64>) -> EngineTime {
    EngineTime {
        upstream: upstream.to_owned(),
        software: software.to_owned(),
        from_ms: 1_000,
        until_ms,
    }
}

/// Returns a record of new streams that all begin at v1, and of as many that their callers resume,
/// of which some go on.
fn share_record(streams: usize, went_on: usize) -> Record {
    let mut record = valid_record();
    record.engine_times = vec![
        engine_time("i-0", "v1", None),
        engine_time("i-1", "v1", None),
        engine_time("i-2", "v2", None),
    ];
    for number in 0..streams {
        let id = format!("b-{number}");
        let begun = Attempt {
            id: id.clone(),
            left_after_event: Some(2),
            ..part(0, 0, &events(1..=2, "v1"), false)
        };
        let resumed = Attempt {
            id: format!("r-{number}"),
            resumes: Some(id.clone()),
            ..match number < went_on {
                true => part(1, 2, &events(3..=6, "v1"), true),
                false => attempt("", Kind::Quick, 503),
            }
        };
        for attempt in [begun, resumed] {
            record.attempts.push(Attempt {
                ending: own(&attempt),
                sent_ms: 10_000 + attempt.after_event,
                ..attempt
            });
        }
    }
    record
}

/// Returns the ending of an attempt whose answer names its request.
fn own(attempt: &Attempt) -> Ending {
    let mut ending = attempt.ending.clone();
    if let Ending::Answered { id, .. } = &mut ending {
        *id = Some(attempt.id.clone());
    }
    ending
}

fn broken_share(record: &Record) -> bool {
    broken_invariants(record).contains(&Invariant::ResumedStreamsServed)
}

/// Guards against a check that misses resumed streams which don't go on, or that judges too few.
#[test]
fn resumed_streams_served() {
    assert!(!broken_share(&share_record(12, 12)));
    assert!(!broken_share(&share_record(12, 6)));
    assert!(broken_share(&share_record(12, 5)));
    assert!(broken_share(&share_record(40, 0)));
    assert!(!broken_share(&share_record(11, 0)));
    let share = ResumedShare {
        resumed: 12,
        went_on: 5,
        new: 12,
        begun: 12,
    };
    assert_eq!(resumed_share(&share_record(12, 5)), share);
}

/// Guards against a check that counts streams which no rule promises: the engines of their version
/// are too few, or something disturbs the VM, the store or the paths.
#[test]
fn excused_resumptions() {
    let change = |change: fn(&mut Record)| {
        let mut record = share_record(20, 0);
        change(&mut record);
        resumed_share(&record).resumed
    };
    assert_eq!(change(|_| {}), 20);
    assert_eq!(
        change(|it| it.engine_times[0].software = "v3".to_owned()),
        0
    );
    assert_eq!(change(|it| it.engine_times[0].until_ms = Some(9_000)), 0);
    assert_eq!(change(|it| it.engine_times[0].until_ms = Some(10_020)), 0);
    assert_eq!(change(|it| it.engine_times[0].from_ms = 9_500), 0);
    assert_eq!(change(|it| it.engine_times[0].until_ms = Some(11_000)), 20);
    assert_eq!(
        change(|it| it.disturbances = vec![disturbance(Place::Vm(0), 8_000, 9_000)]),
        0
    );
    assert_eq!(
        change(|it| it.disturbances = vec![disturbance(Place::Store, 8_000, 9_000)]),
        0
    );
    assert_eq!(
        change(|it| it.disturbances = vec![disturbance(Place::Upstreams, 8_000, 9_000)]),
        20
    );
    let cut = |vms: Vec<usize>| PathCutSeen {
        vms,
        of_vms: 3,
        from_ms: 9_000,
        until_ms: 11_000,
    };
    let mut record = share_record(20, 0);
    record.path_cuts = vec![cut(vec![1, 2])];
    assert_eq!(resumed_share(&record).resumed, 20);
    record.path_cuts = vec![cut(vec![0, 1])];
    assert_eq!(resumed_share(&record).resumed, 0);
}

/// Guards against holding resumed streams to more than what new ones get at the same time.
#[test]
fn new_streams_fail_too() {
    let mut record = share_record(20, 5);
    assert!(broken_share(&record));
    let refused = (0..30).map(|number| Attempt {
        sent_ms: 10_000,
        ..attempt(&format!("n-{number}"), Kind::Quick, 503)
    });
    record.attempts.extend(refused);
    assert!(!broken_share(&record));
}
