//! Calls of the log stand-in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use apricotdale_core::log::LogRecord;
use apricotdale_core::numbers::Offset;
use apricotdale_core::serving::Clock;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::clock::SystemClock;
use crate::clock::after_ms;
use crate::fault::FaultOrder;
use crate::fault::FaultSwitch;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Request;
use crate::log::options::Options;
use crate::log::streams::StreamRecords;
use crate::rate_limit::RateLimit;

const DEFAULT_MAX_RECORDS: u64 = 100;

/// Behaviour of the log stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Serves every call.
    #[default]
    Up,
    /// Answers every call with 503.
    Down,
    /// Serves each call only after the order's delay.
    Slow,
    /// Appends records, then closes the connection without an answer. Reads are answered.
    LostAnswer,
}

/// Append-only log that keeps its streams in memory.
pub struct LogStandin {
    options: Options,
    clock: SystemClock,
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    streams: BTreeMap<String, StreamRecords>,
    fault: FaultSwitch<Mode>,
    limit: RateLimit,
    effects: Effects,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Effects {
    appends: u64,
    reads: u64,
    bytes_kept: u64,
    held: u64,
}

#[derive(Deserialize)]
struct Trim {
    stream: String,
    before: Offset,
}

#[derive(Serialize)]
struct WireRecord {
    offset: Offset,
    appended_ms: u64,
    payload: String,
}

struct ReadRequest {
    from: Offset,
    max_records: usize,
    deadline: Instant,
}

impl LogStandin {
    /// Returns an empty log.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            clock: SystemClock::new(),
            state: Mutex::new(State {
                streams: BTreeMap::new(),
                fault: FaultSwitch::new(),
                limit: RateLimit::new(options.appends_per_s),
                effects: Effects::default(),
            }),
            changed: Condvar::new(),
        }
    }

    fn append(&self, stream: &str, request: &Request) -> Reply {
        let mut state = self.state.lock();
        if !self.apply_faults(&mut state) {
            return unavailable();
        }
        if !state.limit.allow(self.clock.monotonic_ms()) {
            return Reply::json(429, &json!({"error": {"code": "rate_limited"}}));
        }
        let now_ms = self.clock.unix_ms();
        let records = state.streams.entry(stream.to_owned()).or_default();
        let offset = records.append(now_ms, request.body.clone());
        state.effects.appends += 1;
        self.changed.notify_all();
        if state.fault.mode() == Mode::LostAnswer {
            state.fault.consume();
            return Reply::Lost;
        }
        Reply::json(201, &json!({"offset": offset}))
    }

    fn read(&self, stream: &str, request: &ReadRequest) -> Reply {
        let mut state = self.state.lock();
        if !self.apply_faults(&mut state) {
            return unavailable();
        }
        state.effects.reads += 1;
        loop {
            let records = self.unexpired(&mut state, stream);
            let (first, end) = (records.first(), records.end());
            let Some(found) = records.read(request.from, request.max_records) else {
                return Reply::json(410, &json!({"first": first}));
            };
            let waits = found.is_empty() && Instant::now() < request.deadline;
            if !waits {
                let found: Vec<WireRecord> = found.into_iter().map(WireRecord::new).collect();
                return Reply::json(200, &json!({"first": first, "end": end, "records": found}));
            }
            self.changed.wait_until(&mut state, request.deadline);
            // An outage that begins while a reader waits ends the wait as well.
            if state.fault.mode() == Mode::Down {
                state.fault.consume();
                return unavailable();
            }
        }
    }

    /// Returns a stream after dropping its expired records. An unknown stream is empty.
    fn unexpired<'a>(&self, state: &'a mut State, stream: &str) -> &'a StreamRecords {
        let now_ms = self.clock.unix_ms();
        let records = state.streams.entry(stream.to_owned()).or_default();
        records.expire(now_ms, self.options.retention());
        records
    }

    /// Applies the faults that precede a call's effect, and returns whether the call is served.
    fn apply_faults(&self, state: &mut MutexGuard<'_, State>) -> bool {
        self.delay(state, self.options.slow_ms);
        match state.fault.mode() {
            Mode::Down => {
                state.fault.consume();
                false
            }
            Mode::Slow => {
                let delay_ms = state.fault.delay_ms();
                state.fault.consume();
                self.delay(state, delay_ms);
                true
            }
            Mode::Up | Mode::LostAnswer => true,
        }
    }

    /// Holds a call for a time, or until the mode is set again.
    fn delay(&self, state: &mut MutexGuard<'_, State>, delay_ms: u64) {
        let generation = state.fault.generation();
        let deadline = after_ms(delay_ms);
        state.effects.held += 1;
        while state.fault.generation() == generation && Instant::now() < deadline {
            self.changed.wait_until(state, deadline);
        }
        state.effects.held -= 1;
    }

    fn set_fault(&self, request: &Request) -> Reply {
        let order: FaultOrder<Mode> = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        self.state.lock().fault.set(order);
        self.changed.notify_all();
        Reply::ok()
    }

    fn trim(&self, request: &Request) -> Reply {
        let trim: Trim = match request.json() {
            Ok(trim) => trim,
            Err(reply) => return reply,
        };
        let mut state = self.state.lock();
        state
            .streams
            .entry(trim.stream)
            .or_default()
            .trim(trim.before);
        self.changed.notify_all();
        Reply::ok()
    }

    fn effects(&self) -> Reply {
        let mut state = self.state.lock();
        let now_ms = self.clock.unix_ms();
        let retention = self.options.retention();
        for records in state.streams.values_mut() {
            records.expire(now_ms, retention);
        }
        let bytes_kept = state.streams.values().map(StreamRecords::bytes_kept).sum();
        Reply::json(
            200,
            &Effects {
                bytes_kept,
                ..state.effects
            },
        )
    }
}

impl Handler for LogStandin {
    fn handle(self: Arc<Self>, request: &Request) -> Reply {
        let segments = request.segments();
        let segments: Vec<&str> = segments.iter().map(AsRef::as_ref).collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["streams", stream, "records"]) => self.append(stream, request),
            ("GET", ["streams", stream, "records"]) => {
                self.read(stream, &ReadRequest::new(request))
            }
            ("POST", ["standin", "fault"]) => self.set_fault(request),
            ("POST", ["standin", "trim"]) => self.trim(request),
            ("GET", ["standin", "effects"]) => self.effects(),
            _ => Reply::not_found(),
        }
    }
}

impl ReadRequest {
    fn new(request: &Request) -> Self {
        let max = request.query_number("max").unwrap_or(DEFAULT_MAX_RECORDS);
        let wait_ms = request.query_number("wait_ms").unwrap_or(0);
        Self {
            from: Offset(request.query_number("from").unwrap_or(0)),
            max_records: usize::try_from(max).unwrap_or(usize::MAX),
            deadline: after_ms(wait_ms),
        }
    }
}

impl WireRecord {
    fn new(record: LogRecord) -> Self {
        Self {
            offset: record.offset,
            appended_ms: record.appended_ms,
            payload: STANDARD.encode(record.payload),
        }
    }
}

fn unavailable() -> Reply {
    Reply::json(503, &json!({"error": {"code": "down"}}))
}
