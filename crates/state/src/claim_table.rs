//! The state machine of one claim stream.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
use apricotdale_core::numbers::Offset;
use apricotdale_core::refusal::Ran;

use crate::claims::ClaimEntry;
use crate::claims::ClaimOptions;
use crate::claims::ClaimState;
use crate::claims::ClaimVerdict;
use crate::claims::DecidedClaim;
use crate::claims::answer_bytes;
use crate::counters::Counters;
use crate::snapshot::encode;
use crate::verdict::IgnoreReason;

/// `Blindness` is what a table that has lost its records does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Blindness {
    /// Nothing was lost, or long enough ago.
    None,
    /// Records were lost; the first one since has yet to come.
    UntilFirstRecord,
    /// Records were lost; until then, a key that looks new may have been used.
    UntilMs(u64),
}

/// `ClaimTable` is what a VM knows from one claim stream up to an offset. Two VMs that have
/// replayed the same records have the same table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    options: ClaimOptions,
    next: Offset,
    now_ms: u64,
    blindness: Blindness,
    entries: BTreeMap<IdempotencyKey, ClaimEntry>,
    expiring: BTreeSet<(u64, IdempotencyKey)>,
    answers: BTreeMap<u64, IdempotencyKey>,
    next_serial: u64,
    kept_bytes: usize,
    counters: Counters,
}

