//! Claim table, waiting requests and append queue of one claim stream.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use parking_lot::Condvar;
use parking_lot::Mutex;

use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::StreamName;
use apricotdale_core::refusal::Ran;
use apricotdale_state::ClaimTable;
use apricotdale_state::claims::ClaimEntry;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::claims::ClaimVerdict;

use crate::streams::Pace;

/// Outcome of waiting for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWait {
    /// Replay decided the claim with this verdict.
    Decided(ClaimVerdict),
    /// The claim is certainly not on the stream.
    NotAppended,
    /// No verdict came in time. The claim may still appear on the stream.
    TimedOut,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum WaitState {
    Waiting,
    Decided(ClaimVerdict),
    NotAppended,
}

/// One claim stream as this process sees it.
pub struct ClaimStream {
    /// Name of the stream.
    pub name: StreamName,
    /// Read pacing of the stream.
    pub pace: Pace,
    table: Mutex<ClaimTable>,
    waits: Mutex<HashMap<RequestId, WaitState>>,
    decided: Condvar,
    queue: Sender<ClaimRecord>,
    queued: Receiver<ClaimRecord>,
    pending_finishes: AtomicUsize,
    caught_up: AtomicBool,
}

impl ClaimStream {
    /// Returns a stream of which nothing has been read yet.
    pub fn new(name: StreamName, pace: Pace) -> Self {
        let (queue, queued) = crossbeam_channel::unbounded();
        Self {
            name,
            pace,
            table: Mutex::new(ClaimTable::new(ClaimOptions::default())),
            waits: Mutex::new(HashMap::new()),
            decided: Condvar::new(),
            queue,
            queued,
            pending_finishes: AtomicUsize::new(0),
            caught_up: AtomicBool::new(false),
        }
    }

    /// Returns whether the table has been replayed to the stream's end, or installed from a peer, at
    /// least once.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Records that the table has been replayed to the stream's end, or installed from a peer
    /// while the log is down.
    pub fn mark_caught_up(&self) {
        self.caught_up.store(true, Ordering::Release);
    }

    /// Calls a function with the table, which is locked meanwhile.
    pub fn with_table<T>(&self, act: impl FnOnce(&mut ClaimTable) -> T) -> T {
        act(&mut self.table.lock())
    }

    /// Returns the table's entry of a key, or none if the key is unknown.
    pub fn entry(&self, key: &IdempotencyKey) -> Option<ClaimEntry> {
        self.table.lock().entry(key).cloned()
    }

    /// Queues a record for the next batch.
    pub fn queue(&self, record: ClaimRecord) {
        self.pace.follow_closely();
        self.queue
            .send(record)
            .expect("the stream holds the receiver too");
    }

    /// Returns the receiver of the queued records, in the order of their appends.
    pub fn queued(&self) -> &Receiver<ClaimRecord> {
        &self.queued
    }

    /// Registers a request that is about to wait. Must be called before its claim is queued.
    pub fn begin_wait(&self, request: &RequestId) {
        self.waits
            .lock()
            .insert(request.clone(), WaitState::Waiting);
    }

    /// Waits until the request's claim is decided, or the timeout passes.
    pub fn wait(&self, request: &RequestId, timeout: Duration) -> ClaimWait {
        let deadline = Instant::now() + timeout;
        let mut waits = self.waits.lock();
        loop {
            let timed_out = match waits.get(request) {
                Some(WaitState::Waiting) => {
                    self.decided.wait_until(&mut waits, deadline).timed_out()
                }
                _ => false,
            };
            match waits.get(request) {
                Some(WaitState::Waiting) if !timed_out => {}
                Some(WaitState::Decided(verdict)) => {
                    let verdict = verdict.clone();
                    waits.remove(request);
                    return ClaimWait::Decided(verdict);
                }
                Some(WaitState::NotAppended) => {
                    waits.remove(request);
                    return ClaimWait::NotAppended;
                }
                Some(WaitState::Waiting) | None => {
                    waits.remove(request);
                    return ClaimWait::TimedOut;
                }
            }
        }
    }

    /// Passes the verdict to the waiting request. Returns whether a request waited.
    pub fn decide(&self, request: &RequestId, verdict: &ClaimVerdict) -> bool {
        let mut waits = self.waits.lock();
        let Some(wait_state) = waits.get_mut(request) else {
            return false;
        };
        // The first verdict counts; a batch that was appended twice causes a second one.
        if *wait_state == WaitState::Waiting {
            *wait_state = WaitState::Decided(verdict.clone());
        }
        drop(waits);
        self.decided.notify_all();
        true
    }

    /// Records that the claim of a waiting request is certainly not on the stream, and wakes the
    /// request.
    pub fn mark_not_appended(&self, request: &RequestId) {
        let mut waits = self.waits.lock();
        match waits.get_mut(request) {
            Some(wait_state) if *wait_state == WaitState::Waiting => {
                *wait_state = WaitState::NotAppended
            }
            _ => return,
        }
        drop(waits);
        self.decided.notify_all();
    }

    /// Queues the finish record of a call.
    pub fn finish(&self, finish: Finish) {
        self.pending_finishes.fetch_add(1, Ordering::AcqRel);
        self.queue(ClaimRecord::Finish(finish));
    }

    /// Records that this many finish records have been appended.
    pub fn record_finishes_appended(&self, finishes: usize) {
        self.pending_finishes.fetch_sub(finishes, Ordering::AcqRel);
    }

    /// Returns whether every queued finish record has been appended.
    pub fn has_no_pending_finishes(&self) -> bool {
        self.pending_finishes.load(Ordering::Acquire) == 0
    }

    /// Queues a finish record for a claim under which no call will run.
    pub fn free(&self, key: &IdempotencyKey, request: &RequestId) {
        self.finish(Finish {
            key: key.clone(),
            request: request.clone(),
            ran: Ran::NotRun,
            answer: None,
        });
    }
}
