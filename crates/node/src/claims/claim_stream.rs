//! One claim stream: its table, what waits for it, and what is to be appended.

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

/// `Wait` is how a wait for a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Replay decided.
    Decided(ClaimVerdict),
    /// The claim is certainly not on the stream.
    NotAppended,
    /// Nothing was decided in time. The claim may still come onto the stream.
    TimedOut,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Slot {
    Waiting,
    Decided(ClaimVerdict),
    NotAppended,
}

/// `ClaimStream` is one claim stream as this process sees it.
pub struct ClaimStream {
    /// The stream.
    pub name: StreamName,
    /// How often the stream is read.
    pub pace: Pace,
    table: Mutex<ClaimTable>,
    slots: Mutex<HashMap<RequestId, Slot>>,
    moved: Condvar,
    queue: Sender<ClaimRecord>,
    queued: Receiver<ClaimRecord>,
    open_ends: AtomicUsize,
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
            slots: Mutex::new(HashMap::new()),
            moved: Condvar::new(),
            queue,
            queued,
            open_ends: AtomicUsize::new(0),
            caught_up: AtomicBool::new(false),
        }
    }

    /// Returns whether the table has been replayed to the stream's end, or taken from a peer, at
    /// least once.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Notes that the table is as new as can be had.
    pub fn note_caught_up(&self) {
        self.caught_up.store(true, Ordering::Release);
    }

    /// Reads or changes the table.
    pub fn with_table<T>(&self, act: impl FnOnce(&mut ClaimTable) -> T) -> T {
        act(&mut self.table.lock())
    }

    /// Returns what is known of a key.
    pub fn entry(&self, key: &IdempotencyKey) -> Option<ClaimEntry> {
        self.table.lock().entry(key).cloned()
    }

    /// Queues a record.
    pub fn queue(&self, record: ClaimRecord) {
        self.pace.follow_closely();
        self.queue
            .send(record)
            .expect("the stream holds the receiver too");
    }

    /// Returns the records to append, in order.
    pub fn queued(&self) -> &Receiver<ClaimRecord> {
        &self.queued
    }

    /// Begins to wait for a request's claim. Called before the claim is queued.
    pub fn begin_wait(&self, request: &RequestId) {
        self.slots.lock().insert(request.clone(), Slot::Waiting);
    }

    /// Waits until the request's claim is decided.
    pub fn wait(&self, request: &RequestId, timeout: Duration) -> Wait {
        let deadline = Instant::now() + timeout;
        let mut slots = self.slots.lock();
        loop {
            let timed_out = match slots.get(request) {
                Some(Slot::Waiting) => self.moved.wait_until(&mut slots, deadline).timed_out(),
                _ => false,
            };
            match slots.get(request) {
                Some(Slot::Waiting) if !timed_out => {}
                Some(Slot::Decided(verdict)) => {
                    let verdict = verdict.clone();
                    slots.remove(request);
                    return Wait::Decided(verdict);
                }
                Some(Slot::NotAppended) => {
                    slots.remove(request);
                    return Wait::NotAppended;
                }
                Some(Slot::Waiting) | None => {
                    slots.remove(request);
                    return Wait::TimedOut;
                }
            }
        }
    }

    /// Tells the waiting request of its verdict. Returns whether anyone waited.
    pub fn decide(&self, request: &RequestId, verdict: &ClaimVerdict) -> bool {
        let mut slots = self.slots.lock();
        let Some(slot) = slots.get_mut(request) else {
            return false;
        };
        // The first verdict counts; a batch that was appended twice brings a second one.
        if *slot == Slot::Waiting {
            *slot = Slot::Decided(verdict.clone());
        }
        drop(slots);
        self.moved.notify_all();
        true
    }

    /// Tells the waiting request that its claim is certainly not on the stream.
    pub fn fail(&self, request: &RequestId) {
        let mut slots = self.slots.lock();
        match slots.get_mut(request) {
            Some(slot) if *slot == Slot::Waiting => *slot = Slot::NotAppended,
            _ => return,
        }
        drop(slots);
        self.moved.notify_all();
    }

    /// Queues the end of a call.
    pub fn finish(&self, finish: Finish) {
        self.open_ends.fetch_add(1, Ordering::AcqRel);
        self.queue(ClaimRecord::Finish(finish));
    }

    /// Notes that some ends are on the stream.
    pub fn note_ends_appended(&self, ends: usize) {
        self.open_ends.fetch_sub(ends, Ordering::AcqRel);
    }

    /// Returns whether every end that was queued is on the stream.
    pub fn has_no_open_ends(&self) -> bool {
        self.open_ends.load(Ordering::Acquire) == 0
    }

    /// Queues the end of a claim under which nothing will run.
    pub fn free(&self, key: &IdempotencyKey, request: &RequestId) {
        self.finish(Finish {
            key: key.clone(),
            request: request.clone(),
            ran: Ran::NotRun,
            answer: None,
        });
    }
}
