//! What this VM reads from the store: the configuration and the lists.

mod configuration;
mod copy;
mod feed;
mod list_rate;
mod listing;
mod schedule;
mod vms;

use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ReadPacing;

use self::copy::CopyWriter;
use self::feed::Feed;
use self::list_rate::ListRate;
use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::codec::DecodeError;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::outbound::Peer;

/// The time between two reads of the upstreams' entries. One that leaves must get no new requests
/// 2 s after it said so.
const UPSTREAMS_EVERY_MS: u64 = 900;

/// The time between two reads of the configuration by a VM that is told of changes. Each beat names
/// the version in force, so a lost one is made good by the next.
const FOLLOWING_CONFIGURATION_EVERY_MS: u64 = 30_000;

/// How long a call to the store may take beyond its wait, if no other VM reads.
const CALL_TIMEOUT_MS: u64 = 800;

/// The same for the copy of the list. A VM that starts waits for it, so a call that was swallowed
/// must not hold it up for long.
const COPY_TIMEOUT_MS: u64 = 500;

/// How long a write of the copy may take.
const LIST_WRITE_TIMEOUT_MS: u64 = 1_000;

/// How often the copy is looked for before a VM that has no list reads the upstreams' entries.
/// Whoever reads for all may not be able to write.
const COPY_LOOKS: u32 = 3;

/// The pause before the copy is looked for again where there was none.
const COPY_AGAIN_MS: u64 = 1_000;

/// The pause before the next read where nothing was written yet.
const NOTHING_YET_MS: u64 = 100;

/// The same for a whole list, which is larger. A VM that starts can't serve before it has one, so
/// a call that a silent store swallowed must not hold it up for long.
const NEWEST_TIMEOUT_MS: u64 = 900;

/// The time over which VMs write their entries again when the store came back from an older copy.
const WRITTEN_AGAIN_MS: u64 = 2_000;

/// Keys of foreign entries that are told in the log. A writer that makes new keys all the time must
/// fill neither the log nor the memory; beyond these the entries are only counted.
const FOREIGN_KEYS: usize = 200;

/// How long nothing has come for a request at an upstream that has started again, for it to have
/// been at the former process. Events of a stream come every few tens of milliseconds.
const RESTART_SILENT_MS: u64 = 500;

/// `Feeds` are the topics that this VM reads.
#[derive(Debug)]
pub(crate) struct Feeds {
    configuration: Feed,
    upstreams: Feed,
    /// When this VM's turn to read the upstreams' entries comes; none while others tell of them.
    scheduled_read_ms: Option<u64>,
    list_rate: ListRate,
    copy: Feed,
    /// Whether the store has answered whether there is a copy. Before that the upstreams' own
    /// entries are left alone: read by all VMs that start, they hold up everything else.
    copy_tried: bool,
    /// How often there was none.
    copy_misses: u32,
    /// When this VM reads the upstreams' entries though others tell of them, because nobody has
    /// written a copy; none before it has looked for one some times.
    uncopied_turn_ms: Option<u64>,
    copy_writer: CopyWriter,
    /// What is to be done about a list that differs from the one this VM is told of.
    pub(crate) listed_repair: ListRepair,
    /// The same where there is no copy that could help.
    pub(crate) uncopied_repair: ListRepair,
    /// The same for what engines hold.
    pub(crate) held_repair: ListRepair,
    /// Upstreams that came, to be told to the other VMs.
    came: Vec<UpstreamName>,
    /// This VM's own entry is written first, so that of two VMs that start at once at least one
    /// finds the other.
    vm_written: bool,
    /// Whether the other VMs' entries were read.
    vms_read: bool,
    vms: Feed,
    /// Keys whose entries named nobody to send to, so that each is told once.
    foreign: HashSet<String>,
    /// When a configuration and a list were first known.
    complete_ms: Option<u64>,
    /// When another VM read that the configuration in force here is the newest, as it has told.
    current_ms: Option<u64>,
    /// Since when others have told of a newer configuration than the one in force here.
    outdated_ms: Option<u64>,
    /// Whether this VM has taken requests, or could have.
    takes_requests: bool,
}

