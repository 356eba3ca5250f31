//! Callers of the soak: what they send, how they read answers and how they resume streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::LARGE_BYTES;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteRequest;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::bodies::has_own_body;
use crate::bodies::own_body;
use crate::bodies::refusal_reason;
use crate::clock::Clock;
use crate::keys::Keys;
use crate::keys::ORGANISATIONS;
use crate::keys::STABLE_ORGANISATION;
use crate::plan::Crasher;
use crate::record::Attempt;
use crate::record::Ending;
use crate::record::Kind;
use crate::record::Presented;
use crate::streams::BodySeen;
use crate::streams::StreamSeen;
use crate::vms::Vms;

/// Timeout that a caller names in its request.
pub(crate) const CALLER_TIMEOUT_MS: u64 = 3_000;

/// Time for which a caller reads beyond its timeout, so that late answers are recorded.
const LATE_ANSWER_READ_MS: u64 = 2_500;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause of a caller after a request that could not be sent.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// One in this many requests is abandoned by its caller before the answer.
const DISCONNECT_ONE_IN: u32 = 25;

/// Before one in this many requests a caller closes its connection and draws a VM anew.
const CHANGE_VM_ONE_IN: u32 = 12;

/// One in this many streams has the same body as others.
const SHARED_PROMPT_ONE_IN: u32 = 4;

/// One in this many streams that broke off is resumed by its caller.
const RESUME_ONE_IN: u32 = 2;

/// One in this many resumable streams is left by its caller after some events, and resumed at
/// another VM.
const LEAVE_STREAM_ONE_IN: u32 = 3;

/// One in this many resumptions that brought no event is sent again.
const RESUME_AGAIN_ONE_IN: u32 = 2;

/// Upper bound of the attempts of one stream.
const MAX_TRIES: u32 = 3;

/// Request header that names the attempt which brought the first event of a stream.
const RESUMES_HEADER: &str = "Resumes";

/// Mask that gives the draws of callers who leave and resume streams a seed of their own.
const LEAVE_SEED_MASK: u64 = 0x6c65_6176_6573_0000;

/// Request header that names the last event ID which the caller has.
pub(crate) const LAST_EVENT_HEADER: &str = "Last-Event-Id";

/// Mask that gives the draws of keys a seed of their own.
pub(crate) const KEY_SEED_MASK: u64 = 0x6b65_7973_0000_0000;

/// Models that callers name.
pub(crate) const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

/// Rarely used models, which callers ask for in turn. With [`MODELS`] they are more than six engines
/// of three models each hold.
pub(crate) const MODELS_IN_TURN: [&str; 16] = [
    "t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10", "t11", "t12", "t13", "t14",
    "t15",
];

/// Returns all models that callers name.
pub(crate) fn all_models() -> impl Iterator<Item = &'static str> {
    MODELS.into_iter().chain(MODELS_IN_TURN)
}

/// When a caller closes its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Leaving {
    AfterMs(u64),
    AfterEvent(u64),
}

/// Next attempt of a stream whose caller resumes it.
struct Resumption {
    request: SiteRequest,
    /// Number of attempts before this one.
    tries: u32,
    /// VM that the caller left; none if it may resume there.
    left_vm: Option<usize>,
}

/// State that the callers share, with what they sent and observed.
pub(crate) struct Workload {
    pub clock: Clock,
    pub vms: Arc<Vms>,
    pub keys: Arc<Keys>,
    pub attempts: Mutex<Vec<Attempt>>,
    /// Every request that was sent, by request ID.
    pub sent: Mutex<HashMap<String, SiteRequest>>,
    /// Request IDs and bodies of the requests that crash engines.
    pub crasher_ids: Mutex<Vec<(String, String)>>,
    pub stopped: AtomicBool,
    next_id: AtomicU64,
    /// Number of events of a complete stream.
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

