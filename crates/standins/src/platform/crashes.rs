//! Requests that make engines crash.

use crate::http::Request;
use crate::platform::answers::contains;

/// What marks a request that makes an engine crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashMarker {
    /// Bytes in the request's body.
    Body(Vec<u8>),
    /// Part of the prompt that is not its last.
    PromptPart {
        /// ID of the part, in hexadecimal digits.
        id: String,
        /// Model that crashes on it; `None` for all models.
        model: Option<String>,
    },
}

impl CrashMarker {
    pub(crate) fn matches(&self, request: &Request) -> bool {
        match self {
            Self::Body(bytes) => contains(&request.body, bytes),
            Self::PromptPart { id, model } => {
                let parts = request.header("Apricotdale-Prompt-Prefix");
                let (shared, _) = parts
                    .unwrap_or_default()
                    .rsplit_once(',')
                    .unwrap_or_default();
                let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
                let wanted = request.header("Apricotdale-Model").unwrap_or_default();
                let wanted = wanted.split('/').next();
                ids.any(|it| it == id) && model.as_deref().is_none_or(|it| Some(it) == wanted)
            }
        }
    }
}

/// Request that makes an engine crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashTrigger {
    /// What marks the request.
    pub marker: CrashMarker,
    /// Number of events that are sent before the crash.
    pub after_events: u64,
    /// Milliseconds from the start of the request to its first event, or to the crash without one.
    pub after_ms: u64,
}
