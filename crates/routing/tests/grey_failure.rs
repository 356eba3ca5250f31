//! Upstreams that are slow, lose requests or refuse them although they report a low load.

use rstest::rstest;

use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;
use apricotdale_routing::OutlierOptions;

mod support;

use support::Fault;
use support::Fleet;
use support::candidates;
use support::simulate;

struct Group {
    policy: CorrectedLoad,
    candidates: Vec<Candidate>,
    now_ms: u64,
}

impl Group {
    fn new(count: usize) -> Self {
        Self {
            policy: CorrectedLoad::new(Options::default()),
            candidates: candidates(count, 1),
            now_ms: 0,
        }
    }

    fn choose(&mut self) -> usize {
        let chosen = self
            .policy
            .choose(self.now_ms, &RouteRequest::default(), &self.candidates);
        chosen.expect("a candidate")
    }

    fn send(&mut self, index: usize) {
        let sent = RoutingEvent::Sent {
            upstream: self.candidates[index].upstream.clone(),
            prefix_hash: None,
        };
        self.policy.learn(self.now_ms, sent);
    }

    fn end(&mut self, index: usize, outcome: UpstreamOutcome) {
        self.end_after(index, outcome, 100);
    }

    fn end_after(&mut self, index: usize, outcome: UpstreamOutcome, first_byte_ms: u64) {
        let ended = RoutingEvent::Ended {
            upstream: self.candidates[index].upstream.clone(),
            outcome,
            first_byte_ms: (outcome == UpstreamOutcome::Answered).then_some(first_byte_ms),
        };
        self.policy.learn(self.now_ms, ended);
    }

    fn round_trip(&mut self, index: usize, outcome: UpstreamOutcome) {
        self.send(index);
        self.end(index, outcome);
    }

    /// Lets all upstreams answer some requests.
    fn warm_up(&mut self) {
        for index in 0..self.candidates.len() {
            for _ in 0..10 {
                self.round_trip(index, UpstreamOutcome::Answered);
            }
        }
    }

    /// Returns how many times each upstream is chosen if every request is answered at once.
    fn chosen(&mut self, requests: usize) -> Vec<usize> {
        let mut chosen = vec![0; self.candidates.len()];
        for _ in 0..requests {
            let index = self.choose();
            chosen[index] += 1;
            self.round_trip(index, UpstreamOutcome::Answered);
        }
        chosen
    }
}

fn ejection_ms() -> u64 {
    OutlierOptions::default().ejection_ms
}

/// Guards against a faulty engine that keeps its share of the requests because only its load
/// counts. It accepts connections and reports a low load, and looks idle if it fails fast.
#[rstest]
#[case::slow(Fault::Slow(10.0), 0.01)]
#[case::refuses_at_once(Fault::Refuses, 0.03)]
#[case::loses_half(Fault::Loses(0.5), 0.02)]
#[case::loses_all(Fault::Loses(1.0), 0.02)]
fn faulty_engine(#[case] fault: Fault, #[case] max_failed: f64) {
    let fleet = Fleet {
        load: 0.6,
        faults: vec![(3, fault)],
        ..Fleet::default()
    };
    let results = simulate(&fleet);
    let failed = f64::from(results.failed) / f64::from(results.requests());
    assert!(failed <= max_failed, "{failed}");
    let late: u32 = results.sent_late.iter().sum();
    let share = f64::from(results.sent_late[3]) / f64::from(late);
    assert!(share < 0.02, "{share}");
}

#[test]
fn slow_upstream_weight() {
    let mut group = Group::new(4);
    group.policy = CorrectedLoad::new(Options {
        choices: 1,
        ..Options::default()
    });
    for index in [0, 1, 2, 3].repeat(10) {
        group.now_ms += 100;
        group.send(index);
        let first_byte_ms = if index == 0 { 400 } else { 100 };
        group.end_after(index, UpstreamOutcome::Answered, first_byte_ms);
    }
    let chosen: Vec<usize> = (0..1_000).map(|_| group.choose()).collect();
    let slow = chosen.iter().filter(|index| **index == 0).count();
    assert!((30..150).contains(&slow), "{slow} of 1000");
}

#[test]
fn recovered_engine() {
    let fleet = Fleet {
        load: 0.6,
        faults: vec![(3, Fault::Loses(1.0))],
        faults_end_ms: 30_000,
        length_ms: 240_000,
        ..Fleet::default()
    };
    let results = simulate(&fleet);
    let late: u32 = results.sent_late.iter().sum();
    let share = f64::from(results.sent_late[3]) / f64::from(late);
    assert!(share > 0.5 / 18.0, "{share}");
}

/// Guards against ejecting all upstreams one after another while this VM's own network is down: if
/// every request fails, no upstream fails more than its group.
#[test]
fn no_ejection_if_all_fail() {
    let mut group = Group::new(6);
    for _ in 0..20 {
        for index in 0..6 {
            group.round_trip(index, UpstreamOutcome::Lost);
        }
    }
    let chosen = group.chosen(600);
    assert!(chosen.iter().all(|count| *count > 0), "{chosen:?}");
}

