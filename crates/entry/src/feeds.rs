//! What this VM reads from the store: the configuration and the lists.

use std::collections::HashSet;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::Upstream;

use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedPage;
use crate::codec::KeyedRecord;
use crate::codec::LogRead;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::VmRecord;
use crate::outbound::Peer;
use crate::sharing::Sharing;

/// How long a read of the configuration waits for a change. A connection that has fallen silent is
/// noticed after that and a little more, within the time in which a change must be in force.
const CONFIGURATION_WAIT_MS: u64 = 2_000;

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

/// The pause after a call that failed, doubled with each further one.
const RETRY_MS: u64 = 100;

/// The longest such pause. The store must be read again soon after it comes back.
const MAX_RETRY_MS: u64 = 400;

/// How long after a failed read entries that vanished may be those of live upstreams.
const OUTAGE_MS: u64 = 3_500;

/// Keys of foreign entries that are told in the log. A writer that makes new keys all the time must
/// fill neither the log nor the memory; beyond these the entries are only counted.
const FOREIGN_KEYS: usize = 200;

/// How long nothing has come for a request at an upstream that has started again, for it to have been
/// at the former process. Events of a stream come every few tens of milliseconds.
const RESTART_SILENT_MS: u64 = 500;

/// `Feed` is one topic that is read.
#[derive(Debug, Default)]
struct Feed {
    /// Where the next read begins; none before the newest records were read.
    from: Option<u64>,
    /// Pages of newest records so far.
    pages: Vec<KeyedRecord>,
    pages_end: Option<u64>,
    after: Option<String>,
    next_ms: u64,
    calling: bool,
    failures: u32,
    failed_ms: Option<u64>,
    read_ms: Option<u64>,
}

impl Feed {
    fn failed(&mut self, now_ms: u64) {
        self.failures += 1;
        self.failed_ms = Some(now_ms);
        let pause_ms = (RETRY_MS << (self.failures - 1).min(6)).min(MAX_RETRY_MS);
        self.next_ms = now_ms + pause_ms;
    }

    fn succeeded(&mut self, now_ms: u64, pause_ms: u64) {
        self.failures = 0;
        self.read_ms = Some(now_ms);
        self.next_ms = now_ms + pause_ms;
    }

    /// Returns when the next read is due, if nothing is told to have changed. While the giver of
    /// orders tells of changes, a topic that was read well is left alone for longer.
    fn due_ms(&self, now_ms: u64, sharing: &Sharing, following_every_ms: u64) -> u64 {
        match self.read_ms {
            Some(read_ms) if self.failures == 0 && sharing.follows(now_ms) => {
                self.next_ms.max(read_ms + following_every_ms)
            }
            _ => self.next_ms,
        }
    }

