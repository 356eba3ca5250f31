//! Reads of the upstream list, and what its entries change on this VM.

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::ListingChanges;
use apricotdale_fleet::Upstream;

use super::MAX_LOGGED_FOREIGN_KEYS;
use super::UPSTREAMS_INTERVAL_MS;
use crate::clock::unix_ms;
use crate::codec::DecodeError;
use crate::codec::KeyedPage;
use crate::codec::KeyedRecord;
use crate::codec::LogRead;
use crate::daemon::Daemon;
use crate::outbound::Peer;

/// Maximum number of new upstreams of one read that are logged one by one.
const MAX_ARRIVAL_LINES: usize = 24;

impl Daemon {
    pub(super) fn handle_upstreams_page(&mut self, page: KeyedPage) -> u64 {
        let now_ms = self.now_ms;
        let poller = &mut self.store_pollers.upstreams;
        poller
            .pages_end
            .get_or_insert(self.store_era.position(page.end));
        poller.after = page.records.last().map(|record| record.key.clone());
        poller.pages.extend(page.records);
        if page.more {
            return 0;
        }
        let records = std::mem::take(&mut poller.pages);
        poller.from = poller.pages_end.take();
        poller.after = None;
        self.stream_origins.record_changes_skipped();
        let entries: Vec<Upstream> = records
            .iter()
            .filter_map(|record| self.decode_upstream(record))
            .collect();
        let names: Vec<UpstreamName> = entries.iter().map(|entry| entry.name.clone()).collect();
        self.directory
            .set_read_position(self.store_pollers.upstreams.from.unwrap_or_default());
        let changes = self.directory.apply_listing(now_ms, entries);
        log::info!(
            upstreams = names.len(), left = changes.left.len();
            "list of upstreams read"
        );
        self.handle_listing_changes(changes);
        for name in names {
            self.residence_updates
                .reapply(now_ms, &mut self.directory, &name);
        }
        self.redispatch_needed = true;
        UPSTREAMS_INTERVAL_MS
    }

    /// Handles the changes that a complete upstream list made to the directory.
    pub(super) fn handle_listing_changes(&mut self, changes: ListingChanges) {
        // Other VMs may have told the limit of a service before this one knew any upstream of it.
        self.upstream_permits.are_rules_outdated = true;
        for name in &changes.lapsed {
            self.handle_lapsed_entry(name);
        }
        for name in changes.left {
            let reason = match self.directory.has_restarted(&name) {
                true => "restarted",
                false => "not_listed",
            };
            self.stop_sending_to(&name, reason);
        }
    }

    pub(super) fn handle_upstreams_read(&mut self, read: LogRead) -> Result<u64, DecodeError> {
        let LogRead::Records { end, records } = read else {
            self.store_pollers.upstreams.restart();
            return Ok(0);
        };
        let from = self.store_pollers.upstreams.from.unwrap_or_default();
        for (index, record) in (1..).zip(&records) {
            self.directory.set_read_position(from.after(index));
            match self.codecs.store.keyed(record) {
                Ok(record) => self.apply_upstream_record(&record),
                // Others may write to this topic too. A record without a key names no upstream; it
                // is skipped, since a read that stopped here would meet the same record again.
                Err(error) => self.record_foreign_entry("", &error),
            }
        }
        let from = from.after(records.len() as u64);
        self.store_pollers.upstreams.from = Some(from);
        match from.offset < end {
            true => Ok(0),
            false => {
                self.stream_origins.record_changes_read(self.now_ms);
                Ok(UPSTREAMS_INTERVAL_MS)
            }
        }
    }

    /// Decodes an entry. An invalid entry ends the use of the incarnation that had an entry under
    /// the same key. A VM that reads every change and one that reads only the newest records thus
    /// reach the same result.
    fn decode_upstream(&mut self, record: &KeyedRecord) -> Option<Upstream> {
        let value = record.value.as_deref()?;
        let decoded = self.codecs.store.upstream(&record.key, value);
        let checked = decoded.and_then(|upstream| match upstream.check(unix_ms()) {
            Ok(()) => Ok(upstream),
            Err(error) => Err(DecodeError::new(error.to_string())),
        });
        match checked {
            Ok(upstream) => {
                self.store_pollers.foreign_keys.remove(&record.key);
                self.check_service(&upstream);
                Some(upstream)
            }
            Err(error) => {
                self.record_foreign_entry(&record.key, &error);
                let instance = InstanceName::from(record.key.as_str());
                let incarnation = self.directory.current_incarnation(&instance).cloned();
                if let (DirectoryChange::Left, Some(incarnation)) =
                    (self.directory.record_foreign_entry(&instance), incarnation)
                {
                    self.stop_sending_to(&incarnation, "entry_of_another_writer");
                }
                None
            }
        }
    }

    /// Returns the entries of another VM's list that can be upstreams'. A VM of an earlier release may
    /// have accepted others.
    pub(super) fn valid_entries(&mut self, mut entries: Vec<Upstream>) -> Vec<Upstream> {
        let now_unix_ms = unix_ms();
        entries.retain(|entry| match entry.check(now_unix_ms) {
            Ok(()) => true,
            Err(error) => {
                let error = DecodeError::new(error.to_string());
                self.record_foreign_entry(entry.instance.as_str(), &error);
                false
            }
        });
        entries
    }

