//! Requests in progress, and the times at which they need attention.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_delivery::Delivery;
use apricotdale_dispatch::Deadline;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::Urgency;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::Route;
use apricotdale_fleet::ServingRequest;
use apricotdale_http1::RequestHead;
use apricotdale_organisations::Organisation;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::RequestFeatures;
use mio::Token;

use crate::limits::Charge;
use crate::stream_resumption::StreamInProgress;

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits until it can be sent.
    Waiting(WaitReason),
    /// Is sent again after a pause.
    Pausing {
        /// End of the pause.
        until_ms: u64,
    },
    /// Has been sent, and its answer has not ended.
    Sent {
        /// Connection that it was sent on.
        connection: Token,
        /// Upstream that it was sent to.
        upstream: UpstreamName,
        /// Origin of what that upstream writes, as known when the request was sent.
        origin: Origin,
        /// When this attempt was sent.
        at_ms: u64,
        /// When its answer began; none before that.
        first_byte_ms: Option<u64>,
    },
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Connection of the caller; none once the caller has left.
    pub caller: Option<Token>,
    /// Identifies the caller, who is known by the address only.
    pub caller_hash: CallerHash,
    /// Identify the request, of which duplicates have the same, and its prompt parts.
    pub features: RequestFeatures,
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub serving: ServingRequest,
    pub route: Arc<Route>,
    /// Organisation that holds the caller's key; none if the request needs no key.
    pub organisation: Option<Arc<Organisation>>,
    /// Cost that counts against the limit of its organisation; none without a limit.
    pub charge: Option<Charge>,
    pub job: Job,
    /// Time limits that the deadline of its job is derived from.
    pub deadline: Deadline,
    pub phase: Phase,
    /// Stream that it begins or resumes; none if no other upstream may continue it.
    pub stream: Option<StreamInProgress>,
    /// Number of the trial run as which it is being sent; none if it is not on probation.
    pub trial: Option<u64>,
    /// State of the answer as delivered to the caller so far.
    pub delivery: Delivery,
    /// When the request was first sent; none before that.
    pub first_sent_ms: Option<u64>,
    /// When the last part of the answer was delivered to the caller.
    pub last_part_ms: u64,
    /// Longest time between two parts of the answer.
    pub longest_gap_ms: u64,
    /// When the first part of the answer was delivered to the caller; none before that.
    pub first_answer_ms: Option<u64>,
    /// Version of the configuration in force when the request arrived.
    pub arrived_version: u64,
    /// When an upstream's last byte came or the request was last sent; none before that.
    pub last_received_ms: Option<u64>,
    /// Connections over which it has been sent.
    pub connections: Vec<Token>,
}

/// Requests in progress by key, and the times at which they need attention.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequests {
    requests: HashMap<u64, ActiveRequest>,
    /// Times of wake-ups with the keys of their requests.
    wake_ups: BTreeSet<(u64, u64)>,
    next_key: u64,
}

impl ActiveRequests {
    /// Adds a request and returns its key.
    pub fn insert(&mut self, request: ActiveRequest) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.wake_ups.insert((request.job.deadline_ms, key));
        self.requests.insert(key, request);
        key
    }

    /// Returns a key that no request has or will have.
    pub fn reserve_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key - 1
    }

    pub fn get(&self, key: u64) -> Option<&ActiveRequest> {
        self.requests.get(&key)
    }

    pub fn get_mut(&mut self, key: u64) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(&key)
    }

    /// Removes a request and its deadline.
    pub fn remove(&mut self, key: u64) -> Option<ActiveRequest> {
        let request = self.requests.remove(&key)?;
        self.wake_ups.remove(&(request.job.deadline_ms, key));
        Some(request)
    }

    /// Applies a function to the deadline of each request, and schedules its wake-up.
    pub fn update_deadlines(&mut self, update: impl Fn(&ActiveRequest, &mut Deadline)) {
        for (key, request) in &mut self.requests {
            let mut deadline = request.deadline;
            update(request, &mut deadline);
            if deadline == request.deadline {
                continue;
            }
            // The earlier wake-up stays, since the request may also have asked for it.
            request.deadline = deadline;
            request.job.deadline_ms = deadline.answer_by_ms();
            self.wake_ups.insert((request.job.deadline_ms, *key));
        }
    }

    /// Schedules a wake-up of a request in addition to its deadline.
    pub fn wake_at(&mut self, at_ms: u64, key: u64) {
        self.wake_ups.insert((at_ms, key));
    }

    /// Removes the wake-ups that are due and returns the keys of their requests.
    pub fn due(&mut self, now_ms: u64) -> Vec<u64> {
        let later = self.wake_ups.split_off(&(now_ms + 1, 0));
        let due = std::mem::replace(&mut self.wake_ups, later);
        due.into_iter()
            .map(|(_, key)| key)
            .filter(|key| self.requests.contains_key(key))
            .collect()
    }

    /// Returns the time of the next wake-up.
    pub fn next_ms(&self) -> Option<u64> {
        self.wake_ups.first().map(|(at_ms, _)| *at_ms)
    }

    /// Returns the keys of the waiting requests, the most urgent first.
    pub fn waiting(&self, now_ms: u64) -> Vec<u64> {
        let mut waiting: Vec<(Urgency, u64)> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.phase, Phase::Waiting(_)))
            .map(|(key, request)| (request.job.urgency(now_ms), *key))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the keys of the requests that have run nowhere and are not being sent.
    pub fn never_sent(&self) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| !matches!(request.phase, Phase::Sent { .. }))
            .filter(|(_, request)| request.job.runs == 0 && !request.delivery.has_begun())
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns the keys of the requests whose answers have not begun.
    pub fn unbegun(&self) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| !request.delivery.has_begun())
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns all requests with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&u64, &ActiveRequest)> {
        self.requests.iter()
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
