//! Records in which requests end without a complete answer.

mod support;

use apricotdale_soak::ArrivalSeen;
use apricotdale_soak::Attempt;
use apricotdale_soak::Crash;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Ending;
use apricotdale_soak::EngineTime;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::LinkBreak;
use apricotdale_soak::PathCutSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_soak::SilenceSeen;
use apricotdale_soak::StopSeen;
use apricotdale_soak::TimeoutSeen;
use apricotdale_standins::platform::AnswerFault;
use rstest::rstest;

use support::PLAIN_BODY;
use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::run;
use support::valid_record;

/// Time at which the request of these records is sent, and that at which its connection ends.
const SENT_MS: u64 = 20_000;
const ENDED_MS: u64 = 21_500;

/// Upstream that ran it.
const UPSTREAM: &str = "i-1";

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    BeforeHead,
    InAnswer,
}

fn ending(end: End) -> Ending {
    match end {
        End::BeforeHead => Ending::Unanswered,
        End::InAnswer => Ending::Answered {
            status: 200,
            whole: false,
            id: Some("lost".to_owned()),
            signed: true,
            body: PLAIN_BODY,
        },
    }
}

/// Returns a record with a stream that ran, and whose connection then ended.
fn record(end: End) -> Record {
    let mut record = valid_record();
    record.attempts.push(Attempt {
        sent_ms: SENT_MS,
        ended_ms: ENDED_MS,
        ending: ending(end),
        ..attempt("lost", Kind::Patient, 200)
    });
    record.runs.push(Run {
        upstream: UPSTREAM.to_owned(),
        at_ms: SENT_MS + 10,
        ..run("lost")
    });
    record.timeouts = vec![timeout(6_000, 0)];
    record
}

fn timeout(timeout_ms: u64, at_ms: u64) -> TimeoutSeen {
    TimeoutSeen {
        timeout_ms,
        written_ms: at_ms,
        acknowledged_ms: at_ms,
    }
}

fn lost(record: &Record) -> bool {
    let broken = broken_invariants(record);
    // Other promises may be broken, too; each has its own tests.
    broken.contains(&Invariant::NothingLost)
}

fn lost_attempt(record: &mut Record) -> &mut Attempt {
    record.attempts.last_mut().expect("the lost request")
}

/// Guards against a check that misses a lost request.
#[rstest]
fn request_lost(
    #[values(End::BeforeHead, End::InAnswer)] end: End,
    #[values(Kind::Look, Kind::Book, Kind::Quick, Kind::Patient)] kind: Kind,
) {
    let mut record = record(end);
    lost_attempt(&mut record).kind = kind;
    assert!(lost(&record));
}

/// Guards against a check that reports requests with a complete answer, a refusal, or a caller that
/// left.
#[rstest]
#[case::refused(Ending::Answered { status: 503, whole: true, id: None, signed: false, body: PLAIN_BODY }, None)]
#[case::failed(Ending::Answered { status: 504, whole: true, id: None, signed: false, body: PLAIN_BODY }, None)]
#[case::left(Ending::Left, None)]
#[case::unsent(Ending::Unsent, None)]
#[case::left_after_event(ending(End::InAnswer), Some(2))]
fn answered_or_left(#[case] ending: Ending, #[case] left_after_event: Option<u64>) {
    let mut record = record(End::InAnswer);
    *lost_attempt(&mut record) = Attempt {
        ending,
        left_after_event,
        ..lost_attempt(&mut record).clone()
    };
    assert!(!lost(&record));
}

/// Guards against a check that reports a request that crossed the close of its connection, or takes
/// one that an engine got, or that waited for long, for one of these.
#[rstest]
#[case::crossed(100, false, false)]
#[case::arrived(100, true, true)]
#[case::waited(501, false, true)]
fn unread(#[case] took_ms: u64, #[case] arrived: bool, #[case] is_lost: bool) {
    let mut record = record(End::BeforeHead);
    record.runs.retain(|it| it.id != "lost");
    lost_attempt(&mut record).ended_ms = SENT_MS + took_ms;
    if arrived {
        record.arrivals.push(ArrivalSeen {
            id: "lost".to_owned(),
            upstream: UPSTREAM.to_owned(),
            vm: Some(0),
            at_ms: SENT_MS + 10,
            is_misdirected: false,
        });
    }
    assert_eq!(lost(&record), is_lost);
}

