//! Reads of the configuration, and how a new one takes effect.

use super::CALL_TIMEOUT_MS;
use super::FOLLOWING_CONFIGURATION_EVERY_MS;
use super::NEWEST_TIMEOUT_MS;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedRecord;
use crate::codec::LogRead;
use crate::codec::Topic;
use crate::daemon::Daemon;

/// How long a read of the configuration waits at the store for a change. A connection that has
/// fallen silent is noticed little later than that, within the time in which a change must take
/// effect.
const CONFIGURATION_WAIT_MS: u64 = 2_000;

/// Age of the last read above which the next one does not wait for a change.
const OLD_CONFIGURATION_MS: u64 = 2_200;

/// How long a VM that starts waits for a configuration version that other VMs have in force. After
/// a rollback of the store, operators publish their configuration again; if they do not, the one in
/// the store is used.
const NEWER_VERSION_MS: u64 = 10_000;

impl Daemon {
    /// Returns whether this VM is ready for requests. A VM that starts right after a rollback of
    /// the store reads a configuration that is no longer in force anywhere, and waits for the newer
    /// one.
    pub(crate) fn takes_requests(&mut self) -> bool {
        if self.feeds.takes_requests || !self.directory.is_complete() {
            return self.feeds.takes_requests;
        }
        let (version, told) = (self.directory.version(), self.sharing.told_version());
        let waited_ms = self.now_ms - *self.feeds.complete_ms.get_or_insert(self.now_ms);
        if version < told && waited_ms < NEWER_VERSION_MS {
            return false;
        }
        if version < told {
            log::warn!(version, told; "takes requests with an older configuration than others have");
        }
        self.feeds.takes_requests = true;
        true
    }

    pub(super) fn read_configuration(&mut self) {
        self.feeds.configuration.calling = true;
        let era = self.store_era.now();
        match self.feeds.configuration.place_in(era) {
            None => {
                let bytes = self.codecs.store.newest(Topic::Configuration, None);
                let timeout_ms = self
                    .feeds
                    .configuration
                    .patience_ms(&mut self.pacing, NEWEST_TIMEOUT_MS);
                self.call_store(CallTag::ConfigurationNewest, &bytes, timeout_ms);
            }
            Some(from) => {
                // A VM that receives announcements of changes keeps no read waiting at the store.
                // When the announcements have just stopped it reads once without a wait: what it
                // announces about the upstream list counts for other VMs only if it has read the
                // configuration too.
                let age_ms = self.feeds.configuration_age_ms(self.now_ms);
                let is_old = age_ms.is_none_or(|age_ms| age_ms > OLD_CONFIGURATION_MS);
                let wait_ms = match self.sharing.follows(self.now_ms) || is_old {
                    true => 0,
                    false => CONFIGURATION_WAIT_MS,
                };
                let bytes = self
                    .codecs
                    .store
                    .read(Topic::Configuration, from.offset, wait_ms);
                let timeout_ms = self
                    .feeds
                    .configuration
                    .patience_ms(&mut self.pacing, CALL_TIMEOUT_MS);
                self.call_store(CallTag::ConfigurationRead, &bytes, wait_ms + timeout_ms);
            }
        }
    }

    pub(super) fn take_configuration_read(&mut self, read: LogRead) -> Result<u64, DecodeError> {
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
                self.feeds
                    .configuration
                    .draw_phase(&mut self.pacing, FOLLOWING_CONFIGURATION_EVERY_MS);
                let from = self.feeds.configuration.from.unwrap_or_default();
                self.feeds.configuration.from = Some(from.after(records.len() as u64));
                Ok(0)
            }
        }
    }

    /// Puts configurations in force. Returns whether the records contained any.
    pub(super) fn take_configurations(&mut self, records: &[KeyedRecord]) -> bool {
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
                    let is_outdated = self.sharing.told_version() > version;
                    self.feeds.note_outdated(self.now_ms, is_outdated);
                    self.peers.beat_soon();
                    self.look_again = true;
                }
                Ok(()) => {}
                Err(error) => log::warn!(reason = error.to_string(); "configuration left alone"),
            }
        }
        found
    }
}
