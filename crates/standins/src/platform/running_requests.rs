//! Requests that run on each model of an engine.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::http::Reply;
use crate::http::Stream;

/// Number of requests that run on each model.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests(Mutex<HashMap<String, usize>>);

/// Request that runs on a model until it is dropped.
pub(crate) struct RunningRequest {
    requests: Arc<RunningRequests>,
    model: String,
}

impl RunningRequests {
    pub fn begin(self: &Arc<Self>, model: &str) -> RunningRequest {
        *self.0.lock().entry(model.to_owned()).or_default() += 1;
        RunningRequest {
            requests: self.clone(),
            model: model.to_owned(),
        }
    }

    pub fn count(&self, model: &str) -> usize {
        self.0.lock().get(model).copied().unwrap_or_default()
    }
}

impl RunningRequest {
    /// Keeps the request running until its answer has been sent.
    pub fn kept_by(self, reply: Reply) -> Reply {
        match reply {
            Reply::Stream(Stream { headers, produce }) => Reply::Stream(Stream {
                headers,
                produce: Box::new(move |writer| {
                    let _running = self;
                    produce(writer)
                }),
            }),
            reply => reply,
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut counts = self.requests.0.lock();
        if let Some(count) = counts.get_mut(&self.model) {
            *count -= 1;
        }
    }
}
