//! What is expected of an answer.

use apricotdale_core::origin::Origin;

/// What is known of the upstream that gives an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerSource {
    /// Process that writes the answer.
    pub origin: Origin,
    /// Version of the model's weights that the answer names.
    pub weights: Option<u64>,
}

/// Expectations on the answer to one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Whether a successful answer is an event stream.
    pub is_stream: bool,
    /// Whether another upstream may resume a stream that broke off.
    pub is_resumable: bool,
    /// ID of a stream's first event, or `None` if upstreams choose it freely.
    pub first_event: Option<u64>,
    /// ID of the last event that the caller has from an earlier answer, if any.
    pub last_event: Option<u64>,
    /// Origin of the events that the caller has from an earlier answer, if known.
    pub origin: Option<Origin>,
    /// Name of the event field that gives a new version of the model's weights.
    pub version_field: Option<&'static str>,
}
