//! Streams that make an engine of the platform crash.

use std::time::Duration;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::CrashMarker;
use apricotdale_standins::platform::CrashTrigger;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use rstest::rstest;

const MARKER: &[u8] = b"crash";
const EVENTS: u64 = 6;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against events behind the last one of a stream, which engines send that crash under a stream
/// which has been resumed.
#[rstest]
#[case::begun(0, vec![1, 2, 3])]
#[case::resumed(4, vec![5, 6])]
#[case::ended(6, vec![])]
fn events_before_crash(#[case] last_event: u64, #[case] expected: Vec<u64>) {
    let engine = EngineOptions {
        models: vec!["m0".to_owned()],
        events: EVENTS,
        crashes: vec![CrashTrigger {
            marker: CrashMarker::Body(MARKER.to_vec()),
            after_events: 3,
            after_ms: 0,
        }],
        ..EngineOptions::default()
    };
    let options = SiteOptions {
        engines: vec![engine],
        ..SiteOptions::default()
    };
    let site = Site::start(options).expect("site starts");
    let request = SiteRequest::quick("s1", "m0")
        .with("Last-Event-Id", &last_event.to_string())
        .with_body(MARKER);
    let mut caller = Caller::connect(site.engine_addresses[0], READ_TIMEOUT).expect("it listens");
    let answer = caller.ask(&request).expect("an answer");
    assert_eq!(answer.event_ids(), expected);
    assert!(!answer.complete);
    site.stop();
}
