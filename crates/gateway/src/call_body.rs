//! What the gateway reads of the body of a call to a model. The engine gets the body as it came.

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

/// `CallBody` is what a call to a model names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallBody {
    /// The model or adapter.
    pub(crate) model: ModelName,
    /// Whether the answer is a stream of events.
    pub(crate) stream: bool,
    /// The hash of the prompt's prefix.
    pub(crate) prefix_hash: Option<u64>,
}

impl CallBody {
    /// Returns what a body names.
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