    /// Returns whether the list could not be read a moment ago.
    fn had_outage(&self, now_ms: u64) -> bool {
        self.failed_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < OUTAGE_MS)
    }

    fn restart(&mut self) {
        self.from = None;
        self.pages.clear();
        self.pages_end = None;
        self.after = None;
    }
}

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

    fn read_configuration(&mut self) {
        self.feeds.configuration.calling = true;
        match self.feeds.configuration.from {
            None => {
                let bytes = self.codecs.store.newest(Topic::Configuration, None);
                self.call_store(CallTag::ConfigurationNewest, &bytes, NEWEST_TIMEOUT_MS);
            }
            Some(from) => {
                // A VM that is told of changes has no read waiting, so that it makes none in vain.
                let wait_ms = match self.sharing.follows(self.now_ms) {
                    true => 0,
                    false => CONFIGURATION_WAIT_MS,
                };
                let bytes = self.codecs.store.read(Topic::Configuration, from, wait_ms);
                self.call_store(
                    CallTag::ConfigurationRead,
                    &bytes,
                    wait_ms + CALL_TIMEOUT_MS,
                );
            }
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
                Ok(self.take_upstreams_page(page))
            }
            CallTag::UpstreamsRead => {
                let read = self.codecs.store.read_answer(status, body)?;
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

    fn take_configuration_read(&mut self, read: LogRead) -> Result<u64, DecodeError> {
        match read {
            LogRead::Expired { .. } => {
                self.feeds.configuration.restart();
                Ok(0)
            }
            LogRead::Records { records, .. } => {
                let mut keyed = Vec::new();
                for record in &records {
                    keyed.push(self.codecs.store.keyed(record)?);
                }
                self.take_configurations(&keyed);
                let from = self.feeds.configuration.from.unwrap_or_default();
                self.feeds.configuration.from = Some(from + records.len() as u64);
                Ok(0)
            }
        }
    }

    /// Puts configurations in force. Returns whether there was one.
    fn take_configurations(&mut self, records: &[KeyedRecord]) -> bool {
        let mut found = false;
        for record in records {
            let configuration = match self.codecs.store.configuration(record) {
                Ok(Some(configuration)) => configuration,
                Ok(None) => continue,
                Err(error) => {
                    log::error!(reason = error.detail; "configuration not understood");
                    continue;
                }
            };
            found = true;
            let version = configuration.version;
            let before = self.directory.version();
            match self.directory.configure(configuration) {
                Ok(()) if version != before => {
                    log::info!(version, before; "configuration in force");
                    self.peers.beat_soon();
                    self.look_again = true;
                }
                Ok(()) => {}
                Err(error) => log::warn!(reason = error.to_string(); "configuration left alone"),
            }
        }
        found
    }

    fn take_upstreams_page(&mut self, page: KeyedPage) -> u64 {
        let now_ms = self.now_ms;
        let feed = &mut self.feeds.upstreams;
        feed.pages_end.get_or_insert(page.end);
        feed.after = page.records.last().map(|record| record.key.clone());
        feed.pages.extend(page.records);
        if page.more {
            return 0;
        }
        let records = std::mem::take(&mut feed.pages);
        feed.from = feed.pages_end.take();
        feed.after = None;
        let outage = feed.had_outage(now_ms);
        let entries: Vec<Upstream> = records
            .iter()
            .filter_map(|record| self.decode_upstream(record))
            .collect();
        let names: Vec<UpstreamName> = entries.iter().map(|entry| entry.name.clone()).collect();
        let left = self.directory.note_listing(now_ms, entries, outage);
        log::info!(upstreams = names.len(), left = left.len(); "list of upstreams read");
        for name in left {
            let reason = match self.directory.has_restarted(&name) {
                true => "restarted",
                false => "not_listed",
            };
            self.upstream_left(&name, reason);
        }
        for name in names {
            self.news.lay_over(now_ms, &mut self.directory, &name);
        }
        self.look_again = true;
        UPSTREAMS_EVERY_MS
    }

    fn take_upstreams_read(&mut self, read: LogRead) -> Result<u64, DecodeError> {
        let LogRead::Records { end, records } = read else {
            self.feeds.upstreams.restart();
            return Ok(0);
        };
        for record in &records {
            match self.codecs.store.keyed(record) {
                Ok(record) => self.take_upstream(&record),
                // Others may write here too. A record without a key names nobody; the read goes on,
                // since it would meet the same record again.
                Err(error) => self.note_foreign_entry("", &error),
            }
        }
        let from = self.feeds.upstreams.from.unwrap_or_default() + records.len() as u64;
        self.feeds.upstreams.from = Some(from);
        Ok(if from < end { 0 } else { UPSTREAMS_EVERY_MS })
    }

    /// Decodes an entry. One that is none of an upstream's own ends the use of the run that stood
    /// under its key, and so is taken the same by a VM that reads every change and by one that reads
    /// only the newest.
    fn decode_upstream(&mut self, record: &KeyedRecord) -> Option<Upstream> {
        let value = record.value.as_deref()?;
        match self.codecs.store.upstream(&record.key, value) {
            Ok(upstream) => {
                self.feeds.foreign.remove(&record.key);
                self.note_service(&upstream);
                Some(upstream)
            }
            Err(error) => {
                self.note_foreign_entry(&record.key, &error);
                let instance = InstanceName::from(record.key.as_str());
                let run = self.directory.run_of(&instance).cloned();
                if let (DirectoryChange::Left, Some(run)) =
                    (self.directory.note_foreign(&instance), run)
                {
                    self.upstream_left(&run, "entry_of_another_writer");
                }
                None
            }
        }
    }

    /// Says once of an upstream that its service is in no configuration. No route leads to it.
    fn note_service(&mut self, upstream: &Upstream) {
        if self.directory.version() > 0 && self.directory.service(&upstream.service).is_none() {
            let error = DecodeError::new(format!("service {}", upstream.service));
            self.note_foreign_entry(upstream.instance.as_str(), &error);
        }
    }

    /// Counts an entry that names nobody to send to, and says so once for each key.
    fn note_foreign_entry(&mut self, key: &str, error: &DecodeError) {
        self.metrics.foreign_entry();
        if self.feeds.foreign.len() < FOREIGN_KEYS && self.feeds.foreign.insert(key.to_owned()) {
            log::warn!(upstream = key, reason = error.detail; "entry names nobody to send to");
        }
    }

    fn take_upstream(&mut self, record: &KeyedRecord) {
        let now_ms = self.now_ms;
        let instance = InstanceName::from(record.key.as_str());
        let before = self.directory.run_of(&instance).cloned();
        let change = match (&record.value, &before) {
            (None, Some(run)) => {
                let outage = self.feeds.upstreams.had_outage(now_ms);
                self.directory.note_vanished(now_ms, run, outage)
            }
            (None, None) => DirectoryChange::None,
            (Some(_), _) => match self.decode_upstream(record) {
                Some(upstream) => self.directory.note_entry(upstream),
                None => DirectoryChange::None,
            },
        };
        let Some(name) = self.directory.run_of(&instance).cloned().or(before) else {
            return;
        };
        self.news.lay_over(now_ms, &mut self.directory, &name);
        match change {
            DirectoryChange::None => {}
            DirectoryChange::Left if record.value.is_none() => self.upstream_left(&name, "gone"),
            DirectoryChange::Left => self.upstream_left(&name, "leaving"),
            DirectoryChange::Came => self.upstream_came(&name),
            DirectoryChange::Restarted { former } => {
                self.upstream_left(&former, "restarted");
                self.upstream_came(&name);
            }
            DirectoryChange::Residence => self.look_again = true,
        }
    }

    fn upstream_came(&mut self, name: &UpstreamName) {
        self.sharing.note_came();
        self.peers.beat_soon();
        log::info!(upstream = name.to_string(); "upstream came");
        self.look_again = true;
    }

    /// Stops sending to an upstream. Requests in progress there go on, unless its process has ended.
    pub(crate) fn upstream_left(&mut self, name: &UpstreamName, reason: &str) {
        self.sharing.note_left(self.now_ms, name);
        self.peers.beat_soon();
        log::info!(upstream = name.to_string(), reason; "upstream takes no new work");
        self.outbound
            .close_idle(&Peer::Upstream(name.clone()), self.poll.registry());
        if self.directory.has_restarted(name) {
            self.former_runs.push(name.clone());
            self.end_former_runs();
        }
        if self.directory.upstream(name).is_none() {
            self.dispatcher.removed(self.now_ms, name);
            self.watch.removed(name);
        }
        self.look_again = true;
    }

    /// Ends requests at processes that have ended. Without this they would wait for an answer until
    /// their deadlines where the connections fell silent with the process. Requests that reached the
    /// new process before its entry was read are heard of, and go on.
    pub(crate) fn end_former_runs(&mut self) {
        let since_ms = self.now_ms.saturating_sub(RESTART_SILENT_MS);
        for name in std::mem::take(&mut self.former_runs) {
            let peer = Peer::Upstream(name.clone());
            for (token, key) in self.outbound.silent_relays(&peer, since_ms) {
                self.connection_failed(token, key);
            }
            if !self.outbound.silent_relays(&peer, u64::MAX).is_empty() {
                self.former_runs.push(name);
            }
        }
    }
}
