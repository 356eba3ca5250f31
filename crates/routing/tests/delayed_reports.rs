//! Routing by delayed load reports, in simulations of many VMs and by single events.

use rstest::rstest;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;

mod support;

use support::Fleet;
use support::candidates;
use support::simulate;

fn report(policy: &mut CorrectedLoad, now_ms: u64, to: &Candidate, as_of_ms: u64, running: u32) {
    let report = LoadReport {
        as_of_ms,
        running,
        waiting: 0,
        slots: 8,
        checkpoints: Vec::new(),
    };
    let upstream = to.upstream.clone();
    policy.learn(now_ms, RoutingEvent::Reported { upstream, report });
}

fn send(policy: &mut CorrectedLoad, now_ms: u64, candidates: &[Candidate]) -> usize {
    let chosen = policy.choose(now_ms, &RouteRequest::default(), candidates);
    let chosen = chosen.expect("a candidate");
    let sent = RoutingEvent::Sent {
        upstream: candidates[chosen].upstream.clone(),
        prefix_hash: None,
    };
    policy.learn(now_ms, sent);
    chosen
}

fn share_of_first(policy: &mut CorrectedLoad, now_ms: u64, candidates: &[Candidate]) -> f64 {
    let choices = (0..400).map(|_| policy.choose(now_ms, &RouteRequest::default(), candidates));
    choices.filter(|chosen| *chosen == Some(0)).count() as f64 / 400.0
}

/// Guards against engines whose queues grow one after another while the others are idle. Many VMs
/// read the same report, draw the same conclusion, and all send to the engine that looks best until
/// the next report.
#[rstest]
#[case::few_vms(7, 2_000)]
#[case::many_vms(50, 2_000)]
#[case::delayed_reports(7, 20_000)]
#[case::many_vms_delayed_reports(50, 10_000)]
fn no_herding(#[case] vms: usize, #[case] report_lag_ms: u64) {
    let fleet = Fleet {
        vms,
        report_lag_ms,
        ..Fleet::default()
    };
    let results = simulate(&fleet);
    assert!(
        results.longest_queue <= 3 * fleet.slots as usize,
        "{}",
        results.longest_queue
    );
    assert!(results.wait_ms(99) <= 1_200, "{} ms", results.wait_ms(99));
    let baseline = simulate(&Fleet {
        policy: "least_reported",
        ..fleet
    });
    assert!(baseline.longest_queue > 10 * results.longest_queue);
}

/// Guards against sending as much to engines that are busy with other systems' requests as to idle
/// ones. A third of the engines is busy all the time, and each VM has too few requests to notice
/// that without the reports.
#[test]
fn lasting_load() {
    let background = (0..6).map(|engine| (engine, 0.6)).collect();
    let fleet = Fleet {
        vms: 50,
        load: 0.7,
        background,
        ..Fleet::default()
    };
    let results = simulate(&fleet);
    assert!(results.wait_ms(95) <= 1_800, "{} ms", results.wait_ms(95));
    let busy: u32 = results.sent[..6].iter().sum();
    assert!(
        f64::from(busy) < 0.25 * f64::from(results.requests()),
        "{busy}"
    );
}

#[test]
fn unreported_requests() {
    let candidates = candidates(4, 1);
    let mut policy = CorrectedLoad::new(Options::default());
    for candidate in &candidates {
        report(&mut policy, 1_000, candidate, 900, 0);
    }
    let mut sent = [0; 4];
    for _ in 0..20 {
        sent[send(&mut policy, 1_000, &candidates)] += 1;
    }
    assert_eq!(sent, [5; 4]);
}

#[test]
fn lasting_high_reports() {
    let candidates = candidates(4, 1);
    let mut policy = CorrectedLoad::new(Options::default());
    let mut shares = Vec::new();
    for second in 1..=20 {
        let now_ms = second * 1_000;
        for (index, candidate) in candidates.iter().enumerate() {
            let running = if index == 0 { 16 } else { 2 };
            report(&mut policy, now_ms + 5_000, candidate, now_ms, running);
        }
        shares.push(share_of_first(&mut policy, now_ms + 60_000, &candidates));
    }
    assert!((0.15..0.35).contains(&shares[0]), "{shares:?}");
    assert!(shares[19] < 0.12, "{shares:?}");
}

#[test]
fn older_report() {
    let candidates = candidates(2, 1);
    let options = Options {
        fresh_gain: 10.0,
        ..Options::default()
    };
    let mut policy = CorrectedLoad::new(options);
    for candidate in &candidates {
        report(&mut policy, 10_000, candidate, 10_000, 0);
    }
    report(&mut policy, 10_100, &candidates[0], 9_900, 16);
    let share = share_of_first(&mut policy, 10_100, &candidates);
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against an engine that gets no requests, or all, for hours after a restart that set its
/// clock back: its reports have earlier times than the last one before the restart.
#[test]
fn clock_set_back() {
    let candidates = candidates(2, 1);
    let options = Options {
        fresh_gain: 10.0,
        max_lag_ms: 30_000,
        ..Options::default()
    };
    let mut policy = CorrectedLoad::new(options);
    report(&mut policy, 100_000, &candidates[0], 100_000, 16);
    report(&mut policy, 100_000, &candidates[1], 100_000, 0);
    report(&mut policy, 140_000, &candidates[0], 99_900, 0);
    report(&mut policy, 140_000, &candidates[1], 140_000, 0);
    let share = share_of_first(&mut policy, 140_000, &candidates);
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against trusting reports as if they were new because their times are on another clock,
/// such as Unix time instead of this VM's monotonic clock, and lie in the future.
#[test]
fn report_from_future() {
    let share_with = |as_of_ms: u64| {
        let candidates = candidates(2, 1);
        let mut policy = CorrectedLoad::new(Options::default());
        report(&mut policy, 10_000, &candidates[0], as_of_ms, 16);
        report(&mut policy, 10_000, &candidates[1], as_of_ms, 0);
        share_of_first(&mut policy, 10_000, &candidates)
    };
    let fresh = share_with(10_000);
    let delayed = share_with(10_000 - Options::default().assumed_lag_ms);
    assert!(fresh + 0.1 < delayed, "{fresh} {delayed}");
    assert_eq!(share_with(1_790_000_000_000), delayed);
}
