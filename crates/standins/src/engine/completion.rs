//! Completion requests and the bodies of their answers, in OpenAI's format.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Number of bytes of a prompt's JSON text that make up its prefix.
pub const PREFIX_BYTES: usize = 256;

const DEFAULT_MAX_TOKENS: u32 = 16;

/// Returns the hash of a prompt's prefix: of the first [`PREFIX_BYTES`] bytes of the JSON text of
/// the body's `messages` or, where there are none, of its `prompt`, as the caller wrote it.
pub fn prefix_hash(prompt_json: &str) -> u64 {
    let prefix = prompt_json.as_bytes();
    xxh3_64(&prefix[..prefix.len().min(PREFIX_BYTES)])
}

/// Returns the text of a request's token with the given number, from zero. The text names the
/// request, so that a test can tell which request an answer belongs to.
pub fn token(id: &RequestId, number: u32) -> String {
    format!("tok-{id}-{number} ")
}

/// API format of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// Body of a completion request.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: ModelName,
    #[serde(default)]
    pub(crate) stream: bool,
    prompt: Option<Box<RawValue>>,
    messages: Option<Box<RawValue>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Writer of the bodies of one request's answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) id: RequestId,
    pub(crate) format: Format,
    pub(crate) model: ModelName,
    pub(crate) engine: String,
    pub(crate) created_s: u64,
}

impl CompletionBody {
    /// Returns the number of tokens to generate, at least one.
    pub(crate) fn max_tokens(&self) -> u32 {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        requested.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }

    /// Returns whether a stream ends with an event that reports the token usage.
    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options.include_usage
    }

    /// Returns the JSON text of the messages or the prompt.
    pub(crate) fn prompt_json(&self) -> &str {
        let prompt = self.messages.as_ref().or(self.prompt.as_ref());
        prompt.map_or("", |text| text.get())
    }

    /// Returns the token usage of an answer with `generated` tokens. Each word of the prompt counts
    /// as one token.
    pub(crate) fn usage(&self, generated: u32) -> Value {
        let prompt = serde_json::from_str(self.prompt_json()).map_or(0, |prompt| words(&prompt));
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated as usize,
        })
    }
}

/// Counts the words of a prompt, or of messages whose contents are texts or lists of parts.
fn words(prompt: &Value) -> usize {
    match prompt {
        Value::String(text) => text.split_whitespace().count(),
        Value::Array(parts) => parts.iter().map(words).sum(),
        Value::Object(part) => part.get("content").or(part.get("text")).map_or(0, words),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

impl Answer {
    /// Returns the data of the event that carries one token.
    pub(crate) fn token_event(&self, number: u32, is_last: bool) -> String {
        let text = token(&self.id, number);
        let finish = is_last.then_some("length");
        let choice = match self.format {
            Format::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            Format::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
        };
        self.body(self.chunk_object(), json!([choice])).to_string()
    }

    /// Returns the data of the event that reports the token usage.
    pub(crate) fn usage_event(&self, usage: Value) -> String {
        let mut body = self.body(self.chunk_object(), json!([]));
        body["usage"] = usage;
        body.to_string()
    }

    /// Returns the body of an answer that is not streamed.
    pub(crate) fn unstreamed_answer(&self, tokens: u32, usage: Value) -> Value {
        let text: String = (0..tokens).map(|number| token(&self.id, number)).collect();
        let (object, choice) = match self.format {
            Format::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "length"}),
            ),
            Format::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }),
            ),
        };
        let mut body = self.body(object, json!([choice]));
        body["usage"] = usage;
        body
    }

    fn chunk_object(&self) -> &'static str {
        match self.format {
            Format::Text => "text_completion",
            Format::Chat => "chat.completion.chunk",
        }
    }

    fn body(&self, object: &str, choices: Value) -> Value {
        let prefix = match self.format {
            Format::Text => "cmpl",
            Format::Chat => "chatcmpl",
        };
        json!({
            "id": format!("{prefix}-{}", self.id),
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "system_fingerprint": self.engine,
            "choices": choices,
        })
    }
}
