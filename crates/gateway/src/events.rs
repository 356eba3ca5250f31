//! Check that events of a stream and complete answers belong to the request they are relayed for.

use apricotdale_core::names::RequestId;
use serde::Deserialize;
use serde::de::IgnoredAny;

const DONE: &str = "[DONE]";

/// Kind of an engine's event, as seen from one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Part of this request's answer.
    Part,
    /// The `[DONE]` marker at the end of the answer.
    Done,
    /// Comment without data, sent to keep the connection open.
    Comment,
    /// Part of another request's answer, or an event without a request identity.
    Foreign,
    /// Error reported by the engine.
    Fault,
    /// Event that is not UTF-8 or whose data is not a JSON object.
    Malformed,
}

#[derive(Deserialize)]
struct EventBody {
    id: Option<String>,
    error: Option<IgnoredAny>,
}

/// Classifies an event of a stream.
///
/// An engine that mixes up its batch sends a piece of one caller's answer to another. The `id` in
/// the event reveals this, and the foreign text is not relayed.
pub(crate) fn classify(event: &[u8], id: &RequestId) -> EventKind {
    let Ok(text) = std::str::from_utf8(event) else {
        return EventKind::Malformed;
    };
    let data: Vec<&str> = field_values(text, "data").collect();
    let event_id = field_values(text, "id").last();
    if data.is_empty() {
        return EventKind::Comment;
    }
    let data = data.join("\n");
    if data.trim() == DONE {
        return EventKind::Done;
    }
    let Ok(identified) = serde_json::from_str::<EventBody>(&data) else {
        return EventKind::Malformed;
    };
    let ids = [identified.id.as_deref(), event_id];
    let mut known = ids.iter().flatten().peekable();
    match identified.error {
        Some(_) => EventKind::Fault,
        None if known.peek().is_none() => EventKind::Foreign,
        None if known.all(|known| known.ends_with(id.as_str())) => EventKind::Part,
        None => EventKind::Foreign,
    }
}

/// Returns whether the body of a complete answer names another request. A body without an `id` is
/// accepted, because the answer's head has already been checked.
pub(crate) fn is_foreign_body(body: &[u8], id: &RequestId) -> bool {
    match serde_json::from_slice::<EventBody>(body) {
        Ok(EventBody {
            id: Some(named), ..
        }) => !named.ends_with(id.as_str()),
        _ => false,
    }
}

fn field_values<'a>(text: &'a str, field: &'a str) -> impl Iterator<Item = &'a str> {
    text.split(['\n', '\r']).filter_map(move |line| {
        let value = line.strip_prefix(field)?.strip_prefix(':')?;
        Some(value.strip_prefix(' ').unwrap_or(value))
    })
}
