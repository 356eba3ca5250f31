//! Model engine of the platform.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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
use crate::platform::answers::first_event;
use crate::platform::crashes::CrashTrigger;
use crate::platform::engine_entry::Entry;
use crate::platform::engine_pace::EnginePace;
use crate::platform::event_texts::DEFAULT_SOFTWARE_VERSION;
use crate::platform::notices::Notices;
use crate::platform::orders::Holdings;
use crate::platform::orders::OrderFault;
use crate::platform::orders::Residence;
use crate::platform::orders::WireOrder;
use crate::platform::room::RoomFailure;
use crate::platform::room::RoomOptions;
use crate::platform::shared_faults::SharedFaults;
use crate::platform::store::PlatformStore;

/// Options with which an engine is started.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Identity of the engine, which stays the same after a restart.
    pub instance: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Availability zone that the engine announces.
    pub zone: String,
    /// Version of the engine's software at its start.
    pub version: String,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Models whose weights are on the engine's disk at the start.
    pub on_disk: Vec<String>,
    /// Number of models that fit at once.
    pub model_slots: usize,
    /// Number of adapters that fit at once.
    pub adapter_slots: usize,
    /// Duration of a load from the weight store, in milliseconds.
    pub store_load_ms: u64,
    /// Duration of a load from the disk, in milliseconds.
    pub disk_load_ms: u64,
    /// Duration of a load from the host's memory, in milliseconds.
    pub memory_load_ms: u64,
    /// Number of unloaded models whose weights stay in the host's memory; those unloaded first are
    /// dropped first.
    pub memory_copies: usize,
    /// Minimum duration of an unload, in milliseconds. It lasts longer if requests run on the model.
    pub unload_ms: u64,
    /// Number of events of a complete stream.
    pub events: u64,
    /// Time between two events, in milliseconds.
    pub gap_ms: u64,
    /// Number of bytes that are added to each event.
    pub filler_bytes: usize,
    /// Requests that make the engine crash.
    pub crashes: Vec<CrashTrigger>,
    /// How fast the engine works; none for the usual speed, which is not stated.
    pub pace: Option<EnginePace>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            instance: "i-0".to_owned(),
            service: "llm".to_owned(),
            zone: "zone-a".to_owned(),
            version: DEFAULT_SOFTWARE_VERSION.to_owned(),
            models: Vec::new(),
            on_disk: Vec::new(),
            model_slots: 3,
            adapter_slots: 4,
            store_load_ms: 400,
            disk_load_ms: 60,
            memory_load_ms: 60,
            memory_copies: 0,
            unload_ms: 20,
            events: 6,
            gap_ms: 2,
            filler_bytes: 0,
            crashes: Vec::new(),
            pace: None,
        }
    }
}

/// Record of the orders that an engine received and carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEffects {
    /// Number of loads that ended.
    pub loads: u64,
    /// Number of orders that were refused.
    pub refused: u64,
    /// Number of orders for which there was no free slot; they would crash a real engine.
    pub overcommitted: u64,
    /// Fencing token and lease holder of each order that was accepted, in order.
    pub holders: Vec<(u64, String)>,
}

/// Model engine, which can restart under its identity.
pub struct PlatformEngine {
    pub(super) options: EngineOptions,
    pub(super) holdings: Mutex<Holdings>,
    pub(super) answers: Answers,
    order_faults: Mutex<VecDeque<OrderFault>>,
    pub(super) store: PlatformStore,
    pub(super) entry: Mutex<Entry>,
    full: AtomicBool,
    /// Handle that ends the engine's server in a crash; absent until it listens.
    stopper: Mutex<Option<Stopper>>,
    /// Time at which the engine crashed, and the body of the request that caused it.
    crashed: Mutex<Option<(Instant, Vec<u8>)>>,
    /// Times at which requests that make the engine crash began to run, and their bodies.
    marked_runs: Mutex<Vec<(Instant, Vec<u8>)>>,
}

impl PlatformEngine {
    /// Returns an engine that writes its entry to a store and shares faults with other engines.
    pub(crate) fn new(
        options: EngineOptions,
        store: PlatformStore,
        shared_faults: Arc<Mutex<SharedFaults>>,
    ) -> Self {
        let answers = Answers::new(&options.instance)
            .with_shared_faults(shared_faults)
            .with_pace(options.pace);
        *answers.software_version.lock() = options.version.clone();
        Self {
            holdings: Mutex::new(Holdings::new(options.clone())),
            answers,
            order_faults: Mutex::default(),
            entry: Mutex::default(),
            full: AtomicBool::default(),
            stopper: Mutex::default(),
            crashed: Mutex::default(),
            marked_runs: Mutex::default(),
            store,
            options,
        }
    }

    /// Sets the handle that ends the engine's server in a crash.
    pub(crate) fn set_stopper(&self, stopper: Stopper) {
        *self.stopper.lock() = Some(stopper);
    }

