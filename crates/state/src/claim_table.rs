//! State machine of one claim stream.

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

/// Period for which earlier records of the stream are missing from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum HistoryGap {
    /// No records are missing, or only ones that no longer matter.
    None,
    /// Records are missing, and none has been replayed since.
    UntilFirstRecord,
    /// Records are missing. Until this log time, a key that is not in the table may have been used.
    UntilMs(u64),
}

/// State of one claim stream up to an offset. VMs that have replayed the same records have equal
/// tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    options: ClaimOptions,
    next: Offset,
    now_ms: u64,
    history_gap: HistoryGap,
    entries: BTreeMap<IdempotencyKey, ClaimEntry>,
    ended_by_time: BTreeSet<(u64, IdempotencyKey)>,
    answers: BTreeMap<u64, IdempotencyKey>,
    next_serial: u64,
    kept_bytes: usize,
    counters: Counters,
}

impl ClaimTable {
    /// Creates the table before the first record.
    pub fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            next: Offset(0),
            now_ms: 0,
            history_gap: HistoryGap::None,
            entries: BTreeMap::new(),
            ended_by_time: BTreeSet::new(),
            answers: BTreeMap::new(),
            next_serial: 0,
            kept_bytes: 0,
            counters: Counters::default(),
        }
    }

    /// Creates the table to continue with when the records before an offset are permanently lost.
    ///
    /// A key that is not in the table may have been used before the loss, and its call may have
    /// run. Every claim of a new key is therefore answered with an unknown outcome until
    /// [`ClaimOptions::min_remember_ms`] has passed.
    pub fn after_loss(next: Offset, options: ClaimOptions) -> Self {
        Self {
            next,
            history_gap: HistoryGap::UntilFirstRecord,
            ..Self::new(options)
        }
    }

    /// Returns the offset of the next record to replay.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the entry of a key; `None` if the key is unknown or forgotten.
    pub fn entry(&self, key: &IdempotencyKey) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all kept answers, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the number of verdicts by code.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the digest of the present table.
    pub fn digest_now(&self) -> u64 {
        xxh3_64(&self.canonical())
    }

    /// Returns the canonical encoding, which is equal for equal tables.
    pub(crate) fn canonical(&self) -> Vec<u8> {
        encode(self)
    }

    /// Returns a finish with an unknown outcome for each running claim whose process has ended.
    ///
    /// Any VM may append them; only the first finish of a claim is applied. If the process itself
    /// appended a finish with a known outcome before it ended, that one is applied even if it
    /// arrives later.
    pub fn finishes_of_ended_processes(&self, has_ended: impl Fn(u64) -> bool) -> Vec<Finish> {
        let running = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state == ClaimState::Running);
        let ended = running.filter(|(_, entry)| has_ended(entry.process_id));
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
    /// `appended_ms` is the time at which the log appended the record, in milliseconds of Unix
    /// time. Records must be replayed in order of offset without gaps.
    ///
    /// # Errors
    ///
    /// The reason for which the record as a whole was ignored.
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
        self.advance_time(appended_ms);
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

    /// Advances the time of the table. The clock of the log may step back; the table's does not.
    fn advance_time(&mut self, appended_ms: u64) {
        self.now_ms = self.now_ms.max(appended_ms);
        self.history_gap = match self.history_gap {
            HistoryGap::UntilFirstRecord => {
                HistoryGap::UntilMs(self.now_ms.saturating_add(self.options.min_remember_ms))
            }
            HistoryGap::UntilMs(until_ms) if self.now_ms > until_ms => HistoryGap::None,
            history_gap => history_gap,
        };
        self.remove_expired();
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
        self.make_room_for(claim);
        let prior_holders = match self.prior_holders_if_free(claim) {
            Ok(prior_holders) => prior_holders,
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
            prior_holders,
            answer_serial: None,
        };
        self.store_entry(&claim.key, entry);
        ClaimVerdict::Won
    }

    /// Returns the requests that have held and freed the key, or the verdict if it is not free.
    fn prior_holders_if_free(&self, claim: &Claim) -> Result<BTreeSet<RequestId>, ClaimVerdict> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return match self.history_gap {
                HistoryGap::None if self.entries.len() < self.options.max_keys => {
                    Ok(BTreeSet::new())
                }
                HistoryGap::None => Err(ClaimVerdict::TableFull),
                _ => Err(ClaimVerdict::OutcomeUnknown),
            };
        };
        // A request wins a key at most once. Otherwise a batch that was appended twice would win
        // again after its first win was freed: no request would use the claim, and a late duplicate
        // of the first finish would free the key while another run is in progress.
        match &entry.state {
            _ if entry.is_repeated_by(claim) => Err(ClaimVerdict::Repeated),
            ClaimState::Free if entry.prior_holders.len() >= self.options.max_tries => {
                Err(ClaimVerdict::TooManyTries)
            }
            ClaimState::Free => Ok(entry.prior_holders.clone()),
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
            Ran::Ran => ClaimState::Finished(self.answer_to_keep(finish.answer.as_ref())),
        };
        if entry.state == ClaimState::Free {
            entry.prior_holders.insert(finish.request.clone());
        }
        self.store_entry(&finish.key, entry);
        self.evict_oldest_answers();
        ClaimVerdict::Ended
    }

    fn answer_to_keep(&self, answer: Option<&KeptAnswer>) -> Option<KeptAnswer> {
        answer
            .filter(|answer| answer_bytes(answer) <= self.options.max_answer_bytes)
            .cloned()
    }

    fn store_entry(&mut self, key: &IdempotencyKey, mut entry: ClaimEntry) {
        self.remove_entry(key);
        // A running call is remembered until it ends, however long that takes: the process that won
        // the claim may be paused and still send the call.
        if entry.state != ClaimState::Running {
            self.ended_by_time.insert((entry.changed_ms, key.clone()));
        }
        if entry.kept_bytes() > 0 {
            entry.answer_serial = Some(self.next_serial);
            self.answers.insert(self.next_serial, key.clone());
            self.next_serial += 1;
            self.kept_bytes += entry.kept_bytes();
        }
        self.entries.insert(key.clone(), entry);
    }

    fn remove_entry(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.ended_by_time.remove(&(entry.changed_ms, key.clone()));
        self.kept_bytes -= entry.kept_bytes();
        entry
            .answer_serial
            .and_then(|serial| self.answers.remove(&serial));
    }

    fn remove_expired(&mut self) {
        while self.remove_oldest_ended(self.options.remember_ms) {}
    }

    /// Removes a key if the table is full, the claim is for a new key, and a key may be forgotten.
    fn make_room_for(&mut self, claim: &Claim) {
        let is_new = !self.entries.contains_key(&claim.key);
        if is_new && self.entries.len() >= self.options.max_keys {
            self.remove_oldest_ended(self.options.min_remember_ms);
        }
    }

    /// Removes the key that ended first if it ended more than `age_ms` ago, and returns whether it
    /// was removed.
    fn remove_oldest_ended(&mut self, age_ms: u64) -> bool {
        let horizon_ms = self.now_ms.saturating_sub(age_ms);
        match self.ended_by_time.first().cloned() {
            Some((changed_ms, key)) if changed_ms < horizon_ms => {
                self.remove_entry(&key);
                true
            }
            _ => false,
        }
    }

    fn evict_oldest_answers(&mut self) {
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
