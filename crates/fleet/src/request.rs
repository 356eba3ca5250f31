//! A caller's request as far as decisions look at it.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_organisations::PresentedKey;

/// `WantedModel` is the model, and the adapter of it, that a request names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WantedModel {
    /// The model.
    pub model: ModelName,
    /// The adapter, if the request names one.
    pub adapter: Option<ModelName>,
}

/// `PromptPart` is one part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// `ServingRequest` is a caller's request, decoded from whatever format it came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingRequest {
    /// The identity of this try of the caller; the caller's own retries have others.
    pub id: RequestId,
    /// The host that it names.
    pub host: String,
    /// The path and query.
    pub target: String,
    /// How long the caller will wait, if it says so.
    pub answer_timeout_ms: Option<u64>,
    /// The model, for a request to model engines.
    pub model: Option<WantedModel>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that are generated.
    pub output_tokens: u32,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The key that the caller presents.
    pub key: PresentedKey,
}

impl ServingRequest {
    /// Returns the tokens that the request says, prompt and output together.
    pub fn tokens(&self) -> Option<u64> {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        (tokens > 0).then_some(tokens)
    }
}
