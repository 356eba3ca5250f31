//! Topics that this VM reads from the store: the configuration, the upstream list with its
//! snapshot, and the entries of VMs.

mod configuration;
mod list_rate;
mod list_snapshot;
mod schedule;
mod topic_poller;
mod upstream_list;
mod vm_entries;

use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ReadPacing;

use self::list_rate::ListRate;
use self::list_snapshot::SnapshotWriter;
use self::topic_poller::TopicPoller;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::outbound::Peer;

/// Time between two reads of the upstreams' entries. An upstream that leaves must receive no new
/// requests from 2 s after it announced that.
const UPSTREAMS_INTERVAL_MS: u64 = 900;

/// Time between two reads of the configuration by a VM that receives announcements of changes. Each
/// heartbeat names the version in force, so the next one makes up for a lost one.
const ANNOUNCED_CONFIGURATION_INTERVAL_MS: u64 = 30_000;

/// Time limit for a store call beyond the wait that it asks for, if no other VM reads at that time.
const CALL_TIMEOUT_MS: u64 = 800;

/// Time limit for reading the list snapshot. A VM that starts waits for the snapshot, so a lost
/// call must not delay it for long.
const SNAPSHOT_TIMEOUT_MS: u64 = 500;

/// Time limit for writing the list snapshot.
const SNAPSHOT_WRITE_TIMEOUT_MS: u64 = 1_000;

/// Number of reads that find no snapshot before a VM without an upstream list reads the upstreams'
/// entries. The VM that should write the snapshot may be unable to.
const MAX_SNAPSHOT_MISSES: u32 = 3;

/// Pause before the next read of the snapshot if there was none.
const SNAPSHOT_RETRY_MS: u64 = 1_000;

/// Pause before the next read of a topic in which nothing has been written yet.
const EMPTY_TOPIC_RETRY_MS: u64 = 100;

/// Time limit for reading a complete upstream list, which is larger than its changes. A VM that
/// starts can't serve without an upstream list, so a call lost at a silent store must not delay it
/// for long.
const COMPLETE_LIST_TIMEOUT_MS: u64 = 900;

/// Time over which VMs spread the rewriting of their entries after a rollback of the store.
const REWRITE_SPREAD_MS: u64 = 2_000;

/// Maximum number of keys of foreign entries that are logged. A writer that keeps creating keys
/// must fill neither the log nor the memory; entries beyond this number are only counted.
const MAX_LOGGED_FOREIGN_KEYS: usize = 200;

/// Reading state of all topics, and what this VM knows about how current they are.
#[derive(Debug)]
pub(crate) struct StorePollers {
    configuration: TopicPoller,
    upstreams: TopicPoller,
    /// When this VM reads the upstreams' entries; none while other VMs announce them.
    scheduled_read_ms: Option<u64>,
    list_rate: ListRate,
    list_snapshot: TopicPoller,
    /// Whether the store has answered if a snapshot exists. Before that the upstreams' own entries
    /// are not read: reads of them by all VMs that start would delay all other store calls.
    snapshot_checked: bool,
    /// Whether this VM has read the snapshot, or that there is none. It writes none before, as it
    /// would replace what the former lease holder knew of the time before this VM started.
    snapshot_read: bool,
    /// Whether the first read of the snapshot found none.
    has_no_snapshot: bool,
    /// Whether no VM had started more than once when the VMs' entries were first read.
    is_first_start: bool,
    /// Number of reads that found no snapshot.
    snapshot_misses: u32,
    /// When this VM reads the upstreams' entries although other VMs announce them, because nobody
    /// has written a snapshot; none before several reads have found no snapshot.
    no_snapshot_read_ms: Option<u64>,
    snapshot_writer: SnapshotWriter,
    /// Repair of an upstream list that differs from the announced one, by reading the snapshot.
    pub(crate) listing_repair: ListRepair,
    /// Repair of such a list by reading the upstreams' entries, where there is no snapshot.
    pub(crate) no_snapshot_repair: ListRepair,
    /// Repair of engine residence that differs from what is announced, by reading the snapshot.
    pub(crate) residence_repair: ListRepair,
    /// New upstreams that have yet to be announced to the other VMs.
    arrived_upstreams: Vec<UpstreamName>,
    /// Whether this VM's own entry is written. The entry is written before the others are read, so
    /// that of two VMs that start together at least one finds the other.
    own_entry_written: bool,
    /// Whether the other VMs' entries have been read.
    other_entries_read: bool,
    vms: TopicPoller,
    /// Keys of entries that are no valid upstream's and have been logged, so that each is logged
    /// once.
    foreign_keys: HashSet<String>,
    /// When another VM, by its own account, read that the configuration in force here is the
    /// newest.
    confirmed_ms: Option<u64>,
    /// Since when other VMs have announced a newer configuration than the one in force here.
    outdated_ms: Option<u64>,
}

