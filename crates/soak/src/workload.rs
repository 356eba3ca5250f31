//! Callers that go on asking.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::Ask;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::LARGE_BYTES;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Clock;
use crate::keys::Keys;
use crate::keys::ORGANISATIONS;
use crate::keys::STABLE_ORGANISATION;
use crate::plan::Burst;
use crate::plan::Crasher;
use crate::record::Attempt;
use crate::record::Ending;
use crate::record::Kind;
use crate::record::Presented;
use crate::streams::BodySeen;
use crate::streams::StreamSeen;
use crate::vms::Vms;

/// How long a caller waits for its answer.
pub(crate) const CALLER_TIMEOUT_MS: u64 = 3_000;

/// How much longer a caller reads, to see an answer that comes too late.
const LATE_ANSWER_READ_MS: u64 = 2_500;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The pause after a connection that could not be opened.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// One in so many callers leaves before its answer.
const DISCONNECT_ONE_IN: u32 = 25;

/// One in so many callers goes on with another VM on another connection.
const CHANGE_VM_ONE_IN: u32 = 12;

/// One in so many streams is the same as others.
const SHARED_PROMPT_ONE_IN: u32 = 4;

/// One in so many streams that broke off is resumed by its caller.
const RESUME_ONE_IN: u32 = 2;

/// The header in which a caller names the last event that it has.
pub(crate) const LAST_EVENT_HEADER: &str = "Last-Event-Id";

/// Sets the draws of keys apart from those of the callers.
const KEY_SEED_MASK: u64 = 0x6b65_7973_0000_0000;

/// The models that callers name.
pub(crate) const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

/// What the callers share.
pub(crate) struct Workload {
    pub clock: Clock,
    pub vms: Arc<Vms>,
    pub keys: Arc<Keys>,
    pub attempts: Mutex<Vec<Attempt>>,
    /// What was sent under each identity.
    pub sent: Mutex<HashMap<String, Ask>>,
    /// Identities of requests that end engines, with their bodies.
    pub crasher_ids: Mutex<Vec<(String, String)>>,
    pub stopped: AtomicBool,
    next_id: AtomicU64,
    /// Events of a whole stream.
    events: u64,
}

impl Workload {
    pub fn new(clock: Clock, vms: Arc<Vms>, keys: Arc<Keys>, events: u64) -> Self {
        Self {
            clock,
            vms,
            keys,
            attempts: Mutex::default(),
            sent: Mutex::default(),
            crasher_ids: Mutex::default(),
            stopped: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            events,
        }
    }

    /// Asks for an organisation until the soak ends, on a connection that is kept as long as it
    /// stands.
    pub fn run_caller(&self, organisation: usize, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut key_random = ChaCha8Rng::seed_from_u64(seed ^ KEY_SEED_MASK);
        let mut kept: Option<(usize, SocketAddr, Caller)> = None;
        let mut rest: Option<Ask> = None;
        while !self.stopped.load(Ordering::Acquire) {
            if random.random_ratio(1, CHANGE_VM_ONE_IN) {
                kept = None;
            }
            let vm = match &kept {
                Some((vm, ..)) => *vm,
                None => random.random_range(0..self.vms.len()),
            };
            let drawn = draw_kind(&mut random);
            let leaves = random.random_ratio(1, DISCONNECT_ONE_IN);
            let leaves_after_ms = leaves.then(|| random.random_range(1..60));
            let (kind, request) = match rest.take() {
                Some(request) => (Kind::Quick, request),
                None => (drawn, self.request(drawn, &mut random)),
            };
            let connection = kept.take().map(|(_, address, caller)| (address, caller));
            let keyed = self
                .keys
                .with_drawn_key(&request, organisation, &mut key_random);
            let (attempt, connection) = self.attempt(vm, kind, &keyed, connection, leaves_after_ms);
            if attempt.ending == Ending::Unsent {
                thread::sleep(CONNECT_RETRY_PAUSE);
            }
            rest = self.rest(&attempt, &request, &mut random);
            self.attempts.lock().push(attempt);
            kept = connection.map(|(address, caller)| (vm, address, caller));
            thread::sleep(Duration::from_millis(random.random_range(2..40)));
        }
    }

