//! Plain service whose answers are scripted by each test.

use std::collections::VecDeque;
use std::net::SocketAddr;

use apricotdale_core::Result;
use apricotdale_core::service::PlainService;
use apricotdale_core::service::ServiceAnswer;
use apricotdale_core::service::ServiceCall;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use parking_lot::Mutex;

use super::TEST_TIMEOUT;

pub struct FakeService {
    script: Mutex<VecDeque<Result<ServiceAnswer>>>,
    pub calls: Mutex<Vec<ServiceCall>>,
    /// Whether each call waits for a message on `release`.
    pub holds: Mutex<bool>,
    pub release: (Sender<()>, Receiver<()>),
    pub holding: (Sender<()>, Receiver<()>),
}

impl Default for FakeService {
    fn default() -> Self {
        Self {
            script: Mutex::default(),
            calls: Mutex::default(),
            holds: Mutex::default(),
            release: crossbeam_channel::unbounded(),
            holding: crossbeam_channel::unbounded(),
        }
    }
}

pub fn answer(status: u16, body: &str) -> Result<ServiceAnswer> {
    Ok(ServiceAnswer {
        status,
        content_type: "application/json".to_owned(),
        body: body.as_bytes().to_vec(),
    })
}

impl FakeService {
    pub fn script(&self, result: Result<ServiceAnswer>) {
        self.script.lock().push_back(result);
    }

    pub fn call_count(&self) -> usize {
        self.calls.lock().len()
    }

    pub fn wait_held(&self) {
        self.holding
            .1
            .recv_timeout(TEST_TIMEOUT)
            .expect("a held call");
    }
}

impl PlainService for FakeService {
    fn call(&self, _instance: SocketAddr, call: &ServiceCall) -> Result<ServiceAnswer> {
        self.calls.lock().push(call.clone());
        if *self.holds.lock() {
            self.holding.0.send(()).expect("the test listens");
            let _ = self.release.1.recv_timeout(TEST_TIMEOUT);
        }
        let scripted = self.script.lock().pop_front();
        scripted.unwrap_or_else(|| answer(200, r#"{"booked":true}"#))
    }
}