impl Default for StorePollers {
    fn default() -> Self {
        Self {
            configuration: TopicPoller::default(),
            upstreams: TopicPoller::default(),
            scheduled_read_ms: None,
            list_rate: ListRate::default(),
            list_snapshot: TopicPoller::default(),
            snapshot_checked: false,
            snapshot_read: false,
            has_no_snapshot: false,
            is_first_start: false,
            snapshot_misses: 0,
            no_snapshot_read_ms: None,
            snapshot_writer: SnapshotWriter::default(),
            listing_repair: ListRepair::for_serving_upstreams(),
            no_snapshot_repair: ListRepair::without_snapshot(),
            residence_repair: ListRepair::for_residences(),
            arrived_upstreams: Vec::new(),
            own_entry_written: false,
            other_entries_read: false,
            vms: TopicPoller::default(),
            foreign_keys: HashSet::new(),
            confirmed_ms: None,
            outdated_ms: None,
        }
    }
}

impl StorePollers {
    /// Returns how long ago the configuration was read; none before the first read.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.configuration.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Returns for how long other VMs have announced a newer configuration than the one in force
    /// here; none if they have not.
    pub fn outdated_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.outdated_ms.map(|since_ms| now_ms - since_ms)
    }

    /// Returns how long ago this VM or another read that the configuration in force here is the
    /// newest; none before the first such read.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        let read_ms = self.configuration.read_ms.max(self.confirmed_ms);
        read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Records that another VM has read that the configuration in force here is the newest.
    pub fn record_confirmation(&mut self, read_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(read_ms));
    }

    /// Records whether other VMs have announced a newer configuration.
    pub fn record_outdated(&mut self, now_ms: u64, is_outdated: bool) {
        self.outdated_ms = is_outdated.then(|| self.outdated_ms.unwrap_or(now_ms));
    }

    /// Returns how long ago the upstream list was read; none before the first read.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.upstreams.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Schedules what a VM that has just gained the lease needs: a read of all upstreams' own
    /// entries with their residence, and a write of the snapshot.
    pub fn prepare_for_lease(&mut self, now_ms: u64) {
        self.upstreams.schedule_restart();
        self.snapshot_checked = true;
        self.upstreams.next_ms = self.upstreams.next_ms.min(now_ms);
        self.snapshot_writer.restart();
    }

    /// Handles a rollback of the store. The lease holder rereads the upstream list immediately; a
    /// VM that receives announcements need not. This VM's own entry is rewritten at a randomly
    /// spread time.
    pub fn handle_rollback(&mut self, now_ms: u64, holds_lease: bool, pacing: &mut ReadPacing) {
        self.configuration.schedule_restart();
        self.list_snapshot.schedule_restart();
        self.snapshot_writer.restart();
        if holds_lease {
            self.upstreams.schedule_restart();
            self.upstreams.next_ms = now_ms;
        }
        if self.own_entry_written {
            self.own_entry_written = false;
            self.vms.schedule_restart();
            self.vms.next_ms = now_ms + pacing.random_up_to_ms(REWRITE_SPREAD_MS);
        }
    }

    /// Returns the position up to which the upstream list has been read; the zero position before
    /// the first read.
    pub fn list_read_to(&self) -> Position {
        self.upstreams.from.unwrap_or_default()
    }

    /// Records that this VM knows the upstream list up to a position without having read it.
    pub fn skip_list_to(&mut self, position: Position) {
        self.upstreams.skip_to(position);
    }

    /// Returns the size of the snapshot if it lists the upstreams of this digest, and 0 otherwise.
    pub fn snapshot_bytes(&self, listed: u64) -> usize {
        self.snapshot_writer.bytes_if_listing(listed)
    }

    /// Records the size of the snapshot as announced by its writer.
    pub fn set_snapshot_bytes(&mut self, bytes: usize) {
        self.list_snapshot.record_answer_size(bytes);
    }

    /// Returns the number of new upstreams that have yet to be announced.
    pub fn pending_arrivals(&self) -> usize {
        self.arrived_upstreams.len()
    }

    /// Records a new upstream for the next announcement.
    pub fn queue_arrival(&mut self, name: UpstreamName) {
        self.arrived_upstreams.push(name);
    }

    /// Schedules a read of the configuration, unless an earlier one is scheduled.
    pub fn read_configuration_at(&mut self, at_ms: u64) {
        let forced_read_ms = self.configuration.forced_read_ms.get_or_insert(at_ms);
        *forced_read_ms = at_ms.min(*forced_read_ms);
    }
}

