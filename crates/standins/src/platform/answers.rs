//! Answers of the platform's upstreams to requests, with and without faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::json;

use crate::http::AfterPrevious;
use crate::http::EarlyAnswer;
use crate::http::EventWriter;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stream;
use crate::http::StreamEnd;
use crate::platform::answer_faults::AnswerFault;
use crate::platform::engine_pace::EnginePace;
use crate::platform::engine_pace::RunningPace;
use crate::platform::event_texts::DEFAULT_SOFTWARE_VERSION;
use crate::platform::event_texts::EventTexts;
use crate::platform::notices::LEAVING;
use crate::platform::notices::Notices;
use crate::platform::room::Room;
use crate::platform::shared_faults::SharedFaults;
use crate::platform::silence::Silence;
use crate::platform::silence::StreamPause;
use crate::platform::site::RESUMABLE_PREFIX;

pub(crate) const ID: &str = "Apricotdale-Request-Id";
pub(crate) const SIGNATURE: &str = "Apricotdale-Response-Signature";
pub(crate) const NOT_RUN: &str = "Apricotdale-Not-Executed";
const INSTANCE: &str = "Apricotdale-Instance-Id";
const TIME_LEFT_MS: &str = "Apricotdale-Request-Deadline";
const EXPECTED_INSTANCE: &str = "Apricotdale-Expect-Instance";
pub(crate) const LOAD: &str = "Apricotdale-Server-Load";
const RATE_LIMIT: &str = "Server-Limit";
const REJECTION_LIMIT: &str = "Server-Brittle";
pub(crate) const VERSION: &str = "Apricotdale-Weight-Versions";

/// Interval at which a stream of an unresponsive upstream checks whether its client is connected.
const CLIENT_POLL_INTERVAL_MS: u64 = 5;

/// Size of a large body, which is more than an entry VM buffers.
pub const LARGE_BYTES: usize = 1_500_000;

/// Minimum number of events of a remainder that gets a fault. In a shorter one, some faults would
/// leave only events that continue the ones before, and no reader could detect the fault.
const MIN_FAULTY_EVENTS: u64 = 3;

/// Function that sends the events of a stream.
type Produce = Box<dyn FnOnce(&mut EventWriter) -> StreamEnd + Send>;

/// Request that ran, as the upstream received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRun {
    /// Identity of the request.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub target: String,
    /// Headers in the order received.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time at which the request arrived.
    pub at: Instant,
    /// Fault of its answer; absent without one.
    pub fault: Option<AnswerFault>,
}

