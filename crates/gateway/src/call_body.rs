//! Fields that the gateway reads from the body of a model call. The engine receives the body
//! unchanged.

use apricotdale_core::names::ModelName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Deserialize)]
struct Fields<'a> {
    model: String,
    stream: Option<bool>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// Fields of the body of a model call that the gateway acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallBody {
    /// Model or adapter that is called.
    pub(crate) model: ModelName,
    /// Whether the caller asks for an event stream. False if the body does not say.
    pub(crate) stream: bool,
    /// Hash of the first bytes of `messages`, or else of `prompt`. None if the body has neither.
    pub(crate) prefix_hash: Option<u64>,
}

impl CallBody {
    /// Parses a body and hashes at most `prefix_bytes` of its prompt.
    ///
    /// # Errors
    ///
    /// A `BadRequest` refusal, if the body is not JSON or names no model.
    pub(crate) fn parse(body: &[u8], prefix_bytes: usize) -> Result<Self, Refusal> {
        let fields: Fields<'_> = serde_json::from_slice(body).map_err(|error| {
            let detail = format!("the body is not a call to a model: {error}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        let prompt = fields.messages.or(fields.prompt).map(RawValue::get);
        Ok(Self {
            model: ModelName::from(fields.model),
            stream: fields.stream.unwrap_or(false),
            prefix_hash: prompt.map(|text| hash_prefix(text.as_bytes(), prefix_bytes)),
        })
    }
}

fn hash_prefix(prompt: &[u8], prefix_bytes: usize) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(prefix_bytes)])
}