impl StorePollers {
    /// Returns the poller that a call belongs to; none if the call reads no topic.
    fn poller(&mut self, tag: &CallTag) -> Option<&mut TopicPoller> {
        match tag {
            CallTag::ConfigurationNewest | CallTag::ConfigurationRead => {
                Some(&mut self.configuration)
            }
            CallTag::UpstreamsNewest | CallTag::UpstreamsRead => Some(&mut self.upstreams),
            CallTag::SnapshotNewest => Some(&mut self.list_snapshot),
            CallTag::VmAppend | CallTag::VmsNewest => Some(&mut self.vms),
            _ => None,
        }
    }
}

impl Daemon {
    /// Makes the store calls that are due.
    pub(crate) fn advance_pollers(&mut self) {
        let now_ms = self.now_ms;
        let holds_lease = self.engine_orders.may_send_orders();
        let has_announcer = self.sharing.is_following(now_ms);
        self.store_pollers.update_scheduled_read(
            now_ms,
            has_announcer,
            holds_lease,
            &mut self.pacing,
        );
        let store_pollers = &self.store_pollers;
        let is_due = |poller: &TopicPoller, due_ms: u64| !poller.calling && due_ms <= now_ms;
        let configuration = is_due(
            &store_pollers.configuration,
            store_pollers.configuration_due_ms(now_ms, &self.sharing),
        );
        let upstreams = is_due(
            &store_pollers.upstreams,
            store_pollers.upstreams_due_ms(now_ms, &self.sharing),
        );
        let list_snapshot = is_due(
            &store_pollers.list_snapshot,
            store_pollers.snapshot_due_ms(now_ms, &self.sharing),
        );
        let vms = is_due(&store_pollers.vms, store_pollers.vms.next_ms);
        if configuration {
            self.read_configuration();
        }
        if upstreams {
            self.read_upstreams();
        }
        if list_snapshot {
            self.read_snapshot();
        }
        if vms {
            self.read_vms();
        }
        self.schedule_entries_reread();
        self.send_due_configuration_query();
        if self.engine_orders.held_lease_end(now_ms).is_some() {
            self.write_snapshot();
        }
    }

    fn read_upstreams(&mut self) {
        self.store_pollers.upstreams.calling = true;
        if self.store_pollers.no_snapshot_repair.is_due(self.now_ms) {
            let scheduled_read_ms = self.pacing.scheduled_read_ms();
            self.store_pollers
                .no_snapshot_repair
                .begin(self.now_ms, scheduled_read_ms);
            self.metrics.list_repair();
        }
        let poller = &self.store_pollers.upstreams;
        match poller.position_in_era(self.store_era.now()) {
            None => {
                let after = poller.after.clone();
                let timeout_ms = poller.timeout_ms(&mut self.pacing, COMPLETE_LIST_TIMEOUT_MS);
                let bytes = self.codecs.store.newest(Topic::Upstreams, after.as_deref());
                self.call_store(CallTag::UpstreamsNewest, &bytes, timeout_ms);
            }
            Some(from) => {
                let timeout_ms =
                    poller.list_timeout_ms(self.now_ms, &mut self.pacing, CALL_TIMEOUT_MS);
                let bytes = self
                    .codecs
                    .store
                    .read(Topic::Upstreams, from.offset, 0, None);
                self.call_store(CallTag::UpstreamsRead, &bytes, timeout_ms);
            }
        }
    }

    /// Sends a call to the store. Its outcome arrives under `tag`, at the latest after
    /// `timeout_ms`.
    pub(crate) fn call_store(&mut self, tag: CallTag, bytes: &[u8], timeout_ms: u64) {
        let address = self.settings.store;
        self.call(Peer::Store, address, tag, bytes, timeout_ms);
    }

