//! Persistence of blocked requests, and of requests on probation, for VMs that start.
//!
//! Each VM reads the records once. The lease holder writes changes, writes everything it knows when
//! it has taken over, and deletes the records of ended blocks. If requests on probation were not
//! persisted, all VMs that start together would let each of them crash three more upstreams.

use std::collections::HashMap;

use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CaseRow;
use apricotdale_quarantine::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::clock::unix_ms;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;

/// Pause after a failed call to the store.
const RETRY_PAUSE_MS: u64 = 1_000;

/// Time limit for a call to the store.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of records of each kind in one write.
const RECORDS_PER_WRITE: usize = 200;

/// Maximum number of ended blocks whose records have yet to be deleted.
const MAX_PENDING_DELETIONS: usize = 1_000;

/// Stored state of a request, under its fingerprint as key.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// Placeholder for a variant of earlier versions, whose records are deleted.
    ObsoleteBlock,
    /// Placeholder for a variant of earlier versions, whose records are deleted.
    Obsolete,
    /// Placeholder for a variant of earlier versions, whose records are deleted.
    ObsoleteCase,
    /// The request, or the prompt parts, are blocked.
    Block {
        row: BlockRow,
        /// End of the block, in Unix milliseconds.
        until_unix_ms: u64,
    },
    /// The request or the prompt part is on probation, since so much was lost in crashes.
    Case {
        row: CaseRow,
        /// When the record was written, in Unix milliseconds.
        written_unix_ms: u64,
    },
}

/// State of reading and writing the records.
#[derive(Debug, Default)]
pub(crate) struct BlockStore {
    /// Whether this VM held the lease when that was last checked.
    held_lease: bool,
    /// New blocks that have yet to be written.
    unwritten: Vec<BlockRow>,
    /// Ended blocks and cases whose records have yet to be deleted.
    ended: Vec<Fingerprint>,
    /// Numbers of crashes and lost copies as last written, for each request on probation.
    cases: HashMap<Fingerprint, (usize, u32)>,
    /// Change counter of the crash watch when the requests on probation were last compared; none
    /// before.
    compared_changes: Option<u64>,
    unwritten_cases: Vec<CaseRow>,
    /// Blocks and deletions of the write in progress.
    writing: (Vec<BlockRow>, Vec<Fingerprint>),
    is_read: bool,
    /// Key behind which the next page begins; none for the first page.
    after: Option<String>,
    is_calling: bool,
    next_ms: u64,
}

impl BlockStore {
    /// Handles a rollback of the store: everything known here is written again.
    pub fn handle_rollback(&mut self) {
        self.held_lease = false;
        if !self.is_read {
            self.after = None;
        }
    }

    /// Records a new block. The lease holder writes it to the store.
    pub fn record_new_block(&mut self, row: &BlockRow) {
        // From now on the record belongs to the block and must not be deleted with the case.
        self.cases.remove(&row.fingerprint);
        self.unwritten_cases
            .retain(|case| case.fingerprint != row.fingerprint);
        if self.held_lease {
            self.unwritten.push(row.clone());
        }
    }

    /// Records requests whose blocks have ended.
    pub fn record_ended_blocks(&mut self, ended: Vec<Fingerprint>) {
        self.ended.extend(ended);
        self.ended.truncate(MAX_PENDING_DELETIONS);
    }

    /// Records whether this VM holds the lease. A new holder writes everything it knows, since the
    /// previous one may not have.
    fn record_lease(&mut self, holds_lease: bool, rows: impl FnOnce() -> Vec<BlockRow>) {
        match (
            holds_lease,
            std::mem::replace(&mut self.held_lease, holds_lease),
        ) {
            (true, false) => {
                self.unwritten = rows();
                self.cases.clear();
                self.compared_changes = None;
            }
            (false, _) => self.unwritten.clear(),
            (true, true) => {}
        }
    }

    /// Records the requests on probation as they are now, so that changes are written.
    fn record_cases(&mut self, rows: Vec<CaseRow>) {
        let gone: Vec<Fingerprint> = self
            .cases
            .keys()
            .filter(|known| rows.iter().all(|row| row.fingerprint != **known))
            .copied()
            .collect();
        for fingerprint in gone {
            self.cases.remove(&fingerprint);
            self.ended.push(fingerprint);
        }
        for row in rows.into_iter().take(RECORDS_PER_WRITE) {
            let count = (row.crashes.len(), row.copies());
            if self.cases.insert(row.fingerprint, count) != Some(count) {
                self.unwritten_cases.push(row);
            }
        }
    }

    /// Returns the records of the next write; an empty value deletes its key. New blocks come last,
    /// so that the block stays if the same key is also deleted.
    fn next_records(&mut self) -> Vec<(String, Vec<u8>)> {
        let rows = self.unwritten.len().min(RECORDS_PER_WRITE);
        let rows: Vec<BlockRow> = self.unwritten.drain(..rows).collect();
        let ended = self.ended.len().min(RECORDS_PER_WRITE);
        let ended: Vec<Fingerprint> = self.ended.drain(..ended).collect();
        let dropped = ended.iter().map(|it| (it.to_string(), Vec::new()));
        let cases = std::mem::take(&mut self.unwritten_cases);
        let cases = cases.into_iter().map(stored_case);
        let blocks = rows.iter().map(stored_block);
        let records = dropped.chain(cases).chain(blocks).collect();
        self.writing = (rows, ended);
        records
    }
}

