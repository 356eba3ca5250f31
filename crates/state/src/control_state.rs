//! State machine of the control stream.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::config::ConfigChange;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_core::control::Join;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;

use crate::configuration::Configuration;
use crate::counters::Counters;
use crate::engines::Engine;
use crate::history::DecidedChange;
use crate::history::History;
use crate::members::Members;
use crate::members::ProposerStatus;
use crate::replicas::Replicas;
use crate::replicas::UnloadTask;
use crate::snapshot::encode;
use crate::verdict::Accepted;
use crate::verdict::IgnoreReason;
use crate::verdict::RejectReason;
use crate::verdict::Verdict;

/// Number of offsets between two state digests.
pub const DIGEST_INTERVAL: u64 = 1024;
/// Number of most recent digests that are kept.
const MAX_KEPT_DIGESTS: usize = 16;

/// Result of applying a record, whose proposer has already been checked.
pub(crate) type Decision = Result<Accepted, RejectReason>;

/// Offset and time that the log gave a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordStamp {
    /// Offset of the record.
    pub offset: Offset,
    /// Time at which the log appended the record, in milliseconds of Unix time.
    pub appended_ms: u64,
}

/// State of the control stream up to an offset. VMs that have replayed the same records have equal
/// states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    pub(crate) next: Offset,
    pub(crate) config: Configuration,
    pub(crate) members: Members,
    pub(crate) engines: BTreeMap<UpstreamName, Engine>,
    pub(crate) replicas: Replicas,
    pub(crate) unloads: BTreeMap<Offset, UnloadTask>,
    pub(crate) counters: Counters,
    pub(crate) history: History,
    #[serde(skip)]
    pub(crate) digests: VecDeque<StateDigest>,
}

/// Digest of the complete state, by which VMs detect that their states have diverged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// Offset up to which the state had been replayed, exclusive: a multiple of
    /// [`DIGEST_INTERVAL`].
    pub at: Offset,
    /// Hash of the canonical encoding of the state.
    pub digest: u64,
}

impl ControlState {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the state to continue with when the records before an offset are permanently lost.
    ///
    /// `outdated` is the newest remaining state from before the lost records; its configuration
    /// stays in force. Everything else is discarded: processes join again, engines are observed
    /// again, and the models on them count as unmanaged.
    pub fn after_loss(next: Offset, outdated: Option<&Self>) -> Self {
        let config = outdated
            .map(|outdated| outdated.config.clone())
            .unwrap_or_default();
        Self {
            next,
            config,
            ..Self::default()
        }
    }

    /// Replays one record.
    ///
    /// `appended_ms` is the time at which the log appended the record, in milliseconds of Unix
    /// time. Records must be replayed in order without gaps: one that was replayed before or lies
    /// beyond the next offset is ignored and does not change the state.
    pub fn apply(&mut self, offset: Offset, appended_ms: u64, payload: &[u8]) -> Verdict {
        match offset.cmp(&self.next) {
            Ordering::Less => return Verdict::Ignored(IgnoreReason::AlreadyReplayed),
            Ordering::Greater => return Verdict::Ignored(IgnoreReason::Gap),
            Ordering::Equal => {}
        }
        let stamp = RecordStamp {
            offset,
            appended_ms,
        };
        let verdict = match ControlRecord::decode(payload) {
            Some(record) => self.decide(stamp, &record),
            None => Verdict::Ignored(IgnoreReason::Undecodable),
        };
        self.counters.add(verdict.as_str());
        self.history.record_verdict(offset, verdict.clone());
        self.next = offset.next();
        self.take_digest();
        verdict
    }

    fn decide(&mut self, stamp: RecordStamp, record: &ControlRecord) -> Verdict {
        match self.admit_proposer(stamp, record) {
            Ok(ProposerStatus::Repeated) => {
                return Verdict::Ignored(IgnoreReason::RepeatedSequence);
            }
            Ok(_) => {}
            Err(reason) => return Verdict::Rejected(reason),
        }
        let decision = match record {
            ControlRecord::Config(change) => return self.configure(stamp, change),
            ControlRecord::Join(join) => return self.join(stamp, join),
            ControlRecord::Depart(depart) => self.depart(stamp, depart),
            ControlRecord::Load(intent) => self.load(stamp, intent),
            ControlRecord::LoadSettled(settlement) => self.settle_load(stamp, settlement),
            ControlRecord::Unload(intent) => self.unload(stamp, intent),
            ControlRecord::UnloadSettled(settlement) => self.settle_unload(stamp, settlement),
            ControlRecord::TakeOver(takeover) => self.take_over(stamp, takeover),
            ControlRecord::Observed(observation) => self.observe(stamp, observation),
            ControlRecord::UpstreamGone(gone) => self.remove_upstream(stamp, gone),
        };
        match decision {
            Ok(accepted) => Verdict::Accepted(accepted),
            Err(reason) => Verdict::Rejected(reason),
        }
    }