    /// Sends a request that ends engines again and again until the soak ends, each time to another
    /// VM and under another identity.
    pub fn crash(&self, crasher: &Crasher, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        while !self.stopped.load(Ordering::Acquire) {
            let number = self.next_id.fetch_add(1, Ordering::Relaxed);
            let id = format!("e-{number}");
            let (kind, ask) = match crasher.resumable {
                true => (Kind::Quick, Ask::quick(&id, crasher.model)),
                false => (Kind::Patient, Ask::patient(&id, crasher.model)),
            };
            let request = ask
                .with_body(crasher.body.as_bytes())
                .waiting_ms(CALLER_TIMEOUT_MS);
            self.sent.lock().insert(id.clone(), request.clone());
            self.crasher_ids.lock().push((id, crasher.body.clone()));
            let vm = random.random_range(0..self.vms.len());
            let keyed = self.keys.with_stable_key(&request);
            let (attempt, _) = self.attempt(vm, kind, &keyed, None, None);
            self.attempts.lock().push(attempt);
            thread::sleep(Duration::from_millis(crasher.pause_ms));
        }
    }

    /// Sends calls of an organisation at any VM until its burst or the soak ends.
    pub fn burst(&self, burst: &Burst, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut key_random = ChaCha8Rng::seed_from_u64(seed ^ KEY_SEED_MASK);
        let until_ms = self.clock.now_ms() + burst.for_ms;
        let mut kept: Option<(usize, SocketAddr, Caller)> = None;
        while !self.stopped.load(Ordering::Acquire) && self.clock.now_ms() < until_ms {
            let (vm, connection) = match kept.take() {
                Some((vm, address, caller)) => (vm, Some((address, caller))),
                None => (random.random_range(0..self.vms.len()), None),
            };
            let kind = match random.random_bool(0.5) {
                true => Kind::Look,
                false => Kind::Book,
            };
            let request = self.request(kind, &mut random);
            let keyed = self
                .keys
                .with_drawn_key(&request, burst.organisation, &mut key_random);
            let (attempt, connection) = self.attempt(vm, kind, &keyed, connection, None);
            self.attempts.lock().push(attempt);
            kept = connection.map(|(address, caller)| (vm, address, caller));
            thread::sleep(Duration::from_millis(burst.pause_ms));
        }
    }

    /// Sends one request and returns what became of it, and the connection if it can be kept.
    pub fn attempt(
        &self,
        vm: usize,
        kind: Kind,
        (request, presented): &(Ask, Presented),
        kept: Option<(SocketAddr, Caller)>,
        leaves_after_ms: Option<u64>,
    ) -> (Attempt, Option<(SocketAddr, Caller)>) {
        let sent_ms = self.clock.now_ms();
        let attempt = |ending| Attempt {
            id: request.id.clone(),
            kind,
            vm,
            presented: *presented,
            after_event: after_event(request),
            sent_ms,
            ended_ms: self.clock.now_ms(),
            patience_ms: CALLER_TIMEOUT_MS,
            ending,
        };
        let Some((address, mut caller)) = self.connection(vm, kept) else {
            return (attempt(Ending::Unsent), None);
        };
        if caller.send(&request.bytes()).is_err() {
            return (attempt(Ending::Unsent), None);
        }
        if let Some(after_ms) = leaves_after_ms {
            thread::sleep(Duration::from_millis(after_ms));
            caller.leave();
            return (attempt(Ending::Left), None);
        }
        match caller.answer() {
            Ok(answer) if answer.head.is_none() => (attempt(Ending::Unanswered), None),
            Ok(answer) => {
                let keeps = !answer.closes();
                let ending = self.ending(kind, request, &answer);
                (attempt(ending), keeps.then_some((address, caller)))
            }
            Err(_) => (attempt(unparsable_answer()), None),
        }
    }

    /// Returns the kept connection if it still stands, or else a new one.
    fn connection(
        &self,
        vm: usize,
        kept: Option<(SocketAddr, Caller)>,
    ) -> Option<(SocketAddr, Caller)> {
        if let Some((address, caller)) = kept.filter(|(_, caller)| !caller.has_ended()) {
            return Some((address, caller));
        }
        let address = self.vms.callers(vm)?;
        let caller = Caller::connect(address, CONNECT_TIMEOUT).ok()?;
        caller
            .set_patience(Duration::from_millis(
                CALLER_TIMEOUT_MS + LATE_ANSWER_READ_MS,
            ))
            .ok()?;
        Some((address, caller))
    }

