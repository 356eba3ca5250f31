//! Snapshot of the upstream list that the lease holder keeps in the store.
//!
//! A VM that starts reads the snapshot instead of the upstreams' own entries, which are many times
//! larger, and can serve immediately. A VM that has missed changes uses the snapshot to repair its
//! list.

use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListSnapshot;
use apricotdale_fleet::ListSnapshotPart;
use apricotdale_fleet::RecentVersions;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::residence_digests;
use apricotdale_fleet::serving_digest;
use apricotdale_fleet::versions_digest;

use super::MAX_SNAPSHOT_MISSES;
use super::SNAPSHOT_TIMEOUT_MS;
use super::SNAPSHOT_WRITE_TIMEOUT_MS;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedPage;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;

/// Time between two writes of the snapshot. Residence updates reach the VMs by datagram; the
/// snapshot contains an update that a VM missed after this time.
const SNAPSHOT_INTERVAL_MS: u64 = 2_000;

/// Time between two writes while the snapshot names other upstreams than there are, since VMs that
/// missed the announcement wait for the snapshot.
const CHANGED_LISTING_INTERVAL_MS: u64 = 500;

/// Number of upstream entries in one datagram. One entry takes about 170 bytes.
const ENTRIES_PER_DATAGRAM: usize = 6;

/// Maximum number of new entries that are announced by datagram. When thousands of upstreams arrive
/// together, each VM that has read them would send all others more than their links carry.
const MAX_ANNOUNCED_ENTRIES: usize = 24;

/// Number of failed reads after which the snapshot is written unread, as other VMs wait for one.
const MAX_READ_FAILURES: u32 = 3;

/// Pause after a failed write.
const WRITE_RETRY_MS: u64 = 1_000;

/// Content of a snapshot in digests, which tell whether two snapshots differ.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SnapshotDigest {
    /// Digest of the upstreams that serve.
    listed: u64,
    /// Digests of what engines hold.
    held: Vec<u32>,
    /// Version of the configuration that is known to be in force; 0 for none.
    configuration: u64,
    /// Digest of the software versions of the upstreams that serve.
    versions: u64,
    /// Versions that services ran lately.
    recent_versions: RecentVersions,
    /// Era of the store. A snapshot whose write was in progress when a new era began may be lost.
    era: u64,
}

/// Writing state of the snapshot on the lease holder.
#[derive(Debug, Default)]
pub(super) struct SnapshotWriter {
    written: Option<SnapshotDigest>,
    next_ms: u64,
    /// Digest of the snapshot whose write is in progress.
    writing: Option<SnapshotDigest>,
    /// Size of the snapshot as the store sends it; 0 before the first write.
    bytes: usize,
}

impl SnapshotWriter {
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
    pub fn bytes_if_listing(&self, listed: u64) -> usize {
        match self.listed() == Some(listed) {
            true => self.bytes,
            false => 0,
        }
    }
}

impl Daemon {
    pub(super) fn read_snapshot(&mut self) {
        self.begin_due_repairs();
        let after = self.store_pollers.list_snapshot.after.clone();
        let bytes = self
            .codecs
            .store
            .newest(Topic::ListSnapshot, after.as_deref());
        let timeout_ms = self
            .store_pollers
            .list_snapshot
            .timeout_ms(&mut self.pacing, SNAPSHOT_TIMEOUT_MS);
        self.store_pollers.list_snapshot.calling = true;
        self.call_store(CallTag::SnapshotNewest, &bytes, timeout_ms);
    }

