//! Detection of connections that have fallen silent for good while their upstreams work.
//!
//! A connection can die without a reset. Its upstream then answers probes and other requests, so
//! that nothing but the time since the connection's last data shows the fault. A sound upstream may
//! also send nothing for more than a second and then go on, on all connections at once. A connection
//! is therefore doubted only if it brings nothing for longer than that, the upstream is then heard
//! on another connection, and this one still brings nothing for a while.
//!
//! A doubt is a guess. It never ends a request: see [`Dispatcher::decide_move`].

use std::collections::HashMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;

use crate::dispatcher::Dispatcher;
use crate::job::DispatchDecision;
use crate::job::Job;
use crate::liveness::LivenessMonitor;

/// Time without data from which on a connection may be doubted. Sound upstreams may send nothing
/// for 1,600 ms.
pub(crate) const LEAST_SILENCE_MS: u64 = 1_700;

/// Time for which a connection must bring nothing after its upstream was heard on another one.
const CONFIRMATION_MS: u64 = 400;

/// Factor on the longest wait that was observed at a service, for the next one.
const WAIT_FACTOR: u64 = 2;

/// Factor for requests at an upstream that is full, where they wait for room and running ones may
/// be preempted.
const FULL_FACTOR: u64 = 2;

/// Time for which the longest wait is remembered at least; it is forgotten after twice that time.
const WAIT_WINDOW_MS: u64 = 60_000;

/// Longest wait that counts. Without a bound, a few requests that are never answered would keep all
/// others from being sent again.
const MAX_WAIT_MS: u64 = 5_000;

/// What a connection has brought of a response head that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadProgress {
    /// Nothing but what came with or shortly after the send: the request may wait at its upstream.
    None,
    /// Interim responses that go on, without a byte of the final head.
    Interim,
    /// Part of a head. Sound upstreams send it whole once they have begun with a request.
    Partial,
}

/// Request in progress whose connection has brought nothing for a while.
#[derive(Clone, Debug)]
pub struct Silence<'a> {
    /// Key of the request.
    pub key: u64,
    /// The request; its number of runs does not include the one in progress.
    pub job: &'a Job,
    /// Upstream that it was sent to.
    pub upstream: &'a UpstreamName,
    /// When its answer last got on, or of the send if it has not since. Bytes that belong to no part of
    /// an answer are no progress.
    pub since_ms: u64,
    /// Whether its caller has a part of the answer.
    pub has_begun: bool,
    /// What has come of the response head since the send.
    pub head: HeadProgress,
}

/// Evidence against the connection of one request.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    since_ms: u64,
    /// When the upstream was first heard on another connection after the silence had lasted long.
    heard_ms: u64,
}

/// Longest time that a service let requests wait for data, in the window in progress and in the one
/// before.
#[derive(Clone, Copy, Debug, Default)]
struct LongestWait {
    window: u64,
    current_ms: u64,
    former_ms: u64,
}

impl LongestWait {
    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WAIT_WINDOW_MS;
        if window > self.window {
            self.former_ms = match window - self.window {
                1 => self.current_ms,
                _ => 0,
            };
            self.current_ms = 0;
            self.window = window;
        }
    }
}

/// Requests on doubted connections, and how long services let requests wait.
#[derive(Debug, Default)]
pub(crate) struct SilentConnections {
    doubts: HashMap<u64, Doubt>,
    /// By service, and by whether a part of the answer had come.
    waits: HashMap<(GroupName, bool), LongestWait>,
}

impl Dispatcher {
    /// Records for how long a request waited at an upstream for its answer, or for the next part if
    /// the answer had begun.
    pub fn record_wait(&mut self, now_ms: u64, job: &Job, has_begun: bool, waited_ms: u64) {
        if waited_ms * WAIT_FACTOR <= LEAST_SILENCE_MS {
            return;
        }
        let waits = &mut self.silent_connections.waits;
        let wait = waits.entry((job.service.clone(), has_begun)).or_default();
        wait.advance(now_ms);
        wait.current_ms = wait.current_ms.max(waited_ms.min(MAX_WAIT_MS));
    }

