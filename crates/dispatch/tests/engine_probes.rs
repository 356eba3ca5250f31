//! Probes of engines that stop sending data, and what their outcome shows.

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::LivenessMonitor;
use apricotdale_dispatch::ProbeOutcome;

const SENT_MS: u64 = 1_000;

fn name(index: usize) -> UpstreamName {
    UpstreamName::from(format!("e{index}"))
}

/// Records data from one engine every 30 ms until a time.
fn send_events(watch: &mut LivenessMonitor, engine: &UpstreamName, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..=until_ms).step_by(30) {
        watch.heard(at_ms, engine);
    }
}

/// Guards against sending requests to an engine that lost power, and leaving those at it waiting
/// until their deadlines. Its events stop in the middle of a stream and the connection stays open,
/// so that only the time since the last event shows it.
#[test]
fn silent_stream_probed() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    send_events(&mut watch, &name(0), SENT_MS, SENT_MS + 300);
    assert!(watch.due(SENT_MS + 500).is_empty());
    assert_eq!(watch.next_ms(), SENT_MS + 550);
    assert_eq!(watch.due(SENT_MS + 550), [name(0)]);
    assert!(watch.due(SENT_MS + 600).is_empty(), "it is asked once");
    let shown = watch.record_probe(SENT_MS + 700, &name(0), false);
    assert_eq!(shown, ProbeOutcome::Unresponsive);
    assert!(watch.is_unresponsive(&name(0)));
}

#[test]
fn long_prompt() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    assert!(watch.due(SENT_MS + 490).is_empty());
    assert_eq!(watch.due(SENT_MS + 500), [name(0)]);
    // The engine answers the probe: it works, however long the request waits.
    assert_eq!(
        watch.record_probe(SENT_MS + 505, &name(0), true),
        ProbeOutcome::None
    );
    assert!(watch.due(SENT_MS + 1_900).is_empty());
    assert!(!watch.is_unresponsive(&name(0)));
}

#[test]
fn idle_engine() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    watch.ended(&name(0));
    assert_eq!(watch.next_ms(), u64::MAX);
    assert!(watch.due(SENT_MS + 10_000).is_empty());
}

#[test]
fn reprobe_until_answer() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    watch.due(SENT_MS + 500);
    watch.record_probe(SENT_MS + 650, &name(0), false);
    watch.ended(&name(0));
    for round in 0..5 {
        let at_ms = SENT_MS + 1_000 + round * 500;
        assert_eq!(watch.due(at_ms), [name(0)]);
        assert_eq!(
            watch.record_probe(at_ms + 150, &name(0), false),
            ProbeOutcome::Unresponsive
        );
    }
    assert_eq!(watch.due(SENT_MS + 5_000), [name(0)]);
    assert_eq!(
        watch.record_probe(SENT_MS + 5_005, &name(0), true),
        ProbeOutcome::Responsive
    );
    assert_eq!(watch.next_ms(), u64::MAX);
}

/// Guards against a VM that is cut off: it must not take all its requests from working engines, nor
/// report to other VMs that all engines are unresponsive.
#[test]
fn cut_off_vm() {
    let mut watch = LivenessMonitor::default();
    for index in 0..5 {
        watch.sent(SENT_MS, &name(index));
    }
    assert_eq!(watch.due(SENT_MS + 600).len(), 5);
    for index in 0..5 {
        let shown = watch.record_probe(SENT_MS + 750, &name(index), false);
        assert_eq!(shown, ProbeOutcome::None);
    }
    // Data comes from three of them again; the other two are unresponsive.
    for index in 0..3 {
        send_events(&mut watch, &name(index), SENT_MS + 760, SENT_MS + 1_200);
    }
    let mut asked = watch.due(SENT_MS + 1_200);
    asked.sort();
    assert_eq!(asked, [name(3), name(4)]);
    for engine in asked {
        assert_eq!(
            watch.record_probe(SENT_MS + 1_300, &engine, false),
            ProbeOutcome::Unresponsive
        );
    }
}

/// Guards against a VM whose process was paused for seconds and takes requests from engines that
/// were sending meanwhile: data that it had not read counted as not sent.
#[test]
fn process_pause() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    watch.heard(SENT_MS + 30, &name(0));
    watch.process_paused(SENT_MS + 4_000);
    assert!(watch.due(SENT_MS + 4_100).is_empty());
}

#[test]
fn event_during_probe() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    watch.due(SENT_MS + 500);
    watch.heard(SENT_MS + 600, &name(0));
    assert_eq!(
        watch.record_probe(SENT_MS + 650, &name(0), false),
        ProbeOutcome::None
    );
}

/// Guards against requests to an engine that has just not answered its probe. Its requests had been given
/// up meanwhile and others were sent, and the time since the first of these counted as that without
/// data.
#[test]
fn resent_request() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    assert_eq!(watch.due(SENT_MS + 500), [name(0)]);
    watch.ended(&name(0));
    watch.sent(SENT_MS + 600, &name(0));
    assert_eq!(
        watch.record_probe(SENT_MS + 650, &name(0), false),
        ProbeOutcome::Unresponsive
    );
}

/// Guards against judging an engine by a probe during which the VM's process was paused, so that an answer
/// may have come without being read.
#[test]
fn pause_during_probe() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    assert_eq!(watch.due(SENT_MS + 500), [name(0)]);
    watch.process_paused(SENT_MS + 2_000);
    assert_eq!(
        watch.record_probe(SENT_MS + 2_000, &name(0), false),
        ProbeOutcome::None
    );
}

/// Guards against an engine that passes for responsive because of data at the beginning of a long probe.
#[test]
fn silent_since_event() {
    let mut watch = LivenessMonitor::default();
    watch.sent(SENT_MS, &name(0));
    assert_eq!(watch.due(SENT_MS + 500), [name(0)]);
    watch.heard(SENT_MS + 550, &name(0));
    assert_eq!(
        watch.record_probe(SENT_MS + 1_900, &name(0), false),
        ProbeOutcome::Unresponsive
    );
}