impl RecordedRun {
    /// Returns the value of a header, or none without one.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Answers of one upstream, and the record of the requests that ran.
#[derive(Debug)]
pub(crate) struct Answers {
    pub instance: String,
    faults: Mutex<VecDeque<AnswerFault>>,
    shared_faults: Arc<Mutex<SharedFaults>>,
    /// Requests that ran, in order.
    pub runs: Mutex<Vec<RecordedRun>>,
    /// Requests whose client disconnected while they ran.
    pub left: Arc<Mutex<Vec<String>>>,
    /// Requests whose streams were sent completely.
    pub streamed: Arc<Mutex<Vec<String>>>,
    /// Whether requests that arrive are never answered and streams pause.
    pub unresponsive: Arc<AtomicBool>,
    /// Time for which nothing is sent, though everything is answered afterwards.
    pub silence: Silence,
    /// Rate limit that the answers to requests state; none if they state none.
    pub rate_limit: Mutex<Option<String>>,
    /// Limit on rejections that the answers to requests state; none if they state none.
    pub rejection_limit: Mutex<Option<String>>,
    pub notices: Notices,
    pub room: Arc<Room>,
    pace: RunningPace,
    /// Times of the rejections for want of room.
    pub rejections: Mutex<Vec<Instant>>,
    /// Statuses of the answers that are sent once more, late: before the next answer on their
    /// connection.
    pub repeated_statuses: Mutex<Vec<u16>>,
    /// Version of the upstream's software, which events that begin from now on tell.
    pub software_version: Mutex<String>,
}

impl Answers {
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            faults: Mutex::default(),
            shared_faults: Arc::default(),
            runs: Mutex::default(),
            left: Arc::default(),
            streamed: Arc::default(),
            unresponsive: Arc::default(),
            silence: Silence::default(),
            rate_limit: Mutex::default(),
            rejection_limit: Mutex::default(),
            notices: Notices::default(),
            room: Arc::default(),
            pace: RunningPace::new(None),
            rejections: Mutex::default(),
            repeated_statuses: Mutex::default(),
            software_version: Mutex::new(DEFAULT_SOFTWARE_VERSION.to_owned()),
        }
    }

    /// Returns the answers with faults that they share with those of other upstreams.
    pub fn with_shared_faults(self, shared_faults: Arc<Mutex<SharedFaults>>) -> Self {
        Self {
            shared_faults,
            ..self
        }
    }

    /// Returns the answers of an engine that works at a pace.
    pub fn with_pace(self, pace: Option<EnginePace>) -> Self {
        Self {
            pace: RunningPace::new(pace),
            ..self
        }
    }

    /// Returns the load that answers state.
    pub fn load_text(&self) -> String {
        self.pace.with_work(self.room.load_text())
    }

    /// Returns what answers state about the upstream, with the names of the fields.
    fn limits(&self) -> Vec<(&'static str, String)> {
        let limits = [
            (RATE_LIMIT, &self.rate_limit),
            (REJECTION_LIMIT, &self.rejection_limit),
            (LEAVING, &self.notices.leaving),
        ];
        let stated = limits.into_iter().filter_map(|(name, limit)| {
            let limit = limit.lock().clone();
            limit.map(|limit| (name, limit))
        });
        stated.collect()
    }

    /// Returns a reply that states the limits.
    fn with_limits(&self, reply: Reply) -> Reply {
        let limits = self.limits().into_iter();
        limits.fold(reply, |reply, (name, limit)| {
            reply.with_header(name, &limit)
        })
    }

    /// Returns the header lines that state the limits; empty if there are none.
    pub fn limit_lines(&self) -> String {
        let limits = self.limits().into_iter();
        limits
            .map(|(name, limit)| format!("{name}: {limit}\r\n"))
            .collect()
    }

    pub fn push_fault(&self, fault: AnswerFault) {
        self.faults.lock().push_back(fault);
    }

    pub fn clear_faults(&self) {
        self.faults.lock().clear();
    }

    /// Returns an answer before which the previous one on its connection may be sent once more.
    pub fn after_previous(&self, reply: Reply) -> Reply {
        let statuses = self.repeated_statuses.lock().clone();
        match statuses.is_empty() {
            true => reply,
            false => Reply::AfterPrevious(AfterPrevious {
                statuses,
                reply: Box::new(reply),
            }),
        }
    }

    /// Returns the answer that refuses a request meant for another upstream, or none.
    pub fn misdirected(&self, request: &Request) -> Option<Reply> {
        let expected = request.header(EXPECTED_INSTANCE)?;
        (expected != self.instance).then(|| self.not_run(request, 421))
    }

    /// Returns an answer which says that the request was not run.
    pub fn not_run(&self, request: &Request, status: u16) -> Reply {
        let reply = Reply::json(status, &json!({}))
            .with_header(ID, id_of(request))
            .with_header(NOT_RUN, "1")
            .with_header(INSTANCE, &self.instance);
        let reply = match status {
            503 => reply.with_header(LOAD, &self.load_text()),
            _ => reply,
        };
        let reply = self.notices.refusal(id_of(request), status, reply);
        self.with_limits(reply)
    }

    /// Returns the answer to a health check, which states what other answers state.
    pub fn healthy(&self) -> Reply {
        let reply = Reply::json(200, &json!({}))
            .with_header(INSTANCE, &self.instance)
            .with_header(LOAD, &self.load_text());
        self.with_limits(reply)
    }

    /// Returns the answer to a request whose time is over while it runs.
    pub fn out_of_time(&self, request: &Request) -> Reply {
        Reply::json(504, &json!({}))
            .with_header(ID, id_of(request))
            .with_header(SIGNATURE, &format!("s.{}", self.instance))
    }

    /// Takes the next fault, and records the request as run unless the fault rejects it.
    pub fn begin(&self, request: &Request) -> Option<AnswerFault> {
        let own = self.faults.lock().pop_front();
        let fault = own.or_else(|| self.shared_fault(request));
        let is_rejection = matches!(
            fault,
            Some(
                AnswerFault::TurnedAway
                    | AnswerFault::TurnedAwayStalled
                    | AnswerFault::TurnedAwayEndless { .. }
            )
        );
        if is_rejection {
            self.rejections.lock().push(Instant::now());
        } else {
            self.record_run(request, fault);
        }
        fault
    }

    /// Takes the next fault if it is an answer before the request's body has been read, records the
    /// request as run, and returns the answer. Of the body's parts the first is sent early.
    pub fn begin_early(
        &self,
        request: &Request,
        content_type: &str,
        [first, rest]: [&str; 2],
    ) -> Option<EarlyAnswer> {
        let mut faults = self.faults.lock();
        let fault = faults.front().copied();
        let Some(AnswerFault::EarlyUnframed { end, filler_bytes }) = fault else {
            return None;
        };
        faults.pop_front();
        self.record_run(request, fault);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ID}: {}\r\n{SIGNATURE}: s.{}\r\nContent-Type: {content_type}\r\n\r\n",
            id_of(request),
            self.instance
        );
        Some(EarlyAnswer {
            first: (head + &"x".repeat(filler_bytes) + first).into_bytes(),
            rest: rest.as_bytes().to_vec(),
            end,
        })
    }

    fn shared_fault(&self, request: &Request) -> Option<AnswerFault> {
        let is_resumable = request.path.starts_with(RESUMABLE_PREFIX);
        let mut shared_faults = self.shared_faults.lock();
        is_resumable
            .then(|| shared_faults.next(id_of(request), first_event(request), &self.instance))?
    }

    /// Records the request as run.
    pub fn record_run(&self, request: &Request, fault: Option<AnswerFault>) {
        self.runs.lock().push(RecordedRun {
            id: id_of(request).to_owned(),
            method: request.method.clone(),
            target: request.target(),
            headers: request.headers().to_vec(),
            body: request.body.clone(),
            at: request.read_at,
            fault,
        });
    }

    /// Returns the answer to a streaming request: the events after the last one that the client
    /// has, up to the event with number `count`. It breaks off when the time that the request
    /// states is over.
    pub fn events(
        &self,
        request: &Request,
        fault: Option<AnswerFault>,
        count: u64,
        filler_bytes: usize,
        gap_ms: u64,
    ) -> Reply {
        let first = first_event(request);
        let continues = first > 1;
        let texts = EventTexts::new(&self.software_version.lock());
        let cut_after = match fault {
            None
            | Some(
                AnswerFault::UnsignedStream
                | AnswerFault::Silent { .. }
                | AnswerFault::MuteAfter { .. },
            ) => None,
            Some(AnswerFault::CutAfter { events }) => Some(events),
            Some(AnswerFault::CutThen { events, .. }) if !continues => Some(events),
            Some(AnswerFault::CutThen { .. }) if first + MIN_FAULTY_EVENTS > count + 1 => None,
            Some(AnswerFault::Stream(_)) if first > count => None,
            Some(AnswerFault::Stream(fault) | AnswerFault::CutThen { then: fault, .. }) => {
                let id = id_of(request);
                let fields = self.limit_lines();
                return Reply::Raw(fault.answer(id, &self.instance, &fields, &texts, first, count));
            }
            Some(fault) => {
                let body: String = (first..=count).map(|event| texts.event(event)).collect();
                return self.unstreamed_answer(request, Some(fault), &body);
            }
        };
        let mute_after = match fault {
            Some(AnswerFault::MuteAfter { events }) => Some(events),
            _ => None,
        };
        let pause = StreamPause::of(fault, (count + 1).saturating_sub(first));
        pause.wait_before_head();
        let pace = self.pace;
        thread::sleep(pace.first_event_time());
        let (unresponsive, silence) = (self.unresponsive.clone(), self.silence.clone());
        let (left, streamed) = (self.left.clone(), self.streamed.clone());
        let id = id_of(request).to_owned();
        let until = time_left(request).map(|time_left| Instant::now() + time_left);
        let produce = move |writer: &mut EventWriter| {
            for (sent, event) in (first..=count).enumerate() {
                if until.is_some_and(|until| until <= Instant::now()) {
                    return StreamEnd::Broken;
                }
                if cut_after == Some(sent as u64) {
                    let _ = writer.send_bytes(format!("id: {event}\nda").as_bytes());
                    return StreamEnd::Broken;
                }
                let is_mute = mute_after.is_some_and(|events| events <= sent as u64);
                while is_mute || unresponsive.load(Ordering::Relaxed) {
                    if writer.caller().is_disconnected() {
                        left.lock().push(id);
                        return StreamEnd::Broken;
                    }
                    thread::sleep(Duration::from_millis(CLIENT_POLL_INTERVAL_MS));
                }
                silence.wait();
                let text = texts.filled_event(event, filler_bytes);
                let result = pause.send(writer, sent as u64, text.as_bytes());
                if result.is_err() || writer.caller().is_disconnected() {
                    left.lock().push(id);
                    return StreamEnd::Broken;
                }
                thread::sleep(pace.work_time(gap_ms));
            }
            streamed.lock().push(id);
            StreamEnd::Closed
        };
        match fault {
            Some(AnswerFault::UnsignedStream) => Self::unsigned(request, Box::new(produce)),
            _ => self.stream(request, Box::new(produce)),
        }
    }

    /// Returns the text of all events from the first on, in two parts.
    pub fn halves_of_events(&self, count: u64) -> (String, String) {
        let texts = EventTexts::new(&self.software_version.lock());
        let text = |events: RangeInclusive<u64>| events.map(|event| texts.event(event)).collect();
        (text(1..=count / 2), text(count / 2 + 1..=count))
    }

    /// Returns the answer to a streaming request that sends `count` events, then calls a function
    /// and breaks.
    pub fn events_until(
        &self,
        request: &Request,
        count: u64,
        gap_ms: u64,
        end: impl FnOnce() + Send + 'static,
    ) -> Reply {
        let first = first_event(request);
        let texts = EventTexts::new(&self.software_version.lock());
        let silence = self.silence.clone();
        let pace = self.pace;
        let produce = move |writer: &mut EventWriter| {
            for event in first..first + count {
                silence.wait();
                if writer.send_bytes(texts.event(event).as_bytes()).is_err() {
                    return StreamEnd::Broken;
                }
                thread::sleep(pace.work_time(gap_ms));
            }
            end();
            StreamEnd::Broken
        };
        self.stream(request, Box::new(produce))
    }

    fn unsigned(request: &Request, produce: Produce) -> Reply {
        Reply::Stream(Stream {
            headers: Vec::new(),
            produce,
        })
        .with_header(ID, id_of(request))
    }

    fn stream(&self, request: &Request, produce: Produce) -> Reply {
        let reply = Self::unsigned(request, produce)
            .with_header(SIGNATURE, &format!("s.{}", self.instance))
            .with_header(LOAD, &self.load_text())
            .with_header(VERSION, "1");
        self.with_limits(reply)
    }

    /// Returns how often each request ran.
    pub fn run_counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().iter() {
            *counts.entry(run.id.clone()).or_default() += 1;
        }
        counts
    }
}

/// Returns whether a body contains a marker.
pub(crate) fn contains(body: &[u8], marker: &[u8]) -> bool {
    let mut windows = body.windows(marker.len().max(1));
    windows.any(|window| window == marker)
}

/// Returns the number of the first event that the client does not have.
pub(crate) fn first_event(request: &Request) -> u64 {
    let last = request.header("Last-Event-Id");
    last.and_then(|id| id.parse().ok()).unwrap_or(0) + 1
}

/// Returns how long the client waits for the answer; none if the request does not state it.
pub(crate) fn time_left(request: &Request) -> Option<Duration> {
    let left_ms = request.header(TIME_LEFT_MS)?.parse().ok()?;
    Some(Duration::from_millis(left_ms))
}

pub(crate) fn id_of(request: &Request) -> &str {
    request.header(ID).unwrap_or_default()
}