    /// Logs once that an upstream's service is in no configuration, so that no route leads to it.
    fn check_service(&mut self, upstream: &Upstream) {
        if self.directory.version() > 0 && self.directory.service(&upstream.service).is_none() {
            let error = DecodeError::new(format!("service {}", upstream.service));
            self.record_foreign_entry(upstream.instance.as_str(), &error);
        }
    }

    /// Counts an entry that names no usable upstream, and logs it once for each key.
    fn record_foreign_entry(&mut self, key: &str, error: &DecodeError) {
        self.metrics.foreign_entry();
        if self.store_pollers.foreign_keys.len() < MAX_LOGGED_FOREIGN_KEYS
            && self.store_pollers.foreign_keys.insert(key.to_owned())
        {
            log::warn!(upstream = key, reason = error.detail; "entry names no usable upstream");
        }
    }

    fn apply_upstream_record(&mut self, record: &KeyedRecord) {
        let now_ms = self.now_ms;
        let instance = InstanceName::from(record.key.as_str());
        let before = self.directory.current_incarnation(&instance).cloned();
        let known = before
            .as_ref()
            .and_then(|name| self.directory.upstream(name));
        let version = known.and_then(|known| known.version.clone());
        let change = match (&record.value, &before) {
            (None, Some(incarnation)) => self.directory.record_missing_entry(now_ms, incarnation),
            (None, None) => DirectoryChange::None,
            (Some(_), _) => match self.decode_upstream(record) {
                Some(upstream) => self.directory.record_entry(upstream),
                None => DirectoryChange::None,
            },
        };
        let known = before
            .as_ref()
            .and_then(|name| self.directory.upstream(name));
        if let Some(known) = known.filter(|known| known.version != version) {
            // The entry of a running upstream names other software than before.
            self.store_pollers.queue_arrival(known.name.clone());
        }
        let reason = match record.value {
            None => "gone",
            Some(_) => "leaving",
        };
        self.handle_entry_change(&instance, before, change, reason);
    }

    /// Handles the change that one entry made. `before` is the incarnation that the entry named
    /// before, `reason` is logged if the upstream accepts no new requests any more.
    pub(super) fn handle_entry_change(
        &mut self,
        instance: &InstanceName,
        before: Option<UpstreamName>,
        change: DirectoryChange,
        reason: &str,
    ) {
        let Some(name) = self
            .directory
            .current_incarnation(instance)
            .cloned()
            .or(before)
        else {
            return;
        };
        self.residence_updates
            .reapply(self.now_ms, &mut self.directory, &name);
        match change {
            DirectoryChange::None => {}
            DirectoryChange::Left => self.stop_sending_to(&name, reason),
            DirectoryChange::Lapsed => self.handle_lapsed_entry(&name),
            DirectoryChange::Added => self.handle_new_upstream(&name),
            DirectoryChange::Restarted { former } => {
                self.stop_sending_to(&former, "restarted");
                self.handle_new_upstream(&name);
            }
            DirectoryChange::Residence => self.redispatch_needed = true,
        }
    }

    fn handle_new_upstream(&mut self, name: &UpstreamName) {
        self.store_pollers.queue_arrival(name.clone());
        self.record_listed_version(name);
        self.peers.schedule_heartbeat();
        self.apply_rejection_limit_to(name);
        // With thousands of upstreams, a line for each would take longer than reading them.
        if self.store_pollers.pending_arrivals() <= MAX_ARRIVAL_LINES {
            log::info!(upstream = name.to_string(); "upstream came");
        }
        self.redispatch_needed = true;
    }

    /// Handles the end of a read of the upstream list. Upstreams that have not returned after an
    /// outage are dropped.
    pub(super) fn finish_list_read(&mut self) {
        self.directory
            .set_read_position(self.store_pollers.list_read_to());
        for name in self.directory.drop_lapsed(self.now_ms) {
            self.stop_sending_to(&name, "lapsed");
        }
        self.store_pollers.upstreams.forced_read_ms =
            self.directory.list_complete_at_ms(self.now_ms);
        self.announce_list_read();
    }

    /// Logs that an upstream stays in use for a short time although its entry has vanished. If the
    /// upstream had in fact left, this line is the only record of when that was read.
    fn handle_lapsed_entry(&mut self, name: &UpstreamName) {
        self.metrics.lapsed_upstream();
        let failed_ms_ago = self.store_pollers.upstreams.failed_ms_ago(self.now_ms);
        log::info!(
            upstream = name.to_string(), read_failed_ms_ago = failed_ms_ago;
            "entry vanished around an outage"
        );
    }

    /// Stops sending new requests to an upstream. Requests in progress there continue unless its
    /// process has ended.
    pub(crate) fn stop_sending_to(&mut self, name: &UpstreamName, reason: &str) {
        if let Some(departure) = self.directory.departure(name) {
            self.sharing.record_recent_departure(self.now_ms, departure);
        }
        self.peers.schedule_heartbeat();
        log::info!(upstream = name.to_string(), reason; "upstream takes no new work");
        self.outbound
            .close_idle(&Peer::Upstream(name.clone()), self.poll.registry());
        if self.directory.has_restarted(name) {
            self.ended_incarnations.push(name.clone());
            self.end_requests_at_ended_incarnations();
        }
        if self.directory.upstream(name).is_none() {
            self.handle_upstream_end(name);
            self.dispatcher.removed(self.now_ms, name);
            self.apply_stated_limits();
            self.watch.removed(name);
            self.health_checks.removed(name);
            self.paths.removed(name);
        }
        self.redispatch_needed = true;
    }
}
