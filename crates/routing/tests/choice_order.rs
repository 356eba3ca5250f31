//! Choices with a fixed seed, which must not change where no speeds are known.

use rstest::rstest;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;
use apricotdale_routing::UpstreamSpeeds;

mod support;

use support::candidates;

const CANDIDATES: usize = 9;
const CHOICES: u64 = 32;

/// Choices with this seed before routing knew speeds.
const EXPECTED: [usize; CHOICES as usize] = [
    6, 0, 3, 6, 1, 0, 6, 3, 3, 4, 1, 8, 6, 7, 3, 2, 5, 7, 8, 5, 3, 4, 5, 4, 6, 6, 3, 3, 5, 2, 2, 0,
];

/// Returns the choices for requests that stay, with a load report after each and prefixes in half
/// of them.
fn choices(speeds: &UpstreamSpeeds) -> Vec<usize> {
    let candidates = candidates(CANDIDATES, 3);
    let options = Options {
        seed: 11,
        own_zone: Some(candidates[0].zone.clone()),
        ..Options::default()
    };
    let mut policy = CorrectedLoad::new(options);
    let mut chosen = Vec::new();
    for step in 0..CHOICES {
        let now_ms = 1_000 + 100 * step;
        let request = RouteRequest {
            prefix_hash: (step % 2 == 0).then_some(step % 6),
            tried: Vec::new(),
        };
        let chosen_index = policy.choose_by_speed(now_ms, &request, &candidates, speeds);
        let index = chosen_index.expect("a candidate");
        let upstream = candidates[index].upstream.clone();
        let sent = RoutingEvent::Sent {
            upstream: upstream.clone(),
            prefix_hash: request.prefix_hash,
        };
        policy.learn(now_ms, sent);
        let report = LoadReport {
            as_of_ms: now_ms,
            running: (step * 5 % 13) as u32,
            waiting: 0,
            slots: 8,
            checkpoints: Vec::new(),
        };
        policy.learn(now_ms + 20, RoutingEvent::Reported { upstream, report });
        chosen.push(index);
    }
    chosen
}

fn unknown() -> UpstreamSpeeds {
    UpstreamSpeeds::default()
}

fn usual() -> UpstreamSpeeds {
    let mut speeds = UpstreamSpeeds::default();
    for candidate in candidates(CANDIDATES, 3) {
        speeds.record_lasting(&candidate.upstream, 100);
        speeds.record_work(1_000, &candidate.upstream, 100);
    }
    speeds
}

/// Speeds that no longer hold: stated too long ago, corrected, or of a run that has ended.
fn outdated() -> UpstreamSpeeds {
    let mut speeds = UpstreamSpeeds::default();
    for candidate in candidates(CANDIDATES, 3) {
        speeds.record_lasting(&candidate.upstream, 55);
        speeds.record_lasting(&candidate.upstream, 100);
        speeds.record_work(400, &candidate.upstream, 250);
    }
    let first = &candidates(CANDIDATES, 3)[0].upstream;
    speeds.record_lasting(first, 55);
    speeds.record_work(1_000, first, 250);
    speeds.forget(first);
    speeds
}

/// Guards against other choices in a deployment whose engines have no speeds: a factor that is not
/// exactly one, or another draw of the random generator, changes all choices that follow.
#[rstest]
#[case::unknown_speeds(unknown())]
#[case::usual_speeds(usual())]
#[case::outdated_speeds(outdated())]
fn same_choices(#[case] speeds: UpstreamSpeeds) {
    assert_eq!(choices(&speeds), EXPECTED);
}

/// Guards against a policy that decides otherwise when it is used by name, without speeds.
#[test]
fn same_choices_of_trait() {
    let candidates = candidates(CANDIDATES, 3);
    let policy = || CorrectedLoad::new(Options::default());
    let (mut plain, mut by_speed) = (policy(), policy());
    for step in 0..200 {
        let request = RouteRequest::default();
        let chosen = plain.choose(step, &request, &candidates);
        let speeds = UpstreamSpeeds::default();
        let expected = by_speed.choose_by_speed(step, &request, &candidates, &speeds);
        assert_eq!(chosen, expected);
    }
}