/// Guards against judging a VM by requests that came in a pause of its process and that it could not
/// read, and against a pause that excuses others.
#[rstest]
#[case::in_pause(SENT_MS - 100, 0, 1_400, false)]
#[case::other_vm(SENT_MS - 100, 1, 1_400, true)]
#[case::after_pause(SENT_MS - 100, 0, 1_501, true)]
#[case::read_before(SENT_MS + 1, 0, 1_400, true)]
fn sent_in_pause(
    #[case] from_ms: u64,
    #[case] vm: usize,
    #[case] took_ms: u64,
    #[case] is_lost: bool,
) {
    let mut record = record(End::BeforeHead);
    record.runs.retain(|it| it.id != "lost");
    lost_attempt(&mut record).ended_ms = SENT_MS + took_ms;
    record.disturbances = vec![Disturbance {
        what: "pause".to_owned(),
        ..disturbance(Place::Vm(vm), from_ms, SENT_MS + 1_000)
    }];
    assert_eq!(lost(&record), is_lost);
}

fn named(what: &str, place: Place) -> Disturbance {
    Disturbance {
        what: what.to_owned(),
        ..disturbance(place, SENT_MS + 100, SENT_MS + 200)
    }
}

/// Guards against disturbances that excuse what they don't end, and ends of VMs that excuse
/// nothing.
#[rstest]
#[case::killed(named("kill", Place::Vm(0)), false)]
#[case::all_killed(named("kill all", Place::Vm(0)), false)]
#[case::other_killed(named("kill", Place::Vm(1)), true)]
#[case::paused(named("pause", Place::Vm(0)), true)]
#[case::stopped(named("stop", Place::Vm(0)), true)]
#[case::store(named("store", Place::Store), true)]
#[case::rollback(named("set back", Place::Store), true)]
#[case::answers(named("answers", Place::Upstreams), true)]
fn disturbed(
    #[values(End::BeforeHead, End::InAnswer)] end: End,
    #[case] disturbance: Disturbance,
    #[case] is_lost: bool,
) {
    let mut record = record(end);
    record.disturbances = vec![disturbance];
    assert_eq!(lost(&record), is_lost);
}

/// Guards against a planned stop that excuses requests though it ended in time.
#[rstest]
#[case::in_time(Some((ENDED_MS, Some(0))), true)]
#[case::late(Some((SENT_MS + 9_000, Some(0))), false)]
#[case::never(None, false)]
fn planned_stop(#[case] ended: Option<(u64, Option<i32>)>, #[case] is_lost: bool) {
    let mut record = record(End::InAnswer);
    record.stops = vec![StopSeen {
        vm: 0,
        at_ms: ENDED_MS - 8_000,
        ended,
    }];
    assert_eq!(lost(&record), is_lost);
}

fn link(upstream: &str, from_ms: u64) -> LinkBreak {
    LinkBreak {
        upstream: upstream.to_owned(),
        from_ms,
        until_ms: from_ms + 100,
    }
}

/// Guards against links that excuse what they don't break: other upstreams', others times', and
/// answers that have not begun.
#[rstest]
#[case::own(End::InAnswer, link(UPSTREAM, SENT_MS + 500), false)]
#[case::no_head(End::BeforeHead, link(UPSTREAM, SENT_MS + 500), true)]
#[case::other(End::InAnswer, link("i-2", SENT_MS + 500), true)]
#[case::before(End::InAnswer, link(UPSTREAM, SENT_MS - 500), true)]
fn link_broken(#[case] end: End, #[case] link: LinkBreak, #[case] is_lost: bool) {
    let mut record = record(end);
    record.link_breaks = vec![link];
    assert_eq!(lost(&record), is_lost);
}

/// Guards against a cut that excuses another VM's requests.
#[rstest]
#[case::own(0, false)]
#[case::other(1, true)]
fn cut_off(#[case] vm: usize, #[case] is_lost: bool) {
    let mut record = record(End::InAnswer);
    record.path_cuts = vec![PathCutSeen {
        vms: vec![vm],
        of_vms: 3,
        from_ms: SENT_MS - 1_000,
        until_ms: SENT_MS - 500,
    }];
    assert_eq!(lost(&record), is_lost);
}

