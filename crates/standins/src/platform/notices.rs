//! What an upstream states about itself in its answers, and the record of what reaches it.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Instant;

use parking_lot::Mutex;

use crate::http::Reply;
use crate::http::Request;
use crate::platform::answer_faults::AnswerFault;
use crate::platform::answers::ID;
use crate::platform::answers::contains;
use crate::platform::engine::PlatformEngine;
use crate::platform::service::PlatformService;

pub(crate) const LEAVING: &str = "Server-Leaving";
const RETRY_AFTER: &str = "Retry-After";

/// Request, order or report call that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identity of the request; empty for calls of a VM.
    pub id: String,
    /// Path with the query.
    pub target: String,
    /// Address that it came from; none if the connection has ended.
    pub from: Option<IpAddr>,
    /// Whether the answer was that the request was not meant for this upstream.
    pub is_misdirected: bool,
    /// Time at which it arrived.
    pub at: Instant,
}

/// Rejection of a request that stated a time for which none is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestAnswer {
    /// Identity of the request.
    pub id: String,
    /// Address that it came from; none if the connection ended before it could be read.
    pub from: Option<IpAddr>,
    /// Time at which it was rejected.
    pub at: Instant,
    /// Seconds that were stated.
    pub seconds: u64,
}

/// Notices of one upstream, and the record of what reaches it.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    /// Text by which answers to requests state that the upstream leaves; absent if they don't.
    pub leaving: Mutex<Option<String>>,
    /// The same in the answers to reports and orders.
    pub leaving_in_calls: Mutex<Option<String>>,
    /// Texts of the times that the next rejections state, one header each.
    pub retry_after: Mutex<VecDeque<Vec<String>>>,
    /// Seconds that the rejections of all requests state; absent if they are not rejected.
    pub rest_seconds: Mutex<Option<u64>>,
    pub rest_answers: Mutex<Vec<RestAnswer>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Marker in the bodies of requests that are rejected, and the time that the rejection states.
    pub rest_trigger: Mutex<Option<(Vec<u8>, String)>>,
    /// Marker in the bodies of requests from which on the upstream states that it leaves.
    pub leave_trigger: Mutex<Option<Vec<u8>>>,
}

impl Notices {
    pub fn record_arrival(&self, request: &Request) {
        self.arrivals.lock().push(Arrival {
            id: request.header(ID).unwrap_or_default().to_owned(),
            target: request.target(),
            from: request.caller.address(),
            is_misdirected: false,
            at: Instant::now(),
        });
    }

    /// Returns the answer that refuses a request, with the time that a rejection states, and
    /// records that a request was not meant for this upstream.
    pub fn refusal(&self, id: &str, status: u16, reply: Reply) -> Reply {
        match status {
            421 => self.mark_misdirected(id),
            503 => return self.with_retry_after(reply),
            _ => {}
        }
        reply
    }

    /// Records that the newest arrival of a request was not meant for this upstream.
    fn mark_misdirected(&self, id: &str) {
        let mut arrivals = self.arrivals.lock();
        if let Some(arrival) = arrivals.iter_mut().rfind(|it| it.id == id) {
            arrival.is_misdirected = true;
        }
    }

    /// Applies the triggers that a request matches. Returns whether it is to be rejected.
    pub fn apply_triggers(&self, request: &Request) -> bool {
        let leaves = self.leave_trigger.lock();
        if leaves
            .as_ref()
            .is_some_and(|it| contains(&request.body, it))
        {
            *self.leaving.lock() = Some("1".to_owned());
        }
        let rests = self.rest_trigger.lock();
        let Some((_, text)) = rests.as_ref().filter(|it| contains(&request.body, &it.0)) else {
            return false;
        };
        self.retry_after.lock().push_back(vec![text.clone()]);
        true
    }

    /// Returns whether the upstream rejects a request because it rests, and records that it does.
    pub fn rejects_for_rest(&self, request: &Request) -> bool {
        let Some(seconds) = *self.rest_seconds.lock() else {
            return false;
        };
        let text = seconds.to_string();
        self.retry_after.lock().push_back(vec![text]);
        self.rest_answers.lock().push(RestAnswer {
            id: request.header(ID).unwrap_or_default().to_owned(),
            from: request.caller.address(),
            at: Instant::now(),
            seconds,
        });
        true
    }

    /// Returns the answer to a report or an order, which states whether the upstream leaves.
    pub fn with_leaving(&self, reply: Reply) -> Reply {
        let leaving = self.leaving_in_calls.lock().clone();
        match leaving {
            Some(text) => reply.with_header(LEAVING, &text),
            None => reply,
        }
    }

    /// Returns a rejection that states when another request is wanted.
    fn with_retry_after(&self, reply: Reply) -> Reply {
        let texts = self.retry_after.lock().pop_front().unwrap_or_default();
        texts
            .iter()
            .fold(reply, |reply, text| reply.with_header(RETRY_AFTER, text))
    }
}

impl PlatformEngine {
    /// Sets the text by which answers to requests state that the engine leaves; none to state
    /// nothing.
    pub fn set_leaving(&self, leaving: Option<&str>) {
        *self.notices().leaving.lock() = leaving.map(str::to_owned);
    }

    /// Sets the text by which answers to reports and orders state that the engine leaves; none to
    /// state nothing. A VM reads reports all the time, and would learn of it before any request.
    pub fn set_leaving_in_calls(&self, leaving: Option<&str>) {
        *self.notices().leaving_in_calls.lock() = leaving.map(str::to_owned);
    }

    /// Makes the engine reject the next request that has no fault yet, and state these times, one
    /// header each.
    pub fn ask_for_rest(&self, texts: &[&str]) {
        let texts = texts.iter().map(ToString::to_string).collect();
        self.notices().retry_after.lock().push_back(texts);
        self.push_fault(AnswerFault::TurnedAway);
    }

    /// Makes the engine reject all requests and state these seconds of rest; none to reject none.
    pub fn set_resting(&self, seconds: Option<u64>) {
        *self.notices().rest_seconds.lock() = seconds;
    }

    /// Returns the rejections of [`PlatformEngine::set_resting`], in order.
    pub fn rest_answers(&self) -> Vec<RestAnswer> {
        self.notices().rest_answers.lock().clone()
    }

    /// Returns what has reached the engine, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.notices().arrivals.lock().clone()
    }
}

impl PlatformService {
    /// Sets the text by which all answers state that the instance leaves; none to state nothing.
    pub fn set_leaving(&self, leaving: Option<&str>) {
        *self.notices().leaving.lock() = leaving.map(str::to_owned);
    }

    /// Returns what has reached the instance, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.notices().arrivals.lock().clone()
    }

    /// Makes the instance reject each request whose body contains a marker, and state a time.
    pub fn ask_for_rest_on(&self, marker: &[u8], text: &str) {
        *self.notices().rest_trigger.lock() = Some((marker.to_vec(), text.to_owned()));
    }

    /// Makes the instance state that it leaves from the first request on whose body contains a
    /// marker.
    pub fn leave_on(&self, marker: &[u8]) {
        *self.notices().leave_trigger.lock() = Some(marker.to_vec());
    }
}
