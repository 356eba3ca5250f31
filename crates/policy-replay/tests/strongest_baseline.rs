//! Choice of the baseline run with which a measure is compared.

use apricotdale_policy_replay::case::Case;
use apricotdale_policy_replay::compare::Comparison;
use apricotdale_policy_replay::compare::Line;
use apricotdale_policy_replay::measures::Results;

fn results(met: f64, idle: f64, cold_ms: f64) -> Results {
    let entries = [
        ("met_share", met),
        ("idle_accelerator_hours", idle),
        ("cold_start_p99_ms", cold_ms),
    ];
    Results::new(
        entries
            .map(|(name, value)| (name.to_owned(), value))
            .to_vec(),
    )
}

fn line(chosen: Results, measure: &str) -> Line {
    let comparison = Comparison {
        deployment: "d".to_owned(),
        case: Case::Usual,
        baselines: vec![
            (1, results(0.90, 10.0, 40.0)),
            (2, results(0.95, 50.0, 30.0)),
            (3, results(0.99, 90.0, 35.0)),
        ],
        chosen,
        idle_floor_hours: 0.0,
    };
    let mut lines = comparison.lines().into_iter();
    lines.find(|line| line.measure == measure).unwrap()
}

#[test]
fn lowest_value_best() {
    assert_eq!(
        line(results(0.95, 20.0, 10.0), "cold_start_p99_ms").timeout_ms,
        2
    );
}

#[test]
fn highest_share_best() {
    assert_eq!(line(results(0.95, 20.0, 10.0), "met_share").timeout_ms, 3);
}

#[test]
fn idle_hours_eligible() {
    let line = line(results(0.95, 20.0, 10.0), "idle_accelerator_hours");
    assert_eq!((line.timeout_ms, line.baseline), (2, 50.0));
    assert_eq!(line.ratio(), 0.4);
}

#[test]
fn idle_hours_fallback() {
    assert_eq!(
        line(results(0.999, 20.0, 10.0), "idle_accelerator_hours").timeout_ms,
        3
    );
}
