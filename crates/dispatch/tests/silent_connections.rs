//! Connections that fall silent while their upstreams are heard on others, and moves of their
//! requests.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::HeadProgress;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::LivenessMonitor;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::Silence;
use apricotdale_fleet::Directory;
use apricotdale_fleet::RouteKind;
use rstest::rstest;

use support::SLOTS;
use support::call;
use support::directory;
use support::dispatcher;
use support::stream;

const SENT_MS: u64 = 1_000;

/// Time from which on a connection is doubted whose upstream is heard all the while.
const DOUBTED_MS: u64 = SENT_MS + 1_700 + 400;

struct Fixture {
    directory: Directory,
    dispatcher: Dispatcher,
    monitor: LivenessMonitor,
    job: Job,
    has_begun: bool,
    head: HeadProgress,
}

fn name() -> UpstreamName {
    UpstreamName::from("e0")
}

/// Two engines, and a stream that may be resumed at one of them.
fn fixture() -> Fixture {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m0"])]);
    let mut monitor = LivenessMonitor::default();
    monitor.sent(SENT_MS, &name());
    let job = Job {
        tried: vec![name()],
        deadline_ms: 60_000,
        ..stream("m0", true)
    };
    let mut dispatcher = dispatcher();
    dispatcher.sent(SENT_MS, &job, &name());
    Fixture {
        directory,
        dispatcher,
        monitor,
        job,
        has_begun: false,
        head: HeadProgress::None,
    }
}

impl Fixture {
    fn silence<'a>(&self, job: &'a Job, upstream: &'a UpstreamName) -> Silence<'a> {
        Silence {
            key: 1,
            job,
            upstream,
            since_ms: SENT_MS,
            has_begun: self.has_begun,
            head: self.head,
        }
    }

    fn is_doubted(&mut self, now_ms: u64) -> bool {
        let (job, upstream) = (self.job.clone(), name());
        let silences = [self.silence(&job, &upstream)];
        let (directory, monitor) = (&self.directory, &self.monitor);
        let doubted = self
            .dispatcher
            .doubted(now_ms, directory, &silences, monitor);
        doubted == [1]
    }

    /// Has the upstream heard on another connection every 50 ms until a time, and returns when the
    /// connection is first doubted.
    fn doubted_ms(&mut self, until_ms: u64) -> Option<u64> {
        (SENT_MS..until_ms).step_by(50).find(|at_ms| {
            self.monitor.heard(*at_ms, &name());
            self.is_doubted(*at_ms)
        })
    }

    fn patience_ms(&mut self, now_ms: u64) -> u64 {
        let (job, upstream) = (self.job.clone(), name());
        let silence = self.silence(&job, &upstream);
        self.dispatcher
            .patience_ms(now_ms, &self.directory, &silence)
    }

    fn target(&mut self, job: &Job) -> Option<UpstreamName> {
        self.dispatcher
            .decide_move(DOUBTED_MS, &self.directory, job, true)
    }
}

#[test]
fn doubt_confirmed() {
    assert_eq!(fixture().doubted_ms(10_000), Some(DOUBTED_MS));
}

/// Guards against doubting the connections of an engine that is itself silent: nothing shows that
/// it works.
#[rstest]
#[case::never_heard(None)]
#[case::heard_before(Some(SENT_MS + 1_600))]
fn silent_engine(#[case] heard_ms: Option<u64>) {
    let mut fixture = fixture();
    if let Some(heard_ms) = heard_ms {
        fixture.monitor.heard(heard_ms, &name());
    }
    assert!(!fixture.is_doubted(DOUBTED_MS));
    assert!(!fixture.is_doubted(SENT_MS + 15_000));
}

/// Guards against doubting a sound connection at the moment at which its engine goes on: another
/// one may bring its data a little earlier.
#[test]
fn engine_goes_on() {
    let mut fixture = fixture();
    let heard_ms = SENT_MS + 2_300;
    fixture.monitor.heard(heard_ms, &name());
    assert!(!fixture.is_doubted(heard_ms));
    assert!(!fixture.is_doubted(heard_ms + 390));
    assert!(fixture.is_doubted(heard_ms + 400));
}

