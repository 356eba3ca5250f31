//! Callers of one daemon.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::BodyReader;

use super::SERVICE;
use super::WAIT_TIMEOUT;

/// Timeout that a request asks for, in milliseconds. Tests advance their clocks by less.
const TIMEOUT_MS: u64 = 500_000;

/// Client that calls one daemon.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    url: String,
}

/// Complete answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub replayed: bool,
    pub body: Value,
}

impl Reply {
    /// Returns the reason and the `ran` field of a refusal, or two dashes for an answer.
    pub fn refusal(&self) -> (&str, &str) {
        let text = |member: &str| self.body[member].as_str().unwrap_or("-");
        (text("reason"), text("ran"))
    }

    #[track_caller]
    pub fn expect_complete(&self) {
        assert_eq!(self.status, 200, "{self:?}");
    }
}

/// Call on a thread of its own whose answer has not been read.
pub struct Waiting(JoinHandle<Reply>);

impl Waiting {
    pub fn is_answered(&self) -> bool {
        self.0.is_finished()
    }

    pub fn reply(self) -> Reply {
        self.0.join().expect("a call")
    }
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(WAIT_TIMEOUT + Duration::from_secs(10)))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            url: format!("http://{address}"),
        }
    }

    /// Returns whether the daemon answers health checks at all.
    pub fn is_served(&self) -> bool {
        let answer = self.agent.get(format!("{}/health/live", self.url)).call();
        answer.is_ok()
    }

    pub fn is_ready(&self) -> bool {
        let answer = self.agent.get(format!("{}/health/ready", self.url)).call();
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Calls a model.
    pub fn complete(&self, model: &str) -> Reply {
        self.complete_within(model, TIMEOUT_MS)
    }

    /// Calls a model with a timeout.
    pub fn complete_within(&self, model: &str, timeout_ms: u64) -> Reply {
        let body = json!({"model": model, "prompt": "a slot"});
        self.post("/v1/completions", None, timeout_ms, &body)
    }

    /// Calls a model on a thread of its own, without waiting for the answer.
    pub fn begin_completion(&self, model: &str) -> Waiting {
        let (caller, model) = (self.clone(), model.to_owned());
        Waiting(thread::spawn(move || caller.complete(&model)))
    }

    /// Calls the service under a key, with the same body for each call.
    pub fn book(&self, key: &str) -> Reply {
        self.book_crew(key, "two")
    }

    pub fn book_crew(&self, key: &str, crew: &str) -> Reply {
        let path = format!("/services/{SERVICE}/bookings");
        self.post(&path, Some(key), TIMEOUT_MS, &json!({"crew": crew}))
    }

    /// Calls the service without a key.
    pub fn book_once(&self) -> Reply {
        let path = format!("/services/{SERVICE}/bookings");
        self.post(&path, None, TIMEOUT_MS, &json!({"crew": "two"}))
    }

    /// Calls the service under a key, on a thread of its own, without waiting for the answer.
    pub fn begin_booking(&self, key: &str) -> Waiting {
        let (caller, key) = (self.clone(), key.to_owned());
        Waiting(thread::spawn(move || caller.book(&key)))
    }

    /// Begins a streamed call and returns it once its first event has come.
    pub fn stream(&self, model: &str) -> Stream {
        let body = json!({"model": model, "messages": [], "stream": true});
        let request = self
            .agent
            .post(format!("{}/v1/chat/completions", self.url))
            .header("X-Request-Timeout-Ms", TIMEOUT_MS.to_string());
        let answer = request.send_json(body).expect("an answer");
        assert_eq!(answer.status(), 200);
        let reader = BufReader::new(answer.into_body().into_reader());
        let mut stream = Stream { reader };
        assert!(stream.next_event().is_some());
        stream
    }

    fn post(&self, path: &str, key: Option<&str>, timeout_ms: u64, body: &Value) -> Reply {
        let mut request = self
            .agent
            .post(format!("{}{path}", self.url))
            .header("X-Request-Timeout-Ms", timeout_ms.to_string());
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let mut answer = request.send_json(body).expect("an answer");
        Reply {
            status: answer.status().as_u16(),
            replayed: answer.headers().contains_key("Idempotency-Replayed"),
            body: answer.body_mut().read_json().expect("a JSON body"),
        }
    }
}

/// Streamed answer that is read event by event.
pub struct Stream {
    reader: BufReader<BodyReader<'static>>,
}

impl Stream {
    /// Returns the next event's data, or none at the end of the answer.
    pub fn next_event(&mut self) -> Option<String> {
        loop {
            let mut line = String::new();
            let count = self.reader.read_line(&mut line).expect("an uncut answer");
            match line.strip_prefix("data: ") {
                _ if count == 0 => return None,
                Some(data) => return Some(data.trim_end().to_owned()),
                None => {}
            }
        }
    }

    /// Returns whether the remainder of the answer ends as a complete one does.
    pub fn ends_complete(mut self) -> bool {
        let mut last = None;
        while let Some(event) = self.next_event() {
            last = Some(event);
        }
        last.as_deref() == Some("[DONE]")
    }
}
