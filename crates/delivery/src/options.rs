//! What is expected of an answer.

/// `Options` is what is expected of the answer to one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Whether a success is a stream of events.
    pub is_stream: bool,
    /// Whether a stream that broke off may go on at another upstream.
    pub is_resumable: bool,
    /// The number of a stream's first event, where upstreams keep to one.
    pub first_event: Option<u64>,
    /// The last event that the caller has from an earlier answer.
    pub last_event: Option<u64>,
    /// The field of an event that names a new version of the model's weights.
    pub version_field: Option<&'static str>,
}
