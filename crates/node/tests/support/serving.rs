//! Engines' answers to requests.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Condvar;
use parking_lot::Mutex;
use serde_json::Value;

use apricotdale_core::Result;
use apricotdale_core::engine::EngineServing;
use apricotdale_core::engine::ServeAnswer;
use apricotdale_core::engine::ServeHead;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::names::RequestId;

use super::engine::EnginesOfVm;
use super::switch::Switch;

/// Events of each stream before its end. The last one waits while streams are held.
const STREAM_EVENTS: usize = 2;

/// Gate that holds streams before their last event.
#[derive(Debug, Default)]
pub struct StreamGate {
    is_closed: Mutex<bool>,
    changed: Condvar,
}

impl StreamGate {
    pub fn close(&self) {
        *self.is_closed.lock() = true;
    }

    pub fn open(&self) {
        *self.is_closed.lock() = false;
        self.changed.notify_all();
    }

    fn pass(&self) {
        let mut is_closed = self.is_closed.lock();
        while *is_closed {
            self.changed.wait(&mut is_closed);
        }
    }
}

/// Client through which one daemon sends requests to engines.
pub struct ServingOfVm {
    pub engines: EnginesOfVm,
    pub gate: Arc<StreamGate>,
}

impl EngineServing for ServingOfVm {
    fn serve(&self, engine: SocketAddr, request: &ServeRequest) -> Result<Box<dyn ServeAnswer>> {
        let switch = &self.engines.switch;
        switch.pass();
        let body: Value = serde_json::from_slice(&request.body).expect("a checked body");
        let model = body["model"].as_str().expect("a checked model");
        let mut engines = self.engines.engines.lock_reachable(engine)?;
        let known = engines.get_mut(&engine).expect("a reachable engine");
        let is_held = known.holds(model);
        if is_held {
            known.served.push(request.id.clone());
        }
        drop(engines);
        let answer = Answer::new(request, is_held, switch, &self.gate);
        Ok(Box::new(answer))
    }

    fn cancel(&self, _engine: SocketAddr, _id: &RequestId) -> Result<()> {
        Ok(())
    }
}

struct Answer {
    head: ServeHead,
    pieces: Vec<String>,
    next: usize,
    switch: Arc<Switch>,
    gate: Option<Arc<StreamGate>>,
}

impl Answer {
    fn new(
        request: &ServeRequest,
        is_held: bool,
        switch: &Arc<Switch>,
        gate: &Arc<StreamGate>,
    ) -> Self {
        let id = &request.id;
        let (status, content_type, pieces) = match (is_held, request.stream) {
            (false, _) => {
                let body = r#"{"error":{"code":"model_not_loaded"}}"#.to_owned();
                (404, "application/json", vec![body])
            }
            (true, false) => {
                let body = format!(r#"{{"id":"cmpl-{id}","choices":[]}}"#);
                (200, "application/json", vec![body])
            }
            (true, true) => {
                let event = |number| format!("data: {{\"id\":\"cmpl-{id}\",\"n\":{number}}}\n\n");
                let events = (0..STREAM_EVENTS).map(event);
                let done = "data: [DONE]\n\n".to_owned();
                (200, "text/event-stream", events.chain([done]).collect())
            }
        };
        Self {
            head: ServeHead {
                status,
                content_type: content_type.to_owned(),
                id: Some(id.clone()),
            },
            pieces,
            next: 0,
            switch: Arc::clone(switch),
            gate: request.stream.then(|| Arc::clone(gate)),
        }
    }
}

impl ServeAnswer for Answer {
    fn head(&self) -> &ServeHead {
        &self.head
    }

    fn next_piece(&mut self) -> Result<Option<Vec<u8>>> {
        self.switch.pass();
        match &self.gate {
            Some(gate) if self.next == STREAM_EVENTS => gate.pass(),
            _ => {}
        }
        let piece = self.pieces.get(self.next).cloned();
        self.next += 1;
        Ok(piece.map(String::into_bytes))
    }
}
