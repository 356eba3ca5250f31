//! Snapshot of the upstream list that the lease holder keeps in the store.
//!
//! A VM that starts reads the snapshot instead of the upstreams' own entries, which are many times
//! larger, and can serve immediately. A VM that has missed changes uses the snapshot to repair its
//! list.

use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListCopy;
use apricotdale_fleet::ListCopyPart;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::held_digests;
use apricotdale_fleet::listed_digest;

use super::COPY_LOOKS;
use super::COPY_TIMEOUT_MS;
use super::LIST_WRITE_TIMEOUT_MS;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedPage;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;

/// Time between two writes of the snapshot. Residence updates reach the VMs by datagram; the
/// snapshot contains an update that a VM missed after this time.
const WRITE_EVERY_MS: u64 = 2_000;

/// Time between two writes while the snapshot names other upstreams than there are, since VMs that
/// missed the announcement wait for the snapshot.
const LISTED_WRITE_EVERY_MS: u64 = 500;

/// Number of upstream entries in one datagram. One entry takes about 170 bytes.
const ENTRIES_A_DATAGRAM: usize = 6;

/// Maximum number of new entries that are announced by datagram. When thousands of upstreams arrive
/// together, each VM that has read them would send all others more than their links carry.
const MOST_ENTRIES_TOLD: usize = 24;

/// Pause after a failed write.
const WRITE_PAUSE_MS: u64 = 1_000;

/// Content of a snapshot in digests, which tell whether two snapshots differ.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CopyDigest {
    /// Digest of the upstreams that serve.
    listed: u64,
    /// Digests of what engines hold.
    held: Vec<u32>,
    /// Version of the configuration.
    configuration: u64,
    /// Era of the store. A snapshot whose write was in progress when a new era began may be lost.
    era: u64,
}

/// Writing state of the snapshot on the lease holder.
#[derive(Debug, Default)]
pub(super) struct CopyWriter {
    written: Option<CopyDigest>,
    next_ms: u64,
    /// Digest of the snapshot whose write is in progress.
    writing: Option<CopyDigest>,
    /// Size of the snapshot as the store sends it; 0 before the first write.
    bytes: usize,
}

impl CopyWriter {
    /// Forgets what was written, since another VM may have written another snapshot since.
    pub fn restart(&mut self) {
        self.written = None;
        self.next_ms = 0;
    }

    /// Returns the digest of the listed upstreams; none before the first write.
    fn listed(&self) -> Option<u64> {
        self.written.as_ref().map(|written| written.listed)
    }

    /// Returns the size of the snapshot if it lists the upstreams of this digest, and 0 otherwise.
    pub fn bytes_if_of(&self, listed: u64) -> usize {
        match self.listed() == Some(listed) {
            true => self.bytes,
            false => 0,
        }
    }
}

impl Daemon {
    pub(super) fn read_copy(&mut self) {
        self.begin_repairs();
        let after = self.feeds.copy.after.clone();
        let bytes = self.codecs.store.newest(Topic::ListCopy, after.as_deref());
        let timeout_ms = self
            .feeds
            .copy
            .patience_ms(&mut self.pacing, COPY_TIMEOUT_MS);
        self.feeds.copy.calling = true;
        self.call_store(CallTag::CopyNewest, &bytes, timeout_ms);
    }

    /// Marks the due repairs that the read about to begin serves.
    fn begin_repairs(&mut self) {
        let now_ms = self.now_ms;
        let draw_ms = self.pacing.draw_for_ms(self.feeds.copy.answer_bytes());
        let mut begun = 0;
        for repair in [&mut self.feeds.listed_repair, &mut self.feeds.held_repair] {
            if repair.is_due(now_ms) {
                repair.begin(now_ms, draw_ms);
                begun += 1;
            }
        }
        if begun > 0 {
            self.metrics.list_repair();
        }
    }

    /// Handles a page of the snapshot and returns the pause before the next read.
    pub(super) fn take_copy_page(&mut self, page: KeyedPage) -> Result<u64, DecodeError> {
        let feed = &mut self.feeds.copy;
        feed.after = page.records.last().map(|record| record.key.clone());
        feed.pages.extend(page.records);
        if page.more {
            return Ok(0);
        }
        let records = std::mem::take(&mut feed.pages);
        feed.after = None;
        self.feeds.copy_tried = true;
        let parts: Vec<ListCopyPart> = records
            .iter()
            .filter_map(|record| record.value.as_deref())
            .map(postcard::from_bytes)
            .collect::<Result<_, _>>()
            .map_err(|error| DecodeError::new(format!("a copy of the list: {error}")))?;
        // A snapshot from before a rollback does not tell what the upstream list lacks now; the
        // lease holder writes another one.
        let copy =
            ListCopy::from_parts(parts).filter(|copy| !self.store_era.is_past(copy.read_to.era));
        match copy {
            Some(copy) => self.take_copy(copy),
            None => self.miss_copy(),
        }
        Ok(0)
    }

    /// Counts a read that found no snapshot.
    fn miss_copy(&mut self) {
        self.feeds.copy_misses += 1;
        if self.feeds.copy_misses == COPY_LOOKS {
            self.feeds.uncopied_turn_ms = Some(self.now_ms + self.pacing.turn_ms());
        }
    }

