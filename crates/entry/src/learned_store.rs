//! Record of what the lease holder has learned, kept in the store for the next holder.
//!
//! After a restart of all VMs, the next holder takes the record from the entries that it has read at
//! its start; one that takes over later reads it once. The holder writes it while it holds the
//! lease. Where an engine has a slot for each VM, nothing is read or written.

use std::mem;

use apricotdale_holder::LearnedState;

use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::clock::unix_ms;
use crate::codec::KeyedPage;
use crate::codec::KeyedRecord;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;

/// Key of the record in the topic of the VMs' entries. It is behind the names of VMs in the order of
/// keys.
const KEY: &str = "~learned-state";

/// Time limit for a call to the store.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// Age up to which a new holder relies on the record that it read with the VMs' entries. A former
/// holder has written at most a few records since.
const READ_TTL_MS: u64 = 10_000;

/// Time after the begin of a term within which the record must be read to be restored. By then VMs
/// have reported their demand.
const RESTORE_TIMEOUT_MS: u64 = 10_000;

/// Pause after a failed read.
const READ_RETRY_MS: u64 = 1_000;

/// Time from the begin of a term to the first write. Before that, not all VMs have reported, and the
/// record of the former holder says more.
const FIRST_WRITE_DELAY_MS: u64 = 5_000;

/// Shortest time between two writes, which is also the first time after a write at which the state
/// is compared.
const MIN_WRITE_INTERVAL_MS: u64 = 2_000;

/// Time between two comparisons of the state with what was written.
const COMPARISON_INTERVAL_MS: u64 = 1_000;

/// Pause after a failed write.
const WRITE_RETRY_MS: u64 = 5_000;

/// What a holder still has to do about the record of the former holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Restore {
    /// This VM does not hold the lease.
    #[default]
    NoTerm,
    /// The record has yet to be restored, until this time.
    Due { until_ms: u64 },
    /// The record was restored or ignored.
    Settled,
}

/// State of reading and writing the record.
#[derive(Debug, Default)]
pub(crate) struct LearnedStore {
    restore: Restore,
    /// Value under the key as last read, and when; none before the first read.
    read: Option<(u64, Option<Vec<u8>>)>,
    /// Key behind which the next page begins; none for the first page.
    after: Option<String>,
    is_reading: bool,
    next_read_ms: u64,
    /// State as this holder last wrote it; none if it has written none.
    written: Option<LearnedState>,
    /// State whose write is in progress.
    writing: Option<LearnedState>,
    last_write_ms: u64,
    next_write_ms: u64,
    /// Failed writes since the last one that was done.
    failures: u32,
}

impl LearnedStore {
    /// Begins a term of this VM as the lease holder.
    pub fn begin_term(&mut self, now_ms: u64) {
        self.restore = Restore::Due {
            until_ms: now_ms + RESTORE_TIMEOUT_MS,
        };
        self.next_read_ms = now_ms;
        self.written = None;
        self.next_write_ms = now_ms + FIRST_WRITE_DELAY_MS;
        self.failures = 0;
    }

    /// Ends the term. The record belongs to the next holder.
    pub fn end_term(&mut self) {
        self.restore = Restore::NoTerm;
        self.written = None;
    }

    /// Handles a rollback of the store: the record may be lost or older, and is written again.
    pub fn handle_rollback(&mut self) {
        self.written = None;
        self.after = None;
    }

    /// Removes the record from the entries of VMs, and keeps it for the case that this VM acquires
    /// the lease.
    pub fn take_from_entries(&mut self, now_ms: u64, entries: &mut Vec<KeyedRecord>) {
        let at = entries.iter().position(|entry| entry.key == KEY);
        self.read = Some((now_ms, at.and_then(|at| entries.swap_remove(at).value)));
    }

    /// Returns the value that was read within [`READ_TTL_MS`].
    fn take_recently_read(&mut self, now_ms: u64) -> Option<Option<Vec<u8>>> {
        let read = self.read.take();
        read.filter(|(read_ms, _)| now_ms.saturating_sub(*read_ms) <= READ_TTL_MS)
            .map(|(_, value)| value)
    }
}

impl Daemon {
    /// Restores the record of the former holder and writes this VM's own, when due.
    pub(crate) fn advance_learned_store(&mut self) {
        let now_ms = self.now_ms;
        match self.learned_store.restore {
            Restore::NoTerm => {}
            // A VM that has yet to read the others' entries does not know the size of the fleet.
            Restore::Due { until_ms } if now_ms >= until_ms => {
                self.learned_store.restore = Restore::Settled;
                if self.reports_detail() {
                    self.ignore_learned_state("not_read", "not read in time");
                }
            }
            Restore::Due { .. } if self.reports_detail() => self.restore_or_read(),
            Restore::Due { .. } => {}
            Restore::Settled => self.write_learned_state(),
        }
    }

