//! Requests in progress.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::UpstreamName;
use apricotdale_delivery::Delivery;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::Urgency;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::Route;
use apricotdale_fleet::ServingRequest;
use apricotdale_http1::RequestHead;
use apricotdale_organisations::Organisation;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::Fingerprint;
use mio::Token;

use crate::limits::Charge;

/// `Phase` is how far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits until it can be sent.
    Waiting(WaitReason),
    /// It is sent again after a pause.
    Pausing {
        /// Until when.
        until_ms: u64,
    },
    /// It was sent.
    Sent {
        /// On which connection.
        connection: Token,
        /// To which upstream.
        upstream: UpstreamName,
        /// When.
        at_ms: u64,
        /// When its answer began.
        first_byte_ms: Option<u64>,
    },
}

/// `Active` is a request in progress.
#[derive(Debug)]
pub(crate) struct Active {
    /// The caller's connection; none once the caller has left.
    pub caller: Option<Token>,
    /// Stands for the caller, who is known by the address only.
    pub caller_hash: CallerHash,
    /// Tells whether another request is the same one.
    pub fingerprint: Fingerprint,
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub serving: ServingRequest,
    pub route: Arc<Route>,
    /// The organisation that holds the caller's key, if requests carry one.
    pub organisation: Option<Arc<Organisation>>,
    /// What it counts against the limit of its organisation.
    pub charge: Option<Charge>,
    pub job: Job,
    pub phase: Phase,
    /// Whether it is under way as a trial of a request on probation.
    pub is_trial: bool,
    /// The answer, as far as the caller has been given it.
    pub delivery: Delivery,
    /// When it was first sent.
    pub first_sent_ms: Option<u64>,
    /// When the last part of the answer went to the caller.
    pub last_part_ms: u64,
    /// The longest pause between two parts.
    pub longest_gap_ms: u64,
    /// When the first part of the answer went to the caller.
    pub first_answer_ms: Option<u64>,
}

/// `ActiveRequests` holds the requests in progress by key, and when each wants attention.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequests {
    requests: HashMap<u64, Active>,
    alarms: BTreeSet<(u64, u64)>,
    next_key: u64,
}

impl ActiveRequests {
    /// Adds a request and returns its key.
    pub fn insert(&mut self, request: Active) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.alarms.insert((request.job.deadline_ms, key));
        self.requests.insert(key, request);
        key
    }

    /// Returns a request.
    pub fn get(&self, key: u64) -> Option<&Active> {
        self.requests.get(&key)
    }

    /// Returns a request to change it.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut Active> {
        self.requests.get_mut(&key)
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: u64) -> Option<Active> {
        let request = self.requests.remove(&key)?;
        self.alarms.remove(&(request.job.deadline_ms, key));
        Some(request)
    }

    /// Wakes a request up at a time, beside its deadline.
    pub fn wake_at(&mut self, at_ms: u64, key: u64) {
        self.alarms.insert((at_ms, key));
    }

    /// Returns the requests whose time has come.
    pub fn due(&mut self, now_ms: u64) -> Vec<u64> {
        let later = self.alarms.split_off(&(now_ms + 1, 0));
        let due = std::mem::replace(&mut self.alarms, later);
        due.into_iter()
            .map(|(_, key)| key)
            .filter(|key| self.requests.contains_key(key))
            .collect()
    }

    /// Returns when the next request wants attention.
    pub fn next_ms(&self) -> Option<u64> {
        self.alarms.first().map(|(at_ms, _)| *at_ms)
    }

    /// Returns the waiting requests, the most urgent first.
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

    /// Returns the requests that have not run anywhere and are not under way.
    pub fn unsent(&self) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| !matches!(request.phase, Phase::Sent { .. }))
            .filter(|(_, request)| request.job.runs == 0 && !request.delivery.has_begun())
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns every request.
    pub fn iter(&self) -> impl Iterator<Item = (&u64, &Active)> {
        self.requests.iter()
    }

    /// Returns how many requests are in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