    fn take_copy(&mut self, copy: ListCopy) {
        let from = self.feeds.upstreams.from;
        let is_newer = from.is_none_or(|from| from <= copy.read_to);
        let is_begun = self.feeds.upstreams.calling || !self.feeds.upstreams.pages.is_empty();
        if from.is_none() && !is_begun {
            self.feeds.upstreams.from = Some(copy.read_to);
        }
        self.feeds.upstreams.skip_to(copy.read_to);
        self.directory.read_up_to(copy.read_to);
        self.sharing.note_told_version(copy.configuration);
        let was_listed = self.directory.is_listed();
        let names: Vec<_> = copy
            .entries
            .iter()
            .map(|entry| entry.name.clone())
            .collect();
        let changes = self
            .directory
            .note_copy(self.now_ms, copy.entries, is_newer);
        if !was_listed {
            let read_to = copy.read_to.to_string();
            log::info!(upstreams = names.len(), read_to; "copy of the list read");
        }
        self.take_listing_changes(changes);
        for name in names {
            self.news.lay_over(self.now_ms, &mut self.directory, &name);
        }
        self.look_again = true;
    }

    /// Writes the snapshot if its content has changed and the time between two writes is over.
    pub(super) fn write_copy(&mut self) {
        let now_ms = self.now_ms;
        let from = self.feeds.upstreams.from;
        let Some(read_to) = from.filter(|from| !self.store_era.is_past(from.era)) else {
            return;
        };
        if self.feeds.copy_writer.writing.is_some() || now_ms < self.feeds.copy_writer.next_ms {
            return;
        }
        let digest = CopyDigest {
            listed: listed_digest(&self.directory),
            held: held_digests(&self.directory),
            configuration: self.directory.version(),
            era: read_to.era,
        };
        let lists_same = self.feeds.copy_writer.listed() == Some(digest.listed);
        let pause_ms = match lists_same {
            true => WRITE_EVERY_MS,
            false => LISTED_WRITE_EVERY_MS,
        };
        self.feeds.copy_writer.next_ms = now_ms + pause_ms;
        if self.feeds.copy_writer.written.as_ref() == Some(&digest) {
            return;
        }
        let parts = ListCopy::new(read_to, &self.directory).into_parts();
        let records: Vec<(String, Vec<u8>)> = parts
            .iter()
            .enumerate()
            .map(|(index, part)| {
                let bytes = postcard::to_stdvec(part).expect("a copy of the list can be encoded");
                (index.to_string(), bytes)
            })
            .collect();
        self.feeds.copy_writer.writing = Some(digest);
        let bytes = records.iter().map(|(_, value)| value.len()).sum::<usize>();
        // The store encodes values in base64.
        self.feeds.copy_writer.bytes = bytes * 4 / 3;
        let call = self.codecs.store.append_keyed(Topic::ListCopy, &records);
        self.call_store(CallTag::CopyAppend, &call, LIST_WRITE_TIMEOUT_MS);
    }

    /// Handles the outcome of a write of the snapshot.
    pub(super) fn copy_written(&mut self, is_done: bool) {
        let now_ms = self.now_ms;
        let writer = &mut self.feeds.copy_writer;
        let digest = writer.writing.take();
        match is_done {
            true => writer.written = digest,
            false => writer.next_ms = now_ms + WRITE_PAUSE_MS,
        }
    }

    /// Applies entries that another VM has read and announced.
    pub(crate) fn take_told_entries(&mut self, read_to: Position, entries: Vec<Upstream>) {
        self.handle_era(read_to.era);
        // Before the first list is known there is nothing to add the entries to.
        if !self.directory.is_listed() {
            return;
        }
        self.directory.read_up_to(read_to);
        for entry in entries {
            let instance = entry.instance.clone();
            let before = self.directory.run_of(&instance).cloned();
            let change = self.directory.note_told(entry);
            self.take_entry_change(&instance, before, change, "told_by_another_vm");
        }
        // The VM that read them has announced them to all VMs.
        self.feeds.came.clear();
    }

    /// Announces new upstreams to the other VMs, and also what this VM has read if no lease holder
    /// does so. When the holder is missing, the first VMs that have read announce it, and the
    /// others need not read.
    pub(crate) fn tell_list_read(&mut self) {
        let now_ms = self.now_ms;
        let came = std::mem::take(&mut self.feeds.came);
        let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
        if !holds_lease && self.sharing.follows(now_ms) {
            return;
        }
        if came.len() > MOST_ENTRIES_TOLD {
            log::info!(upstreams = came.len(); "upstreams came");
        }
        // If there are more, all VMs learn of them from the digest and the snapshot, which the
        // store sends to each VM once.
        let entries: Vec<Upstream> = came
            .iter()
            .filter(|_| came.len() <= MOST_ENTRIES_TOLD)
            .filter_map(|name| self.directory.upstream(name).cloned())
            .collect();
        for part in entries.chunks(ENTRIES_A_DATAGRAM) {
            self.peers.send_all(&PeerMessage::Entries {
                read_to: self.feeds.list_read_to(),
                entries: part.to_vec(),
            });
        }
        if !holds_lease {
            let from = self.peers.own_record().clone();
            let fresh = self.freshness();
            self.peers.send_all(&PeerMessage::ListRead { from, fresh });
        }
    }
}