    fn restore_or_read(&mut self) {
        let now_ms = self.now_ms;
        let store = &mut self.learned_store;
        if store.is_reading {
            return;
        }
        match store.take_recently_read(now_ms) {
            Some(value) => self.restore_learned_state(value.as_deref()),
            None if now_ms >= store.next_read_ms => {
                store.is_reading = true;
                let after = store.after.as_deref();
                let bytes = self.codecs.store.newest(Topic::Vms, after);
                self.call_store(CallTag::LearnedNewest, &bytes, STORE_TIMEOUT_MS);
            }
            None => {}
        }
    }

    /// Handles a page of the topic that holds the record.
    pub(crate) fn handle_learned_page(&mut self, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        self.learned_store.is_reading = false;
        let page = match outcome {
            CallOutcome::Answered { status, body } => {
                self.metrics.store_read("learned_newest", body.len());
                self.codecs.store.newest_answer(status, &body).ok()
            }
            _ => None,
        };
        let store = &mut self.learned_store;
        let Some(KeyedPage {
            mut records, more, ..
        }) = page
        else {
            store.after = None;
            store.next_read_ms = now_ms + READ_RETRY_MS;
            return;
        };
        store.after = match (more, records.last()) {
            (true, Some(last)) if records.iter().all(|record| record.key != KEY) => {
                Some(last.key.clone())
            }
            _ => None,
        };
        if store.after.is_none() {
            store.take_from_entries(now_ms, &mut records);
        }
    }

    fn restore_learned_state(&mut self, value: Option<&[u8]>) {
        self.learned_store.restore = Restore::Settled;
        let now_unix_ms = unix_ms();
        let era = self.store_era.now();
        let state = match value.map(|bytes| LearnedState::decode(bytes, now_unix_ms, era)) {
            Some(Ok(state)) => state,
            Some(Err(reason)) => {
                self.ignore_learned_state(reason.as_str(), &reason.to_string());
                return;
            }
            None => {
                self.ignore_learned_state("absent", "no record");
                return;
            }
        };
        self.engine_orders.restore(self.now_ms, &state);
        self.metrics.learned_state("restored");
        log::info!(
            age_ms = state.age_ms(now_unix_ms), models = state.models(),
            engines = state.speeds().len();
            "learned state restored"
        );
    }

    fn ignore_learned_state(&self, reason: &str, detail: &str) {
        self.metrics.learned_state(reason);
        log::info!(reason, detail; "learned state not restored");
    }

    /// Writes the state if it has changed enough since it was last written, or is old there.
    fn write_learned_state(&mut self) {
        let now_ms = self.now_ms;
        let store = &mut self.learned_store;
        // Within the grace of an outage this VM gives orders without a valid lease. Then another VM
        // may hold it, and the record is that VM's.
        let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
        if !holds_lease || store.writing.is_some() || now_ms < store.next_write_ms {
            return;
        }
        store.next_write_ms = now_ms + COMPARISON_INTERVAL_MS;
        if !self.reports_detail() {
            return;
        }
        let era = self.store_era.now();
        let state = self.engine_orders.learned_state(now_ms, unix_ms(), era);
        let store = &mut self.learned_store;
        let pause_ms = state.write_pause_ms(store.written.as_ref());
        if now_ms < store.last_write_ms + pause_ms {
            return;
        }
        let records = [(KEY.to_owned(), state.encode())];
        store.writing = Some(state);
        store.last_write_ms = now_ms;
        store.next_write_ms = now_ms + MIN_WRITE_INTERVAL_MS;
        let bytes = self.codecs.store.append_keyed(Topic::Vms, &records);
        self.call_store(CallTag::LearnedAppend, &bytes, STORE_TIMEOUT_MS);
    }

    /// Handles the outcome of a write. A failed one is made up for by a later one.
    pub(crate) fn finish_learned_write(&mut self, outcome: CallOutcome) {
        let result = match &outcome {
            CallOutcome::Answered { status, body } => {
                let answer = self.codecs.store.append_answer(*status, body);
                match answer {
                    Ok(StoreOutcome::Done { .. }) => Ok(()),
                    _ => Err("refused"),
                }
            }
            CallOutcome::NotSent => Err("not_sent"),
            CallOutcome::RolledBack | CallOutcome::Unknown => Err("no_answer"),
        };
        let era = self.store_era.now();
        let store = &mut self.learned_store;
        let state = store.writing.take();
        let is_first = store.written.is_none();
        match result {
            // The answer may be the first that states a new era, in which the record is ignored.
            Ok(()) => {
                let failures = mem::take(&mut store.failures);
                let state = state.filter(|state| state.era() == era);
                if let Some(state) = state.as_ref().filter(|_| is_first || failures > 0) {
                    log::info!(models = state.models(), failures; "learned state written");
                }
                if store.restore == Restore::Settled {
                    store.written = state;
                }
                self.metrics.learned_state_write("written");
            }
            Err(reason) => {
                store.failures += 1;
                store.next_write_ms = self.now_ms + WRITE_RETRY_MS;
                if store.failures == 1 {
                    log::warn!(reason; "learned state not written");
                }
                self.metrics.learned_state_write(reason);
            }
        }
    }
}