impl ClaimTable {
    /// Returns the table before the first record.
    pub fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            next: Offset(0),
            now_ms: 0,
            blindness: Blindness::None,
            entries: BTreeMap::new(),
            expiring: BTreeSet::new(),
            answers: BTreeMap::new(),
            next_serial: 0,
            kept_bytes: 0,
            counters: Counters::default(),
        }
    }

    /// Returns the table to start afresh from when the records before an offset are lost for good.
    ///
    /// A key that looks new may then have been used before the loss, and its call may have run. So
    /// every claim is answered with an unknown outcome until the least time to remember has passed.
    pub fn after_loss(next: Offset, options: ClaimOptions) -> Self {
        Self {
            next,
            blindness: Blindness::UntilFirstRecord,
            ..Self::new(options)
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

    /// Returns the bytes of the answers kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the counts of verdicts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the digest of the present state.
    pub fn digest_now(&self) -> u64 {
        xxh3_64(&self.canonical())
    }

    /// Returns the canonical encoding of the table.
    pub(crate) fn canonical(&self) -> Vec<u8> {
        encode(self)
    }

    /// Returns the claims that are held by processes which are over, as the finishes that make
    /// their outcome known as unknown. Any VM may append them; only the first counts. A finish that
    /// the winner itself appended while it ran still counts when it comes later.
    pub fn finishes_of_ended_processes(&self, is_over: impl Fn(u64) -> bool) -> Vec<Finish> {
        let running = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state == ClaimState::Running);
        let ended = running.filter(|(_, entry)| is_over(entry.process_id));
        let finish = |(key, entry): (&IdempotencyKey, &ClaimEntry)| Finish {
            key: key.clone(),
            request: entry.request.clone(),
            ran: Ran::Unknown,
            answer: None,
        };
        ended.map(finish).collect()
    }

    /// Replays one record and returns the verdicts on its entries, in order.
    ///
    /// `appended_ms` is the time at which the log took it, in milliseconds of Unix time. Records
    /// must come in order without gaps.
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
            Ordering::Less => return Err(IgnoreReason::AlreadyReplayed),
            Ordering::Greater => return Err(IgnoreReason::Gap),
            Ordering::Equal => {}
        }
        self.next = offset.next();
        self.advance(appended_ms);
        let Some(batch) = ClaimBatch::decode(payload) else {
            self.counters.add(IgnoreReason::Undecodable.as_str());
            return Err(IgnoreReason::Undecodable);
        };
        Ok(batch
            .entries
            .iter()
            .map(|entry| self.decide(offset, entry))
            .collect())
    }

    /// Moves the table's time on. The log's clock may step back; the table's does not.
    fn advance(&mut self, appended_ms: u64) {
        self.now_ms = self.now_ms.max(appended_ms);
        self.blindness = match self.blindness {
            Blindness::UntilFirstRecord => {
                Blindness::UntilMs(self.now_ms.saturating_add(self.options.least_ms))
            }
            Blindness::UntilMs(until_ms) if self.now_ms > until_ms => Blindness::None,
            blindness => blindness,
        };
        self.expire();
    }

    fn decide(&mut self, offset: Offset, record: &ClaimRecord) -> DecidedClaim {
        let (key, request, process_id, verdict) = match record {
            ClaimRecord::Claim(claim) => {
                let verdict = self.claim(offset, claim);
                (&claim.key, &claim.request, Some(claim.process_id), verdict)
            }
            ClaimRecord::Finish(finish) => {
                (&finish.key, &finish.request, None, self.finish(finish))
            }
        };
        self.counters.add(verdict.as_str());
        DecidedClaim {
            key: key.clone(),
            request: request.clone(),
            process_id,
            verdict,
        }
    }

    fn claim(&mut self, offset: Offset, claim: &Claim) -> ClaimVerdict {
        self.make_room(claim);
        let past = match self.past_of(claim) {
            Ok(past) => past,
            Err(verdict) => return verdict,
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
            answer_serial: None,
        };
        self.put(&claim.key, entry);
        ClaimVerdict::Won
    }

    /// Returns the requests that have freed the key before, or the verdict if the key is not free.
    fn past_of(&self, claim: &Claim) -> Result<BTreeSet<RequestId>, ClaimVerdict> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return match self.blindness {
                Blindness::None if self.entries.len() < self.options.max_keys => {
                    Ok(BTreeSet::new())
                }
                Blindness::None => Err(ClaimVerdict::TableFull),
                _ => Err(ClaimVerdict::OutcomeUnknown),
            };
        };
        // A request claims a key once. A batch that was appended twice would otherwise win again
        // after its first win was freed: it would hold the key for nobody, and a late repetition of
        // the first win's finish would free the key while a second run is in progress.
        match &entry.state {
            _ if entry.is_repeated_by(claim) => Err(ClaimVerdict::Repeated),
            ClaimState::Free if entry.past.len() >= self.options.max_tries => {
                Err(ClaimVerdict::TooManyTries)
            }
            ClaimState::Free => Ok(entry.past.clone()),
            _ if entry.call_hash != claim.call_hash => Err(ClaimVerdict::KeyReused),
            ClaimState::Running => Err(ClaimVerdict::AlreadyRunning),
            ClaimState::Finished(answer) => Err(ClaimVerdict::Finished(answer.clone())),
            ClaimState::OutcomeUnknown => Err(ClaimVerdict::OutcomeUnknown),
        }
    }

    fn finish(&mut self, finish: &Finish) -> ClaimVerdict {
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
        self.put(&finish.key, entry);
        self.drop_oldest_answers();
        ClaimVerdict::Ended
    }

    fn kept(&self, answer: Option<&KeptAnswer>) -> Option<KeptAnswer> {
        answer
            .filter(|answer| answer_bytes(answer) <= self.options.max_answer_bytes)
            .cloned()
    }

    fn put(&mut self, key: &IdempotencyKey, mut entry: ClaimEntry) {
        self.take(key);
        // A call that is running is remembered until it ends, however long that takes: its winner
        // may be paused and send it yet.
        if entry.state != ClaimState::Running {
            self.expiring.insert((entry.changed_ms, key.clone()));
        }
        if entry.kept_bytes() > 0 {
            entry.answer_serial = Some(self.next_serial);
            self.answers.insert(self.next_serial, key.clone());
            self.next_serial += 1;
            self.kept_bytes += entry.kept_bytes();
        }
        self.entries.insert(key.clone(), entry);
    }

    fn take(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.expiring.remove(&(entry.changed_ms, key.clone()));
        self.kept_bytes -= entry.kept_bytes();
        entry
            .answer_serial
            .and_then(|serial| self.answers.remove(&serial));
    }

    fn expire(&mut self) {
        while self.take_oldest(self.options.remember_ms) {}
    }

    /// Makes room for one more key in a full table.
    fn make_room(&mut self, claim: &Claim) {
        let is_new = !self.entries.contains_key(&claim.key);
        if is_new && self.entries.len() >= self.options.max_keys {
            self.take_oldest(self.options.least_ms);
        }
    }

    /// Forgets the key that ended first if that is longer ago than `age_ms`, and returns whether it
    /// did.
    fn take_oldest(&mut self, age_ms: u64) -> bool {
        let horizon_ms = self.now_ms.saturating_sub(age_ms);
        match self.expiring.first().cloned() {
            Some((changed_ms, key)) if changed_ms < horizon_ms => {
                self.take(&key);
                true
            }
            _ => false,
        }
    }

    fn drop_oldest_answers(&mut self) {
        while self.kept_bytes > self.options.max_kept_bytes {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            self.kept_bytes -= entry.kept_bytes();
            entry.drop_answer();
        }
    }
}
