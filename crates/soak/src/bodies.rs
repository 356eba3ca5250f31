//! Bodies of streams, and of the VMs' refusals.

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::SiteRequest;
use serde_json::Value;

/// Beginning of the bodies that no two streams share.
const OWN_BODY_MARK: &str = "prompt of ";

/// Returns the body of a stream that no other has.
pub(crate) fn own_body(id: &str) -> String {
    format!("{OWN_BODY_MARK}{id}")
}

pub(crate) fn has_own_body(request: &SiteRequest) -> bool {
    request.body.starts_with(OWN_BODY_MARK.as_bytes())
}

/// Returns the reason that a VM's refusal states; none for other answers.
pub(crate) fn refusal_reason(answer: &Answer) -> Option<String> {
    let body: Value = serde_json::from_slice(&answer.body).ok()?;
    let reason = body["error"].as_str().map(str::to_owned);
    reason.filter(|_| !answer.is_success())
}
