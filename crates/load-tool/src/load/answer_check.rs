//! Checks that an answer is complete and belongs to its request.
//!
//! A stand-in engine puts the request's ID and a sequence number into each token, and a stand-in
//! service puts the call into its answer. A caller can therefore detect missing tokens, duplicate
//! tokens and tokens of another request, even if the answer's headers are right.

use serde_json::Value;

/// Check of the tokens of one answer.
#[derive(Clone, Debug)]
pub struct TokenCheck {
    identity: String,
    next: u32,
    engine: Option<String>,
}

impl TokenCheck {
    /// Returns the check of an answer to the request with ID `identity`, as in `X-Request-Id`.
    pub fn new(identity: &str) -> Self {
        Self {
            identity: identity.to_owned(),
            next: 0,
            engine: None,
        }
    }

    /// Checks the next data of an answer: those of one event, or the whole body if the answer is
    /// not streamed. Fails if they are no JSON or hold anything but the next tokens of the request.
    pub fn verify(&mut self, data: &str) -> Result<(), String> {
        let body: Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
        if let Some(engine) = body["system_fingerprint"].as_str() {
            self.engine = Some(engine.to_owned());
        }
        let choice = &body["choices"][0];
        let text = choice["text"].as_str().unwrap_or_default();
        for token in text.split_inclusive(' ') {
            let expected = format!("tok-{}-{} ", self.identity, self.next);
            if token != expected {
                return Err(format!("token {token:?} in place of {expected:?}"));
            }
            self.next += 1;
        }
        Ok(())
    }

    /// Fails if an answer that has ended has more or fewer tokens than the request asked for.
    pub fn verify_end(&self, tokens: u32) -> Result<(), String> {
        if self.next == tokens {
            return Ok(());
        }
        Err(format!("{} tokens in place of {tokens}", self.next))
    }

    /// Returns the engine that answered, or none if no part of the answer has named it.
    pub fn engine(&self) -> Option<&str> {
        self.engine.as_deref()
    }
}

/// Checks the body of a service's answer. Fails unless it names the call that was made.
pub fn check_call(call: &str, body: &str) -> Result<(), String> {
    let answer: Value = serde_json::from_str(body).map_err(|error| error.to_string())?;
    let answered = answer["call"].as_str().unwrap_or_default();
    if answered == call {
        return Ok(());
    }
    Err(format!("the answer to {answered:?} in place of {call:?}"))
}
