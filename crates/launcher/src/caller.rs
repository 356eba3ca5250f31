//! Caller that sends requests to a VM and receives the answers in threads of their own.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Body;
use ureq::http::Response;

use crate::answer::AnswerHead;
use crate::answer::Outcome;
use crate::answer::StreamParser;
use crate::errors::Error;
use crate::errors::Result;
use crate::http::agent;

/// Time within which an answer must have ended. It is far above every target and only ends a
/// hanging test.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Path on the callers' interface of the VM.
    pub path: String,
    /// Headers besides the content type.
    pub headers: Vec<(String, String)>,
    /// JSON body, if any.
    pub body: Option<String>,
}

impl CallerRequest {
    /// Returns a request for a completion of `tokens` tokens.
    pub fn completion(model: &str, tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "prompt": "a slot for the Fyn franchise",
            "max_tokens": tokens,
            "stream": stream,
        });
        Self {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: Vec::new(),
            body: Some(body.to_string()),
        }
    }

    /// Returns a call to a plain service; `path` is below the service's prefix.
    pub fn service_call(service: &str, method: &str, path: &str, body: Option<String>) -> Self {
        Self {
            method: method.to_owned(),
            path: format!("/services/{service}{path}"),
            headers: Vec::new(),
            body,
        }
    }

    /// Returns the request with an additional header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// Answer that a thread of its own receives. Clones share the same answer.
#[derive(Clone, Debug)]
pub struct PendingAnswer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    progress: Mutex<Progress>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Progress {
    events: u64,
    outcome: Option<Outcome>,
}

impl PendingAnswer {
    /// Returns how the request ended; none while it is in progress.
    pub fn outcome(&self) -> Option<Outcome> {
        self.shared.lock().outcome.clone()
    }

    /// Returns the number of events received so far.
    pub fn events(&self) -> u64 {
        self.shared.lock().events
    }

    /// Waits until at least `count` events have come or the request has ended, and returns the
    /// number of events that have come.
    ///
    /// # Errors
    ///
    /// `Error::PollLimitReached` if the timeout expires.
    pub fn wait_events(&self, count: u64, timeout: Duration) -> Result<u64> {
        let progress = self.wait(timeout, |progress| {
            progress.events >= count || progress.outcome.is_some()
        })?;
        Ok(progress.events)
    }

    /// Waits until the request has ended, and returns how.
    ///
    /// # Errors
    ///
    /// `Error::PollLimitReached` if the timeout expires.
    pub fn wait_end(&self, timeout: Duration) -> Result<Outcome> {
        let progress = self.wait(timeout, |progress| progress.outcome.is_some())?;
        Ok(progress.outcome.clone().expect("the request has ended"))
    }

    fn wait(
        &self,
        timeout: Duration,
        holds: impl Fn(&Progress) -> bool,
    ) -> Result<MutexGuard<'_, Progress>> {
        let until = Instant::now() + timeout;
        let mut progress = self.shared.lock();
        while !holds(&progress) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Error::PollLimitReached("the answer came".to_owned()));
            }
            progress = self
                .shared
                .changed
                .wait_timeout(progress, left)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
        Ok(progress)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn record_event(&self) {
        self.lock().events += 1;
        self.changed.notify_all();
    }

    fn end(&self, outcome: Outcome) {
        self.lock().outcome = Some(outcome);
        self.changed.notify_all();
    }
}

/// Sends a request to the callers' address of a VM in a thread of its own.
pub fn send(vm: SocketAddr, request: CallerRequest) -> PendingAnswer {
    let shared = Arc::new(Shared::default());
    let pending = PendingAnswer {
        shared: Arc::clone(&shared),
    };
    thread::spawn(move || {
        let outcome = exchange(vm, &request, &shared);
        shared.end(outcome);
    });
    pending
}

/// Sends a request to the callers' address of a VM and waits until it has ended.
pub fn call(vm: SocketAddr, request: &CallerRequest) -> Outcome {
    exchange(vm, request, &Shared::default())
}

fn exchange(vm: SocketAddr, request: &CallerRequest, shared: &Shared) -> Outcome {
    let response = match start(vm, request) {
        Ok(response) => response,
        Err(error) => return Outcome::NoAnswer(error.to_string()),
    };
    let head = AnswerHead {
        status: response.status().as_u16(),
        content_type: header(&response, "content-type"),
        request: header(&response, "x-request-id"),
    };
    let body = BufReader::new(response.into_body().into_reader());
    if head.content_type.starts_with(EVENT_STREAM) {
        return read_stream(head, body, shared);
    }
    read_whole(head, body)
}

fn start(
    vm: SocketAddr,
    request: &CallerRequest,
) -> std::result::Result<Response<Body>, ureq::Error> {
    let agent = agent(ANSWER_TIMEOUT);
    let mut builder = ureq::http::Request::builder()
        .method(request.method.as_str())
        .uri(format!("http://{vm}{}", request.path));
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    match &request.body {
        Some(body) => {
            let builder = builder.header("Content-Type", "application/json");
            agent.run(builder.body(body.clone())?)
        }
        None => agent.run(builder.body(())?),
    }
}

fn read_stream(head: AnswerHead, mut body: impl BufRead, shared: &Shared) -> Outcome {
    let mut parser = StreamParser::new(head);
    let mut line = String::new();
    loop {
        line.clear();
        match body.read_line(&mut line) {
            Ok(0) => return parser.end(None),
            Ok(_) if parser.parse_line(line.trim_end()) => shared.record_event(),
            Ok(_) => {}
            Err(error) => return parser.end(Some(error.to_string())),
        }
    }
}

fn read_whole(head: AnswerHead, mut body: impl Read) -> Outcome {
    let mut bytes = Vec::new();
    match body.read_to_end(&mut bytes) {
        Ok(_) => Outcome::of_body(head, &String::from_utf8_lossy(&bytes)),
        Err(error) => Outcome::cut(head, 0, error.to_string()),
    }
}

fn header(response: &Response<Body>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}
