//! The small copy of the list that the giver of orders keeps in the store.
//!
//! A VM that starts reads it in place of the upstreams' own entries, which are many times larger,
//! and serves by it at once; one that has missed something is set right by it.

use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListSnapshot;
use apricotdale_fleet::ListSnapshotPart;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::residence_digests;
use apricotdale_fleet::serving_digest;

use super::COPY_LOOKS;
use super::COPY_TIMEOUT_MS;
use super::LIST_WRITE_TIMEOUT_MS;
use crate::calling::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedPage;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;

/// The time between two writes of the copy. News of what engines hold reach the VMs by datagram;
/// what one missed is in the copy this much later.
const WRITE_EVERY_MS: u64 = 2_000;

/// The same while it names other upstreams than there are. VMs that were not told wait for it.
const LISTED_WRITE_EVERY_MS: u64 = 500;

/// Entries in one datagram: one takes some 170 bytes.
const ENTRIES_A_DATAGRAM: usize = 6;

/// The most entries that are told by datagram. When thousands of upstreams come at once, what each
/// VM that has read them tells to all others is more than their links carry.
const MOST_ENTRIES_TOLD: usize = 24;

/// The pause after a write that failed.
const WRITE_PAUSE_MS: u64 = 1_000;

/// `CopyDigest` tells whether a copy differs from another.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CopyDigest {
    /// Who serves.
    listed: u64,
    /// What engines hold.
    held: Vec<u32>,
    /// The version of the configuration.
    configuration: u64,
    /// The era of the store. A copy that was on its way when a new one began is of no use in it.
    era: u64,
}

/// `CopyWriter` is what the giver of orders has written.
#[derive(Debug, Default)]
pub(super) struct CopyWriter {
    written: Option<CopyDigest>,
    next_ms: u64,
    /// The digest that is being written.
    writing: Option<CopyDigest>,
    /// The size of the copy.
    bytes: usize,
}

impl CopyWriter {
    /// Forgets what was written, when another VM may have written since.
    pub fn restart(&mut self) {
        self.written = None;
        self.next_ms = 0;
    }

    /// Returns which upstreams the copy names, as a digest; none before it is written.
    fn listed(&self) -> Option<u64> {
        self.written.as_ref().map(|written| written.listed)
    }

    /// Returns the size of the copy, if it names these upstreams; else 0.
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
        let bytes = self
            .codecs
            .store
            .newest(Topic::ListSnapshot, after.as_deref());
        let timeout_ms = self
            .feeds
            .copy
            .answer_timeout_ms(&mut self.pacing, COPY_TIMEOUT_MS);
        self.feeds.copy.calling = true;
        self.call_store(CallTag::CopyNewest, &bytes, timeout_ms);
    }

    /// Notes which repairs the read that begins now is for.
    fn begin_repairs(&mut self) {
        let now_ms = self.now_ms;
        let draw_ms = self
            .pacing
            .jitter_for_answer_ms(self.feeds.copy.answer_bytes());
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

    /// Takes in a page of the copy and returns the pause before the next read.
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
        let parts: Vec<ListSnapshotPart> = records
            .iter()
            .filter_map(|record| record.value.as_deref())
            .map(postcard::from_bytes)
            .collect::<Result<_, _>>()
            .map_err(|error| DecodeError::new(format!("a copy of the list: {error}")))?;
        // One from before the list was set back does not tell what is missing in it now; whoever
        // reads for all writes another.
        let copy = ListSnapshot::from_parts(parts)
            .filter(|copy| !self.store_era.is_past(copy.read_to.era));
        match copy {
            Some(copy) => self.take_copy(copy),
            None => self.miss_copy(),
        }
        Ok(0)
    }

    /// Notes that there was no copy.
    fn miss_copy(&mut self) {
        self.feeds.copy_misses += 1;
        if self.feeds.copy_misses == COPY_LOOKS {
            self.feeds.uncopied_turn_ms = Some(self.now_ms + self.pacing.scheduled_read_ms());
        }
    }

    fn take_copy(&mut self, copy: ListSnapshot) {
        let from = self.feeds.upstreams.from;
        let is_newer = from.is_none_or(|from| from <= copy.read_to);
        let is_begun = self.feeds.upstreams.calling || !self.feeds.upstreams.pages.is_empty();
        if from.is_none() && !is_begun {
            self.feeds.upstreams.from = Some(copy.read_to);
        }
        self.feeds.upstreams.skip_to(copy.read_to);
        self.directory.set_read_position(copy.read_to);
        self.sharing.record_announced_version(copy.configuration);
        let was_listed = self.directory.is_listed();
        let names: Vec<_> = copy
            .entries
            .iter()
            .map(|entry| entry.name.clone())
            .collect();
        let changes = self
            .directory
            .apply_snapshot(self.now_ms, copy.entries, is_newer);
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

    /// Writes the copy, if this VM gives orders and something has changed.
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
            listed: serving_digest(&self.directory),
            held: residence_digests(&self.directory),
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
        let parts = ListSnapshot::new(read_to, &self.directory).into_parts();
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
        // The store sends values in base64.
        self.feeds.copy_writer.bytes = bytes * 4 / 3;
        let call = self
            .codecs
            .store
            .append_keyed(Topic::ListSnapshot, &records);
        self.call_store(CallTag::CopyAppend, &call, LIST_WRITE_TIMEOUT_MS);
    }

    /// Takes in the outcome of a write.
    pub(super) fn copy_written(&mut self, is_done: bool) {
        let now_ms = self.now_ms;
        let writer = &mut self.feeds.copy_writer;
        let digest = writer.writing.take();
        match is_done {
            true => writer.written = digest,
            false => writer.next_ms = now_ms + WRITE_PAUSE_MS,
        }
    }

    /// Takes in entries that another VM has read.
    pub(crate) fn take_told_entries(&mut self, read_to: Position, entries: Vec<Upstream>) {
        self.note_era(read_to.era);
        // Before the first list there is nothing that entries could be added to.
        if !self.directory.is_listed() {
            return;
        }
        self.directory.set_read_position(read_to);
        for entry in entries {
            let instance = entry.instance.clone();
            let before = self.directory.current_incarnation(&instance).cloned();
            let change = self.directory.record_peer_entry(entry);
            self.take_entry_change(&instance, before, change, "told_by_another_vm");
        }
        // Whoever read them has told all VMs.
        self.feeds.came.clear();
    }

    /// Tells the other VMs which upstreams came, and, where no giver of orders tells it, what this
    /// VM has read. Of VMs that miss a giver the first that have read tell the rest, which then
    /// need not.
    pub(crate) fn tell_list_read(&mut self) {
        let now_ms = self.now_ms;
        let came = std::mem::take(&mut self.feeds.came);
        let leads = self.ordering.held_lease_end(now_ms).is_some();
        if !leads && self.sharing.is_following(now_ms) {
            return;
        }
        if came.len() > MOST_ENTRIES_TOLD {
            log::info!(upstreams = came.len(); "upstreams came");
        }
        // Of more, all VMs learn by the digest and the copy, which the store sends to each once.
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
        if !leads {
            let from = self.peers.own_record().clone();
            let fresh = self.freshness();
            self.peers.send_all(&PeerMessage::ListRead { from, fresh });
        }
    }
}