/// Guards against an engine that excuses a cut before its end, because it has begun to leave.
#[test]
fn leaving_engine() {
    let mut record = record(End::InAnswer);
    record.engine_times = vec![EngineTime {
        upstream: UPSTREAM.to_owned(),
        software: "v1".to_owned(),
        from_ms: 0,
        until_ms: Some(SENT_MS - 500),
    }];
    assert!(lost(&record));
    record.link_breaks = vec![LinkBreak {
        upstream: UPSTREAM.to_owned(),
        from_ms: ENDED_MS + 1,
        until_ms: ENDED_MS + 1,
    }];
    assert!(lost(&record));
    record.link_breaks[0].from_ms = ENDED_MS;
    assert!(!lost(&record));
}

/// Guards against a crash that excuses other engines' requests, or those that it does not end.
#[rstest]
#[case::own(End::InAnswer, UPSTREAM, ENDED_MS, false)]
#[case::no_head(End::BeforeHead, UPSTREAM, ENDED_MS, true)]
#[case::other(End::InAnswer, "i-2", ENDED_MS, true)]
#[case::later(End::InAnswer, UPSTREAM, ENDED_MS + 1, true)]
fn engine_crashed(
    #[case] end: End,
    #[case] upstream: &str,
    #[case] at_ms: u64,
    #[case] is_lost: bool,
) {
    let mut record = record(end);
    record.crashes = vec![Crash {
        body: "ends-engine-1".to_owned(),
        upstream: upstream.to_owned(),
        at_ms,
    }];
    assert_eq!(lost(&record), is_lost);
}

#[rstest]
#[case::in_answer(End::InAnswer, false)]
#[case::no_head(End::BeforeHead, true)]
fn faulty_answer(#[case] end: End, #[case] is_lost: bool) {
    let mut record = record(end);
    if let Some(run) = record.runs.last_mut() {
        run.fault = Some(AnswerFault::CutAfter { events: 2 });
    }
    assert_eq!(lost(&record), is_lost);
}

/// Guards against a silence that excuses anything.
#[rstest]
fn silent_upstream(#[values(End::BeforeHead, End::InAnswer)] end: End) {
    let mut record = record(end);
    record.silences = vec![SilenceSeen {
        upstream: UPSTREAM.to_owned(),
        from_ms: SENT_MS + 100,
        until_ms: ENDED_MS - 100,
    }];
    assert!(lost(&record));
}

/// Guards against a timeout that excuses requests which a longer one allowed, or that is not
/// counted though the VM may have known no other.
#[rstest]
#[case::callers(&[timeout(6_000, 0)], 2_950, false)]
#[case::just_before(&[timeout(6_000, 0)], 2_899, true)]
#[case::routes(&[timeout(1_500, 0)], 1_470, false)]
#[case::much_before(&[timeout(1_500, 0)], 1_000, true)]
#[case::longer_before(&[timeout(1_500, 0), timeout(6_000, SENT_MS - 4_000)], 1_470, true)]
#[case::longer_known(&[timeout(1_500, 0), timeout(6_000, SENT_MS - 2_000)], 1_470, true)]
#[case::longer_just_before(&[timeout(1_500, 0), timeout(6_000, SENT_MS - 1_000)], 1_470, false)]
#[case::longer_after(&[timeout(1_500, 0), timeout(6_000, SENT_MS + 1_000)], 1_470, false)]
#[case::shorter_after(&[timeout(6_000, 0), timeout(1_500, SENT_MS + 100)], 1_470, true)]
#[case::shorter_before(&[timeout(6_000, 0), timeout(1_500, SENT_MS - 4_000)], 1_470, false)]
#[case::not_yet(&[timeout(6_000, 0), timeout(1_500, SENT_MS + 2_000)], 1_470, true)]
fn timeout_reached(#[case] timeouts: &[TimeoutSeen], #[case] took_ms: u64, #[case] is_lost: bool) {
    let mut record = record(End::InAnswer);
    record.timeouts = timeouts.to_vec();
    lost_attempt(&mut record).ended_ms = SENT_MS + took_ms;
    assert_eq!(lost(&record), is_lost);
}

/// Guards against judging a VM by a change that it could not read.
#[test]
fn unread_timeout() {
    let mut record = record(End::InAnswer);
    record.timeouts = vec![timeout(1_500, 0), timeout(6_000, SENT_MS - 4_000)];
    record.disturbances = vec![disturbance(Place::Store, SENT_MS - 4_500, SENT_MS)];
    lost_attempt(&mut record).ended_ms = SENT_MS + 1_470;
    assert!(!lost(&record));
}
