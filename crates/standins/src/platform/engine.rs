//! A model engine of the platform.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::json;

use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stopper;
use crate::platform::orders::Holdings;
use crate::platform::orders::OrderFault;
use crate::platform::orders::WireOrder;
use crate::platform::serving::AnswerFault;
use crate::platform::serving::Answers;
use crate::platform::serving::RunSeen;
use crate::platform::serving::holds;
use crate::platform::store::PlatformStore;

/// When the first run of each engine starts, in Unix milliseconds.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

/// How much later each further run starts.
const NEXT_BORN_MS: u64 = 1_000;

/// `CrashTrigger` is a request under which an engine ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashTrigger {
    /// Bytes by which the request's body is known.
    pub marker: Vec<u8>,
    /// Events that are sent before the end.
    pub after_events: u64,
    /// How long the request runs before its first event, or before the end where none is sent.
    pub after_ms: u64,
}

/// `EngineOptions` is what an engine is like.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The identity under which it starts, also again.
    pub instance: String,
    /// The service.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// Models that it holds at its start.
    pub models: Vec<String>,
    /// Models of which it has copies on its disk.
    pub on_disk: Vec<String>,
    /// Models that fit at once.
    pub model_places: usize,
    /// Adapters that fit at once.
    pub adapter_places: usize,
    /// A load from the weight store.
    pub store_load_ms: u64,
    /// A load from the disk.
    pub disk_load_ms: u64,
    /// An unload.
    pub unload_ms: u64,
    /// Events of a whole stream.
    pub events: u64,
    /// The time between two events.
    pub gap_ms: u64,
    /// Bytes by which each event is made larger.
    pub filler_bytes: usize,
    /// The requests under which it ends.
    pub crashes: Vec<CrashTrigger>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            instance: "i-0".to_owned(),
            service: "llm".to_owned(),
            zone: "zone-a".to_owned(),
            models: Vec::new(),
            on_disk: Vec::new(),
            model_places: 3,
            adapter_places: 4,
            store_load_ms: 400,
            disk_load_ms: 60,
            unload_ms: 20,
            events: 6,
            gap_ms: 2,
            filler_bytes: 0,
            crashes: Vec::new(),
        }
    }
}

/// `EngineEffects` is what an engine was told and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEffects {
    /// Loads that ended.
    pub loads: u64,
    /// Orders that were refused.
    pub refused: u64,
    /// Orders for which there was no room; a real engine crashes.
    pub overcommitted: u64,
    /// Fence and holder of each order that was taken, in order.
    pub holders: Vec<(u64, String)>,
}

/// `PlatformEngine` is a model engine. It can start again under its identity.
pub struct PlatformEngine {
    options: EngineOptions,
    holdings: Mutex<Holdings>,
    answers: Answers,
    order_faults: Mutex<VecDeque<OrderFault>>,
    store: PlatformStore,
    entry: Mutex<Entry>,
    full: AtomicBool,
    /// How the engine ends by itself, once it listens.
    stopper: Mutex<Option<Stopper>>,
    /// When the engine ended by itself, and the body of the request under which it did.
    crashed: Mutex<Option<(Instant, Vec<u8>)>>,
    /// When requests with a marker began to run, and their bodies.
    marked_runs: Mutex<Vec<(Instant, Vec<u8>)>>,
}

#[derive(Default)]
struct Entry {
    address: Option<SocketAddr>,
    revision: u64,
    draining: bool,
    gone: bool,
    /// How often the engine has started again.
    restarts: u64,
}

impl Entry {
    fn born_ms(&self) -> u64 {
        FIRST_BORN_MS + self.restarts * NEXT_BORN_MS
    }
}