    /// Handles the outcome of a poller's call.
    pub(crate) fn finish_poll(&mut self, tag: &CallTag, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let result = match outcome {
            CallOutcome::Answered { status, body } => {
                self.metrics.store_read(tag.as_str(), body.len());
                if let Some(poller) = self.store_pollers.poller(tag) {
                    poller.record_answer_size(body.len());
                }
                if *tag == CallTag::UpstreamsRead {
                    let rate = self.store_pollers.list_rate.record(now_ms, body.len());
                    rate.into_iter()
                        .for_each(|it| self.pacing.set_list_rate(it));
                }
                self.handle_poll_answer(tag, status, &body)
            }
            CallOutcome::RolledBack => {
                if let Some(poller) = self.store_pollers.poller(tag) {
                    poller.handle_rollback(now_ms);
                }
                return;
            }
            CallOutcome::NotSent => Err(DecodeError::new("not sent")),
            CallOutcome::Unknown => Err(DecodeError::new("no answer")),
        };
        if *tag == CallTag::SnapshotAppend {
            self.finish_snapshot_write(result.is_ok());
            return;
        }
        match result {
            Ok(pause_ms) => self.record_poll_success(tag, now_ms, pause_ms),
            Err(error) => self.record_poll_failure(tag, now_ms, &error),
        }
    }

    fn record_poll_success(&mut self, tag: &CallTag, now_ms: u64, pause_ms: u64) {
        let Some(poller) = self.store_pollers.poller(tag) else {
            return;
        };
        let failures = poller.failures;
        poller.succeeded(now_ms, pause_ms);
        let reads_configuration = reads_configuration(tag);
        if reads_configuration {
            poller.forced_read_ms = None;
            poller.draw_read_phase(&mut self.pacing, ANNOUNCED_CONFIGURATION_INTERVAL_MS);
        }
        if failures > 0 {
            log::info!(call = tag.as_str(), failures; "store regained");
        }
        // A pause of 0 means that more of the upstream list is to be read.
        if reads_upstream_list(tag) && pause_ms > 0 {
            self.finish_list_read();
        } else if reads_configuration && self.store_pollers.scheduled_read_ms.is_some() {
            self.announce_list_read();
        }
    }

    fn record_poll_failure(&mut self, tag: &CallTag, now_ms: u64, error: &DecodeError) {
        let Some(poller) = self.store_pollers.poller(tag) else {
            return;
        };
        let should_log = poller.failed(now_ms, &mut self.pacing);
        let failures = poller.failures;
        let age_ms = poller.read_ms.map(|at_ms| now_ms - at_ms);
        let retry_in_ms = poller.next_ms - now_ms;
        if should_log {
            log::warn!(
                call = tag.as_str(), reason = error.detail.as_str(), last_read_ms_ago = age_ms,
                failures, retry_in_ms;
                "store lost"
            );
        }
        if reads_upstream_list(tag) {
            self.directory.record_list_failure();
        }
    }

    /// Decodes the answer to an append that must be done. A refused append is an error, so that it
    /// is retried.
    fn check_append(&self, status: u16, body: &[u8]) -> Result<(), DecodeError> {
        match self.codecs.store.append_answer(status, body)? {
            StoreOutcome::Done { .. } => Ok(()),
            _ => Err(DecodeError::new(format!("status {status}"))),
        }
    }

    /// Handles an answer and returns the pause before the poller's next call.
    fn handle_poll_answer(
        &mut self,
        tag: &CallTag,
        status: u16,
        body: &[u8],
    ) -> Result<u64, DecodeError> {
        match tag {
            CallTag::ConfigurationNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                let found = self.apply_configurations(&page.records, false);
                // Before the first configuration is written there is no position to continue from.
                self.store_pollers.configuration.from = Some(self.store_era.position(page.end));
                Ok(if found { 0 } else { EMPTY_TOPIC_RETRY_MS })
            }
            CallTag::ConfigurationRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.handle_configuration_read(read)
            }
            CallTag::UpstreamsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                self.directory.record_list_answer(self.now_ms);
                Ok(self.handle_upstreams_page(page))
            }
            CallTag::UpstreamsRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.directory.record_list_answer(self.now_ms);
                self.handle_upstreams_read(read)
            }
            CallTag::SnapshotNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                self.handle_snapshot_page(page)
            }
            CallTag::SnapshotAppend => {
                self.check_append(status, body)?;
                Ok(0)
            }
            CallTag::VmAppend => {
                self.check_append(status, body)?;
                Ok(self.record_own_entry_written())
            }
            CallTag::VmsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                Ok(self.handle_vms_page(page))
            }
            _ => Ok(EMPTY_TOPIC_RETRY_MS),
        }
    }
}

fn reads_configuration(tag: &CallTag) -> bool {
    matches!(
        tag,
        CallTag::ConfigurationNewest | CallTag::ConfigurationRead
    )
}

fn reads_upstream_list(tag: &CallTag) -> bool {
    matches!(tag, CallTag::UpstreamsNewest | CallTag::UpstreamsRead)
}