    /// Sends requests of an organisation until the workload stops, on one connection as long as it
    /// lasts.
    pub fn run_caller(&self, organisation: usize, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut key_random = ChaCha8Rng::seed_from_u64(seed ^ KEY_SEED_MASK);
        let mut leave_random = ChaCha8Rng::seed_from_u64(seed ^ LEAVE_SEED_MASK);
        let mut kept: Option<(usize, SocketAddr, Caller)> = None;
        let mut resumption: Option<Resumption> = None;
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
            let (kind, request, tries, left_vm) = match resumption.take() {
                Some(it) => (Kind::Quick, it.request, it.tries, it.left_vm),
                None => (drawn, self.new_request(drawn, &mut random), 0, None),
            };
            let vm = match left_vm {
                Some(left_vm) => {
                    kept = None;
                    let step = leave_random.random_range(1..self.vms.len().max(2));
                    (left_vm + step) % self.vms.len()
                }
                None => vm,
            };
            let leaving = match leaves_after_ms {
                Some(after_ms) => Some(Leaving::AfterMs(after_ms)),
                None => self.draw_leaving(kind, &request, tries, &mut leave_random),
            };
            let connection = kept.take().map(|(_, address, caller)| (address, caller));
            let keyed = self
                .keys
                .with_drawn_key(&request, organisation, &mut key_random);
            let (attempt, connection) = self.attempt(vm, kind, &keyed, connection, leaving);
            if attempt.ending == Ending::Unsent {
                thread::sleep(CONNECT_RETRY_PAUSE);
            }
            resumption = self
                .resumption_request(&attempt, &request, tries, &mut random, &mut leave_random)
                .map(|request| Resumption {
                    request,
                    tries: tries + 1,
                    left_vm: attempt.left_after_event.map(|_| vm),
                });
            self.attempts.lock().push(attempt);
            kept = connection.map(|(address, caller)| (vm, address, caller));
            thread::sleep(Duration::from_millis(random.random_range(2..40)));
        }
    }

    /// Sends a request that crashes engines again and again until the workload stops, each time to
    /// a VM drawn at random and under a new request ID.
    pub fn run_crasher(&self, crasher: &Crasher, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        while !self.stopped.load(Ordering::Acquire) {
            let number = self.next_id.fetch_add(1, Ordering::Relaxed);
            let id = format!("e-{number}");
            let (kind, ask) = match crasher.resumable {
                true => (Kind::Quick, SiteRequest::quick(&id, crasher.model)),
                false => (Kind::Patient, SiteRequest::patient(&id, crasher.model)),
            };
            let request = match crasher.part() {
                Some(part) => {
                    let ask = ask.with_body(format!("{part} {id}").as_bytes());
                    // The first part is that of all harmless streams.
                    let parts = format!("5c1e07a2:60,{part}:20,{number:x}:20");
                    ask.with_parts(&parts)
                }
                None => ask.with_body(crasher.body.as_bytes()),
            };
            let request = request.with_timeout_ms(CALLER_TIMEOUT_MS);
            self.sent.lock().insert(id.clone(), request.clone());
            self.crasher_ids.lock().push((id, crasher.body.clone()));
            let vm = random.random_range(0..self.vms.len());
            let keyed = self.keys.with_stable_key(&request);
            let (attempt, _) = self.attempt(vm, kind, &keyed, None, None);
            self.attempts.lock().push(attempt);
            thread::sleep(Duration::from_millis(crasher.pause_ms));
        }
    }

    /// Sends one request and returns its outcome, and the connection if it can be reused.
    pub fn attempt(
        &self,
        vm: usize,
        kind: Kind,
        (request, presented): &(SiteRequest, Presented),
        kept: Option<(SocketAddr, Caller)>,
        leaving: Option<Leaving>,
    ) -> (Attempt, Option<(SocketAddr, Caller)>) {
        let sent_ms = self.clock.now_ms();
        let attempt = |ending| Attempt {
            id: request.id.clone(),
            kind,
            vm,
            presented: *presented,
            after_event: after_event(request),
            resumes: header(request, RESUMES_HEADER).map(str::to_owned),
            left_after_event: None,
            sent_ms,
            ended_ms: self.clock.now_ms(),
            patience_ms: CALLER_TIMEOUT_MS,
            model: request.model().map(Arc::from),
            rank: Site::rank(&request.target),
            has_own_body: has_own_body(request),
            refusal: None,
            ending,
        };
        let Some((address, mut caller)) = self.connection(vm, kept) else {
            return (attempt(Ending::Unsent), None);
        };
        if caller.send(&request.bytes()).is_err() {
            return (attempt(Ending::Unsent), None);
        }
        if let Some(Leaving::AfterMs(after_ms)) = leaving {
            thread::sleep(Duration::from_millis(after_ms));
            caller.leave();
            return (attempt(Ending::Left), None);
        }
        let leaves_after = match leaving {
            Some(Leaving::AfterEvent(event)) => event,
            _ => u64::MAX,
        };
        let has_left = |body: &[u8]| {
            leaves_after < u64::MAX && self.last_event_in(request, body) >= Some(leaves_after)
        };
        match caller.answer_until(has_left) {
            Ok(answer) if !answer.complete && has_left(&answer.body) => {
                caller.leave();
                let ending = self.ending(kind, request, &answer);
                let attempt = Attempt {
                    left_after_event: Some(leaves_after),
                    ..attempt(ending)
                };
                (attempt, None)
            }
            Ok(answer) if answer.head.is_none() => (attempt(Ending::Unanswered), None),
            Ok(answer) => {
                let is_reusable = !answer.closes();
                let attempt = Attempt {
                    refusal: refusal_reason(&answer),
                    ..attempt(self.ending(kind, request, &answer))
                };
                (attempt, is_reusable.then_some((address, caller)))
            }
            Err(_) => (attempt(unparsable_answer()), None),
        }
    }

    /// Returns the kept connection if it is still open, or else a new one; none if the VM does not
    /// run or refuses the connection.
    fn connection(
        &self,
        vm: usize,
        kept: Option<(SocketAddr, Caller)>,
    ) -> Option<(SocketAddr, Caller)> {
        if let Some((address, caller)) = kept.filter(|(_, caller)| !caller.is_closed()) {
            return Some((address, caller));
        }
        let address = self.vms.caller_address(vm)?;
        let caller = Caller::connect(address, CONNECT_TIMEOUT).ok()?;
        caller
            .set_read_timeout(Duration::from_millis(
                CALLER_TIMEOUT_MS + LATE_ANSWER_READ_MS,
            ))
            .ok()?;
        Some((address, caller))
    }

    /// Returns a request with a new ID, from which its answer is recognised.
    pub fn new_request(&self, kind: Kind, random: &mut ChaCha8Rng) -> SiteRequest {
        let id = self.new_id();
        let model = MODELS[random.random_range(0..MODELS.len())];
        let request = match kind {
            Kind::Look => SiteRequest::new("GET", &format!("/look/shelf?r={id}"), &id),
            Kind::Book => SiteRequest::new("POST", &format!("/book/slot?r={id}"), &id)
                .with_body(format!("{{\"booking\":\"{id}\"}}").as_bytes()),
            Kind::Quick if random.random_ratio(1, 4) => {
                let adapter = random.random_range(1..4);
                SiteRequest::quick(&id, &format!("m0/a{adapter}"))
            }
            Kind::Quick => SiteRequest::quick(&id, "m0"),
            Kind::Patient => SiteRequest::patient(&id, model),
        };
        // Most streams have a body of their own; some have the same body as those of other callers.
        let is_unique = kind.is_stream() && !random.random_ratio(1, SHARED_PROMPT_ONE_IN);
        let request = match is_unique {
            true => request.with_body(own_body(&id).as_bytes()),
            false => request,
        };
        let request = request.with_timeout_ms(CALLER_TIMEOUT_MS);
        self.sent.lock().insert(id, request.clone());
        request
    }

    pub fn new_id(&self) -> String {
        format!("a-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns after which event the caller of a stream leaves, if it does.
    fn draw_leaving(
        &self,
        kind: Kind,
        request: &SiteRequest,
        tries: u32,
        random: &mut ChaCha8Rng,
    ) -> Option<Leaving> {
        let after = after_event(request) + random.random_range(1..4);
        let leaves = random.random_ratio(1, LEAVE_STREAM_ONE_IN)
            && kind == Kind::Quick
            && tries + 1 < MAX_TRIES
            && after < self.events;
        leaves.then_some(Leaving::AfterEvent(after))
    }

    /// Returns the request for the remainder of a stream that broke off or was left, if its caller
    /// resumes it.
    fn resumption_request(
        &self,
        attempt: &Attempt,
        request: &SiteRequest,
        tries: u32,
        random: &mut ChaCha8Rng,
        leave_random: &mut ChaCha8Rng,
    ) -> Option<SiteRequest> {
        let is_whole = matches!(
            attempt.ending,
            Ending::Answered {
                status: 200,
                whole: true,
                ..
            }
        );
        let received = attempt.events().and_then(StreamSeen::last_id);
        let last = match received {
            _ if attempt.kind != Kind::Quick || is_whole || tries + 1 >= MAX_TRIES => None,
            Some(last) if attempt.left_after_event.is_some() => Some(last),
            Some(last) if last >= self.events => None,
            Some(last) => random.random_ratio(1, RESUME_ONE_IN).then_some(last),
            None if attempt.after_event == 0 => None,
            None => leave_random
                .random_ratio(1, RESUME_AGAIN_ONE_IN)
                .then_some(attempt.after_event),
        }?;
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let first_id = attempt.stream().to_owned();
        let mut resumed = SiteRequest {
            id: format!("r-{number}"),
            ..request.clone()
        };
        resumed
            .headers
            .retain(|(name, _)| name != LAST_EVENT_HEADER && name != RESUMES_HEADER);
        let resumed = resumed.resuming(&first_id, last);
        self.sent.lock().insert(resumed.id.clone(), resumed.clone());
        Some(resumed)
    }

    /// Returns the ID of the last complete event in the body of an answer to a request.
    fn last_event_in(&self, request: &SiteRequest, body: &[u8]) -> Option<u64> {
        let text = String::from_utf8_lossy(body);
        StreamSeen::read(&text, after_event(request) + 1, self.events, None).last_id()
    }

    fn ending(&self, kind: Kind, request: &SiteRequest, answer: &Answer) -> Ending {
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
                let own = match answer.complete {
                    true => answer.text() == expected,
                    false => expected.starts_with(&answer.text()) || is_large,
                };
                BodySeen::Plain { own }
            }
        };
        Ending::Answered {
            status: answer.status(),
            whole: answer.complete,
            id: answer.id(),
            signed: answer.is_signed(),
            body,
        }
    }
}

