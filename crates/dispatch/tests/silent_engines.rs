//! Engines that fall silent with work in progress: when they are asked, and what is believed.

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::Silence;
use apricotdale_dispatch::SilenceWatch;

const SENT_MS: u64 = 1_000;

fn name(index: usize) -> UpstreamName {
    UpstreamName::from(format!("e{index}"))
}

/// Plays events of one engine each 30 ms until a time.
fn speak(watch: &mut SilenceWatch, engine: &UpstreamName, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..=until_ms).step_by(30) {
        watch.heard(at_ms, engine);
    }
}

/// Symptom: an engine that lost power gets requests for seconds, and those at it wait until their
/// deadlines. Sequence: a stream is in progress, its events stop, the connection stays open. Cause:
/// nothing counted the time since the last event.
#[test]
fn silent_stream_has_its_engine_asked() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    speak(&mut watch, &name(0), SENT_MS, SENT_MS + 300);
    assert!(watch.due(SENT_MS + 500).is_empty());
    assert_eq!(watch.next_ms(), SENT_MS + 550);
    assert_eq!(watch.due(SENT_MS + 550), [name(0)]);
    assert!(watch.due(SENT_MS + 600).is_empty(), "it is asked once");
    let shown = watch.asked(SENT_MS + 700, &name(0), false);
    assert_eq!(shown, Silence::Dark);
    assert!(watch.is_dark(&name(0)));
}

#[test]
fn prompt_being_read_is_given_time() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    assert!(watch.due(SENT_MS + 490).is_empty());
    assert_eq!(watch.due(SENT_MS + 500), [name(0)]);
    // It answers: it is at work, however long the request waits.
    assert_eq!(watch.asked(SENT_MS + 505, &name(0), true), Silence::None);
    assert!(watch.due(SENT_MS + 1_900).is_empty());
    assert!(!watch.is_dark(&name(0)));
}

#[test]
fn engine_without_requests_is_left_alone() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    watch.ended(&name(0));
    assert_eq!(watch.next_ms(), u64::MAX);
    assert!(watch.due(SENT_MS + 10_000).is_empty());
}

#[test]
fn dark_engine_is_asked_until_it_answers() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    watch.due(SENT_MS + 500);
    watch.asked(SENT_MS + 650, &name(0), false);
    watch.ended(&name(0));
    for round in 0..5 {
        let at_ms = SENT_MS + 1_000 + round * 500;
        assert_eq!(watch.due(at_ms), [name(0)]);
        assert_eq!(watch.asked(at_ms + 150, &name(0), false), Silence::Dark);
    }
    assert_eq!(watch.due(SENT_MS + 5_000), [name(0)]);
    assert_eq!(watch.asked(SENT_MS + 5_005, &name(0), true), Silence::Over);
    assert_eq!(watch.next_ms(), u64::MAX);
}

/// Symptom: a VM that was cut off takes all its requests from sound engines and tells the other VMs
/// that all engines are dark. Cause: its own trouble looks like trouble of each engine.
#[test]
fn vm_that_hears_nobody_blames_nobody() {
    let mut watch = SilenceWatch::default();
    for index in 0..5 {
        watch.sent(SENT_MS, &name(index));
    }
    assert_eq!(watch.due(SENT_MS + 600).len(), 5);
    for index in 0..5 {
        let shown = watch.asked(SENT_MS + 750, &name(index), false);
        assert_eq!(shown, Silence::None);
    }
    // Three are heard again; the two that are not are dark.
    for index in 0..3 {
        speak(&mut watch, &name(index), SENT_MS + 760, SENT_MS + 1_200);
    }
    let mut asked = watch.due(SENT_MS + 1_200);
    asked.sort();
    assert_eq!(asked, [name(3), name(4)]);
    for engine in asked {
        assert_eq!(watch.asked(SENT_MS + 1_300, &engine, false), Silence::Dark);
    }
}

/// Symptom: a VM that stood still for seconds takes requests from engines that were answering all
/// the while. Cause: what it had not read counted as not sent.
#[test]
fn own_pause_is_no_silence() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    watch.heard(SENT_MS + 30, &name(0));
    watch.stood_still(SENT_MS + 4_000);
    assert!(watch.due(SENT_MS + 4_100).is_empty());
}

#[test]
fn event_during_the_question_clears() {
    let mut watch = SilenceWatch::default();
    watch.sent(SENT_MS, &name(0));
    watch.due(SENT_MS + 500);
    watch.heard(SENT_MS + 600, &name(0));
    assert_eq!(watch.asked(SENT_MS + 650, &name(0), false), Silence::None);
}
