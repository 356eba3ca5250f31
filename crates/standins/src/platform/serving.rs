//! Answers to requests, good and bad.

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

use crate::http::EventWriter;
use crate::http::Raw;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stream;
use crate::http::StreamEnd;
use crate::platform::stream_faults::StreamFault;

pub(crate) const ID: &str = "Apricotdale-Request-Id";
pub(crate) const SIGNATURE: &str = "Apricotdale-Response-Signature";
pub(crate) const NOT_RUN: &str = "Apricotdale-Not-Executed";
const INSTANCE: &str = "Apricotdale-Instance-Id";
const MEANT: &str = "Apricotdale-Expect-Instance";
const LOAD: &str = "Apricotdale-Server-Load";
pub(crate) const VERSION: &str = "Apricotdale-Weight-Versions";

/// The time between two looks of a stream at a dark upstream whether its client has left.
const DARK_LOOK_MS: u64 = 5;

/// The bytes of a large body: more than an entry VM holds back.
pub const LARGE_BYTES: usize = 1_500_000;

/// The fewest events of a rest that is spoiled. In a shorter one, some faults would leave events that
/// follow the ones before, and no reader could tell.
const SPOILED_EVENTS: u64 = 3;

/// Interim answers of [`AnswerFault::ManyInterim`].
const INTERIM_ANSWERS: usize = 100_000;

/// What sends the events of a stream.
type Produce = Box<dyn FnOnce(&mut EventWriter) -> StreamEnd + Send>;

/// `AnswerFault` is how an answer is spoiled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AnswerFault {
    /// The request is turned away, not run.
    TurnedAway,
    /// The request runs and fails.
    Failed,
    /// The request runs, its answer is lost.
    LostAnswer,
    /// The request runs, nothing is ever answered.
    Mute,
    /// The stream breaks after some events, in the middle of the next.
    CutAfter {
        /// Whole events before the break.
        events: u64,
    },
    /// The stream is spoiled by what it holds.
    Stream(StreamFault),
    /// A request for all events is cut after some, one for three or more of the rest gets a spoiled
    /// stream.
    CutThen {
        /// Whole events before the break.
        events: u64,
        /// The stream of the rest.
        then: StreamFault,
    },
    /// The body has [`LARGE_BYTES`].
    Large,
    /// The body is cut after [`LARGE_BYTES`].
    LargeCut,
    /// Nothing follows [`LARGE_BYTES`] of the body, and the connection stays open.
    LargeStalled,
    /// The body never ends.
    Endless,
    /// The answer lacks its signature.
    Unsigned,
    /// The stream lacks its signature, and goes on.
    UnsignedStream,
    /// The request is turned away, not run, and the body of the answer never comes.
    TurnedAwayStalled,
    /// Interim answers without number come first.
    ManyInterim,
    /// Another request's answer comes first.
    CrossedFirst,
    /// Another answer follows the whole one.
    ExtraAfter,
    /// The answer has no length and ends with its connection.
    Unframed,
    /// The answer has no length, and its connection is reset before its end.
    UnframedCut,
    /// The bytes are no answer.
    Garbage,
    /// The body is encoded.
    Encoded,
}

/// `RunSeen` is a request as the upstream got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSeen {
    /// The request's identity.
    pub id: String,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When it came.
    pub at: Instant,
    /// How its answer was spoiled.
    pub fault: Option<AnswerFault>,
}