    /// Returns for how long a connection may bring nothing before it is doubted, in milliseconds.
    /// The time grows with the waits that were observed at the service, with the time until the
    /// first answer that is expected of the route, where the upstream is full, and with each run.
    /// An upstream that has begun with the head lets the request wait no longer, so that none of the
    /// time for waiting is added: the time for the head counts from the send, not from its last byte.
    pub fn patience_ms(
        &mut self,
        now_ms: u64,
        directory: &Directory,
        silence: &Silence<'_>,
    ) -> u64 {
        let job = silence.job;
        let waits = &mut self.silent_connections.waits;
        let wait = waits.get_mut(&(job.service.clone(), silence.has_begun));
        let longest_ms = wait.map_or(0, |wait| {
            wait.advance(now_ms);
            wait.current_ms.max(wait.former_ms)
        });
        let target_ms = job.target_ms.saturating_sub(job.arrived_ms);
        let expected_ms = match job.kind.is_stream() {
            _ if silence.has_begun => 0,
            true => target_ms,
            false => job.expected_run_ms.max(target_ms),
        };
        let waiting_ms = LEAST_SILENCE_MS.max(longest_ms.max(expected_ms) * WAIT_FACTOR);
        let (patience_ms, factor) = match silence.head {
            HeadProgress::Partial => (LEAST_SILENCE_MS, 1),
            HeadProgress::Interim => (waiting_ms, 1),
            HeadProgress::None if self.is_full(now_ms, directory, silence.upstream) => {
                (waiting_ms, FULL_FACTOR)
            }
            HeadProgress::None => (waiting_ms, 1),
        };
        patience_ms * factor * u64::from(1 + job.runs)
    }

    /// Returns the keys of the requests whose connections are doubted, of all requests whose
    /// connections have brought nothing for [`Dispatcher::least_silence_ms`] or longer.
    pub fn doubted(
        &mut self,
        now_ms: u64,
        directory: &Directory,
        silences: &[Silence<'_>],
        monitor: &LivenessMonitor,
    ) -> Vec<u64> {
        let known = std::mem::take(&mut self.silent_connections.doubts);
        let mut doubts = HashMap::new();
        for silence in silences {
            let patience_ms = self.patience_ms(now_ms, directory, silence);
            let is_same = |doubt: &&Doubt| doubt.since_ms == silence.since_ms;
            let doubt = match known.get(&silence.key).filter(is_same) {
                Some(doubt) => Some(*doubt),
                None => monitor
                    .last_heard_ms(silence.upstream)
                    .filter(|heard_ms| *heard_ms >= silence.since_ms + patience_ms)
                    .map(|heard_ms| Doubt {
                        since_ms: silence.since_ms,
                        heard_ms,
                    }),
            };
            if let Some(doubt) = doubt {
                doubts.insert(silence.key, doubt);
            }
        }
        let is_confirmed = |doubt: &Doubt| now_ms >= doubt.heard_ms + CONFIRMATION_MS;
        let confirmed = silences.iter().map(|silence| silence.key).filter(|key| {
            let doubt = doubts.get(key);
            doubt.is_some_and(is_confirmed)
        });
        let confirmed = confirmed.collect();
        self.silent_connections.doubts = doubts;
        confirmed
    }

    /// Returns the time without data in milliseconds below which no connection is doubted.
    pub fn least_silence_ms() -> u64 {
        LEAST_SILENCE_MS
    }

    /// Returns the upstream to which a request in progress is sent now instead of waiting where it
    /// is, and spends a retry for it. `None` leaves the request where it is: if it may not run
    /// again, if its answer can't be continued, or if no upstream takes it now, for want of room,
    /// time, attempts or retries. `may_continue` says whether another upstream can continue what the
    /// caller has.
    pub fn decide_move(
        &mut self,
        now_ms: u64,
        directory: &Directory,
        job: &Job,
        may_continue: bool,
    ) -> Option<UpstreamName> {
        let may_run_again = job.kind.is_repeatable() && job.runs + 1 < job.attempts;
        if !may_run_again || !may_continue {
            return None;
        }
        let mut moved = Job {
            runs: job.runs + 1,
            awaits_retry_budget: false,
            ..job.clone()
        };
        moved.unusable.extend(job.tried.last().cloned());
        let upstream = match self.decide(now_ms, directory, &moved) {
            DispatchDecision::Send(upstream) => upstream,
            DispatchDecision::Wait(_) | DispatchDecision::Refuse(_) => return None,
        };
        // It would have to wait for a permit.
        let rejection_limit = self.rejection_limits().limit(&job.service, &upstream);
        let is_limited = rejection_limit.is_some() || self.stated_limits.limit(&upstream).is_some();
        (!is_limited && self.spend_retry(now_ms, &moved)).then_some(upstream)
    }
}