impl Default for Feeds {
    fn default() -> Self {
        Self {
            configuration: Feed::default(),
            upstreams: Feed::default(),
            scheduled_read_ms: None,
            list_rate: ListRate::default(),
            copy: Feed::default(),
            copy_tried: false,
            copy_misses: 0,
            uncopied_turn_ms: None,
            copy_writer: CopyWriter::default(),
            listed_repair: ListRepair::for_serving_upstreams(),
            uncopied_repair: ListRepair::without_snapshot(),
            held_repair: ListRepair::for_residences(),
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
    /// Returns how long ago the configuration was read; none before the first time.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.configuration.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Returns for how long others have told of a newer configuration than the one in force here;
    /// none if they have not.
    pub fn outdated_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.outdated_ms.map(|since_ms| now_ms - since_ms)
    }

    /// Returns how long ago this VM or another read that the configuration in force here is the
    /// newest; none before the first time.
    pub fn current_age_ms(&self, now_ms: u64) -> Option<u64> {
        let read_ms = self.configuration.read_ms.max(self.current_ms);
        read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Notes that another VM has read that the configuration in force here is the newest.
    pub fn note_current(&mut self, read_ms: u64) {
        self.current_ms = self.current_ms.max(Some(read_ms));
    }

    /// Notes whether others have told of a newer configuration.
    pub fn note_outdated(&mut self, now_ms: u64, is_outdated: bool) {
        self.outdated_ms = is_outdated.then(|| self.outdated_ms.unwrap_or(now_ms));
    }

    /// Returns how long ago the list was read; none before the first time.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.upstreams.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Has the upstreams' own entries read from the beginning, with all that engines hold, and the
    /// copy written: this VM gives orders from now on.
    pub fn lead(&mut self, now_ms: u64) {
        self.upstreams.restart_soon();
        self.copy_tried = true;
        self.upstreams.next_ms = self.upstreams.next_ms.min(now_ms);
        self.copy_writer.restart();
    }

    /// Takes in that the store came back from an older copy. The VM that gives orders reads the
    /// list at once; a VM that is told of changes need not. What this VM has written is written
    /// again, at a time of its own.
    pub fn set_back(&mut self, now_ms: u64, leads: bool, pacing: &mut ReadPacing) {
        self.configuration.restart_soon();
        self.copy.restart_soon();
        self.copy_writer.restart();
        if leads {
            self.upstreams.restart_soon();
            self.upstreams.next_ms = now_ms;
        }
        if self.vm_written {
            self.vm_written = false;
            self.vms.restart_soon();
            self.vms.next_ms = now_ms + pacing.random_up_to_ms(WRITTEN_AGAIN_MS);
        }
    }

    /// Returns how far the list was read; the first position before the first time.
    pub fn list_read_to(&self) -> Position {
        self.upstreams.from.unwrap_or_default()
    }

    /// Takes in that this VM knows what there is in the list up to a position.
    pub fn skip_list_to(&mut self, position: Position) {
        self.upstreams.skip_to(position);
    }

    /// Returns the size of the copy, if it names these upstreams; else 0.
    pub fn snapshot_bytes(&self, listed: u64) -> usize {
        self.copy_writer.bytes_if_of(listed)
    }

    /// Notes the size of the copy, as whoever writes it tells it.
    pub fn note_copy_bytes(&mut self, bytes: usize) {
        self.copy.note_answer(bytes);
    }

    /// Returns how many upstreams came that were not told yet.
    pub fn came_count(&self) -> usize {
        self.came.len()
    }

    /// Notes that an upstream came, to be told with what is read next.
    pub fn note_came(&mut self, name: UpstreamName) {
        self.came.push(name);
    }

    /// Has the configuration read at a time, unless it is due earlier.
    pub fn read_configuration_at(&mut self, at_ms: u64) {
        let look_ms = self.configuration.look_ms.get_or_insert(at_ms);
        *look_ms = at_ms.min(*look_ms);
    }
}

impl Feeds {
    /// Returns the feed that a call is for; none if it is not one that reads a topic.
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
    /// Makes the calls that are due.
    pub(crate) fn advance_feeds(&mut self) {
        let now_ms = self.now_ms;
        let leads = self.ordering.fence_held();
        let is_followed = self.sharing.is_following(now_ms);
        self.feeds
            .note_turn(now_ms, is_followed, leads, &mut self.pacing);
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
        if self.ordering.held_lease_end(now_ms).is_some() {
            self.write_copy();
        }
    }

    fn read_upstreams(&mut self) {
        self.feeds.upstreams.calling = true;
        if self.feeds.uncopied_repair.is_due(self.now_ms) {
            let scheduled_read_ms = self.pacing.scheduled_read_ms();
            self.feeds
                .uncopied_repair
                .begin(self.now_ms, scheduled_read_ms);
            self.metrics.list_repair();
        }
        let feed = &self.feeds.upstreams;
        match feed.place_in(self.store_era.now()) {
            None => {
                let after = feed.after.clone();
                let timeout_ms = feed.answer_timeout_ms(&mut self.pacing, NEWEST_TIMEOUT_MS);
                let bytes = self.codecs.store.newest(Topic::Upstreams, after.as_deref());
                self.call_store(CallTag::UpstreamsNewest, &bytes, timeout_ms);
            }
            Some(from) => {
                let timeout_ms =
                    feed.list_answer_timeout_ms(self.now_ms, &mut self.pacing, CALL_TIMEOUT_MS);
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

    /// Takes in the outcome of a feed's call.
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
            CallOutcome::SetBack => {
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
        // Without a pause there is more of the list to read.
        if is_list(tag) && pause_ms > 0 {
            self.list_read();
        } else if *tag == CallTag::ConfigurationRead && self.feeds.scheduled_read_ms.is_some() {
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
            self.directory.record_list_failure();
        }
    }

    /// Decodes the answer to an append that has to be done. One that the store refused is tried
    /// again.
    fn appended(&self, status: u16, body: &[u8]) -> Result<(), DecodeError> {
        match self.codecs.store.append_answer(status, body)? {
            StoreOutcome::Done { .. } => Ok(()),
            _ => Err(DecodeError::new(format!("status {status}"))),
        }
    }

    /// Takes in an answer and returns the pause before the feed's next call.
    fn take_feed(&mut self, tag: &CallTag, status: u16, body: &[u8]) -> Result<u64, DecodeError> {
        match tag {
            CallTag::ConfigurationNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                let found = self.take_configurations(&page.records);
                // Before the first configuration is written there is nothing to follow.
                self.feeds.configuration.from = Some(self.store_era.position(page.end));
                Ok(if found { 0 } else { NOTHING_YET_MS })
            }
            CallTag::ConfigurationRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.take_configuration_read(read)
            }
            CallTag::UpstreamsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                self.directory.record_list_answer(self.now_ms);
                Ok(self.take_upstreams_page(page))
            }
            CallTag::UpstreamsRead => {
                let read = self.codecs.store.read_answer(status, body)?;
                self.directory.record_list_answer(self.now_ms);
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