    /// Returns a request of its own identity, by which its answer can be told from any other.
    pub fn request(&self, kind: Kind, random: &mut ChaCha8Rng) -> Ask {
        let id = format!("a-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let model = MODELS[random.random_range(0..MODELS.len())];
        let request = match kind {
            Kind::Look => Ask::new("GET", &format!("/look/shelf?r={id}"), &id),
            Kind::Book => Ask::new("POST", &format!("/book/slot?r={id}"), &id)
                .with_body(format!("{{\"booking\":\"{id}\"}}").as_bytes()),
            Kind::Quick if random.random_ratio(1, 4) => {
                let adapter = random.random_range(1..4);
                Ask::quick(&id, &format!("m0/a{adapter}"))
            }
            Kind::Quick => Ask::quick(&id, "m0"),
            Kind::Patient => Ask::patient(&id, model),
        };
        // Most streams are requests of their own; some are the same from many callers.
        let is_own = kind.is_stream() && !random.random_ratio(1, SHARED_PROMPT_ONE_IN);
        let request = match is_own {
            true => request.with_body(format!("prompt of {id}").as_bytes()),
            false => request,
        };
        let request = request.waiting_ms(CALLER_TIMEOUT_MS);
        self.sent.lock().insert(id, request.clone());
        request
    }

    /// Returns the request for the rest of a stream that broke off, if its caller resumes it.
    fn rest(&self, attempt: &Attempt, request: &Ask, random: &mut ChaCha8Rng) -> Option<Ask> {
        let last = match &attempt.ending {
            Ending::Answered {
                status: 200,
                whole: false,
                body: BodySeen::Stream(stream),
                ..
            } if attempt.kind == Kind::Quick => stream.last_id()?,
            _ => return None,
        };
        if last >= self.events || !random.random_ratio(1, RESUME_ONE_IN) {
            return None;
        }
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut rest = Ask {
            id: format!("r-{number}"),
            ..request.clone()
        };
        rest.headers.retain(|(name, _)| name != LAST_EVENT_HEADER);
        let rest = rest.with(LAST_EVENT_HEADER, &last.to_string());
        self.sent.lock().insert(rest.id.clone(), rest.clone());
        Some(rest)
    }

    fn ending(&self, kind: Kind, request: &Ask, answer: &Answer) -> Ending {
        let body = match kind.is_stream() {
            true => BodySeen::Stream(StreamSeen::read(
                &answer.text(),
                after_event(request) + 1,
                self.events,
                answer.version(),
            )),
            false => {
                let expected = format!("{} {}", request.method, request.target);
                let is_large = answer.body.len() <= LARGE_BYTES
                    && answer.body.iter().all(|byte| *byte == b'x');
                let own = match answer.whole {
                    true => answer.text() == expected,
                    false => expected.starts_with(&answer.text()) || is_large,
                };
                BodySeen::Plain { own }
            }
        };
        Ending::Answered {
            status: answer.status(),
            whole: answer.whole,
            id: answer.id(),
            signed: answer.is_signed(),
            body,
        }
    }
}

/// Returns the last event that the caller of a request has; 0 if none.
fn after_event(request: &Ask) -> u64 {
    let mut headers = request.headers.iter();
    let named = headers.find(|(name, _)| name == LAST_EVENT_HEADER);
    last_event(named.map(|(_, value)| value.as_str()))
}

/// Returns the event that a header names; 0 if none.
pub(crate) fn last_event(header: Option<&str>) -> u64 {
    header.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// Returns the ending of an attempt that was answered with bytes that are no HTTP.
fn unparsable_answer() -> Ending {
    Ending::Answered {
        status: 200,
        whole: false,
        id: None,
        signed: false,
        body: BodySeen::Plain { own: false },
    }
}

/// Returns the organisation of a caller: one in four has the limited one, so that most requests are
/// served.
pub(crate) fn organisation_of(caller: usize) -> usize {
    match caller % 4 {
        3 => STABLE_ORGANISATION,
        rest => rest % ORGANISATIONS.len(),
    }
}

fn draw_kind(random: &mut ChaCha8Rng) -> Kind {
    match random.random_range(0..10) {
        0..=2 => Kind::Look,
        3..=5 => Kind::Book,
        6 | 7 => Kind::Quick,
        _ => Kind::Patient,
    }
}
