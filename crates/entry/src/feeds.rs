//! What this VM reads from the store: the configuration and the lists.

mod configuration;
mod feed;
mod listing;

use std::collections::HashSet;

use apricotdale_fleet::Sharing;

use self::feed::Feed;
use self::feed::RETRY_MS;
use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::codec::DecodeError;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::VmRecord;
use crate::outbound::Peer;

/// The time between two reads of the upstreams' entries. One that leaves must get no new requests
/// 2 s after it said so.
const UPSTREAMS_EVERY_MS: u64 = 900;

/// The time between two reads of the list by a VM that the giver of orders tells of changes. What
/// engines hold is told in single datagrams, so a lost one is made good by this. With 15 s two of five
/// kinds of days lost 0.011 and 0.014 of the worth.
const FOLLOWING_LIST_EVERY_MS: u64 = 5_000;

/// The same for the configuration. Each beat names the version in force, so a lost one is made good by
/// the next.
const FOLLOWING_CONFIGURATION_EVERY_MS: u64 = 15_000;

/// How long a call to the store may take beyond its wait.
const CALL_TIMEOUT_MS: u64 = 800;

/// The same for a whole list, which is larger. A VM that starts can't serve before it has one, so
/// a call that a silent store swallowed must not hold it up for long.
const NEWEST_TIMEOUT_MS: u64 = 900;

/// Keys of foreign entries that are told in the log. A writer that makes new keys all the time must
/// fill neither the log nor the memory; beyond these the entries are only counted.
const FOREIGN_KEYS: usize = 200;

/// How long nothing has come for a request at an upstream that has started again, for it to have been
/// at the former process. Events of a stream come every few tens of milliseconds.
const RESTART_SILENT_MS: u64 = 500;

/// `Feeds` are the topics that this VM reads.
#[derive(Debug, Default)]
pub(crate) struct Feeds {
    configuration: Feed,
    upstreams: Feed,
    /// This VM's own entry is written first, so that of two VMs that start at once at least one
    /// finds the other.
    vm_written: bool,
    vms: Feed,
    vms_read: bool,
    /// Keys whose entries named nobody to send to, so that each is told once.
    foreign: HashSet<String>,
}

impl Feeds {
    /// Returns how long ago the configuration was read; none before the first time.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.configuration.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Has the list read as soon as the store may be called again.
    pub fn read_list_soon(&mut self, now_ms: u64) {
        if self.upstreams.failures == 0 {
            self.upstreams.next_ms = self.upstreams.next_ms.min(now_ms);
            self.upstreams.read_ms = self
                .upstreams
                .read_ms
                .map(|read_ms| read_ms.min(now_ms.saturating_sub(FOLLOWING_LIST_EVERY_MS)));
        }
    }

    /// Returns how long ago the list was read; none before the first time.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.upstreams.read_ms.map(|at_ms| now_ms - at_ms)
    }

    /// Returns when the next call is due.
    pub fn next_ms(&self, now_ms: u64, sharing: &Sharing) -> u64 {
        let ends_ms = match sharing.follows(now_ms) {
            true => sharing.followed_until_ms(),
            false => u64::MAX,
        };
        let followed = [
            (&self.configuration, FOLLOWING_CONFIGURATION_EVERY_MS),
            (&self.upstreams, FOLLOWING_LIST_EVERY_MS),
        ]
        .into_iter()
        .filter(|(feed, _)| !feed.calling)
        .map(|(feed, every_ms)| feed.due_ms(now_ms, sharing, every_ms));
        let own = [&self.vms]
            .into_iter()
            .filter(|feed| !feed.calling)
            .map(|feed| feed.next_ms);
        followed
            .chain(own)
            .chain([ends_ms])
            .min()
            .unwrap_or(u64::MAX)
    }
}

impl Daemon {
    /// Makes the calls that are due.
    pub(crate) fn advance_feeds(&mut self) {
        let now_ms = self.now_ms;
        let feeds = &self.feeds;
        let told = self.sharing.told_version() > self.directory.version();
        let is_due = |feed: &Feed, due_ms: u64| !feed.calling && due_ms <= now_ms;
        let configuration_ms = match told {
            true => feeds.configuration.next_ms,
            false => {
                feeds
                    .configuration
                    .due_ms(now_ms, &self.sharing, FOLLOWING_CONFIGURATION_EVERY_MS)
            }
        };
        let list_ms = feeds
            .upstreams
            .due_ms(now_ms, &self.sharing, FOLLOWING_LIST_EVERY_MS);
        let configuration = is_due(&feeds.configuration, configuration_ms);
        let upstreams = is_due(&feeds.upstreams, list_ms);
        let vms = !feeds.vms.calling && feeds.vms.next_ms <= now_ms;
        if configuration {
            self.read_configuration();
        }
        if upstreams {
            self.read_upstreams();
        }
        if vms {
            self.read_vms();
        }
    }