    fn admit_proposer(
        &mut self,
        stamp: RecordStamp,
        record: &ControlRecord,
    ) -> Result<ProposerStatus, RejectReason> {
        let Some(proposer) = record.proposer() else {
            return Ok(ProposerStatus::Current);
        };
        let proposer_status = self.members.admit_proposer(proposer)?;
        if let ProposerStatus::Supersedes(epoch) = proposer_status {
            self.end_process(stamp, epoch);
        }
        Ok(proposer_status)
    }

    fn configure(&mut self, stamp: RecordStamp, change: &ConfigChange) -> Verdict {
        if self.history.change(change.change_id).is_some() {
            return Verdict::Ignored(IgnoreReason::RepeatedChange);
        }
        let version = ConfigVersion(stamp.offset.0);
        let verdict = match change.base_version == self.config.version() {
            false => Verdict::Rejected(RejectReason::VersionConflict),
            true => match self.config.edit(change, version) {
                Ok(()) => Verdict::Accepted(Accepted::Configured(version)),
                Err(fault) => Verdict::Rejected(RejectReason::InvalidChange(fault)),
            },
        };
        let decided = DecidedChange {
            offset: stamp.offset,
            verdict: verdict.clone(),
        };
        self.history.record_change(change.change_id, decided);
        verdict
    }

    fn join(&mut self, stamp: RecordStamp, join: &Join) -> Verdict {
        let epoch = Epoch(stamp.offset.0);
        match self.members.join(join, epoch, stamp.appended_ms) {
            Ok(()) => Verdict::Accepted(Accepted::Joined(epoch)),
            Err(reason) => Verdict::Ignored(reason),
        }
    }

    fn depart(&mut self, stamp: RecordStamp, depart: &Depart) -> Decision {
        self.members.depart(&depart.vm, depart.epoch)?;
        self.end_process(stamp, depart.epoch);
        Ok(Accepted::Departed)
    }

    fn end_process(&mut self, stamp: RecordStamp, epoch: Epoch) {
        self.replicas.record_sender_end(epoch, stamp.offset);
        self.remove_all_dead_replicas();
    }

    /// Removes the replicas of an engine that can take memory neither in its present incarnation
    /// nor in a later one.
    pub(crate) fn remove_dead_replicas(&mut self, name: &UpstreamName) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let boot = engine.boot();
        let is_gone = engine.is_gone();
        for load in self.replicas.loads_of_engine(name) {
            let Some(replica) = self.replicas.get(load) else {
                continue;
            };
            // An order that can still be sent, or that may have been sent to a later engine with
            // the same name, has to be remembered after the engine is gone.
            let holds_now = !is_gone && replica.may_hold_memory(boot);
            if !holds_now && !replica.may_hold_memory_after(boot) {
                self.remove_replica(load);
            }
        }
    }

    fn remove_all_dead_replicas(&mut self) {
        let names: Vec<UpstreamName> = self.engines.keys().cloned().collect();
        for name in &names {
            self.remove_dead_replicas(name);
        }
    }

    /// Removes a replica and the unload of it that is in progress.
    pub(crate) fn remove_replica(&mut self, load: Offset) {
        let Some(replica) = self.replicas.remove(load) else {
            return;
        };
        replica
            .unload
            .and_then(|unload| self.unloads.remove(&unload));
    }

    fn take_digest(&mut self) {
        if !self.next.0.is_multiple_of(DIGEST_INTERVAL) {
            return;
        }
        if self.digests.len() == MAX_KEPT_DIGESTS {
            self.digests.pop_front();
        }
        let digest = StateDigest {
            at: self.next,
            digest: self.digest_now(),
        };
        self.digests.push_back(digest);
    }

    /// Returns the digest of the present state.
    pub fn digest_now(&self) -> u64 {
        xxh3_64(&self.canonical())
    }

    /// Returns the canonical encoding, which is equal for equal states.
    pub(crate) fn canonical(&self) -> Vec<u8> {
        encode(self)
    }
}
