//! Upstreams of the platform that send nothing for a time, and those that lose requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::SilencePoint;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Long enough that a busy machine reads what was sent before a silence while it lasts.
const SILENCE_MS: u64 = 1_000;
const SILENCE: Duration = Duration::from_millis(SILENCE_MS);

/// Time after which a request counts as unanswered.
const UNANSWERED: Duration = Duration::from_millis(500);

/// Events of a stream.
const EVENTS: u64 = 6;

fn site() -> Site {
    let engine = EngineOptions {
        models: vec!["m0".to_owned()],
        events: EVENTS,
        ..EngineOptions::default()
    };
    let options = SiteOptions {
        engines: vec![engine],
        instances: 1,
        ..SiteOptions::default()
    };
    Site::start(options).expect("site starts")
}

fn connect(address: SocketAddr) -> Caller {
    Caller::connect(address, TEST_TIMEOUT).expect("the stand-in listens")
}

fn silent(at: SilencePoint) -> AnswerFault {
    AnswerFault::Silent {
        at,
        for_ms: SILENCE_MS,
    }
}

/// Events that arrive before the silence, whole and begun.
#[rstest]
#[case::before_head(SilencePoint::BeforeHead, 0, 0)]
#[case::after_head(SilencePoint::AfterHead, 0, 0)]
#[case::between_events(SilencePoint::BetweenEvents, 3, 3)]
#[case::inside_event(SilencePoint::InsideEvent, 3, 4)]
fn silent_stream(#[case] at: SilencePoint, #[case] whole: u64, #[case] begun: u64) {
    let site = site();
    site.engines[0].push_fault(silent(at));
    let mut caller = connect(site.engine_addresses[0]);
    let sent = Instant::now();
    caller
        .send(&SiteRequest::patient("p1", "m0").bytes())
        .expect("the connection is open");
    if begun > 0 {
        caller.wait_event(begun).expect("the event arrives");
        let received = caller.received_events();
        let ids = received.lines().filter(|line| line.starts_with("id: "));
        assert_eq!(ids.count() as u64, whole, "{received}");
        assert!(sent.elapsed() < SILENCE);
    }
    let answer = caller.answer().expect("an HTTP answer");
    assert!(sent.elapsed() >= SILENCE);
    assert!(answer.is_success());
    assert_eq!(answer.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
    assert_eq!(site.engines[0].run_counts()["p1"], 1);
    let next = caller.ask(&SiteRequest::patient("p2", "m0"));
    assert!(next.expect("the connection stays open").is_success());
    site.stop();
}

#[rstest]
fn silent_call(
    #[values(
        SilencePoint::BeforeHead,
        SilencePoint::AfterHead,
        SilencePoint::InsideEvent
    )]
    at: SilencePoint,
) {
    let site = site();
    site.services[0].push_fault(silent(at));
    let mut caller = connect(site.service_addresses[0]);
    let sent = Instant::now();
    let answer = caller
        .ask(&SiteRequest::book("b1"))
        .expect("an HTTP answer");
    assert!(sent.elapsed() >= SILENCE);
    assert!(answer.is_success());
    assert_eq!(answer.text(), "POST /book/slot?n=1");
    assert_eq!(site.services[0].run_counts()["b1"], 1);
    let next = caller.ask(&SiteRequest::book("b2"));
    assert!(next.expect("the connection stays open").is_success());
    site.stop();
}

/// A stream in progress pauses, a request that arrives meanwhile waits, and both are answered.
#[test]
fn silent_engine() {
    let site = site();
    let mut streaming = connect(site.engine_addresses[0]);
    site.engines[0].push_fault(silent(SilencePoint::BetweenEvents));
    streaming
        .send(&SiteRequest::patient("p1", "m0").bytes())
        .expect("the connection is open");
    streaming.wait_event(1).expect("the event arrives");
    // This silence ends after the one of the stream.
    site.engines[0].be_silent(2 * SILENCE);
    let sent = Instant::now();
    let mut arriving = connect(site.engine_addresses[0]);
    let later = arriving.ask(&SiteRequest::patient("p2", "m0"));
    assert!(later.expect("an HTTP answer").is_success());
    assert!(sent.elapsed() >= SILENCE);
    assert!(streaming.answer().expect("an HTTP answer").is_success());
    let counts = site.engines[0].run_counts();
    assert_eq!((counts["p1"], counts["p2"]), (1, 1));
    let arrivals = site.engines[0].arrivals();
    let arrival = arrivals.iter().find(|it| it.id == "p2");
    let arrived = arrival.expect("the request arrived").at;
    assert!(arrived.duration_since(sent) < SILENCE, "recorded late");
    site.stop();
}

#[test]
fn silent_instance() {
    let site = site();
    site.services[0].be_silent(SILENCE);
    let sent = Instant::now();
    let mut caller = connect(site.service_addresses[0]);
    let answer = caller.ask(&SiteRequest::book("b1"));
    assert!(answer.expect("an HTTP answer").is_success());
    assert!(sent.elapsed() >= SILENCE * 9 / 10);
    assert_eq!(site.services[0].run_counts()["b1"], 1);
    site.stop();
}

/// A request that an unresponsive engine has lost is never answered, while new connections work.
#[test]
fn unresponsive_engine() {
    let site = site();
    site.engines[0].set_unresponsive(true);
    let mut lost = connect(site.engine_addresses[0]);
    lost.set_read_timeout(UNANSWERED).expect("a socket");
    let unanswered = lost.ask(&SiteRequest::patient("p1", "m0"));
    assert_eq!(unanswered.expect("no answer").status(), 0);
    site.engines[0].set_unresponsive(false);
    let answer = connect(site.engine_addresses[0]).ask(&SiteRequest::patient("p2", "m0"));
    assert!(answer.expect("an HTTP answer").is_success());
    assert_eq!(lost.answer().expect("no answer").status(), 0);
    assert!(!lost.is_closed());
    assert!(!site.engines[0].run_counts().contains_key("p1"));
    site.stop();
}