    fn read_upstreams(&mut self) {
        self.feeds.upstreams.calling = true;
        match self.feeds.upstreams.from {
            None => {
                let after = self.feeds.upstreams.after.clone();
                let bytes = self.codecs.store.newest(Topic::Upstreams, after.as_deref());
                self.call_store(CallTag::UpstreamsNewest, &bytes, NEWEST_TIMEOUT_MS);
            }
            Some(from) => {
                let bytes = self.codecs.store.read(Topic::Upstreams, from, 0);
                self.call_store(CallTag::UpstreamsRead, &bytes, CALL_TIMEOUT_MS);
            }
        }
    }

    fn read_vms(&mut self) {
        self.feeds.vms.calling = true;
        if self.feeds.vm_written {
            let bytes = self.codecs.store.newest(Topic::Vms, None);
            self.call_store(CallTag::VmsNewest, &bytes, NEWEST_TIMEOUT_MS);
            return;
        }
        let record = self.peers.own_record();
        let value = postcard::to_stdvec(record).expect("an entry of our own can be encoded");
        let bytes = self
            .codecs
            .store
            .append_keyed(Topic::Vms, record.vm.as_str(), &value);
        self.call_store(CallTag::VmAppend, &bytes, CALL_TIMEOUT_MS);
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
            CallOutcome::Answered { status, body } => self.take_feed(tag, status, &body),
            CallOutcome::NotSent => Err(DecodeError::new("not sent")),
            CallOutcome::Unknown => Err(DecodeError::new("no answer")),
        };
        let is_list = matches!(tag, CallTag::UpstreamsNewest | CallTag::UpstreamsRead);
        let Some(feed) = self.feed(tag) else {
            return;
        };
        feed.calling = false;
        let had_failures = feed.failures;
        match result {
            Ok(pause_ms) => {
                feed.succeeded(now_ms, pause_ms);
                if had_failures > 0 {
                    log::info!(call = tag.as_str(), failures = had_failures; "store regained");
                }
                // Without a pause there is more of the list to read.
                if is_list && pause_ms > 0 {
                    self.list_read();
                }
            }
            Err(error) => {
                feed.failed(now_ms);
                let age_ms = feed.read_ms.map(|at_ms| now_ms - at_ms);
                if had_failures == 0 {
                    log::warn!(
                        call = tag.as_str(), reason = error.detail, last_read_ms_ago = age_ms;
                        "store lost"
                    );
                }
                if is_list {
                    self.directory.note_list_lost();
                }
            }
        }
    }

    fn feed(&mut self, tag: &CallTag) -> Option<&mut Feed> {
        match tag {
            CallTag::ConfigurationNewest | CallTag::ConfigurationRead => {
                Some(&mut self.feeds.configuration)
            }
            CallTag::UpstreamsNewest | CallTag::UpstreamsRead => Some(&mut self.feeds.upstreams),
            CallTag::VmAppend | CallTag::VmsNewest => Some(&mut self.feeds.vms),
            _ => None,
        }
    }

    /// Takes in an answer and returns the pause before the feed's next call.
    fn take_feed(&mut self, tag: &CallTag, status: u16, body: &[u8]) -> Result<u64, DecodeError> {
        match tag {
            CallTag::ConfigurationNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                let found = self.take_configurations(&page.records);
                // Before the first configuration is written there is nothing to follow.
                self.feeds.configuration.from = Some(page.end);
                Ok(if found { 0 } else { RETRY_MS })
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
            CallTag::VmAppend => {
                self.codecs.store.append_answer(status, body)?;
                self.feeds.vm_written = true;
                Ok(0)
            }
            CallTag::VmsNewest => {
                let page = self.codecs.store.newest_answer(status, body)?;
                let records = page
                    .records
                    .iter()
                    .filter_map(|record| record.value.as_deref());
                let vms: Vec<VmRecord> = records
                    .filter_map(|value| postcard::from_bytes(value).ok())
                    .collect();
                self.peers.note_records(vms);
                self.feeds.vms_read = true;
                Ok(u64::MAX / 2)
            }
            _ => Ok(RETRY_MS),
        }
    }
}
