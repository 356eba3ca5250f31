//! Topics that this VM reads from the store: the configuration, the upstream list with its
//! snapshot, and the entries of VMs.

mod configuration;
mod feed;
mod list_rate;
mod list_snapshot;
mod schedule;
mod upstream_list;
mod vm_entries;

use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ReadPacing;

use self::feed::Feed;
use self::list_rate::ListRate;
use self::list_snapshot::CopyWriter;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::outbound::Peer;

/// Time between two reads of the upstreams' entries. An upstream that leaves must receive no new
/// requests from 2 s after it announced that.
const UPSTREAMS_EVERY_MS: u64 = 900;

/// Time between two reads of the configuration by a VM that receives announcements of changes. Each
/// heartbeat names the version in force, so the next one makes up for a lost one.
const FOLLOWING_CONFIGURATION_EVERY_MS: u64 = 30_000;

/// Time limit for a store call beyond the wait that it asks for, if no other VM reads at that time.
const CALL_TIMEOUT_MS: u64 = 800;

/// Time limit for reading the list snapshot. A VM that starts waits for the snapshot, so a lost
/// call must not delay it for long.
const COPY_TIMEOUT_MS: u64 = 500;

/// Time limit for writing the list snapshot.
const LIST_WRITE_TIMEOUT_MS: u64 = 1_000;

/// Number of reads that find no snapshot before a VM without an upstream list reads the upstreams'
/// entries. The VM that should write the snapshot may be unable to.
const COPY_LOOKS: u32 = 3;

/// Pause before the next read of the snapshot if there was none.
const COPY_AGAIN_MS: u64 = 1_000;

/// Pause before the next read of a topic in which nothing has been written yet.
const NOTHING_YET_MS: u64 = 100;

/// Time limit for reading a complete upstream list, which is larger than its changes. A VM that
/// starts can't serve without an upstream list, so a call lost at a silent store must not delay it
/// for long.
const NEWEST_TIMEOUT_MS: u64 = 900;

/// Time over which VMs spread the rewriting of their entries after a rollback of the store.
const WRITTEN_AGAIN_MS: u64 = 2_000;

/// Maximum number of keys of foreign entries that are logged. A writer that keeps creating keys
/// must fill neither the log nor the memory; entries beyond this number are only counted.
const FOREIGN_KEYS: usize = 200;

/// Silence after which a request at a restarted upstream is known to have been at the former
/// process. Events of a stream arrive every few tens of milliseconds.
const RESTART_SILENT_MS: u64 = 500;

/// Reading state of all topics, and what this VM knows about how current they are.
#[derive(Debug)]
pub(crate) struct Feeds {
    configuration: Feed,
    upstreams: Feed,
    /// When this VM reads the upstreams' entries; none while other VMs announce them.
    turn_ms: Option<u64>,
    list_rate: ListRate,
    copy: Feed,
    /// Whether the store has answered if a snapshot exists. Before that the upstreams' own entries
    /// are not read: reads of them by all VMs that start would delay all other store calls.
    copy_tried: bool,
    /// Number of reads that found no snapshot.
    copy_misses: u32,
    /// When this VM reads the upstreams' entries although other VMs announce them, because nobody
    /// has written a snapshot; none before several reads have found no snapshot.
    uncopied_turn_ms: Option<u64>,
    copy_writer: CopyWriter,
    /// Repair of an upstream list that differs from the announced one, by reading the snapshot.
    pub(crate) listed_repair: ListRepair,
    /// Repair of such a list by reading the upstreams' entries, where there is no snapshot.
    pub(crate) uncopied_repair: ListRepair,
    /// Repair of engine residence that differs from what is announced, by reading the snapshot.
    pub(crate) held_repair: ListRepair,
    /// New upstreams that have yet to be announced to the other VMs.
    came: Vec<UpstreamName>,
    /// Whether this VM's own entry is written. The entry is written before the others are read, so
    /// that of two VMs that start together at least one finds the other.
    vm_written: bool,
    /// Whether the other VMs' entries have been read.
    vms_read: bool,
    vms: Feed,
    /// Keys of entries that are no valid upstream's and have been logged, so that each is logged
    /// once.
    foreign: HashSet<String>,
    /// When a configuration and an upstream list were first known; none before that.
    complete_ms: Option<u64>,
    /// When another VM, by its own account, read that the configuration in force here is the
    /// newest.
    current_ms: Option<u64>,
    /// Since when other VMs have announced a newer configuration than the one in force here.
    outdated_ms: Option<u64>,
    /// Whether this VM has become ready for requests; it stays so.
    takes_requests: bool,
}

