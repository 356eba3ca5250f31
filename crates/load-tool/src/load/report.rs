//! Printed comparison of two runs of a case.

use apricotdale_policy_replay::compare::Line;

use crate::load::case::Case;
use crate::load::measures::Results;
use crate::load::run::RunReport;

/// Returns a line for each measure of a case, with the values under both sets of policies.
pub fn comparison(
    deployment: &str,
    case: Case,
    baseline: &RunReport,
    chosen: &RunReport,
) -> Vec<String> {
    let (baseline_results, chosen_results) = (with_effects(baseline), with_effects(chosen));
    names(&baseline_results, &chosen_results)
        .into_iter()
        .map(|name| {
            let line = Line {
                baseline: value(&baseline_results, &name),
                chosen: value(&chosen_results, &name),
                measure: name,
                timeout_ms: 0,
            };
            format!(
                "measure={} deployment={deployment} case={} baseline={:.4} chosen={:.4} \
                 ratio={:.3}",
                line.measure,
                case.as_str(),
                line.baseline,
                line.chosen,
                line.ratio(),
            )
        })
        .collect()
}

/// Returns the results, followed by the number of violations of each invariant.
fn with_effects(report: &RunReport) -> Results {
    let effects = report.violations.entries().into_iter();
    let effects = effects.map(|(name, count)| (format!("effects.{name}"), count as f64));
    report.results.iter().cloned().chain(effects).collect()
}

/// Returns the names in either set of results, in the order of `baseline_results`; names only in `chosen_results`
/// follow their predecessor there. A refusal reason may occur in only one of the sets.
fn names(baseline_results: &Results, chosen_results: &Results) -> Vec<String> {
    let mut names: Vec<String> = baseline_results
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    for (index, (name, _)) in chosen_results.iter().enumerate() {
        if names.contains(name) {
            continue;
        }
        let previous = index
            .checked_sub(1)
            .map(|previous| &chosen_results[previous].0);
        let position = previous.and_then(|previous| names.iter().position(|name| name == previous));
        names.insert(position.map_or(0, |position| position + 1), name.clone());
    }
    names
}

fn value(results: &Results, name: &str) -> f64 {
    let found = results.iter().find(|(known, _)| known == name);
    found.map_or(0.0, |(_, value)| *value)
}