/// Guards against ejecting so many upstreams of a group that the others are overloaded, when
/// several upstreams fail one after another.
#[rstest]
#[case(18, 6)]
#[case(6, 2)]
#[case(3, 1)]
#[case(2, 1)]
#[case(1, 0)]
fn ejection_limit(#[case] count: usize, #[case] max_ejected: usize) {
    let mut group = Group::new(count);
    group.warm_up();
    for index in 0..count.div_ceil(2) {
        for _ in 0..5 {
            group.round_trip(index, UpstreamOutcome::Lost);
        }
    }
    let chosen = group.chosen(count * 100);
    let unused = chosen.iter().filter(|count| **count == 0).count();
    assert_eq!(unused, max_ejected, "{chosen:?}");
}

/// Guards against ejecting an upstream because its callers cancel their requests, as shoppers do
/// who leave a page.
#[test]
fn cancelled_requests() {
    let mut group = Group::new(3);
    group.warm_up();
    for _ in 0..50 {
        group.round_trip(0, UpstreamOutcome::Cancelled);
    }
    let chosen = group.chosen(300);
    assert!(chosen[0] >= 50, "{chosen:?}");
}

/// Guards against losing many requests at once every few seconds: an engine that is still faulty
/// after its ejection must return by single probes and not with its full share.
#[test]
fn return_from_ejection() {
    let mut group = Group::new(4);
    group.warm_up();
    for _ in 0..3 {
        group.round_trip(0, UpstreamOutcome::Lost);
    }
    assert_eq!(group.chosen(200)[0], 0, "ejected");

    group.now_ms += ejection_ms();
    assert_eq!(group.choose(), 0, "the probe");
    group.send(0);
    for _ in 0..200 {
        assert_ne!(group.choose(), 0, "a second probe beside the first");
    }
    group.end(0, UpstreamOutcome::Lost);

    group.now_ms += ejection_ms();
    assert_eq!(group.chosen(200)[0], 0, "ejected for twice as long");
    group.now_ms += ejection_ms();
    for _ in 0..OutlierOptions::default().probes_to_return {
        assert_eq!(group.choose(), 0, "a probe");
        group.round_trip(0, UpstreamOutcome::Answered);
        assert_ne!(group.choose(), 0, "probes keep their distance");
        group.now_ms += OutlierOptions::default().probe_interval_ms;
    }
    let during = group.chosen(1_000)[0];
    assert!(
        (1..150).contains(&during),
        "{during} at the start of the ramp"
    );
    group.now_ms += OutlierOptions::default().ramp_ms;
    let after = group.chosen(1_000)[0];
    assert!((150..350).contains(&after), "{after} after the ramp");
}

#[test]
fn cancelled_probe() {
    let mut group = Group::new(4);
    group.warm_up();
    for _ in 0..3 {
        group.round_trip(0, UpstreamOutcome::Unreachable);
    }
    group.now_ms += ejection_ms();
    assert_eq!(group.choose(), 0);
    group.round_trip(0, UpstreamOutcome::Cancelled);
    group.now_ms += OutlierOptions::default().probe_interval_ms;
    assert_eq!(group.choose(), 0);
}

#[rstest]
#[case::one_tried(&[0], &[1, 2])]
#[case::two_tried(&[0, 2], &[1])]
#[case::all_tried(&[0, 1, 2], &[0, 1, 2])]
fn tried_upstreams_last(
    #[case] tried: &[usize],
    #[case] expected: &[usize],
    #[values(None, Some(7), Some(8), Some(9))] prefix_hash: Option<u64>,
) {
    let mut group = Group::new(3);
    let request = RouteRequest {
        prefix_hash,
        tried: tried
            .iter()
            .map(|index| group.candidates[*index].upstream.clone())
            .collect(),
    };
    for _ in 0..50 {
        let chosen = group.policy.choose(0, &request, &group.candidates);
        assert!(
            chosen.is_some_and(|index| expected.contains(&index)),
            "{chosen:?}"
        );
    }
}

/// Guards against refusing requests for a model whose only engine is ejected but still answers some
/// of them: an ejection is a preference and no ban.
#[test]
fn ejected_only_replica() {
    let mut group = Group::new(4);
    group.warm_up();
    for _ in 0..3 {
        group.round_trip(0, UpstreamOutcome::Lost);
    }
    let only = [group.candidates[0].clone()];
    assert_eq!(
        group.policy.choose(0, &RouteRequest::default(), &only),
        Some(0)
    );
}

/// Guards against an upstream that never gets requests after it was ejected, removed from the list,
/// and listed again under the same name: its earlier state must be dropped.
#[test]
fn removed_upstream() {
    let mut group = Group::new(3);
    group.warm_up();
    group.send(0);
    for _ in 0..3 {
        group.round_trip(0, UpstreamOutcome::Lost);
    }
    let upstream = group.candidates[0].upstream.clone();
    group.policy.learn(0, RoutingEvent::Removed { upstream });
    group.end(0, UpstreamOutcome::Lost);
    let chosen = group.chosen(300);
    assert!(chosen[0] >= 50, "{chosen:?}");
}
