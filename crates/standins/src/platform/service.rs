//! Plain service of the platform.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::json;

use crate::http::EarlyAnswer;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stopper;
use crate::platform::answer_faults::AnswerFault;
use crate::platform::answers::Answers;
use crate::platform::answers::RecordedRun;
use crate::platform::answers::contains;
use crate::platform::answers::time_left;
use crate::platform::notices::Notices;
use crate::platform::room::RoomFailure;
use crate::platform::room::RoomOptions;
use crate::platform::store::PlatformStore;

/// Path of the health check in the site's configuration.
const HEALTH_PATH: &str = "/health";

/// Slots that the entry states unless the instance's room is set.
const SLOTS: usize = 6;

/// One instance of a plain service.
pub struct PlatformService {
    instance: String,
    service: String,
    work_ms: u64,
    answers: Answers,
    revision: AtomicU64,
    address: Mutex<Option<SocketAddr>>,
    store: PlatformStore,
    /// Marker in the bodies of requests that make the instance crash, and the handle for it.
    crash: Mutex<Option<(Vec<u8>, Stopper)>>,
    has_crashed: AtomicBool,
    /// Marker in the bodies of requests from which on the answers state a rate limit, and the limit.
    limit_trigger: Mutex<Option<(Vec<u8>, String)>>,
    health_checks: Mutex<Vec<Instant>>,
}