    /// Returns when the engine crashed and the body of the request that caused it.
    pub fn crashed(&self) -> Option<(Instant, Vec<u8>)> {
        self.crashed.lock().clone()
    }

    /// Returns when requests that make the engine crash began to run, and their bodies. Requests
    /// whose callers have disconnected are left out.
    pub fn marked_runs(&self) -> Vec<(Instant, Vec<u8>)> {
        self.marked_runs.lock().clone()
    }

    fn forget_marked_run(&self, body: &[u8]) {
        let mut runs = self.marked_runs.lock();
        if let Some(index) = runs.iter().position(|(_, of)| of == body) {
            runs.remove(index);
        }
    }

    /// Crashes the engine: nothing more is sent or accepted.
    fn crash(&self, body: &[u8]) {
        self.crashed
            .lock()
            .get_or_insert_with(|| (Instant::now(), body.to_vec()));
        if let Some(stopper) = self.stopper.lock().clone() {
            stopper.stop();
        }
    }

    /// Returns the engine's identity.
    pub fn name(&self) -> &str {
        &self.options.instance
    }

    /// Sets the version of the engine's software, for an engine that is to restart at it or whose
    /// entry is to change in place. Streams that have begun stay at theirs. The entry is written
    /// with the next [`PlatformEngine::announce`].
    pub fn set_version(&self, version: &str) {
        *self.answers.software_version.lock() = version.to_owned();
    }

    /// Returns the version of the engine's software.
    pub fn version(&self) -> String {
        self.answers.software_version.lock().clone()
    }

    /// Sets the text of the rate limit that the answers to requests state; none to state none.
    pub fn set_rate_limit(&self, rate_limit: Option<&str>) {
        *self.answers.rate_limit.lock() = rate_limit.map(str::to_owned);
    }

    /// Sets the text of the limit on rejections that the answers to requests state; none to state none.
    pub fn set_rejection_limit(&self, rejection_limit: Option<&str>) {
        *self.answers.rejection_limit.lock() = rejection_limit.map(str::to_owned);
    }

    pub(crate) fn notices(&self) -> &Notices {
        &self.answers.notices
    }