impl PlatformEngine {
    /// Returns an engine that writes its entry into a store.
    pub fn new(options: EngineOptions, store: PlatformStore) -> Self {
        Self {
            holdings: Mutex::new(Holdings::new(options.clone())),
            answers: Answers::new(&options.instance),
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

    /// Takes in how the engine can end by itself.
    pub(crate) fn set_stopper(&self, stopper: Stopper) {
        *self.stopper.lock() = Some(stopper);
    }

    /// Returns when the engine ended under a request, and the request's body.
    pub fn crashed(&self) -> Option<(Instant, Vec<u8>)> {
        self.crashed.lock().clone()
    }

    /// Returns when requests began to run under which the engine ends, with their bodies. Those whose
    /// callers have left do not count.
    pub fn marked_runs(&self) -> Vec<(Instant, Vec<u8>)> {
        self.marked_runs.lock().clone()
    }

    fn forget_marked_run(&self, body: &[u8]) {
        let mut runs = self.marked_runs.lock();
        if let Some(index) = runs.iter().position(|(_, of)| of == body) {
            runs.remove(index);
        }
    }

    /// Ends the engine as a fault of its process does: nothing more is sent or accepted.
    fn crash(&self, body: &[u8]) {
        self.crashed
            .lock()
            .get_or_insert_with(|| (Instant::now(), body.to_vec()));
        if let Some(stopper) = self.stopper.lock().clone() {
            stopper.stop();
        }
    }

    /// Returns the run's identity.
    pub fn name(&self) -> &str {
        &self.options.instance
    }

    /// Writes the engine's entry, at its start with its address.
    pub fn announce(&self, address: Option<SocketAddr>) {
        let mut entry = self.entry.lock();
        entry.address = address.or(entry.address);
        entry.revision += 1;
        let Some(address) = entry.address.filter(|_| !entry.gone) else {
            return;
        };
        let mut value = self.holdings.lock().describe();
        value["service"] = json!(self.options.service);
        value["address"] = json!(address.to_string());
        value["zone"] = json!(self.options.zone);
        value["version"] = json!("v1");
        value["slots"] = json!(8);
        value["state"] = json!(if entry.draining { "draining" } else { "ready" });
        value["cold_remaining_ms"] = json!(0);
        value["sequence"] = json!(entry.revision);
        value["born"] = json!(entry.born_ms());
        let bytes = value.to_string().into_bytes();
        self.store
            .put("keyed.servers", &self.options.instance, &bytes);
    }

    /// Starts the engine again under its identity: it holds only what is on its disk, and counts
    /// from the beginning. What the run before had of requests stays without an answer. The entry
    /// is written with the next [`PlatformEngine::announce`].
    pub fn restart(&self) {
        let mut entry = self.entry.lock();
        entry.restarts += 1;
        entry.revision = 0;
        entry.draining = false;
        self.holdings.lock().restart();
    }

    /// Returns the bytes of the engine's entry as it was last written.
    pub fn entry(&self) -> Option<Vec<u8>> {
        self.store.newest("keyed.servers", &self.options.instance)
    }

    /// Writes other bytes where the engine's entry stands.
    pub fn overwrite_entry(&self, bytes: &[u8]) {
        self.store
            .put("keyed.servers", &self.options.instance, bytes);
    }

    /// Sends nothing any more, on any connection, as if the engine had lost its power; or again.
    pub fn set_dark(&self, dark: bool) {
        self.answers.dark.store(dark, Ordering::Relaxed);
    }

    /// Closes new connections unanswered while its streams stand still, as a full engine does.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
        self.answers.dark.store(full, Ordering::Relaxed);
    }

    fn report(&self) -> Reply {
        let mut report = self.holdings.lock().describe();
        report["born"] = json!(self.entry.lock().born_ms());
        Reply::json(200, &report)
    }

    /// Reports that the engine leaves.
    pub fn drain(&self) {
        self.entry.lock().draining = true;
        self.announce(None);
    }

    /// Removes the engine's entry, until it [comes back](PlatformEngine::come_back).
    pub fn withdraw(&self) {
        self.entry.lock().gone = true;
        self.store.put("keyed.servers", &self.options.instance, b"");
    }

    /// Writes the engine's entry as it is now, or removes it again, in a store that came back from an
    /// older copy.
    pub fn write_again(&self) {
        let gone = self.entry.lock().gone;
        match gone {
            true => self.withdraw(),
            false => self.announce(None),
        }
    }

    /// Writes the engine's entry again after it was removed, as a live engine does whose entry
    /// lapsed.
    pub fn come_back(&self) {
        self.entry.lock().gone = false;
        self.announce(None);
    }

    /// Spoils the next answer.
    pub fn push_fault(&self, fault: AnswerFault) {
        self.answers.push_fault(fault);
    }

    /// Takes back the faults that are still to come.
    pub fn clear_faults(&self) {
        self.answers.clear_faults();
    }

    /// Spoils the next order.
    pub fn push_order_fault(&self, fault: OrderFault) {
        self.order_faults.lock().push_back(fault);
    }

    /// Returns the requests that ran, in order.
    pub fn runs(&self) -> Vec<RunSeen> {
        self.answers.runs.lock().clone()
    }

    /// Returns how often each request ran.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        self.answers.run_counts()
    }

