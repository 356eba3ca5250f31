//! Series that exist with the value zero from the start.
//!
//! A series that first appears with its first event has no earlier value, so a rate over it misses
//! that event.

use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_telemetry::AppendOutcome;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::OrderKind;
use apricotdale_telemetry::OrderOutcome;
use apricotdale_telemetry::ReplicaGauge;
use apricotdale_telemetry::StreamKind;
use rstest::rstest;

fn assert_zero(text: &str, series: &str) {
    let line = format!("{series} 0");
    assert!(
        text.lines().any(|other| other == line),
        "no line {line:?} in\n{text}"
    );
}

#[rstest]
#[case("none", "not_run")]
#[case("none", "ran")]
#[case("none", "unknown")]
#[case("quick", "not_run")]
fn refusal_series_at_zero(#[case] class: &str, #[case] ran: &str) {
    let metrics = Metrics::new();
    metrics.set_classes([&ClassName::new("quick")]);
    let text = metrics.render();
    for reason in RefusalReason::ALL {
        let labels = format!("reason=\"{reason}\",ran=\"{ran}\",class=\"{class}\"");
        assert_zero(&text, &format!("apricotdale_refusals_total{{{labels}}}"));
    }
}

#[rstest]
#[case("retry")]
#[case("may_have_run")]
#[case("answer_begun")]
#[case("budget_spent")]
#[case("too_many_tries")]
#[case("no_time_left")]
fn retry_series_at_zero(#[case] decision: &str) {
    let metrics = Metrics::new();
    metrics.set_groups([&GroupName::new("telaio")]);
    let text = metrics.render();
    for ran in ["not_run", "ran", "unknown"] {
        let labels = format!("decision=\"{decision}\",ran=\"{ran}\",group=\"telaio\"");
        assert_zero(
            &text,
            &format!("apricotdale_retry_decisions_total{{{labels}}}"),
        );
    }
}

#[test]
fn daemon_series_at_zero() {
    let metrics = Metrics::new();
    metrics.node().set_verdicts(["accepted", "stale_epoch"]);
    metrics.node().set_peer_rejections(["bad_signature"]);
    let text = metrics.render();
    for stream in StreamKind::ALL {
        for outcome in AppendOutcome::ALL {
            let labels = format!(
                "stream=\"{}\",outcome=\"{}\"",
                stream.as_str(),
                outcome.as_str()
            );
            assert_zero(&text, &format!("apricotdale_log_appends_total{{{labels}}}"));
        }
    }
    for order in OrderKind::ALL {
        for outcome in OrderOutcome::ALL {
            let labels = format!(
                "order=\"{}\",outcome=\"{}\"",
                order.as_str(),
                outcome.as_str()
            );
            assert_zero(
                &text,
                &format!("apricotdale_engine_orders_total{{{labels}}}"),
            );
        }
    }
    for state in ReplicaGauge::ALL {
        let state = state.as_str();
        assert_zero(&text, &format!("apricotdale_replicas{{state=\"{state}\"}}"));
    }
    assert_zero(
        &text,
        "apricotdale_control_records_total{verdict=\"stale_epoch\"}",
    );
    assert_zero(
        &text,
        "apricotdale_peer_messages_rejected_total{reason=\"bad_signature\"}",
    );
    assert_zero(&text, "apricotdale_log_lines_dropped_total");
    assert!(text.ends_with("# EOF\n"));
}