impl Default for Feeds {
    fn default() -> Self {
        Self {
            configuration: Feed::default(),
            upstreams: Feed::default(),
            turn_ms: None,
            list_rate: ListRate::default(),
            copy: Feed::default(),
            copy_tried: false,
            copy_misses: 0,
            uncopied_turn_ms: None,
            copy_writer: CopyWriter::default(),
            listed_repair: ListRepair::of_listed(),
            uncopied_repair: ListRepair::of_uncopied(),
            held_repair: ListRepair::of_held(),
            came: Vec::new(),
            vm_written: false,
            vms_read: false,
            vms: Feed::default(),
            foreign: HashSet::new(),
            complete_ms: None,
            current_ms: None,
            outdated_ms: None,
            takes_requests: false,
        }
    }
}

impl Feeds {
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
    pub fn current_age_ms(&self, now_ms: u64) -> Option<u64> {
        let read_ms = self.configuration.read_ms.max(self.current_ms);
        read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Records that another VM has read that the configuration in force here is the newest.
    pub fn note_current(&mut self, read_ms: u64) {
        self.current_ms = self.current_ms.max(Some(read_ms));
    }

    /// Records whether other VMs have announced a newer configuration.
    pub fn note_outdated(&mut self, now_ms: u64, is_outdated: bool) {
        self.outdated_ms = is_outdated.then(|| self.outdated_ms.unwrap_or(now_ms));
    }

    /// Returns how long ago the upstream list was read; none before the first read.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.upstreams.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Schedules what a VM that has just gained the lease needs: a read of all upstreams' own
    /// entries with their residence, and a write of the snapshot.
    pub fn lead(&mut self, now_ms: u64) {
        self.upstreams.restart_soon();
        self.copy_tried = true;
        self.upstreams.next_ms = self.upstreams.next_ms.min(now_ms);
        self.copy_writer.restart();
    }

    /// Handles a rollback of the store. The lease holder rereads the upstream list immediately; a
    /// VM that receives announcements need not. This VM's own entry is rewritten at a randomly
    /// spread time.
    pub fn set_back(&mut self, now_ms: u64, holds_lease: bool, pacing: &mut ReadPacing) {
        self.configuration.restart_soon();
        self.copy.restart_soon();
        self.copy_writer.restart();
        if holds_lease {
            self.upstreams.restart_soon();
            self.upstreams.next_ms = now_ms;
        }
        if self.vm_written {
            self.vm_written = false;
            self.vms.restart_soon();
            self.vms.next_ms = now_ms + pacing.draw_within_ms(WRITTEN_AGAIN_MS);
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
    pub fn copy_bytes(&self, listed: u64) -> usize {
        self.copy_writer.bytes_if_of(listed)
    }

    /// Records the size of the snapshot as announced by its writer.
    pub fn note_copy_bytes(&mut self, bytes: usize) {
        self.copy.note_answer(bytes);
    }

    /// Returns the number of new upstreams that have yet to be announced.
    pub fn came_count(&self) -> usize {
        self.came.len()
    }

    /// Records a new upstream for the next announcement.
    pub fn note_came(&mut self, name: UpstreamName) {
        self.came.push(name);
    }

    /// Schedules a read of the configuration, unless an earlier one is scheduled.
    pub fn read_configuration_at(&mut self, at_ms: u64) {
        let look_ms = self.configuration.look_ms.get_or_insert(at_ms);
        *look_ms = at_ms.min(*look_ms);
    }
}

impl Feeds {
    /// Returns the feed that a call reads; none if the call reads no topic.
    fn feed(&mut self, tag: &CallTag) -> Option<&mut Feed> {
        match tag {
            CallTag::ConfigurationNewest | CallTag::ConfigurationRead => {
                Some(&mut self.configuration)
            }
            CallTag::UpstreamsNewest | CallTag::UpstreamsRead => Some(&mut self.upstreams),
            CallTag::CopyNewest => Some(&mut self.copy),
            CallTag::VmAppend | CallTag::VmsNewest => Some(&mut self.vms),
            _ => None,
        }
    }
}

impl Daemon {
    /// Makes the store calls that are due.
    pub(crate) fn advance_feeds(&mut self) {
        let now_ms = self.now_ms;
        let holds_lease = self.engine_orders.may_send_orders();
        let is_followed = self.sharing.follows(now_ms);
        self.feeds
            .note_turn(now_ms, is_followed, holds_lease, &mut self.pacing);
        let feeds = &self.feeds;
        let is_due = |feed: &Feed, due_ms: u64| !feed.calling && due_ms <= now_ms;
        let configuration = is_due(
            &feeds.configuration,
            feeds.configuration_due_ms(now_ms, &self.sharing),
        );
        let upstreams = is_due(
            &feeds.upstreams,
            feeds.upstreams_due_ms(now_ms, &self.sharing),
        );
        let copy = is_due(&feeds.copy, feeds.copy_due_ms(now_ms, &self.sharing));
        let vms = is_due(&feeds.vms, feeds.vms.next_ms);
        if configuration {
            self.read_configuration();
        }
        if upstreams {
            self.read_upstreams();
        }
        if copy {
            self.read_copy();
        }
        if vms {
            self.read_vms();
        }
        if self.engine_orders.held_lease_end(now_ms).is_some() {
            self.write_copy();
        }
    }

    fn read_upstreams(&mut self) {
        self.feeds.upstreams.calling = true;
        if self.feeds.uncopied_repair.is_due(self.now_ms) {
            let turn_ms = self.pacing.turn_ms();
            self.feeds.uncopied_repair.begin(self.now_ms, turn_ms);
            self.metrics.list_repair();
        }
        let feed = &self.feeds.upstreams;
        match feed.place_in(self.store_era.now()) {
            None => {
                let after = feed.after.clone();
                let timeout_ms = feed.patience_ms(&mut self.pacing, NEWEST_TIMEOUT_MS);
                let bytes = self.codecs.store.newest(Topic::Upstreams, after.as_deref());
                self.call_store(CallTag::UpstreamsNewest, &bytes, timeout_ms);
            }
            Some(from) => {
                let timeout_ms =
                    feed.list_patience_ms(self.now_ms, &mut self.pacing, CALL_TIMEOUT_MS);
                let bytes = self.codecs.store.read(Topic::Upstreams, from.offset, 0);
                self.call_store(CallTag::UpstreamsRead, &bytes, timeout_ms);
            }
        }
    }

    /// Calls the store.
    pub(crate) fn call_store(&mut self, tag: CallTag, bytes: &[u8], timeout_ms: u64) {
        let address = self.settings.store;
        self.call(Peer::Store, address, tag, bytes, timeout_ms);
    }

    /// Handles the outcome of a feed's call.
    pub(crate) fn feed_call_ended(&mut self, tag: &CallTag, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let result = match outcome {
            CallOutcome::Answered { status, body } => {
                self.metrics.store_read(tag.as_str(), body.len());
                if let Some(feed) = self.feeds.feed(tag) {
                    feed.note_answer(body.len());
                }
                if *tag == CallTag::UpstreamsRead {
                    let rate = self.feeds.list_rate.note(now_ms, body.len());
                    rate.into_iter()
                        .for_each(|it| self.pacing.set_list_rate(it));
                }
                self.take_feed(tag, status, &body)
            }
            CallOutcome::RolledBack => {
                if let Some(feed) = self.feeds.feed(tag) {
                    feed.set_back(now_ms);
                }
                return;
            }
            CallOutcome::NotSent => Err(DecodeError::new("not sent")),
            CallOutcome::Unknown => Err(DecodeError::new("no answer")),
        };
        if *tag == CallTag::CopyAppend {
            self.copy_written(result.is_ok());
            return;
        }
        match result {
            Ok(pause_ms) => self.feed_answered(tag, now_ms, pause_ms),
            Err(error) => self.feed_failed(tag, now_ms, &error),
        }
    }

    fn feed_answered(&mut self, tag: &CallTag, now_ms: u64, pause_ms: u64) {
        let Some(feed) = self.feeds.feed(tag) else {
            return;
        };
        let failures = feed.failures;
        feed.succeeded(now_ms, pause_ms);
        if *tag == CallTag::ConfigurationRead {
            feed.look_ms = None;
        }
        if failures > 0 {
            log::info!(call = tag.as_str(), failures; "store regained");
        }
        // A pause of 0 means that more of the upstream list is to be read.
        if is_list(tag) && pause_ms > 0 {
            self.list_read();
        } else if *tag == CallTag::ConfigurationRead && self.feeds.turn_ms.is_some() {
            self.tell_list_read();
        }
    }

    fn feed_failed(&mut self, tag: &CallTag, now_ms: u64, error: &DecodeError) {
        let Some(feed) = self.feeds.feed(tag) else {
            return;
        };
        let is_told = feed.failed(now_ms, &mut self.pacing);
        let failures = feed.failures;
        let age_ms = feed.read_ms.map(|at_ms| now_ms - at_ms);
        let retry_in_ms = feed.next_ms - now_ms;
        if is_told {
            log::warn!(
                call = tag.as_str(), reason = error.detail.as_str(), last_read_ms_ago = age_ms,
                failures, retry_in_ms;
                "store lost"
            );
        }
        if is_list(tag) {
            self.directory.note_list_lost();
        }
    }

    /// Decodes the answer to an append that must be done. A refused append is an error, so that it
    /// is retried.
    fn appended(&self, status: u16, body: &[u8]) -> Result<(), DecodeError> {
        match self.codecs.store.append_answer(status, body)? {
            StoreOutcome::Done { .. } => Ok(()),
            _ => Err(DecodeError::new(format!("status {status}"))),
        }
    }

    /// Handles an answer and returns the pause before the feed's next call.
    fn take_feed(&mut self, tag: &CallTag, status: u16, body: &[u8]) -> Result<u64, DecodeError> {
        match tag {
            CallTag::ConfigurationNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                let found = self.take_configurations(&page.records);
                // Before the first configuration is written there is no position to continue from.
                self.feeds.configuration.from = Some(self.store_era.position(page.end));
                Ok(if found { 0 } else { NOTHING_YET_MS })
            }
            CallTag::ConfigurationRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.take_configuration_read(read)
            }
            CallTag::UpstreamsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                self.directory.note_list_answered(self.now_ms);
                Ok(self.take_upstreams_page(page))
            }
            CallTag::UpstreamsRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.directory.note_list_answered(self.now_ms);
                self.take_upstreams_read(read)
            }
            CallTag::CopyNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                self.take_copy_page(page)
            }
            CallTag::CopyAppend => {
                self.appended(status, body)?;
                Ok(0)
            }
            CallTag::VmAppend => {
                self.appended(status, body)?;
                Ok(self.vm_written())
            }
            CallTag::VmsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                Ok(self.take_vms_page(page))
            }
            _ => Ok(NOTHING_YET_MS),
        }
    }
}

fn is_list(tag: &CallTag) -> bool {
    matches!(tag, CallTag::UpstreamsNewest | CallTag::UpstreamsRead)
}
