//! Matching of the outcomes of requests with the endings that a scenario demands.

use crate::ast::Ending;
use crate::ast::RefusalPattern;
use apricotdale_launcher::answer::Outcome;
use apricotdale_launcher::answer::RefusedAnswer;

/// Returns whether the outcome of a request matches an ending.
pub(super) fn matches_ending(outcome: &Outcome, ending: &Ending) -> bool {
    match (ending, outcome) {
        (Ending::Ended, _) => true,
        (Ending::Whole(None), outcome) => outcome.is_whole(),
        (Ending::Whole(Some(status)), Outcome::Whole { head, .. }) => head.status == *status,
        (Ending::Refused(pattern), Outcome::Refused { refusal, .. }) => {
            matches(pattern, Some(refusal))
        }
        (Ending::Cut(pattern), Outcome::Cut { refusal, .. }) => matches(pattern, refusal.as_ref()),
        (Ending::Lost, Outcome::Cut { refusal, .. }) => refusal.is_none(),
        (Ending::Lost, Outcome::NoAnswer(_)) => true,
        (Ending::Answered, Outcome::Refused { .. }) => true,
        (Ending::Answered, outcome) => outcome.is_whole(),
        _ => false,
    }
}

fn matches(pattern: &RefusalPattern, refusal: Option<&RefusedAnswer>) -> bool {
    let says = |wanted: &Option<String>, found: Option<&String>| match wanted {
        Some(wanted) => found == Some(wanted),
        None => true,
    };
    says(&pattern.reason, refusal.map(|refusal| &refusal.reason))
        && says(&pattern.ran, refusal.map(|refusal| &refusal.ran))
}
