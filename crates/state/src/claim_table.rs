//! The state machine of one claim stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::refusal::Ran;

use crate::verdict::IgnoreReason;

/// `ClaimOptions` are the limits of a claim table. They are part of the state: all VMs must use the
/// same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOptions {
    /// How long a key whose call has ended is remembered, in milliseconds of the log's time.
    pub remember_ms: u64,
    /// The most keys remembered. A claim of one more key is rejected.
    pub max_keys: usize,
    /// The largest answer kept, in bytes.
    pub max_answer_bytes: usize,
    /// The most bytes of answers kept; the oldest are dropped first.
    pub max_kept_bytes: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            remember_ms: 6 * 3_600_000,
            max_keys: 20_000,
            max_answer_bytes: 16 * 1024,
            max_kept_bytes: 4 * 1024 * 1024,
        }
    }
}

/// `ClaimState` is what became of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The winner may be running the call.
    Running,
    /// The call ran. Its answer may be kept.
    Finished(Option<KeptAnswer>),
    /// The call may have run; nobody will know.
    OutcomeUnknown,
    /// The call did not run; the key is free.
    Free,
}

/// `ClaimEntry` is what is remembered of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The hash of the call.
    pub call_hash: u64,
    /// The request that holds or held the claim.
    pub request: RequestId,
    /// The winner's VM.
    pub vm: VmName,
    /// The winner's process.
    pub process_id: u64,
    /// The record that won.
    pub won_at: Offset,
    /// When the log took the last record that counted, in milliseconds of Unix time.
    pub changed_ms: u64,
    /// What became of the call.
    pub state: ClaimState,
    /// Requests that held the claim before and freed it.
    pub past: BTreeSet<RequestId>,
}

/// `ClaimVerdict` is what replay makes of one entry of a claim batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The request may run the call, once.
    Won,
    /// Another request runs the call.
    AlreadyRunning,
    /// The call has run; its answer, if it is kept.
    Finished(Option<KeptAnswer>),
    /// The call may have run and will not be run again.
    OutcomeUnknown,
    /// The key was used with another call.
    KeyReused,
    /// The request held the claim before. The record is a late repetition, and gives no right to
    /// run.
    Repeated,
    /// As many keys are remembered as may be.
    TableFull,
    /// A finish counted.
    Ended,
    /// A finish did not count: the request does not hold the claim.
    NotHolder,
}

impl ClaimVerdict {
    /// Returns the code under which the verdict is counted.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::AlreadyRunning => "already_running",
            Self::Finished(_) => "finished",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyReused => "key_reused",
            Self::Repeated => "repeated",
            Self::TableFull => "table_full",
            Self::Ended => "ended",
            Self::NotHolder => "not_holder",
        }
    }
}

/// `DecidedClaim` is the verdict on one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that the entry names.
    pub request: RequestId,
    /// What became of it.
    pub verdict: ClaimVerdict,
}

/// `ClaimTable` is what a VM knows from one claim stream up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    options: ClaimOptions,
    next: Offset,
    now_ms: u64,
    entries: BTreeMap<IdempotencyKey, ClaimEntry>,
    expiring: BTreeSet<(u64, IdempotencyKey)>,
    answers: VecDeque<(IdempotencyKey, Offset, usize)>,
    kept_bytes: usize,
    counts: BTreeMap<String, u64>,
}

impl ClaimTable {
    /// Returns the table before the first record.
    pub fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the offset of the next record to replay.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns what is remembered of a key.
    pub fn entry(&self, key: &IdempotencyKey) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the counts of verdicts by code.
    pub fn counts(&self) -> impl Iterator<Item = (&str, u64)> {
        self.counts
            .iter()
            .map(|(code, count)| (code.as_str(), *count))
    }

    /// Returns the keys that are running under the claim of a process.
    pub fn running_of(
        &self,
        process_id: u64,
    ) -> impl Iterator<Item = (&IdempotencyKey, &ClaimEntry)> {
        self.entries.iter().filter(move |(_, entry)| {
            entry.process_id == process_id && entry.state == ClaimState::Running
        })
    }

    /// Returns the digest of the present state.
    pub fn digest_now(&self) -> u64 {
        xxh3_64(&self.canonical())
    }

    pub(crate) fn canonical(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("the table holds only strings, numbers and lists")
    }