impl PlatformService {
    /// Returns an instance that works `work_ms` on each request and writes its entry to a store.
    pub fn new(instance: &str, service: &str, work_ms: u64, store: PlatformStore) -> Self {
        Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            work_ms,
            answers: Answers::new(instance),
            revision: AtomicU64::new(0),
            address: Mutex::default(),
            store,
            crash: Mutex::default(),
            has_crashed: AtomicBool::default(),
            limit_trigger: Mutex::default(),
            health_checks: Mutex::default(),
        }
    }

    /// Returns the instance's identity.
    pub fn name(&self) -> &str {
        &self.instance
    }

    /// Returns the name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Makes the instance crash at each request whose body contains a marker.
    pub(crate) fn crash_on(&self, marker: &[u8], stopper: Stopper) {
        *self.crash.lock() = Some((marker.to_vec(), stopper));
    }

    /// Makes the instance state a rate limit from the first request on whose body contains a marker.
    pub(crate) fn state_limit_on(&self, marker: &[u8], rate_limit: &str) {
        *self.limit_trigger.lock() = Some((marker.to_vec(), rate_limit.to_owned()));
    }

    /// Returns whether a request made the instance crash.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Writes the instance's entry again, unless it was never written or was removed.
    pub fn rewrite_entry(&self) {
        let address = *self.address.lock();
        if let Some(address) = address {
            self.announce(address);
        }
    }

    /// Writes the instance's entry with its address.
    pub fn announce(&self, address: SocketAddr) {
        *self.address.lock() = Some(address);
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = json!({
            "service": self.service, "address": address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": self.answers.room.stated_slots(SLOTS), "state": "ready", "cold_remaining_ms": 0,
            "sequence": revision,
        });
        self.store.put(
            "keyed.servers",
            &self.instance,
            entry.to_string().as_bytes(),
        );
    }

    /// Removes the instance's entry.
    pub fn withdraw(&self) {
        *self.address.lock() = None;
        self.store.put("keyed.servers", &self.instance, b"");
    }

    /// Sets the text of the rate limit that the answers state; none to state none.
    pub fn set_rate_limit(&self, rate_limit: Option<&str>) {
        *self.answers.rate_limit.lock() = rate_limit.map(str::to_owned);
    }

    /// Sets the text of the limit on rejections that the answers state; none to state none.
    pub fn set_rejection_limit(&self, rejection_limit: Option<&str>) {
        *self.answers.rejection_limit.lock() = rejection_limit.map(str::to_owned);
    }

    /// Bounds the requests and health checks that the instance answers at once, and the rejections
    /// that it bears; none to bound neither.
    pub fn set_room(&self, room: Option<RoomOptions>) {
        self.answers.room.set(room);
    }

    /// Returns the failures of the instance under what it had to reject.
    pub fn failures(&self) -> Vec<RoomFailure> {
        self.answers.room.failures()
    }

    /// Returns the times at which requests and health checks were rejected for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.answers.rejections.lock().clone()
    }

    /// Returns the times at which health checks were answered or rejected.
    pub fn health_checks(&self) -> Vec<Instant> {
        self.health_checks.lock().clone()
    }

    /// Makes the instance fail as if it had rejected too much: it closes connections without an
    /// answer, and is back after a time.
    pub fn fail(self: &Arc<Self>, down: Duration) {
        self.answers.room.fail();
        let instance = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            instance.answers.room.recover();
            instance.rewrite_entry();
        });
    }

    /// Makes the instance send nothing for a time and then go on where it stopped: requests and
    /// health checks that arrived meanwhile are answered.
    pub fn be_silent(&self, duration: Duration) {
        self.answers.silence.begin(duration);
    }

    pub(crate) fn notices(&self) -> &Notices {
        &self.answers.notices
    }

    /// Adds a fault to the queue of faults, each of which applies to one answer.
    pub fn push_fault(&self, fault: AnswerFault) {
        self.answers.push_fault(fault);
    }

    /// Makes the instance send its answers with these statuses once more, late: before the next answer
    /// on their connection.
    pub fn repeat_answers(&self, statuses: &[u16]) {
        *self.answers.repeated_statuses.lock() = statuses.to_vec();
    }

    /// Removes the faults that have not been applied yet.
    pub fn clear_faults(&self) {
        self.answers.clear_faults();
    }

    /// Returns the requests that ran, in order.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.answers.runs.lock().clone()
    }

    /// Returns how often each request ran.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        self.answers.run_counts()
    }

    /// Returns the requests whose client disconnected while they ran without an answer.
    pub fn left(&self) -> Vec<String> {
        self.answers.left.lock().clone()
    }

    /// Answers a request or health check within the instance's room.
    fn answer_within_room(self: &Arc<Self>, request: &Request) -> Reply {
        if let Some(reply) = self.answers.misdirected(request) {
            return reply;
        }
        if is_health_check(request) {
            self.health_checks.lock().push(Instant::now());
        }
        let answer = || self.answer(request);
        self.answers
            .within_room(request, answer, |down| self.fail(down))
    }

    fn answer(&self, request: &Request) -> Reply {
        if is_health_check(request) {
            return self.answers.healthy();
        }
        if self.answers.notices.apply_triggers(request) {
            return self.answers.not_run(request, 503);
        }
        let fault = self.answers.begin(request);
        let work = Duration::from_millis(self.work_ms);
        if let Some(time_left) = time_left(request).filter(|it| *it < work) {
            thread::sleep(time_left);
            return self.answers.out_of_time(request);
        }
        thread::sleep(work);
        if let Some((marker, stopper)) = &*self.crash.lock()
            && contains(&request.body, marker)
            && !request.caller.is_disconnected()
        {
            self.has_crashed.store(true, Ordering::Relaxed);
            stopper.stop();
            return Reply::Lost;
        }
        if let Some((marker, rate_limit)) = &*self.limit_trigger.lock()
            && contains(&request.body, marker)
        {
            self.set_rate_limit(Some(rate_limit));
        }
        let body = body_text(request);
        self.answers.unstreamed_answer(request, fault, &body)
    }
}

impl Handler for PlatformService {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        if self.answers.room.is_down() {
            return Reply::Lost;
        }
        self.answers.notices.record_arrival(request);
        self.answers.silence.wait();
        let reply = self.answer_within_room(request);
        self.answers.silence.wait();
        self.answers.after_previous(reply)
    }

    fn answer_early(&self, request: &Request) -> Option<EarlyAnswer> {
        if is_health_check(request) {
            return None;
        }
        let body = body_text(request);
        let (first, rest) = body.split_at(body.len() / 2);
        self.answers
            .begin_early(request, "text/plain", [first, rest])
    }
}

fn body_text(request: &Request) -> String {
    format!("{} {}", request.method, request.target())
}

fn is_health_check(request: &Request) -> bool {
    (request.method.as_str(), request.path.as_str()) == ("GET", HEALTH_PATH)
}