    /// Returns the times at which requests were rejected for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.answers.rejections.lock().clone()
    }

    /// Bounds the requests that the engine runs at once, and the rejections that it bears; none to
    /// bound neither. The entry is written with the next [`PlatformEngine::announce`].
    pub fn set_room(&self, room: Option<RoomOptions>) {
        self.answers.room.set(room);
    }

    /// Returns the failures of the engine under the requests that it had to reject.
    pub fn failures(&self) -> Vec<RoomFailure> {
        self.answers.room.failures()
    }

    /// Makes the engine fail as if it had rejected too many requests.
    fn fail(self: &Arc<Self>, down: Duration) {
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            engine.restart();
            engine.answers.room.recover();
            engine.announce(None);
        });
    }

    /// Makes the engine lose the requests that arrive from now on, or answer new ones again. Those
    /// that it has lost are never answered, and their connections stay open. Streams in progress
    /// pause meanwhile.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.answers
            .unresponsive
            .store(unresponsive, Ordering::Relaxed);
    }

    /// Makes the engine send nothing for a time and then go on where it stopped: streams continue,
    /// and requests, orders and report calls that arrived meanwhile are answered.
    pub fn be_silent(&self, duration: Duration) {
        self.answers.silence.begin(duration);
    }

    /// Makes the engine close new connections unanswered and pause its streams, as a full one does.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
        self.answers.unresponsive.store(full, Ordering::Relaxed);
    }

    fn report(&self) -> Reply {
        let mut report = self.holdings.lock().describe();
        report["born"] = json!(self.entry.lock().reported_start_ms());
        Reply::json(200, &report)
    }

    /// Adds a fault to the queue of faults, each of which applies to one answer.
    pub fn push_fault(&self, fault: AnswerFault) {
        self.answers.push_fault(fault);
    }

    /// Makes the engine send its answers with these statuses once more, late: before the next answer
    /// on their connection.
    pub fn repeat_answers(&self, statuses: &[u16]) {
        *self.answers.repeated_statuses.lock() = statuses.to_vec();
    }

    /// Removes the faults that have not been applied yet.
    pub fn clear_faults(&self) {
        self.answers.clear_faults();
    }

    /// Adds a fault to the queue of faults, each of which applies to one order.
    pub fn push_order_fault(&self, fault: OrderFault) {
        self.order_faults.lock().push_back(fault);
    }

    /// Returns the requests that ran, in order.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.answers.runs.lock().clone()
    }

    /// Returns how often each request ran.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        self.answers.run_counts()
    }

    /// Returns the requests whose client disconnected while they ran.
    pub fn left(&self) -> Vec<String> {
        self.answers.left.lock().clone()
    }

    /// Returns the requests whose streams were sent completely.
    pub fn streamed(&self) -> Vec<String> {
        self.answers.streamed.lock().clone()
    }

    /// Returns the record of the orders that the engine received and carried out.
    pub fn effects(&self) -> EngineEffects {
        let holdings = self.holdings.lock();
        EngineEffects {
            loads: holdings.loads,
            refused: holdings.refused,
            overcommitted: holdings.overcommitted,
            holders: holdings.holders.clone(),
        }
    }

    /// Returns when each order was accepted, and the lease holder that gave it, in order.
    pub fn order_times(&self) -> Vec<(Instant, String)> {
        self.holdings.lock().order_times.clone()
    }

    /// Returns the times for which the engine listed models as loaded, in order of their start.
    pub fn residences(&self) -> Vec<Residence> {
        self.holdings.lock().residences.clone()
    }

    /// Returns whether the engine can serve a model, or an adapter after a slash.
    pub fn serves(&self, wanted: &str) -> bool {
        let mut holdings = self.holdings.lock();
        holdings.advance();
        holdings.serves(wanted)
    }

    fn advance(&self) {
        let changed = self.holdings.lock().advance();
        if changed {
            self.announce(None);
        }
    }

    fn receive_order(self: &Arc<Self>, request: &Request) -> Reply {
        let order: WireOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let fault = self.order_faults.lock().pop_front();
        match fault {
            None => {
                let status = self.holdings.lock().handle_order(&order);
                Reply::json(status, &json!({}))
            }
            Some(OrderFault::LostAnswer) => {
                self.holdings.lock().handle_order(&order);
                Reply::Lost
            }
            Some(OrderFault::Late { after_ms }) => {
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(after_ms));
                    engine.holdings.lock().handle_order(&order);
                });
                Reply::Lost
            }
        }
    }

    /// Serves a request within the engine's room.
    fn serve_within_room(self: &Arc<Self>, request: &Request) -> Reply {
        let serve = || self.serve(request);
        self.answers
            .within_room(request, serve, |down| self.fail(down))
    }

    fn serve(self: &Arc<Self>, request: &Request) -> Reply {
        let wanted = request.header("Apricotdale-Model").unwrap_or_default();
        let Some(running) = self.holdings.lock().begin_request(wanted) else {
            return self.answers.not_run(request, 421);
        };
        running.kept_by(self.serve_loaded(request))
    }

    /// Serves a request whose model is loaded.
    fn serve_loaded(self: &Arc<Self>, request: &Request) -> Reply {
        if self.notices().rejects_for_rest(request) {
            return self.answers.not_run(request, 503);
        }
        let mut crashes = self.options.crashes.iter();
        if let Some(trigger) = crashes.find(|it| it.marker.matches(request)) {
            // The answer breaks off in the crash, so no other fault is used up on it.
            self.answers.record_run(request, None);
            let run = (Instant::now(), request.body.clone());
            self.marked_runs.lock().push(run);
            thread::sleep(Duration::from_millis(trigger.after_ms));
            // A request whose connection is closed is dropped.
            if request.caller.is_disconnected() {
                self.forget_marked_run(&request.body);
                return Reply::Lost;
            }
            let engine = self.clone();
            let body = request.body.clone();
            let end = move || engine.crash(&body);
            let left = (self.options.events + 1).saturating_sub(first_event(request));
            let (events, gap_ms) = (trigger.after_events.min(left), self.options.gap_ms);
            return self.answers.events_until(request, events, gap_ms, end);
        }
        let fault = self.answers.begin(request);
        let (filler_bytes, gap_ms) = (self.options.filler_bytes, self.options.gap_ms);
        self.answers
            .events(request, fault, self.options.events, filler_bytes, gap_ms)
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Reply {
        let notices = &self.answers.notices;
        self.advance();
        if let Some(reply) = self.answers.misdirected(request) {
            return reply;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/report") => notices.with_leaving(self.report()),
            ("POST", "/api/order") => notices.with_leaving(self.receive_order(request)),
            _ => self.serve_within_room(request),
        }
    }
}

impl Handler for PlatformEngine {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        if self.full.load(Ordering::Relaxed) || self.answers.room.is_down() {
            return Reply::Lost;
        }
        if self.answers.unresponsive.load(Ordering::Relaxed) {
            request.caller.wait_until_disconnected();
            return Reply::Lost;
        }
        self.answers.notices.record_arrival(request);
        self.answers.silence.wait();
        let reply = self.answer(request);
        self.answers.silence.wait();
        self.answers.after_previous(reply)
    }

    fn answer_early(&self, request: &Request) -> Option<EarlyAnswer> {
        request.header("Apricotdale-Model")?;
        let (first, rest) = self.answers.halves_of_events(self.options.events);
        self.answers
            .begin_early(request, "text/event-stream", [&first, &rest])
    }
}