    /// Replays one record and returns the verdicts on its entries, in order.
    ///
    /// # Errors
    ///
    /// Why the record was ignored as a whole.
    pub fn apply(
        &mut self,
        offset: Offset,
        appended_ms: u64,
        payload: &[u8],
    ) -> Result<Vec<DecidedClaim>, IgnoreReason> {
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => return Err(IgnoreReason::AlreadyReplayed),
            std::cmp::Ordering::Greater => return Err(IgnoreReason::Gap),
            std::cmp::Ordering::Equal => {}
        }
        self.next = offset.next();
        self.now_ms = self.now_ms.max(appended_ms);
        self.expire();
        let Some(batch) = ClaimBatch::decode(payload) else {
            self.count(IgnoreReason::Undecodable.as_str());
            return Err(IgnoreReason::Undecodable);
        };
        Ok(batch
            .entries
            .iter()
            .map(|entry| self.decide(offset, entry))
            .collect())
    }

    fn decide(&mut self, offset: Offset, record: &ClaimRecord) -> DecidedClaim {
        let (key, request, verdict) = match record {
            ClaimRecord::Claim(claim) => (&claim.key, &claim.request, self.claim(offset, claim)),
            ClaimRecord::Finish(finish) => {
                (&finish.key, &finish.request, self.finish(offset, finish))
            }
        };
        self.count(verdict.as_str());
        DecidedClaim {
            key: key.clone(),
            request: request.clone(),
            verdict,
        }
    }

    fn claim(&mut self, offset: Offset, claim: &Claim) -> ClaimVerdict {
        let is_full = self.entries.len() >= self.options.max_keys;
        let past = match self.entries.get(&claim.key) {
            None if is_full => return ClaimVerdict::TableFull,
            None => BTreeSet::new(),
            // A request claims a key once. A batch that was appended twice would otherwise win
            // again after the first win was freed, and hold the key for nobody.
            Some(entry) if entry.knows(&claim.request) => return ClaimVerdict::Repeated,
            Some(entry) => match &entry.state {
                ClaimState::Free => entry.past.clone(),
                _ if entry.call_hash != claim.call_hash => return ClaimVerdict::KeyReused,
                ClaimState::Running => return ClaimVerdict::AlreadyRunning,
                ClaimState::Finished(answer) => return ClaimVerdict::Finished(answer.clone()),
                ClaimState::OutcomeUnknown => return ClaimVerdict::OutcomeUnknown,
            },
        };
        let entry = ClaimEntry {
            call_hash: claim.call_hash,
            request: claim.request.clone(),
            vm: claim.vm.clone(),
            process_id: claim.process_id,
            won_at: offset,
            changed_ms: self.now_ms,
            state: ClaimState::Running,
            past,
        };
        self.replace(&claim.key, entry);
        ClaimVerdict::Won
    }

    fn finish(&mut self, offset: Offset, finish: &Finish) -> ClaimVerdict {
        let Some(entry) = self.entries.get(&finish.key) else {
            return ClaimVerdict::NotHolder;
        };
        let is_open = matches!(
            entry.state,
            ClaimState::Running | ClaimState::OutcomeUnknown
        );
        if entry.request != finish.request || !is_open {
            return ClaimVerdict::NotHolder;
        }
        let mut entry = entry.clone();
        entry.changed_ms = self.now_ms;
        entry.state = match finish.ran {
            Ran::NotRun => ClaimState::Free,
            Ran::Unknown => ClaimState::OutcomeUnknown,
            Ran::Ran => ClaimState::Finished(self.kept(finish.answer.as_ref())),
        };
        if entry.state == ClaimState::Free {
            entry.past.insert(finish.request.clone());
        }
        if let ClaimState::Finished(Some(answer)) = &entry.state {
            let size = answer_bytes(answer);
            self.kept_bytes += size;
            self.answers.push_back((finish.key.clone(), offset, size));
        }
        self.replace(&finish.key, entry);
        self.drop_answers();
        ClaimVerdict::Ended
    }

    fn kept(&self, answer: Option<&KeptAnswer>) -> Option<KeptAnswer> {
        answer
            .filter(|answer| answer_bytes(answer) <= self.options.max_answer_bytes)
            .cloned()
    }

    fn replace(&mut self, key: &IdempotencyKey, entry: ClaimEntry) {
        if let Some(old) = self.entries.get(key) {
            self.expiring.remove(&(old.changed_ms, key.clone()));
        }
        // A call that is running is remembered until it ends, however long that takes.
        if entry.state != ClaimState::Running {
            self.expiring.insert((entry.changed_ms, key.clone()));
        }
        self.entries.insert(key.clone(), entry);
    }

    fn expire(&mut self) {
        let horizon_ms = self.now_ms.saturating_sub(self.options.remember_ms);
        while let Some((changed_ms, key)) = self.expiring.first().cloned() {
            if changed_ms >= horizon_ms {
                return;
            }
            self.expiring.pop_first();
            self.entries.remove(&key);
        }
    }

    fn drop_answers(&mut self) {
        while self.kept_bytes > self.options.max_kept_bytes {
            let Some((key, _, size)) = self.answers.pop_front() else {
                return;
            };
            self.kept_bytes -= size;
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.drop_answer();
            }
        }
    }

    fn count(&mut self, code: &str) {
        *self.counts.entry(code.to_owned()).or_default() += 1;
    }
}

impl ClaimEntry {
    fn knows(&self, request: &RequestId) -> bool {
        self.past.contains(request) || self.request == *request
    }

    fn drop_answer(&mut self) {
        if let ClaimState::Finished(answer) = &mut self.state {
            *answer = None;
        }
    }
}

fn answer_bytes(answer: &KeptAnswer) -> usize {
    answer.body.len() + answer.content_type.len()
}
