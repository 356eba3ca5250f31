//! Whether an answer is whole and the request's own.
//!
//! A stand-in engine writes the request's identity and a running number into each token, and a
//! stand-in service the call into its answer. So a caller sees a token of another request, a
//! missing one and one that came twice, also where the envelope of the answer is right.

use serde_json::Value;

/// `TokenCheck` follows the tokens of one answer.
#[derive(Clone, Debug)]
pub struct TokenCheck {
    identity: String,
    next: u32,
    engine: Option<String>,
}

impl TokenCheck {
    /// Returns the check of an answer to the request with the given identity.
    pub fn new(identity: &str) -> Self {
        Self {
            identity: identity.to_owned(),
            next: 0,
            engine: None,
        }
    }

    /// Takes in the data of an event, or the body of an answer that is no stream, and returns what
    /// is wrong with it.
    pub fn take(&mut self, data: &str) -> Result<(), String> {
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

    /// Returns what is wrong with an answer that has ended, of which so many tokens were asked.
    pub fn end(&self, tokens: u32) -> Result<(), String> {
        if self.next == tokens {
            return Ok(());
        }
        Err(format!("{} tokens in place of {tokens}", self.next))
    }

    /// Returns the engine that answered.
    pub fn engine(&self) -> Option<&str> {
        self.engine.as_deref()
    }
}

/// Returns what is wrong with the body of a service's answer to a call.
pub fn check_call(call: &str, body: &str) -> Result<(), String> {
    let answer: Value = serde_json::from_str(body).map_err(|error| error.to_string())?;
    let answered = answer["call"].as_str().unwrap_or_default();
    if answered == call {
        return Ok(());
    }
    Err(format!("the answer to {answered:?} in place of {call:?}"))
}