    /// Returns the requests whose client left while they ran.
    pub fn left(&self) -> Vec<String> {
        self.answers.left.lock().clone()
    }

    /// Returns the requests whose streams were sent to their ends.
    pub fn streamed(&self) -> Vec<String> {
        self.answers.streamed.lock().clone()
    }

    /// Returns what the engine was told and did.
    pub fn effects(&self) -> EngineEffects {
        let holdings = self.holdings.lock();
        EngineEffects {
            loads: holdings.loads,
            refused: holdings.refused,
            overcommitted: holdings.overcommitted,
            holders: holdings.holders.clone(),
        }
    }

    /// Returns whether the engine can run a model, or an adapter after a slash.
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

    fn take_order(self: &Arc<Self>, request: &Request) -> Reply {
        let order: WireOrder = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let fault = self.order_faults.lock().pop_front();
        match fault {
            None => {
                let status = self.holdings.lock().take(&order);
                Reply::json(status, &json!({}))
            }
            Some(OrderFault::LostAnswer) => {
                self.holdings.lock().take(&order);
                Reply::Lost
            }
            Some(OrderFault::Late { after_ms }) => {
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(after_ms));
                    engine.holdings.lock().take(&order);
                });
                Reply::Lost
            }
        }
    }

    fn serve(self: &Arc<Self>, request: &Request) -> Reply {
        let wanted = request.header("Apricotdale-Model").unwrap_or_default();
        if !self.holdings.lock().serves(wanted) {
            return self.answers.not_run(request, 421);
        }
        let fault = self.answers.begin(request);
        let crashes = self.options.crashes.iter();
        let mut crashes = crashes.filter(|it| holds(&request.body, &it.marker));
        if let Some(trigger) = crashes.next() {
            let run = (Instant::now(), request.body.clone());
            self.marked_runs.lock().push(run);
            thread::sleep(Duration::from_millis(trigger.after_ms));
            // A request whose connection is closed is dropped.
            if request.caller.is_gone() {
                self.forget_marked_run(&request.body);
                return Reply::Lost;
            }
            let engine = self.clone();
            let body = request.body.clone();
            let end = move || engine.crash(&body);
            let (events, gap_ms) = (trigger.after_events, self.options.gap_ms);
            return self.answers.events_until(request, events, gap_ms, end);
        }
        let (filler_bytes, gap_ms) = (self.options.filler_bytes, self.options.gap_ms);
        self.answers
            .events(request, fault, self.options.events, filler_bytes, gap_ms)
    }
}

impl Handler for PlatformEngine {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        if self.full.load(Ordering::Relaxed) {
            return Reply::Lost;
        }
        if self.answers.dark.load(Ordering::Relaxed) {
            request.caller.wait_gone();
            return Reply::Lost;
        }
        self.advance();
        if let Some(reply) = self.answers.misdirected(request) {
            return reply;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/report") => self.report(),
            ("POST", "/api/order") => self.take_order(request),
            _ => self.serve(request),
        }
    }
}
