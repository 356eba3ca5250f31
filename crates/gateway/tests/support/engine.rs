//! Engine whose answers are scripted by each test.

use std::collections::VecDeque;
use std::net::SocketAddr;

use apricotdale_core::Error;
use apricotdale_core::Result;
use apricotdale_core::engine::EngineServing;
use apricotdale_core::engine::ServeAnswer;
use apricotdale_core::engine::ServeHead;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::names::RequestId;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use parking_lot::Mutex;

use super::TEST_TIMEOUT;

/// Step of an engine's answer. `{id}` stands for the request's identity.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Fails before the answer begins.
    Fail(Error),
    /// Begins the answer, with status, content type and identity.
    Head(u16, &'static str, Option<&'static str>),
    /// Sends one piece.
    Piece(String),
    /// Waits until the test releases it.
    Hold,
    /// Breaks off the answer.
    Cut,
    /// Panics.
    Panic,
}

pub fn event(text: &str) -> ScriptStep {
    ScriptStep::Piece(format!(
        "data: {{\"id\":\"cmpl-{{id}}\",\"text\":\"{text}\"}}\n\n"
    ))
}

pub fn done() -> ScriptStep {
    ScriptStep::Piece("data: [DONE]\n\n".to_owned())
}

pub fn stream_head() -> ScriptStep {
    ScriptStep::Head(200, "text/event-stream", Some("{id}"))
}

pub fn json_answer() -> Vec<ScriptStep> {
    vec![
        ScriptStep::Head(200, "application/json", Some("{id}")),
        ScriptStep::Piece(r#"{"id":"cmpl-{id}","choices":[]}"#.to_owned()),
    ]
}

pub fn not_loaded() -> Vec<ScriptStep> {
    let body = r#"{"error":{"code":"model_not_loaded"}}"#.to_owned();
    vec![
        ScriptStep::Head(404, "application/json", Some("{id}")),
        ScriptStep::Piece(body),
    ]
}

pub struct FakeEngine {
    scripts: Mutex<VecDeque<Vec<ScriptStep>>>,
    pub served: Mutex<Vec<(SocketAddr, ServeRequest)>>,
    pub cancelled: (Sender<RequestId>, Receiver<RequestId>),
    /// Each message releases one [`ScriptStep::Hold`].
    pub release: (Sender<()>, Receiver<()>),
    /// Receives the identity of each request that reaches an [`ScriptStep::Hold`].
    pub holding: (Sender<RequestId>, Receiver<RequestId>),
    /// Receives the identity of each answer that the gateway has dropped.
    pub dropped: (Sender<RequestId>, Receiver<RequestId>),
}

impl Default for FakeEngine {
    fn default() -> Self {
        Self {
            scripts: Mutex::default(),
            served: Mutex::default(),
            cancelled: crossbeam_channel::unbounded(),
            release: crossbeam_channel::unbounded(),
            holding: crossbeam_channel::unbounded(),
            dropped: crossbeam_channel::unbounded(),
        }
    }
}

impl FakeEngine {
    /// Adds the script of one more request. Requests take scripts in the order of their arrival.
    pub fn script(&self, steps: Vec<ScriptStep>) {
        self.scripts.lock().push_back(steps);
    }

    pub fn served_count(&self) -> usize {
        self.served.lock().len()
    }

    /// Waits until a request reaches an [`ScriptStep::Hold`].
    pub fn wait_held(&self) -> RequestId {
        self.holding
            .1
            .recv_timeout(TEST_TIMEOUT)
            .expect("a held request")
    }

    pub fn wait_cancelled(&self) -> RequestId {
        self.cancelled
            .1
            .recv_timeout(TEST_TIMEOUT)
            .expect("a cancelled request")
    }

    fn hold(&self, id: &RequestId) {
        self.holding.0.send(id.clone()).expect("the test listens");
        let _ = self.release.1.recv_timeout(TEST_TIMEOUT);
    }
}

struct FakeAnswer {
    id: RequestId,
    head: ServeHead,
    steps: VecDeque<ScriptStep>,
    release: Receiver<()>,
    holding: Sender<RequestId>,
    dropped: Sender<RequestId>,
}

impl ServeAnswer for FakeAnswer {
    fn head(&self) -> &ServeHead {
        &self.head
    }

    fn next_piece(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            match self.steps.pop_front() {
                None => return Ok(None),
                Some(ScriptStep::Piece(text)) => {
                    return Ok(Some(text.replace("{id}", self.id.as_str()).into_bytes()));
                }
                Some(ScriptStep::Hold) => {
                    self.holding
                        .send(self.id.clone())
                        .expect("the test listens");
                    let _ = self.release.recv_timeout(TEST_TIMEOUT);
                }
                Some(ScriptStep::Cut) => return Err(Error::unknown("cut")),
                Some(ScriptStep::Fail(error)) => return Err(error),
                Some(ScriptStep::Panic) => panic!("a scripted panic"),
                Some(ScriptStep::Head(..)) => panic!("an answer has one head"),
            }
        }
    }
}

impl Drop for FakeAnswer {
    fn drop(&mut self) {
        let _ = self.dropped.send(self.id.clone());
    }
}

impl EngineServing for FakeEngine {
    fn serve(&self, engine: SocketAddr, request: &ServeRequest) -> Result<Box<dyn ServeAnswer>> {
        self.served.lock().push((engine, request.clone()));
        let script = self.scripts.lock().pop_front();
        let mut steps = VecDeque::from(script.unwrap_or_else(json_answer));
        loop {
            match steps.pop_front().expect("a script has a head or a failure") {
                ScriptStep::Fail(error) => return Err(error),
                ScriptStep::Hold => self.hold(&request.id),
                ScriptStep::Panic => panic!("a scripted panic"),
                ScriptStep::Cut | ScriptStep::Piece(_) => panic!("a script begins with a head"),
                ScriptStep::Head(status, content_type, id) => {
                    let id = id.map(|text| text.replace("{id}", request.id.as_str()));
                    return Ok(Box::new(FakeAnswer {
                        id: request.id.clone(),
                        head: ServeHead {
                            status,
                            content_type: content_type.to_owned(),
                            id: id.map(RequestId::from),
                        },
                        steps,
                        release: self.release.1.clone(),
                        holding: self.holding.0.clone(),
                        dropped: self.dropped.0.clone(),
                    }));
                }
            }
        }
    }

    fn cancel(&self, _engine: SocketAddr, id: &RequestId) -> Result<()> {
        self.cancelled.0.send(id.clone()).expect("the test listens");
        Ok(())
    }
}