/// Guards against a doubt that outlives its reason: data has come on the connection since.
#[test]
fn data_ends_doubt() {
    let mut fixture = fixture();
    assert!(fixture.doubted_ms(10_000).is_some());
    let (job, upstream) = (fixture.job.clone(), name());
    let silence = Silence {
        since_ms: DOUBTED_MS,
        ..fixture.silence(&job, &upstream)
    };
    let now_ms = DOUBTED_MS + 1_750;
    let (directory, monitor) = (&fixture.directory, &fixture.monitor);
    let doubted = fixture
        .dispatcher
        .doubted(now_ms, directory, &[silence], monitor);
    assert!(doubted.is_empty());
}

/// Guards against moving requests that wait in the queue of a full engine.
#[test]
fn full_engine() {
    let mut fixture = fixture();
    for _ in 1..SLOTS {
        let job = fixture.job.clone();
        fixture.dispatcher.sent(SENT_MS, &job, &name());
    }
    let doubted_ms = fixture.doubted_ms(10_000);
    assert_eq!(doubted_ms, Some(SENT_MS + 2 * 1_700 + 400));
}

/// Guards against requests that stay at an engine because it is full of them, or because answers there
/// began late before, although it has begun with a head that does not end.
#[rstest]
#[case::part_of_head(HeadProgress::Partial, 1_700 + 400)]
#[case::interim_responses(HeadProgress::Interim, 2_400 + 400)]
fn unfinished_heads(#[case] head: HeadProgress, #[case] expected_ms: u64) {
    let mut fixture = fixture();
    for _ in 1..SLOTS {
        let job = fixture.job.clone();
        fixture.dispatcher.sent(SENT_MS, &job, &name());
    }
    let job = fixture.job.clone();
    fixture.dispatcher.record_wait(1_000, &job, false, 1_200);
    fixture.head = head;
    let doubted_ms = fixture.doubted_ms(10_000);
    assert_eq!(doubted_ms, Some(SENT_MS + expected_ms));
}

/// Guards against moving a request whose full engine has just begun with its head, after a queue that
/// was longer than a head may take.
#[test]
fn head_begins_late() {
    let mut fixture = fixture();
    let begun_ms = SENT_MS + 2_500;
    fixture.head = HeadProgress::Partial;
    fixture.monitor.heard(begun_ms, &name());
    assert!(!fixture.is_doubted(begun_ms));
    assert!(!fixture.is_doubted(begun_ms + 399));
    assert!(fixture.is_doubted(begun_ms + 400));
}

/// Guards against moving requests of a service that is slow to answer, and against waiting for long
/// because it once was.
#[test]
fn slow_service() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    let dispatcher = &mut fixture.dispatcher;
    dispatcher.record_wait(1_000, &job, false, 1_500);
    dispatcher.record_wait(2_000, &job, true, 4_000);
    dispatcher.record_wait(3_000, &job, false, 900);
    assert_eq!(fixture.patience_ms(4_000), 3_000);
    fixture.has_begun = true;
    assert_eq!(fixture.patience_ms(4_000), 8_000);
    fixture.has_begun = false;
    assert_eq!(fixture.patience_ms(70_000), 3_000);
    assert_eq!(fixture.patience_ms(130_000), 1_700, "forgotten with time");
}

#[test]
fn longest_wait_bounded() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    fixture.dispatcher.record_wait(1_000, &job, false, 50_000);
    assert_eq!(fixture.patience_ms(2_000), 10_000);
}

/// Guards against moving a request again and again that takes long wherever it runs.
#[test]
fn patience_grows() {
    let mut fixture = fixture();
    fixture.job.runs = 1;
    assert_eq!(fixture.patience_ms(SENT_MS), 3_400);
}

