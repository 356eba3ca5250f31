//! The properties of a caller's request that decisions depend on.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_organisations::PresentedKey;

/// Model, and optionally one of its adapters, that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WantedModel {
    /// Base model.
    pub model: ModelName,
    /// Adapter of the model; `None` for the base model alone.
    pub adapter: Option<ModelName>,
}

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part, equal for equal content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Caller's request, independent of the format that it arrived in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingRequest {
    /// Identity of this attempt by the caller; the caller's own retries have others.
    pub id: RequestId,
    /// Host that the request names.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Time in milliseconds for which the caller will wait for the answer; `None` if not stated.
    pub answer_timeout_ms: Option<u64>,
    /// Requested model; `None` for a request to a service without engines.
    pub model: Option<WantedModel>,
    /// Length of the prompt in tokens; 0 if not stated.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens; 0 if not stated.
    pub output_tokens: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// ID of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Request that brought the first event, if the caller names it as it resumes a stream.
    pub resumes: Option<RequestId>,
    /// API key that the caller presents, if any.
    pub key: PresentedKey,
}

impl ServingRequest {
    /// Returns the stated tokens of prompt and output together; `None` if the request states none.
    pub fn tokens(&self) -> Option<u64> {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        (tokens > 0).then_some(tokens)
    }
}