/// Returns the last event ID that a request says its caller has; 0 if it names none.
fn after_event(request: &SiteRequest) -> u64 {
    last_event(header(request, LAST_EVENT_HEADER))
}

fn header<'a>(request: &'a SiteRequest, name: &str) -> Option<&'a str> {
    let mut headers = request.headers.iter();
    let named = headers.find(|(field, _)| field == name);
    named.map(|(_, value)| value.as_str())
}

/// Parses the last event ID from a header value; 0 if it is absent or no number.
pub(crate) fn last_event(header: Option<&str>) -> u64 {
    header.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// Returns the outcome of an attempt that was answered with bytes that are no HTTP.
fn unparsable_answer() -> Ending {
    Ending::Answered {
        status: 200,
        whole: false,
        id: None,
        signed: false,
        body: BodySeen::Plain { own: false },
    }
}

/// Returns the organisation of a caller. Only one caller in four belongs to the organisation with a
/// limit, so that most requests are served.
pub(crate) fn organisation_of(caller: usize) -> usize {
    match caller % 4 {
        3 => STABLE_ORGANISATION,
        index => index % ORGANISATIONS.len(),
    }
}

pub(crate) fn draw_kind(random: &mut ChaCha8Rng) -> Kind {
    match random.random_range(0..10) {
        0..=2 => Kind::Look,
        3..=5 => Kind::Book,
        6 | 7 => Kind::Quick,
        _ => Kind::Patient,
    }
}