/// Guards against moving requests of a route that is known to answer late, before any wait there
/// has been observed.
#[rstest]
#[case::stream(RouteKind::Stream { resumable: true }, false, 2_400)]
#[case::call(RouteKind::Idempotent, false, 2_400)]
#[case::begun(RouteKind::Stream { resumable: true }, true, 1_700)]
fn late_target(#[case] kind: RouteKind, #[case] has_begun: bool, #[case] expected_ms: u64) {
    let mut fixture = fixture();
    fixture.job.kind = kind;
    fixture.job.target_ms = fixture.job.arrived_ms + 1_200;
    fixture.has_begun = has_begun;
    assert_eq!(fixture.patience_ms(SENT_MS), expected_ms);
}

/// A call is answered at its end.
#[test]
fn long_call() {
    let mut fixture = fixture();
    fixture.job.kind = RouteKind::Idempotent;
    fixture.job.expected_run_ms = 1_500;
    assert_eq!(fixture.patience_ms(SENT_MS), 3_000);
}

#[test]
fn moved_to_other_engine() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    assert_eq!(fixture.target(&job), Some(UpstreamName::from("e1")));
}

/// Guards against running a request twice that may run once, and against more runs than the route
/// allows.
#[rstest]
#[case::runs_once(RouteKind::NonIdempotent, 2)]
#[case::stream_runs_once(RouteKind::Stream { resumable: false }, 2)]
#[case::no_attempts_left(RouteKind::Stream { resumable: true }, 1)]
fn may_not_run_again(#[case] kind: RouteKind, #[case] attempts: u32) {
    let mut fixture = fixture();
    let job = Job {
        kind,
        attempts,
        ..fixture.job.clone()
    };
    assert_eq!(fixture.target(&job), None);
}

/// Guards against taking a request from its place that no upstream takes now, and against the cost
/// of a retry for it.
#[test]
fn no_upstream_takes_it() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    for engine in ["e0", "e1"] {
        for _ in 0..SLOTS {
            fixture.dispatcher.sent(SENT_MS, &job, &engine.into());
        }
    }
    for _ in 0..200 {
        assert_eq!(fixture.target(&job), None, "no room");
    }
    let late = Job {
        deadline_ms: DOUBTED_MS + 50,
        ..job.clone()
    };
    assert_eq!(fixture.target(&late), None, "no time");
    let other_version = Job {
        origin: Some(Origin {
            version: Some("v9".into()),
            upstream: None,
            ..fixture.directory.upstream(&name()).expect("e0").origin()
        }),
        ..job.clone()
    };
    let mut idle = self::fixture();
    assert_eq!(idle.target(&other_version), None, "no version");
    let closed = idle
        .dispatcher
        .decide_move(DOUBTED_MS, &idle.directory, &job, false);
    assert_eq!(closed, None, "no continuation");
    assert!(idle.target(&job).is_some(), "nothing was spent");
}

/// Guards against taking a request from its place to have it wait for a permit.
#[test]
fn limited_upstreams() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    for engine in ["e0", "e1"] {
        let limits = fixture.dispatcher.stated_limits_mut();
        limits.record_answer(SENT_MS, SENT_MS, &engine.into(), RateLimit::from_per_s(5.0));
    }
    assert_eq!(fixture.target(&job), None);
}

/// Guards against taking a request from its place to have it wait for a permit of an upstream with a
/// limit on rejections.
#[test]
fn rejection_limited_upstreams() {
    let mut fixture = fixture();
    let job = fixture.job.clone();
    let limits = fixture.dispatcher.rejection_limits_mut();
    let limit = RateLimit::from_per_s(5.0);
    limits.record_answer(SENT_MS, SENT_MS, &job.service, &"e0".into(), limit);
    assert_eq!(fixture.target(&job), None);
}

#[test]
fn budget_spent() {
    let mut fixture = fixture();
    let job = call(RouteKind::Idempotent);
    let moves = (0..200).filter(|_| fixture.target(&job).is_some()).count();
    assert!((1..=20).contains(&moves), "{moves}");
    assert_eq!(fixture.target(&job), None);
}
