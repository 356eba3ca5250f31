//! Effect of each serving event on the metrics, and the bound on the number of series.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use apricotdale_telemetry::AppendOutcome;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::StreamKind;
use rstest::rstest;

fn metrics() -> Metrics {
    let metrics = Metrics::new();
    metrics.set_classes([&ClassName::new("quick")]);
    metrics.set_groups([&GroupName::new("telaio")]);
    metrics
}

fn refused(class: Option<&str>, ran: Ran) -> ServingEvent {
    let mut refusal = Refusal::not_run(RefusalReason::Overloaded, "9 requests wait");
    refusal.ran = ran;
    ServingEvent::Refused {
        class: class.map(ClassName::new),
        refusal,
    }
}

fn retry(group: &str, decision: RetryDecision) -> ServingEvent {
    ServingEvent::Retry {
        group: GroupName::new(group),
        decision,
        ran: Ran::NotRun,
    }
}

fn answered(met: bool) -> ServingEvent {
    ServingEvent::Answered {
        class: ClassName::new("quick"),
        first_answer_ms: 1_300,
        total_ms: 4_000,
        met,
    }
}

fn cold_start() -> ServingEvent {
    ServingEvent::ColdStart {
        class: ClassName::new("quick"),
        wait_ms: 2_500,
    }
}

const REFUSALS: &str = "apricotdale_refusals_total{reason=\"overloaded\"";
const RETRIES: &str = "apricotdale_retry_decisions_total";

#[rstest]
#[case(refused(Some("quick"), Ran::NotRun), format!("{REFUSALS},ran=\"not_run\",class=\"quick\"}} 1"))]
#[case(refused(Some("quick"), Ran::Unknown), format!("{REFUSALS},ran=\"unknown\",class=\"quick\"}} 1"))]
#[case(refused(None, Ran::Ran), format!("{REFUSALS},ran=\"ran\",class=\"none\"}} 1"))]
#[case(refused(Some("made-up"), Ran::NotRun), format!("{REFUSALS},ran=\"not_run\",class=\"other\"}} 1"))]
#[case(
    retry("telaio", RetryDecision::RetryAfterMs(20)),
    format!("{RETRIES}{{decision=\"retry\",ran=\"not_run\",group=\"telaio\"}} 1"),
)]
#[case(
    retry("made-up", RetryDecision::MayHaveRun),
    format!("{RETRIES}{{decision=\"may_have_run\",ran=\"not_run\",group=\"other\"}} 1"),
)]
#[case(answered(true), "apricotdale_answered_total{class=\"quick\",target=\"met\"} 1".to_owned())]
#[case(answered(false), "apricotdale_answered_total{class=\"quick\",target=\"missed\"} 1".to_owned())]
#[case(
    answered(true),
    "apricotdale_first_answer_seconds_bucket{le=\"1.3\",class=\"quick\"} 1".to_owned(),
)]
#[case(answered(true), "apricotdale_answer_seconds_sum{class=\"quick\"} 4.0".to_owned())]
#[case(cold_start(), "apricotdale_cold_start_seconds_sum{class=\"quick\"} 2.5".to_owned())]
#[case(
    ServingEvent::InterToken { gap_us: 62_000 },
    "apricotdale_inter_token_seconds_bucket{le=\"0.062\"} 1".to_owned(),
)]
fn event_counted(#[case] event: ServingEvent, #[case] line: String) {
    let metrics = metrics();
    metrics.observe(&event);
    let text = metrics.render();
    assert!(
        text.lines().any(|other| other == line),
        "no line {line:?} in\n{text}"
    );
}

#[test]
fn daemon_state() {
    let metrics = metrics();
    let node = metrics.node();
    node.set_log_read_age_ms(2_500);
    node.set_draining(true);
    node.add_idle_accelerator_ms(1_500);
    node.record_append(StreamKind::Claims, AppendOutcome::Unknown);
    node.record_load(CacheTier::Disk, 4_000);
    node.set_log_lines_dropped(5);
    node.set_log_lines_dropped(3);
    node.set_verdicts(["accepted"]);
    node.record_replayed("accepted");
    node.record_replayed("stale_epoch");
    let text = metrics.render();
    for line in [
        "apricotdale_log_read_age_seconds 2.5",
        "apricotdale_draining 1",
        "apricotdale_idle_accelerator_seconds_total 1.5",
        "apricotdale_log_appends_total{stream=\"claims\",outcome=\"unknown\"} 1",
        "apricotdale_model_load_seconds_sum{tier=\"disk\"} 4.0",
        "apricotdale_log_lines_dropped_total 5",
        "apricotdale_control_records_total{verdict=\"accepted\"} 1",
        "apricotdale_control_records_total{verdict=\"stale_epoch\"} 1",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "no line {line:?} in\n{text}"
        );
    }
}

/// Guards against metrics that grow until the VM runs out of memory: a caller who sends a new class
/// with each request must not add a series with each refusal.
#[test]
fn caller_adds_no_series() {
    let metrics = metrics();
    metrics.observe(&refused(Some("made-up"), Ran::NotRun));
    let before = metrics.render().lines().count();
    for number in 0..1_000 {
        metrics.observe(&refused(Some(&format!("made-up-{number}")), Ran::NotRun));
    }
    assert_eq!(metrics.render().lines().count(), before);
}

#[test]
fn class_limit() {
    let metrics = Metrics::new();
    let classes: Vec<ClassName> = (0..200).map(|n| ClassName::from(format!("c{n}"))).collect();
    metrics.set_classes(&classes);
    let text = metrics.render();
    let classes = text.matches("apricotdale_refusals_total{reason=\"overloaded\",ran=\"not_run\"");
    assert_eq!(classes.count(), 64 + 2);
}
