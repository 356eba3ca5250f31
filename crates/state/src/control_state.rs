//! The state machine of the control stream.

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
use crate::members::Authenticated;
use crate::members::Members;
use crate::replicas::Replicas;
use crate::replicas::UnloadTask;
use crate::snapshot::encode;
use crate::verdict::Accepted;
use crate::verdict::IgnoreReason;
use crate::verdict::RejectReason;
use crate::verdict::Verdict;

/// The number of offsets between two digests.
pub const DIGEST_INTERVAL: u64 = 1024;
/// The most recent digests that are kept.
const KEPT_DIGESTS: usize = 16;

/// `Decision` is what a rule makes of a record.
pub(crate) type Decision = Result<Accepted, RejectReason>;

/// `Moment` is where and when the log took a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    /// The record's offset.
    pub offset: Offset,
    /// When the log took it, in milliseconds of Unix time.
    pub appended_ms: u64,
}

/// `ControlState` is what a VM knows from the control stream up to an offset. Two VMs that have
/// replayed the same records have the same state.
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

/// `StateDigest` is a digest of the whole state, by which VMs notice that they have diverged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The offset up to which the state had been replayed, exclusive: a multiple of
    /// [`DIGEST_INTERVAL`].
    pub at: Offset,
    /// The digest.
    pub digest: u64,
}

impl ControlState {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state to start afresh from when the records before an offset are lost for good.
    ///
    /// `outdated` is the newest state that is left, from before the gap; its configuration stays in
    /// force. All else is forgotten: processes join anew, engines are observed anew, and what they
    /// hold counts as undecided.
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
    /// `appended_ms` is the time at which the log took it, in milliseconds of Unix time. Records
    /// must come in order without gaps: one that was replayed before or lies beyond the next offset
    /// is ignored, without a trace in the state.
    pub fn apply(&mut self, offset: Offset, appended_ms: u64, payload: &[u8]) -> Verdict {
        match offset.cmp(&self.next) {
            Ordering::Less => return Verdict::Ignored(IgnoreReason::AlreadyReplayed),
            Ordering::Greater => return Verdict::Ignored(IgnoreReason::Gap),
            Ordering::Equal => {}
        }
        let moment = Moment {
            offset,
            appended_ms,
        };
        let verdict = match ControlRecord::decode(payload) {
            Some(record) => self.decide(moment, &record),
            None => Verdict::Ignored(IgnoreReason::Undecodable),
        };
        self.counters.add(verdict.as_str());
        self.history.note_verdict(offset, verdict.clone());
        self.next = offset.next();
        self.take_digest();
        verdict
    }

    fn decide(&mut self, moment: Moment, record: &ControlRecord) -> Verdict {
        match self.authenticate(moment, record) {
            Ok(Authenticated::Repeated) => {
                return Verdict::Ignored(IgnoreReason::RepeatedSequence);
            }
            Ok(_) => {}
            Err(reason) => return Verdict::Rejected(reason),
        }
        let decision = match record {
            ControlRecord::Config(change) => return self.configure(moment, change),
            ControlRecord::Join(join) => return self.join(moment, join),
            ControlRecord::Depart(depart) => self.depart(moment, depart),
            ControlRecord::Load(intent) => self.load(moment, intent),
            ControlRecord::LoadSettled(settlement) => self.settle_load(moment, settlement),
            ControlRecord::Unload(intent) => self.unload(moment, intent),
            ControlRecord::UnloadSettled(settlement) => self.settle_unload(moment, settlement),
            ControlRecord::TakeOver(takeover) => self.take_over(moment, takeover),
            ControlRecord::Observed(observation) => self.observe(moment, observation),
            ControlRecord::UpstreamGone(gone) => self.remove_upstream(moment, gone),
        };
        match decision {
            Ok(accepted) => Verdict::Accepted(accepted),
            Err(reason) => Verdict::Rejected(reason),
        }
    }

    fn authenticate(
        &mut self,
        moment: Moment,
        record: &ControlRecord,
    ) -> Result<Authenticated, RejectReason> {
        let Some(proposer) = record.proposer() else {
            return Ok(Authenticated::Current);
        };
        let authenticated = self.members.authenticate(proposer)?;
        if let Authenticated::Supersedes(epoch) = authenticated {
            self.end_process(moment, epoch);
        }
        Ok(authenticated)
    }

    fn configure(&mut self, moment: Moment, change: &ConfigChange) -> Verdict {
        if self.history.change(change.change_id).is_some() {
            return Verdict::Ignored(IgnoreReason::RepeatedChange);
        }
        let version = ConfigVersion(moment.offset.0);
        let verdict = match change.base_version == self.config.version() {
            false => Verdict::Rejected(RejectReason::VersionConflict),
            true => match self.config.edit(change, version) {
                Ok(()) => Verdict::Accepted(Accepted::Configured(version)),
                Err(fault) => Verdict::Rejected(RejectReason::InvalidChange(fault)),
            },
        };
        let decided = DecidedChange {
            offset: moment.offset,
            verdict: verdict.clone(),
        };
        self.history.note_change(change.change_id, decided);
        verdict
    }

    fn join(&mut self, moment: Moment, join: &Join) -> Verdict {
        let epoch = Epoch(moment.offset.0);
        match self.members.join(join, epoch, moment.appended_ms) {
            Ok(()) => Verdict::Accepted(Accepted::Joined(epoch)),
            Err(reason) => Verdict::Ignored(reason),
        }
    }

    fn depart(&mut self, moment: Moment, depart: &Depart) -> Decision {
        self.members.depart(&depart.vm, depart.epoch)?;
        self.end_process(moment, depart.epoch);
        Ok(Accepted::Departed)
    }

    fn end_process(&mut self, moment: Moment, epoch: Epoch) {
        self.replicas.end_sender(epoch, moment.offset);
        self.sweep_all();
    }

    /// Forgets the replicas of an engine that can take memory neither in its present run nor in a
    /// later one.
    pub(crate) fn sweep(&mut self, name: &UpstreamName) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let boot = engine.boot();
        let is_gone = engine.is_gone();
        for load in self.replicas.loads_of_engine(name) {
            let Some(replica) = self.replicas.get(load) else {
                continue;
            };
            // An order that can still be sent, or that may have been sent to a successor of the engine
            // under the same name, outlives the engine.
            let holds_now = !is_gone && replica.may_hold_memory(boot);
            if !holds_now && !replica.can_hold_after(boot) {
                self.forget(load);
            }
        }
    }

    fn sweep_all(&mut self) {
        let names: Vec<UpstreamName> = self.engines.keys().cloned().collect();
        for name in &names {
            self.sweep(name);
        }
    }

    /// Forgets a replica and its unload.
    pub(crate) fn forget(&mut self, load: Offset) {
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
        if self.digests.len() == KEPT_DIGESTS {
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

    /// Returns the canonical encoding of the state.
    pub(crate) fn canonical(&self) -> Vec<u8> {
        encode(self)
    }
}