impl RunSeen {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// `Answers` gives the answers of one upstream and remembers what ran.
#[derive(Debug)]
pub(crate) struct Answers {
    instance: String,
    faults: Mutex<VecDeque<AnswerFault>>,
    /// Requests that ran, in order.
    pub runs: Mutex<Vec<RunSeen>>,
    /// Requests whose client left while they ran.
    pub left: Arc<Mutex<Vec<String>>>,
    /// Requests whose streams were sent to their ends.
    pub streamed: Arc<Mutex<Vec<String>>>,
    /// Whether nothing is sent, as if the upstream had lost its power.
    pub dark: Arc<AtomicBool>,
}

impl Answers {
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            faults: Mutex::default(),
            runs: Mutex::default(),
            left: Arc::default(),
            streamed: Arc::default(),
            dark: Arc::default(),
        }
    }

    pub fn push_fault(&self, fault: AnswerFault) {
        self.faults.lock().push_back(fault);
    }

    pub fn clear_faults(&self) {
        self.faults.lock().clear();
    }

    /// Returns the answer that refuses a request which is not for this upstream.
    pub fn misdirected(&self, request: &Request) -> Option<Reply> {
        let meant = request.header(MEANT)?;
        (meant != self.instance).then(|| self.not_run(request, 421))
    }

    /// Returns an answer that says the request was not run.
    pub fn not_run(&self, request: &Request, status: u16) -> Reply {
        Reply::json(status, &json!({}))
            .with_header(ID, id_of(request))
            .with_header(NOT_RUN, "1")
            .with_header(INSTANCE, &self.instance)
    }

    /// Returns the next fault, and notes the run unless the fault is that there is none.
    pub fn begin(&self, request: &Request) -> Option<AnswerFault> {
        let fault = self.faults.lock().pop_front();
        let turned_away = [AnswerFault::TurnedAway, AnswerFault::TurnedAwayStalled];
        if fault.is_none_or(|fault| !turned_away.contains(&fault)) {
            self.runs.lock().push(RunSeen {
                id: id_of(request).to_owned(),
                method: request.method.clone(),
                target: request.target(),
                headers: request.headers().to_vec(),
                body: request.body.clone(),
                at: Instant::now(),
                fault,
            });
        }
        fault
    }

    /// Returns the answer to a plain request.
    pub fn whole(&self, request: &Request, fault: Option<AnswerFault>, body: &str) -> Reply {
        let id = id_of(request);
        let head = |status: u16, fields: &str| {
            format!(
                "HTTP/1.1 {status} Status\r\n{ID}: {id}\r\n{SIGNATURE}: s.{}\r\n{LOAD}: 1,0,8\r\n\
                 {fields}",
                self.instance
            )
        };
        let framed = |status: u16, fields: &str| {
            format!(
                "{}Content-Length: {}\r\n\r\n{body}",
                head(status, fields),
                body.len()
            )
        };
        let other = format!(
            "HTTP/1.1 200 OK\r\n{ID}: other-{id}\r\n{SIGNATURE}: s\r\nContent-Length: 5\r\n\r\nother"
        );
        let raw = |text: String, keeps| {
            Reply::Raw(Raw {
                bytes: text.into_bytes(),
                keeps,
            })
        };
        match fault {
            None
            | Some(
                AnswerFault::CutAfter { .. }
                | AnswerFault::Stream(_)
                | AnswerFault::CutThen { .. }
                | AnswerFault::UnsignedStream,
            ) => raw(framed(200, ""), true),
            Some(
                fault @ (AnswerFault::Large | AnswerFault::LargeCut | AnswerFault::LargeStalled),
            ) => {
                let is_whole = fault == AnswerFault::Large;
                let length = LARGE_BYTES * (2 - usize::from(is_whole));
                let body = "x".repeat(LARGE_BYTES);
                let fields = format!("Content-Length: {length}\r\n\r\n{body}");
                raw(head(200, &fields), fault != AnswerFault::LargeCut)
            }
            Some(AnswerFault::Endless) => Reply::Stream(Stream {
                headers: Vec::new(),
                produce: Box::new(|writer: &mut EventWriter| {
                    let bytes = vec![b'x'; LARGE_BYTES];
                    while writer.send_bytes(&bytes).is_ok() {}
                    StreamEnd::Broken
                }),
            })
            .with_header(ID, id)
            .with_header(SIGNATURE, "s"),
            Some(AnswerFault::TurnedAway) => self.not_run(request, 503),
            Some(AnswerFault::TurnedAwayStalled) => {
                let text = format!(
                    "HTTP/1.1 503 Status\r\n{ID}: {id}\r\n{NOT_RUN}: 1\r\nContent-Length: 2\r\n\r\n"
                );
                raw(text, true)
            }
            Some(AnswerFault::Failed) => raw(framed(500, ""), true),
            Some(AnswerFault::LostAnswer) => Reply::Lost,
            Some(AnswerFault::Mute) => {
                request.caller.wait_gone();
                self.left.lock().push(id.to_owned());
                Reply::Lost
            }
            Some(AnswerFault::Unsigned) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{ID}: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                raw(text, true)
            }
            Some(AnswerFault::ManyInterim) => {
                let interim = "HTTP/1.1 103 Early\r\n\r\n".repeat(INTERIM_ANSWERS);
                raw(interim + &framed(200, ""), true)
            }
            Some(AnswerFault::CrossedFirst) => raw(other + &framed(200, ""), true),
            Some(AnswerFault::ExtraAfter) => raw(framed(200, "") + &other, true),
            Some(AnswerFault::Unframed) => raw(head(200, "\r\n") + body, false),
            Some(AnswerFault::UnframedCut) => raw(
                format!("{}Content-Length: 9999\r\n\r\n{body}", head(200, "")),
                false,
            ),
            Some(AnswerFault::Garbage) => raw("\u{1}\u{2}garbage\r\n\r\n".to_owned(), false),
            Some(AnswerFault::Encoded) => raw(framed(200, "Content-Encoding: gzip\r\n"), true),
        }
    }

    /// Returns the answer to a streaming request: events from one after the last that the client
    /// has, up to a count.
    pub fn events(
        &self,
        request: &Request,
        fault: Option<AnswerFault>,
        count: u64,
        filler_bytes: usize,
        gap_ms: u64,
    ) -> Reply {
        let first = first_event(request);
        let goes_on = first > 1;
        let cut_after = match fault {
            None | Some(AnswerFault::UnsignedStream) => None,
            Some(AnswerFault::CutAfter { events }) => Some(events),
            Some(AnswerFault::CutThen { events, .. }) if !goes_on => Some(events),
            Some(AnswerFault::CutThen { .. }) if first + SPOILED_EVENTS > count + 1 => None,
            Some(AnswerFault::Stream(_)) if first > count => None,
            Some(AnswerFault::Stream(fault) | AnswerFault::CutThen { then: fault, .. }) => {
                let id = id_of(request);
                return Reply::Raw(fault.answer(id, &self.instance, first, count));
            }
            Some(fault) => {
                let body: String = (first..=count).map(event_text).collect();
                return self.whole(request, Some(fault), &body);
            }
        };
        let dark = self.dark.clone();
        let (left, streamed) = (self.left.clone(), self.streamed.clone());
        let id = id_of(request).to_owned();
        let produce = move |writer: &mut EventWriter| {
            for (sent, event) in (first..=count).enumerate() {
                if cut_after == Some(sent as u64) {
                    let _ = writer.send_bytes(format!("id: {event}\nda").as_bytes());
                    return StreamEnd::Broken;
                }
                while dark.load(Ordering::Relaxed) {
                    if writer.caller().is_gone() {
                        left.lock().push(id);
                        return StreamEnd::Broken;
                    }
                    thread::sleep(Duration::from_millis(DARK_LOOK_MS));
                }
                let text = filled_event_text(event, filler_bytes);
                if writer.send_bytes(text.as_bytes()).is_err() || writer.caller().is_gone() {
                    left.lock().push(id);
                    return StreamEnd::Broken;
                }
                thread::sleep(Duration::from_millis(gap_ms));
            }
            streamed.lock().push(id);
            StreamEnd::Closed
        };
        match fault {
            Some(AnswerFault::UnsignedStream) => Self::unsigned(request, Box::new(produce)),
            _ => self.stream(request, Box::new(produce)),
        }
    }

    /// Returns the answer to a streaming request that stops after some events, and then does
    /// something.
    pub fn events_until(
        &self,
        request: &Request,
        count: u64,
        gap_ms: u64,
        end: impl FnOnce() + Send + 'static,
    ) -> Reply {
        let first = first_event(request);
        let produce = move |writer: &mut EventWriter| {
            for event in first..first + count {
                if writer.send_bytes(event_text(event).as_bytes()).is_err() {
                    return StreamEnd::Broken;
                }
                thread::sleep(Duration::from_millis(gap_ms));
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
        Self::unsigned(request, produce)
            .with_header(SIGNATURE, &format!("s.{}", self.instance))
            .with_header(LOAD, "1,0,8")
            .with_header(VERSION, "1")
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

/// Returns whether a body holds a marker.
pub(crate) fn holds(body: &[u8], marker: &[u8]) -> bool {
    let mut windows = body.windows(marker.len().max(1));
    windows.any(|window| window == marker)
}

/// Returns the first event that the client does not have.
fn first_event(request: &Request) -> u64 {
    let last = request.header("Last-Event-Id");
    last.and_then(|id| id.parse().ok()).unwrap_or(0) + 1
}

/// Returns an event as a sound engine sends it.
pub(crate) fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: piece {event}\n\n")
}

fn filled_event_text(event: u64, filler_bytes: usize) -> String {
    match filler_bytes {
        0 => event_text(event),
        bytes => format!(
            "id: {event}\ndata: piece {event}\ndata: {}\n\n",
            "x".repeat(bytes)
        ),
    }
}

fn id_of(request: &Request) -> &str {
    request.header(ID).unwrap_or_default()
}
