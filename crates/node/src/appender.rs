//! Appends this process's control records, one at a time and in order.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use log::warn;

use apricotdale_core::Error;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Proposer;
use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;
use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::Clock;
use apricotdale_telemetry::AppendOutcome;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::StreamKind;

use crate::log_health::LogHealth;
use crate::streams::Pace;

/// Pause between two attempts of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Appends of unknown outcome after which a proposal is dropped. A retried record has the same
/// sequence, so replay counts it once.
const MAX_UNKNOWN_ATTEMPTS: u32 = 20;

/// Consecutive appends of unknown outcome after which the log counts as down. After a
/// single lost answer the next attempt follows at once.
const DOWN_AFTER_UNKNOWN_APPENDS: u32 = 3;

/// Interval at which the thread checks the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(200);

/// Handling of a proposal while the log is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The proposal is dropped: its proposer decides anew.
    Drop,
    /// The append is retried until it succeeds: the record states a fact that must not be lost.
    Keep,
}

/// Outcome of a proposal's append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The record has this offset.
    At(Offset),
    /// The record is not on the log and will not appear there.
    Not(Error),
    /// The record may be on the log; replay shows whether it is.
    Unknown(Error),
}

type Build = Box<dyn Fn(Proposer) -> ControlRecord + Send>;
type Done = Box<dyn FnOnce(Appended) + Send>;

struct Proposal {
    build: Build,
    persistence: Persistence,
    done: Done,
}

/// Appends control records in the order in which they are proposed.
///
/// All records of a process go through one thread, because replay drops a record whose sequence is
/// not above the last one: with two threads the appends could be out of order, and one of the two
/// records would be lost silently.
#[derive(Clone)]
pub struct Appender {
    queue: Sender<Proposal>,
}

/// Epoch of this process; empty before the process has joined.
#[derive(Debug, Default)]
pub struct EpochCell(AtomicU64, AtomicBool);

impl EpochCell {
    pub fn set(&self, epoch: Epoch) {
        self.0.store(epoch.0, Ordering::Release);
        self.1.store(true, Ordering::Release);
    }

    /// Empties the cell, after which this process may decide nothing.
    pub fn clear(&self) {
        self.1.store(false, Ordering::Release);
    }

    /// Returns the epoch, or none if this process has not joined or its epoch was cleared.
    pub fn get(&self) -> Option<Epoch> {
        self.1
            .load(Ordering::Acquire)
            .then(|| Epoch(self.0.load(Ordering::Acquire)))
    }
}

/// State and clients that the appender uses.
pub struct AppenderParts {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Name of the control stream.
    pub stream: StreamName,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Receives the outcome of each append.
    pub health: Arc<LogHealth>,
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
    /// Epoch of this process, under which records are appended.
    pub epoch: Arc<EpochCell>,
    /// Read pacing of the control stream.
    pub pace: Pace,
}

impl Appender {
    /// Starts the appending thread.
    pub fn start(parts: AppenderParts) -> (Self, thread::JoinHandle<()>) {
        let (queue, proposals) = crossbeam_channel::unbounded();
        let handle = thread::Builder::new()
            .name("control-appender".into())
            .spawn(move || Worker { parts, sequence: 0 }.run(&proposals))
            .expect("the appender thread can be started");
        (Self { queue }, handle)
    }

    /// Queues a proposal. `done` is called with the outcome of its append.
    pub fn propose(
        &self,
        persistence: Persistence,
        build: impl Fn(Proposer) -> ControlRecord + Send + 'static,
        done: impl FnOnce(Appended) + Send + 'static,
    ) {
        let proposal = Proposal {
            build: Box::new(build),
            persistence,
            done: Box::new(done),
        };
        if let Err(unsent) = self.queue.send(proposal) {
            (unsent.into_inner().done)(Appended::Not(Error::unavailable("the daemon stops")));
        }
    }
}

struct Worker {
    parts: AppenderParts,
    sequence: u64,
}

impl Worker {
    fn run(mut self, proposals: &Receiver<Proposal>) {
        loop {
            match proposals.recv_timeout(STOP_CHECK) {
                Ok(proposal) => self.append(proposal),
                Err(RecvTimeoutError::Timeout) if self.stopped() => return,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn append(&mut self, proposal: Proposal) {
        let Some(epoch) = self.await_epoch(proposal.persistence) else {
            let error = Error::unavailable("this process has not joined");
            return (proposal.done)(Appended::Not(error));
        };
        self.sequence += 1;
        let proposer = Proposer {
            vm: self.parts.vm.clone(),
            epoch,
            sequence: self.sequence,
        };
        let payload = (proposal.build)(proposer).encode();
        let outcome = self.append_with_retries(&payload, proposal.persistence);
        (proposal.done)(outcome);
    }

    fn await_epoch(&self, persistence: Persistence) -> Option<Epoch> {
        loop {
            match self.parts.epoch.get() {
                Some(epoch) => return Some(epoch),
                None if persistence == Persistence::Drop || self.stopped() => return None,
                None => thread::sleep(RETRY_PAUSE),
            }
        }
    }

    /// Appends a payload, with retries as the persistence says.
    fn append_with_retries(&self, payload: &[u8], persistence: Persistence) -> Appended {
        let mut unknown_attempts = 0;
        loop {
            self.parts.pace.follow_closely();
            let outcome = self.parts.log.append(&self.parts.stream, payload);
            self.count(&outcome);
            let error = match outcome {
                Ok(offset) => {
                    self.parts
                        .health
                        .record_append(self.parts.clock.monotonic_ms(), true);
                    return Appended::At(offset);
                }
                Err(error) => error,
            };
            warn!("append to the control stream failed: {error}");
            let is_certain = matches!(error, Error::Unavailable(_) | Error::Rejected(_));
            unknown_attempts += u32::from(!is_certain);
            if is_certain || unknown_attempts >= DOWN_AFTER_UNKNOWN_APPENDS {
                self.parts
                    .health
                    .record_append(self.parts.clock.monotonic_ms(), false);
            }
            match persistence {
                _ if self.stopped() && unknown_attempts > 0 => return Appended::Unknown(error),
                _ if self.stopped() => return Appended::Not(error),
                Persistence::Drop if is_certain && unknown_attempts == 0 => {
                    return Appended::Not(error);
                }
                Persistence::Drop if unknown_attempts >= MAX_UNKNOWN_ATTEMPTS || is_certain => {
                    return Appended::Unknown(error);
                }
                Persistence::Drop | Persistence::Keep => thread::sleep(RETRY_PAUSE),
            }
        }
    }

    fn count(&self, outcome: &Result<Offset, Error>) {
        let outcome = append_outcome(outcome);
        self.parts
            .metrics
            .node()
            .record_append(StreamKind::Control, outcome);
    }

    fn stopped(&self) -> bool {
        self.parts.stop.load(Ordering::Relaxed)
    }
}

/// Returns the outcome under which metrics count an append.
pub fn append_outcome(outcome: &Result<Offset, Error>) -> AppendOutcome {
    match outcome {
        Ok(_) => AppendOutcome::Appended,
        Err(error) if error.ran() == Ran::NotRun => AppendOutcome::NotAppended,
        Err(_) => AppendOutcome::Unknown,
    }
}