impl Daemon {
    /// Reads the blocks from the store once, and writes changes while this VM holds the lease.
    pub(crate) fn advance_block_store(&mut self) {
        let now_ms = self.now_ms;
        let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
        let watch = &self.crash_watch;
        let store = &mut self.block_store;
        store.record_lease(holds_lease, || watch.blocks(now_ms));
        if store.is_calling || now_ms < store.next_ms {
            return;
        }
        if holds_lease && store.is_read && store.compared_changes != Some(watch.changes()) {
            store.compared_changes = Some(watch.changes());
            store.record_cases(watch.cases(now_ms));
        }
        let has_records = !store.unwritten.is_empty()
            || !store.ended.is_empty()
            || !store.unwritten_cases.is_empty();
        match store.is_read {
            // The configuration and the upstream list come first, since nothing is served without
            // them.
            false if self.directory.is_complete() => self.read_blocks(),
            true if holds_lease && has_records => self.write_blocks(),
            _ => {}
        }
    }

    fn read_blocks(&mut self) {
        self.block_store.is_calling = true;
        let after = self.block_store.after.as_deref();
        let bytes = self.codecs.store.newest(Topic::Blocks, after);
        self.call_store(CallTag::BlocksNewest, &bytes, STORE_TIMEOUT_MS);
    }

    fn write_blocks(&mut self) {
        let records = self.block_store.next_records();
        self.block_store.is_calling = true;
        let bytes = self.codecs.store.append_keyed(Topic::Blocks, &records);
        self.call_store(CallTag::BlocksAppend, &bytes, STORE_TIMEOUT_MS);
    }

    /// Handles a page of the blocks from the store.
    pub(crate) fn handle_blocks_page(&mut self, outcome: CallOutcome) {
        self.block_store.is_calling = false;
        let page = match outcome {
            CallOutcome::Answered { status, body } => {
                self.metrics.store_read("blocks_newest", body.len());
                self.codecs.store.newest_answer(status, &body).ok()
            }
            _ => None,
        };
        let Some(page) = page else {
            self.block_store.next_ms = self.now_ms + RETRY_PAUSE_MS;
            return;
        };
        for record in &page.records {
            let value = record.value.as_deref().unwrap_or_default();
            match postcard::from_bytes(value) {
                Ok(Record::Block { row, until_unix_ms }) => self.restore_block(row, until_unix_ms),
                Ok(Record::Case {
                    row,
                    written_unix_ms,
                }) => {
                    let later_ms = unix_ms().saturating_sub(written_unix_ms);
                    let reports = row.reports(later_ms);
                    self.crash_watch.record_reports(self.now_ms, &reports);
                }
                Ok(Record::ObsoleteBlock | Record::Obsolete | Record::ObsoleteCase) | Err(_) => {
                    let ended = record.key.parse().into_iter().collect();
                    self.block_store.record_ended_blocks(ended);
                }
            }
        }
        self.block_store.after = page.records.last().map(|record| record.key.clone());
        self.block_store.is_read = !page.more;
    }

    fn restore_block(&mut self, row: BlockRow, until_unix_ms: u64) {
        let left_ms = until_unix_ms.saturating_sub(unix_ms());
        let row = BlockRow {
            // A wall clock that was set back must not extend a block.
            left_ms: left_ms.min(row.left_ms),
            ..row
        };
        match row.left_ms {
            0 => self.block_store.record_ended_blocks(vec![row.fingerprint]),
            _ if self.crash_watch.record_block(self.now_ms, &row) => {
                self.apply_new_block(&row, "read");
            }
            _ => {}
        }
    }

    /// Handles the outcome of a write. A failed one is retried after a pause.
    pub(crate) fn finish_blocks_write(&mut self, outcome: CallOutcome) {
        let store = &mut self.block_store;
        store.is_calling = false;
        let (rows, ended) = std::mem::take(&mut store.writing);
        let done = match outcome {
            CallOutcome::Answered { status, body } => matches!(
                self.codecs.store.append_answer(status, &body),
                Ok(StoreOutcome::Done { .. })
            ),
            _ => false,
        };
        if !done {
            store.unwritten.extend(rows);
            store.ended.extend(ended);
            store.cases.clear();
            store.compared_changes = None;
            store.next_ms = self.now_ms + RETRY_PAUSE_MS;
        }
    }
}

fn stored_block(row: &BlockRow) -> (String, Vec<u8>) {
    let record = Record::Block {
        row: row.clone(),
        until_unix_ms: unix_ms() + row.left_ms,
    };
    (row.fingerprint.to_string(), encode(&record))
}

fn stored_case(row: CaseRow) -> (String, Vec<u8>) {
    let key = row.fingerprint.to_string();
    let record = Record::Case {
        row,
        written_unix_ms: unix_ms(),
    };
    (key, encode(&record))
}

fn encode(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).expect("a locally built record can be encoded")
}
