//! Agreement of `docs/OPERATIONS.md` with the refusal reasons and the metrics.

use std::fs;
use std::path::Path;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use apricotdale_telemetry::Metrics;

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    fs::read_to_string(path).expect("the page can be read")
}

fn section(title: &str) -> String {
    let page = page();
    let section = page.split(&format!("\n## {title}\n")).nth(1);
    let section = section.expect("the page has the section");
    section.split("\n## ").next().unwrap_or_default().to_owned()
}

#[test]
fn refusal_reasons_documented() {
    let refusals = section("Refusals");
    for reason in RefusalReason::ALL {
        assert!(
            refusals.contains(&format!("\n| `{reason}` |")),
            "{reason} is missing"
        );
    }
}

/// Returns metrics with at least one series in each family, since empty families are not rendered.
fn metrics_with_all_families() -> Metrics {
    let metrics = Metrics::new();
    let class = ClassName::new("quick");
    metrics.set_classes([&class]);
    metrics.set_groups([&GroupName::new("telaio")]);
    metrics.node().set_verdicts(["configured"]);
    metrics.node().set_peer_rejections(["bad_tag"]);
    metrics.node().record_load(CacheTier::Disk, 1);
    metrics.observe(&ServingEvent::Answered {
        class: class.clone(),
        first_answer_ms: 1,
        total_ms: 1,
        met: true,
    });
    let wait_ms = 1;
    metrics.observe(&ServingEvent::QueueWait {
        class: class.clone(),
        wait_ms,
    });
    metrics.observe(&ServingEvent::ColdStart { class, wait_ms });
    metrics
}

#[test]
fn documented_metrics_exist() {
    let text = metrics_with_all_families().render();
    let rows = section("What to watch");
    let rows = rows.lines().filter(|line| line.starts_with("| `"));
    let mut names = 0;
    for row in rows {
        let first = row.split('|').nth(1).unwrap_or_default();
        for quoted in first.split('`').skip(1).step_by(2) {
            let name = quoted.split('{').next().unwrap_or_default();
            if name.is_empty() || name.starts_with('"') {
                continue;
            }
            let family = name.trim_end_matches("_total");
            assert!(
                text.contains(&format!("# TYPE apricotdale_{family} ")),
                "{name} is not a metric"
            );
            names += 1;
        }
    }
    assert!(names >= 15, "only {names} metrics are documented");
}
