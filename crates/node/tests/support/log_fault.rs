//! Faults of the log.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_state::parts::SnapshotBody;
use apricotdale_state::parts::SnapshotRecord;

use super::wait_until;

/// Fault of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// Nothing is appended, and the answer is an error that says so.
    Refuse,
    /// Nothing is appended, and no answer comes.
    LoseRecord,
    /// The record is appended, and no answer comes.
    LoseAnswer,
    /// No answer comes, and the record is appended once the test releases it.
    Delay,
    /// Both the record and the answer are held until the test releases them.
    Hold,
    /// The record is appended, and the daemon is paused before it gets the answer.
    Pause,
}

/// Fault of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFault {
    /// Nothing is read, and the answer is an error that says so.
    Refuse,
    /// The answer is held until the test releases it.
    Hold,
    /// The daemon is paused before the first matching read; later reads are not affected.
    PauseBefore,
    /// The daemon is paused between the first matching read and its answer; later reads are not
    /// affected.
    PauseAfter,
}

/// Append that a daemon attempts.
pub struct Append<'a> {
    pub vm: &'a VmName,
    pub stream: &'a StreamName,
    pub payload: &'a [u8],
}

impl Append<'_> {
    pub fn is_by(&self, vm: &VmName) -> bool {
        self.vm == vm
    }

    pub fn control(&self) -> Option<ControlRecord> {
        match self.stream.as_str() {
            "control" => ControlRecord::decode(self.payload),
            _ => None,
        }
    }

    pub fn is_load(&self) -> bool {
        matches!(self.control(), Some(ControlRecord::Load(_)))
    }

    pub fn is_unload_of(&self, model: &str) -> bool {
        match self.control() {
            Some(ControlRecord::Unload(unload)) => unload.model.as_str() == model,
            _ => false,
        }
    }

    pub fn is_load_settled(&self) -> bool {
        matches!(self.control(), Some(ControlRecord::LoadSettled(_)))
    }

    pub fn is_snapshot(&self) -> bool {
        self.stream.as_str() == "snapshots"
    }

    /// Returns the entries of a claim batch, which are none for another record.
    pub fn claims(&self) -> Vec<ClaimRecord> {
        match self.stream.as_str().starts_with("claims-") {
            true => ClaimBatch::decode(self.payload).map_or_else(Vec::new, |batch| batch.entries),
            false => Vec::new(),
        }
    }

    pub fn has_finish(&self) -> bool {
        let claims = self.claims();
        claims
            .iter()
            .any(|entry| matches!(entry, ClaimRecord::Finish(_)))
    }

    pub fn has_claim(&self) -> bool {
        let claims = self.claims();
        claims
            .iter()
            .any(|entry| matches!(entry, ClaimRecord::Claim(_)))
    }
}

/// Returns whether a record of the snapshot stream proposes a fresh start of a stream.
pub fn is_fresh_start(payload: &[u8], stream: &str) -> bool {
    let Ok(record) = SnapshotRecord::decode(payload) else {
        return false;
    };
    matches!(record.body, SnapshotBody::Fresh(_)) && record.stream.as_str() == stream
}

/// Read that a daemon attempts.
pub struct Read<'a> {
    pub vm: &'a VmName,
    pub stream: &'a StreamName,
    pub max_records: usize,
}

impl Read<'_> {
    pub fn is_by(&self, vm: &VmName) -> bool {
        self.vm == vm
    }

    /// Returns whether the read only finds the end of the control stream.
    pub fn is_of_end(&self) -> bool {
        self.is_of_control() && self.max_records == 1
    }

    /// Returns whether the read follows the control stream.
    pub fn follows_control(&self) -> bool {
        self.is_of_control() && self.max_records > 1
    }

    fn is_of_control(&self) -> bool {
        self.stream.as_str() == "control"
    }
}

/// Handle of a fault, which counts how often the fault was applied and releases it.
#[derive(Debug, Default)]
pub struct Faulted {
    hits: AtomicUsize,
    released: AtomicBool,
    late: Mutex<Vec<(StreamName, Vec<u8>)>>,
}

impl Faulted {
    pub fn hits(&self) -> usize {
        self.hits.load(Ordering::SeqCst)
    }

    /// Waits until the fault was applied this many times.
    pub fn wait_hits(&self, hits: usize) {
        wait_until("the fault to be applied", || self.hits() >= hits);
    }

    pub fn is_released(&self) -> bool {
        self.released.load(Ordering::SeqCst)
    }

    pub(super) fn hit(&self) {
        self.hits.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn delay(&self, stream: &StreamName, payload: &[u8]) {
        self.late.lock().push((stream.clone(), payload.to_vec()));
    }

    pub(super) fn release(&self) -> Vec<(StreamName, Vec<u8>)> {
        self.released.store(true, Ordering::SeqCst);
        std::mem::take(&mut self.late.lock())
    }
}

pub(super) struct AppendRule {
    pub fault: AppendFault,
    pub times: usize,
    pub matches: Box<dyn Fn(&Append<'_>) -> bool + Send>,
    pub faulted: Arc<Faulted>,
}

impl AppendRule {
    pub fn applies(&self, append: &Append<'_>) -> bool {
        self.times > 0 && !self.faulted.is_released() && (self.matches)(append)
    }
}

pub(super) struct ReadRule {
    pub fault: ReadFault,
    pub matches: Box<dyn Fn(&Read<'_>) -> bool + Send>,
    pub faulted: Arc<Faulted>,
}

impl ReadRule {
    pub fn applies(&self, read: &Read<'_>) -> bool {
        !self.faulted.is_released() && (self.matches)(read)
    }
}
