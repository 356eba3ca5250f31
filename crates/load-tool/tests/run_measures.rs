//! Results computed from the records of a run.

use std::path::Path;
use std::time::Duration;

use rstest::rstest;

use apricotdale_launcher::answer::RefusedAnswer;
use apricotdale_load_tool::load::daemon_counts::DaemonCounts;
use apricotdale_load_tool::load::effects::Effects;
use apricotdale_load_tool::load::effects::KilledVm;
use apricotdale_load_tool::load::measures::Evaluation;
use apricotdale_load_tool::load::measures::RunData;
use apricotdale_load_tool::load::options::LoadOptions;
use apricotdale_load_tool::load::record::Ending;
use apricotdale_load_tool::load::record::Record;
use apricotdale_load_tool::load::scale::Scale;
use apricotdale_load_tool::load::schedule::PlannedRequest;
use apricotdale_load_tool::load::schedule::Work;
use apricotdale_load_tool::load::timeline::HeldModel;
use apricotdale_load_tool::load::timeline::Timeline;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::trace;

const WARM_UP_MS: u64 = 10_000;
const ARRIVAL_MS: u64 = 20_000;
const QUICK_TARGET_MS: u64 = 625;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn planned(at_ms: u64) -> PlannedRequest {
    PlannedRequest {
        at: ms(at_ms),
        vm: 0,
        class: 0,
        caller: 0,
        work: Work::Completion {
            model: 0,
            prefix: 0,
            tokens: 3,
            stream: true,
        },
        is_duplicate: false,
    }
}

/// Returns the record of a request sent 5 ms late, with the first token `first_ms` after its
/// scheduled arrival.
fn record(first_ms: u64) -> Record {
    Record {
        planned: 0,
        vm: 0,
        sent: ms(ARRIVAL_MS + 5),
        first: Some(ms(ARRIVAL_MS + first_ms)),
        ended: ms(ARRIVAL_MS + first_ms + 25),
        gaps_us: vec![12_000, 13_000],
        identity: "req-1".to_owned(),
        engine: Some("engine1".to_owned()),
        resends: 0,
        retry_after: None,
        is_caller_retry: false,
        ending: Ending::Whole,
    }
}

fn refused(first: &Record) -> Record {
    Record {
        first: None,
        ending: Ending::Refused(RefusedAnswer {
            reason: "overloaded".to_owned(),
            ran: "not_run".to_owned(),
        }),
        ..first.clone()
    }
}

fn data(planned: PlannedRequest, records: Vec<Record>) -> RunData {
    RunData {
        schedule: vec![planned],
        records,
        timeline: Timeline::default(),
        effects: Effects::default(),
        counts: DaemonCounts::default(),
        killed: None,
    }
}

/// Returns the results with the given names, and zero for a name without a result.
fn results<const N: usize>(data: &RunData, names: [&str; N]) -> [f64; N] {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deployment = Deployment::read(&folder.join("../policy-replay/deployments/scaravilli.ini"))
        .expect("the deployment can be read");
    let options = LoadOptions {
        speed: 4.0,
        warm_up: ms(WARM_UP_MS),
        measured: ms(50_000),
        ..LoadOptions::default()
    };
    let trace = trace(&deployment, 1, 1, None);
    let scale = Scale::new(&options);
    let results = Evaluation::new(&deployment, &trace, &scale, data).results();
    names.map(|name| {
        let found = results.iter().find(|(known, _)| known == name);
        found.map_or(0.0, |(_, value)| *value)
    })
}

#[test]
fn latency_from_schedule() {
    let data = data(planned(ARRIVAL_MS), vec![record(100)]);
    let [first_ms, gap_ms] = results(&data, ["first_token_p95_ms", "inter_token_p95_ms"]);
    assert!((first_ms - 100.0).abs() < 1.0, "{first_ms}");
    assert!((gap_ms - 13.0).abs() < 0.1, "{gap_ms}");
}

#[rstest]
#[case::in_time(QUICK_TARGET_MS, 1.0, 0.0)]
#[case::too_late(QUICK_TARGET_MS + 1, 0.0, 0.0)]
#[case::long_after(QUICK_TARGET_MS + 1_000, 0.0, 1.0)]
fn target_met_share(#[case] first_ms: u64, #[case] met: f64, #[case] overdue: f64) {
    let data = data(planned(ARRIVAL_MS), vec![record(first_ms)]);
    let names = ["met_share.quick", "met_share", "overdue_share"];
    assert_eq!(results(&data, names), [met, met, overdue]);
}

#[test]
fn caller_retries_excluded() {
    let first = refused(&record(1));
    let second = Record {
        is_caller_retry: true,
        ..record(1)
    };
    let data = data(planned(ARRIVAL_MS), vec![first, second]);
    let names = [
        "requests",
        "met_share",
        "refused_share",
        "refused_share.overloaded",
    ];
    assert_eq!(results(&data, names), [1.0, 0.0, 1.0, 1.0]);
}

#[rstest]
#[case::measured(planned(ARRIVAL_MS), 1.0)]
#[case::in_the_warm_up(planned(WARM_UP_MS - 1), 0.0)]
#[case::duplicate(PlannedRequest { is_duplicate: true, ..planned(ARRIVAL_MS) }, 0.0)]
fn measured_requests_only(#[case] planned: PlannedRequest, #[case] expected: f64) {
    let data = data(planned, vec![record(1)]);
    assert_eq!(results(&data, ["requests"]), [expected]);
}

#[test]
fn killed_vm_losses() {
    let lost = Record {
        first: None,
        ending: Ending::NoAnswer(String::new()),
        ..record(100)
    };
    let mut data = data(planned(ARRIVAL_MS), vec![lost]);
    assert_eq!(results(&data, ["lost_with_vm"]), [0.0]);
    data.killed = Some(KilledVm {
        vm: 0,
        from: ms(ARRIVAL_MS + 50),
        to: ms(ARRIVAL_MS + 60),
    });
    assert_eq!(results(&data, ["lost_with_vm"]), [1.0]);
}

#[test]
fn refused_cold_start() {
    let mut data = data(planned(ARRIVAL_MS), vec![refused(&record(1))]);
    let held = HeldModel {
        model: "model-000".to_owned(),
        loaded: true,
        bytes: 1,
    };
    let names = [
        "cold_start_p99_ms",
        "cold_start_share",
        "cold_starts_never_loaded",
    ];
    data.timeline.record(ms(0), "engine1", Vec::new());
    data.timeline
        .record(ms(ARRIVAL_MS + 4_000), "engine1", Vec::new());
    let [wait_ms, share, never] = results(&data, names);
    assert!((wait_ms - 4_000.0).abs() < 5.0, "{wait_ms}");
    assert_eq!([share, never], [1.0, 1.0]);
    data.timeline
        .record(ms(ARRIVAL_MS + 5_000), "engine1", vec![held.clone()]);
    data.timeline
        .record(ms(ARRIVAL_MS + 6_000), "engine1", vec![held]);
    let [wait_ms, share, never] = results(&data, names);
    assert!((wait_ms - 5_000.0).abs() < 5.0, "{wait_ms}");
    assert_eq!([share, never], [1.0, 0.0]);
}