    /// Marks the due repairs that the read about to begin serves.
    fn begin_due_repairs(&mut self) {
        let now_ms = self.now_ms;
        let draw_ms = self
            .pacing
            .jitter_for_answer_ms(self.store_pollers.list_snapshot.answer_bytes());
        let mut begun = 0;
        for repair in [
            &mut self.store_pollers.listing_repair,
            &mut self.store_pollers.residence_repair,
        ] {
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
    pub(super) fn handle_snapshot_page(&mut self, page: KeyedPage) -> Result<u64, DecodeError> {
        let poller = &mut self.store_pollers.list_snapshot;
        poller.after = page.records.last().map(|record| record.key.clone());
        poller.pages.extend(page.records);
        if page.more {
            return Ok(0);
        }
        let records = std::mem::take(&mut poller.pages);
        poller.after = None;
        self.store_pollers.snapshot_checked = true;
        let is_first_read = !std::mem::replace(&mut self.store_pollers.snapshot_read, true);
        if is_first_read && records.is_empty() {
            self.store_pollers.has_no_snapshot = true;
            self.record_if_first_vm();
        }
        let parts: Vec<ListSnapshotPart> = records
            .iter()
            .filter_map(|record| record.value.as_deref())
            .map(ListSnapshotPart::from_bytes)
            .collect::<Result<_, _>>()
            .map_err(|error| DecodeError::new(format!("list snapshot: {error}")))?;
        // A snapshot from before a rollback does not show what the upstream list lacks now; the
        // lease holder writes another one.
        let snapshot = ListSnapshot::from_parts(parts)
            .filter(|snapshot| !self.store_era.is_past(snapshot.read_to.era));
        if let (true, Some(snapshot)) = (is_first_read, &snapshot) {
            self.stream_origins
                .restore_versions(self.now_ms, &snapshot.recent_versions);
        }
        match snapshot {
            Some(snapshot) => self.apply_snapshot(snapshot),
            None => self.record_missing_snapshot(),
        }
        Ok(0)
    }

    /// Records that no stream has begun if neither a snapshot nor the VMs' entries show that a VM has
    /// served before.
    pub(super) fn record_if_first_vm(&mut self) {
        let pollers = &self.store_pollers;
        if pollers.has_no_snapshot && pollers.is_first_start && self.store_era.now() == 0 {
            self.stream_origins.record_first_vm(self.now_ms);
        }
    }

    /// Counts a read that found no snapshot.
    fn record_missing_snapshot(&mut self) {
        self.store_pollers.snapshot_misses += 1;
        if self.store_pollers.snapshot_misses == MAX_SNAPSHOT_MISSES {
            self.store_pollers.no_snapshot_read_ms =
                Some(self.now_ms + self.pacing.scheduled_read_ms());
        }
    }

    fn apply_snapshot(&mut self, mut snapshot: ListSnapshot) {
        snapshot.entries = self.valid_entries(snapshot.entries);
        let from = self.store_pollers.upstreams.from;
        let is_newer = from.is_none_or(|from| from <= snapshot.read_to);
        let is_begun =
            self.store_pollers.upstreams.calling || !self.store_pollers.upstreams.pages.is_empty();
        if from.is_none() && !is_begun {
            self.store_pollers.upstreams.from = Some(snapshot.read_to);
        }
        self.store_pollers.upstreams.skip_to(snapshot.read_to);
        self.directory.set_read_position(snapshot.read_to);
        self.record_stated_version(snapshot.configuration, 0);
        let was_listed = self.directory.is_listed();
        let names: Vec<_> = snapshot
            .entries
            .iter()
            .map(|entry| entry.name.clone())
            .collect();
        let changes = self
            .directory
            .apply_snapshot(self.now_ms, snapshot.entries, is_newer);
        if !was_listed {
            let read_to = snapshot.read_to.to_string();
            log::info!(upstreams = names.len(), read_to; "copy of the list read");
        }
        self.handle_listing_changes(changes);
        for name in names {
            self.residence_updates
                .reapply(self.now_ms, &mut self.directory, &name);
        }
        self.redispatch_needed = true;
    }

    /// Writes the snapshot if its content has changed and the time between two writes is over.
    pub(super) fn write_snapshot(&mut self) {
        let now_ms = self.now_ms;
        let from = self.store_pollers.upstreams.from;
        let Some(read_to) = from.filter(|from| !self.store_era.is_past(from.era)) else {
            return;
        };
        let poller = &self.store_pollers.list_snapshot;
        let may_be_read = !self.store_pollers.snapshot_read && poller.failures < MAX_READ_FAILURES;
        if may_be_read
            || self.store_pollers.snapshot_writer.writing.is_some()
            || now_ms < self.store_pollers.snapshot_writer.next_ms
        {
            return;
        }
        // The history must hold every version of the list that is written beside it.
        self.record_listed_versions();
        let digest = SnapshotDigest {
            listed: serving_digest(&self.directory),
            held: residence_digests(&self.directory),
            configuration: self.known_version(),
            versions: versions_digest(&self.directory),
            recent_versions: self.stream_origins.recent_versions(now_ms),
            era: read_to.era,
        };
        let is_same_listing = self.store_pollers.snapshot_writer.listed() == Some(digest.listed);
        let pause_ms = match is_same_listing {
            true => SNAPSHOT_INTERVAL_MS,
            false => CHANGED_LISTING_INTERVAL_MS,
        };
        self.store_pollers.snapshot_writer.next_ms = now_ms + pause_ms;
        if self.store_pollers.snapshot_writer.written.as_ref() == Some(&digest) {
            return;
        }
        let snapshot = ListSnapshot {
            configuration: digest.configuration,
            recent_versions: digest.recent_versions.clone(),
            ..ListSnapshot::new(read_to, &self.directory)
        };
        let parts = snapshot.into_parts();
        let records: Vec<(String, Vec<u8>)> = parts
            .iter()
            .enumerate()
            .map(|(index, part)| {
                let bytes = part.to_bytes().expect("list snapshot can be encoded");
                (index.to_string(), bytes)
            })
            .collect();
        self.store_pollers.snapshot_writer.writing = Some(digest);
        let bytes = records.iter().map(|(_, value)| value.len()).sum::<usize>();
        // The store encodes values in base64.
        self.store_pollers.snapshot_writer.bytes = bytes * 4 / 3;
        let call = self
            .codecs
            .store
            .append_keyed(Topic::ListSnapshot, &records);
        self.call_store(CallTag::SnapshotAppend, &call, SNAPSHOT_WRITE_TIMEOUT_MS);
    }

    /// Handles the outcome of a write of the snapshot.
    pub(super) fn finish_snapshot_write(&mut self, is_done: bool) {
        let now_ms = self.now_ms;
        let writer = &mut self.store_pollers.snapshot_writer;
        let digest = writer.writing.take();
        match is_done {
            true => writer.written = digest,
            false => writer.next_ms = now_ms + WRITE_RETRY_MS,
        }
    }

    /// Applies entries that another VM has read and announced.
    pub(crate) fn apply_announced_entries(&mut self, read_to: Position, entries: Vec<Upstream>) {
        self.handle_era(read_to.era);
        // Before the first list is known there is nothing to add the entries to.
        if !self.directory.is_listed() {
            return;
        }
        let entries = self.valid_entries(entries);
        self.directory.set_read_position(read_to);
        for entry in entries {
            let instance = entry.instance.clone();
            let before = self.directory.current_incarnation(&instance).cloned();
            let change = self.directory.record_peer_entry(entry);
            self.handle_entry_change(&instance, before, change, "told_by_another_vm");
        }
        // The VM that read them has announced them to all VMs.
        self.store_pollers.arrived_upstreams.clear();
    }

    /// Announces new upstreams to the other VMs, and also what this VM has read if no lease holder
    /// does so. When the holder is missing, the first VMs that have read announce it, and the
    /// others need not read.
    pub(crate) fn announce_list_read(&mut self) {
        let now_ms = self.now_ms;
        let arrived_upstreams = std::mem::take(&mut self.store_pollers.arrived_upstreams);
        let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
        if !holds_lease && self.sharing.is_following(now_ms) {
            return;
        }
        if arrived_upstreams.len() > MAX_ANNOUNCED_ENTRIES {
            log::info!(
                upstreams = arrived_upstreams.len();
                "too many new upstreams to announce them one by one"
            );
        }
        // If there are more, all VMs learn of them from the digest and the snapshot, which the
        // store sends to each VM once.
        let entries: Vec<Upstream> = arrived_upstreams
            .iter()
            .filter(|_| arrived_upstreams.len() <= MAX_ANNOUNCED_ENTRIES)
            .filter_map(|name| self.directory.upstream(name).cloned())
            .collect();
        for part in entries.chunks(ENTRIES_PER_DATAGRAM) {
            self.peers.send_all(&PeerMessage::Entries {
                read_to: self.store_pollers.list_read_to(),
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
