//! Stand-ins that run in the test's process, and calls to them.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use apricotdale_standins::engine;
use apricotdale_standins::engine::EngineStandin;
use apricotdale_standins::http::Handler;
use apricotdale_standins::http::Server;

/// Time after which a wait fails its test instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Stand-in that runs in the test's process.
pub struct Standin {
    server: Server,
}

/// Complete answer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// Reader of the events of a stream. Dropping it closes the connection.
pub struct Events {
    lines: BufReader<ureq::BodyReader<'static>>,
    /// Whether the connection broke before the end of the body.
    pub broken: bool,
}

/// Starts a stand-in on a port of the system's choice.
pub fn start(handler: impl Handler + 'static) -> Standin {
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(listen, Arc::new(handler)).unwrap();
    Standin { server }
}

/// Starts an engine on which the given models are loaded.
pub fn engine_with(options: engine::Options, models: &[&str]) -> Standin {
    let engine = start(EngineStandin::new(options));
    for model in models {
        assert_eq!(engine.post("/orders/load", &load(model, 0)).status, 200);
    }
    engine
}

/// Returns a load order for ten bytes.
pub fn load(model: &str, fence: u64) -> Value {
    json!({"model": model, "base": null, "bytes": 10, "fence": fence})
}

/// Returns an unload order.
pub fn unload(model: &str, fence: u64) -> Value {
    json!({"model": model, "fence": fence})
}

/// Waits until a condition on other threads holds.
pub fn wait_until(mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "timed out before the condition held"
        );
        thread::yield_now();
    }
}

impl Standin {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sends a GET request and returns its answer.
    pub fn get(&self, path: &str) -> Answer {
        let answer = agent().get(self.url(path)).call();
        read_answer(answer).expect("an answer")
    }

    /// Sends a POST request and returns its answer.
    pub fn post(&self, path: &str, body: &Value) -> Answer {
        self.try_post(path, body).expect("an answer")
    }

    /// Sends a POST request and returns its answer, or none if it was lost.
    pub fn try_post(&self, path: &str, body: &Value) -> Option<Answer> {
        self.try_post_with(path, body, &[])
    }

    /// Sends a POST request without reading its answer. Dropping the connection that is returned
    /// closes it.
    pub fn send_only(&self, path: &str, id: &str, body: &Value) -> TcpStream {
        let body = body.to_string();
        let length = body.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n"
        );
        let mut connection = TcpStream::connect(self.address()).unwrap();
        connection.write_all((head + &body).as_bytes()).unwrap();
        connection
    }

    /// Sends a POST request with headers and returns its answer, or none if it was lost.
    pub fn try_post_with(
        &self,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        read_answer(self.send(path, body, headers))
    }

    /// Sends a POST request from another thread.
    pub fn post_in_background(&self, path: &str, body: &Value) -> JoinHandle<Option<Answer>> {
        let url = self.url(path);
        let body = body.clone();
        thread::spawn(move || read_answer(agent().post(url).send_json(body)))
    }

    /// Sets a fault of the stand-in.
    pub fn fault(&self, fault: &Value) {
        assert_eq!(self.post("/standin/fault", fault).status, 200);
    }

    /// Returns the stand-in's record of what took effect.
    pub fn effects(&self) -> Value {
        self.get("/standin/effects").body
    }

    /// Returns the state of a request at an engine, or null.
    pub fn request_state(&self, id: &str) -> Value {
        self.effects()["requests"][id]["state"].clone()
    }

    /// Starts a streaming request to an engine and returns its events.
    pub fn stream(&self, id: &str, model: &str, tokens: u32) -> Events {
        let body = completion(model, tokens, true);
        let answer = self.send("/v1/completions", &body, &[("X-Request-Id", id)]);
        let answer = answer.expect("a stream");
        assert_eq!(answer.status(), 200);
        Events::new(answer)
    }

    /// Starts a streaming request from another thread and returns its events as they arrive.
    pub fn stream_in_background(
        &self,
        id: &str,
        model: &str,
        tokens: u32,
        priority: u32,
    ) -> Receiver<String> {
        let (sender, receiver) = mpsc::channel();
        let url = self.url("/v1/completions");
        let (id, body) = (id.to_owned(), completion(model, tokens, true));
        thread::spawn(move || {
            let request = agent().post(url).header("X-Request-Id", id);
            let request = request.header("X-Priority", priority.to_string());
            let events = request.send_json(body).map(Events::new);
            for data in events.into_iter().flatten() {
                // The receiver is gone once the test has ended.
                let _ = sender.send(data);
            }
        });
        receiver
    }

    fn send(
        &self,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Response<Body>, ureq::Error> {
        let mut request = agent().post(self.url(path));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send_json(body)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address())
    }
}

/// Returns the body of a completion request.
pub fn completion(model: &str, tokens: u32, stream: bool) -> Value {
    json!({"model": model, "prompt": "a b c", "max_tokens": tokens, "stream": stream})
}

impl Events {
    fn new(answer: Response<Body>) -> Self {
        let reader = answer.into_body().into_reader();
        Self {
            lines: BufReader::new(reader),
            broken: false,
        }
    }
}

impl Iterator for Events {
    type Item = String;

    /// Returns the data of the next event, or none at the end of the stream or of its connection.
    fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line);
            let late = read.as_ref().is_err_and(is_timeout);
            assert!(!late, "timed out before an event or the end of the stream");
            self.broken = read.is_err();
            if read.unwrap_or(0) == 0 {
                return None;
            }
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                return Some(data.to_owned());
            }
        }
    }
}

/// Returns whether reading a body ended with the test's timeout.
fn is_timeout(error: &io::Error) -> bool {
    let cause = error.get_ref().and_then(|cause| cause.downcast_ref());
    matches!(cause, Some(ureq::Error::Timeout(_)))
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(TEST_TIMEOUT));
    config.build().into()
}

/// Reads a complete answer, or returns none if the connection closed before that.
fn read_answer(answer: Result<Response<Body>, ureq::Error>) -> Option<Answer> {
    if let Err(ureq::Error::Timeout(_)) = answer {
        panic!("timed out before an answer or the end of the connection");
    }
    let mut answer = answer.ok()?;
    Some(Answer {
        status: answer.status().as_u16(),
        body: answer.body_mut().read_json().ok()?,
    })
}
