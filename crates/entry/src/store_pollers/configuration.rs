//! Reads of the configuration, and how a new one takes effect.

use apricotdale_fleet::ConfigurationRead;
use apricotdale_fleet::ReadVersion;
use apricotdale_fleet::Readiness;

use super::CALL_TIMEOUT_MS;
use super::COMPLETE_LIST_TIMEOUT_MS;
use crate::calls::CallTag;
use crate::codec::DecodeError;
use crate::codec::KeyedRecord;
use crate::codec::LogRead;
use crate::codec::Topic;
use crate::daemon::Daemon;

/// How long a read of the configuration waits at the store for a change. Other VMs rely on the last
/// answer of a read that has fallen silent, so a longer wait delays a change at all of them.
const CONFIGURATION_WAIT_MS: u64 = 900;

/// Age of the last read above which the next one does not wait for a change.
const MAX_AGE_FOR_WAITING_READ_MS: u64 = 1_100;

impl Daemon {
    /// Returns whether this VM is ready for requests. A VM that starts after a rollback of the store
    /// may read a configuration that is no longer in force anywhere.
    pub(crate) fn is_ready_for_requests(&mut self) -> bool {
        matches!(
            self.readiness(),
            Readiness::Ready | Readiness::ReadyUnconfirmed
        )
    }

    /// Returns whether this VM serves requests, or what it waits for.
    pub(crate) fn readiness(&mut self) -> Readiness {
        let was_ready = self.configuration_evidence.is_ready();
        let (version, announced) = (self.directory.version(), self.sharing.announced_version());
        let readiness = self.configuration_evidence.readiness(
            self.now_ms,
            self.directory.is_complete(),
            version,
            announced,
        );
        if readiness == Readiness::ReadyUnconfirmed && !was_ready {
            self.metrics.started_unconfirmed();
            log::warn!(
                version, told = announced, era = self.store_era.now();
                "serving with a configuration that may be older than the one in force"
            );
        }
        readiness
    }

    /// Returns the version of the configuration that is known to be in force, here or at other VMs;
    /// 0 for none.
    pub(crate) fn known_version(&self) -> u64 {
        match self.configuration_evidence.is_known(self.now_ms) {
            true => self
                .directory
                .version()
                .max(self.sharing.announced_version()),
            false => 0,
        }
    }

    /// Records that a VM with evidence has stated the version in force; 0 states nothing.
    pub(crate) fn record_stated_version(&mut self, version: u64, age_ms: u64) {
        self.sharing.record_announced_version(version);
        self.configuration_evidence
            .record_statement(self.now_ms, version, age_ms);
    }

    /// Updates the metrics that show which configuration is in force and whether a newer one is
    /// known.
    pub(crate) fn update_configuration_gauges(&self) {
        let version = self.directory.version();
        let newest_version = version.max(self.sharing.announced_version());
        let outdated_for_ms = self.store_pollers.outdated_for_ms(self.now_ms);
        self.metrics.configuration_version.set(version as i64);
        self.metrics
            .newest_configuration_version
            .set(newest_version as i64);
        self.metrics
            .configuration_outdated_ms
            .set(outdated_for_ms.unwrap_or(0) as i64);
        let is_known = self.configuration_evidence.is_known(self.now_ms);
        self.metrics
            .configuration_unconfirmed
            .set(i64::from(!is_known));
    }

    /// Reads the configuration: its changes if this VM has missed few, the newest one otherwise.
    pub(super) fn read_configuration(&mut self) {
        self.store_pollers.configuration.calling = true;
        let now_ms = self.now_ms;
        let era = self.store_era.now();
        let confirmed_age_ms = self.store_pollers.confirmed_age_ms(now_ms);
        let poller = &self.store_pollers.configuration;
        let from = poller.position_in_era(era);
        let read = ConfigurationRead::next(confirmed_age_ms, poller.failures);
        match from.filter(|_| read == ConfigurationRead::Changes) {
            None => {
                let bytes = self.codecs.store.newest(Topic::Configuration, None);
                let timeout_ms = self
                    .store_pollers
                    .configuration
                    .timeout_ms(&mut self.pacing, COMPLETE_LIST_TIMEOUT_MS);
                self.call_store(CallTag::ConfigurationNewest, &bytes, timeout_ms);
            }
            Some(from) => {
                // A VM that receives announcements of changes keeps no read waiting at the store.
                // When the announcements have just stopped it reads once without a wait: what it
                // announces about the upstream list counts for other VMs only if it has read the
                // configuration too.
                let age_ms = self.store_pollers.configuration_age_ms(now_ms);
                let is_old = age_ms.is_none_or(|age_ms| age_ms > MAX_AGE_FOR_WAITING_READ_MS);
                let wait_ms = match self.sharing.is_following(now_ms) || is_old {
                    true => 0,
                    false => CONFIGURATION_WAIT_MS,
                };
                let bytes = self.codecs.store.read(
                    Topic::Configuration,
                    from.offset,
                    wait_ms,
                    Some(ConfigurationRead::MAX_CHANGES_KB),
                );
                let timeout_ms = self
                    .store_pollers
                    .configuration
                    .timeout_ms(&mut self.pacing, CALL_TIMEOUT_MS);
                self.call_store(CallTag::ConfigurationRead, &bytes, wait_ms + timeout_ms);
            }
        }
    }

    pub(super) fn handle_configuration_read(&mut self, read: LogRead) -> Result<u64, DecodeError> {
        match read {
            LogRead::Expired { .. } => {
                self.store_pollers.configuration.restart();
                Ok(0)
            }
            LogRead::Records { end, records } => {
                let mut keyed = Vec::new();
                for record in &records {
                    keyed.push(self.codecs.store.keyed(record)?);
                }
                self.apply_configurations(&keyed, true);
                let from = self.store_pollers.configuration.from.unwrap_or_default();
                let from = from.after(records.len() as u64);
                self.store_pollers.configuration.from = Some(from);
                if from.offset < end {
                    self.store_pollers.configuration.restart();
                }
                Ok(0)
            }
        }
    }

    /// Applies the time-outs of a new configuration to the requests in progress. A request that no
    /// route matches any more keeps its deadline.
    fn extend_deadlines(&mut self) {
        let directory = &self.directory;
        self.active.update_deadlines(|request, deadline| {
            if let Some(route) = directory.route(&request.serving.host, &request.serving.target) {
                deadline.apply_route_timeout(route.timeout_ms);
            }
        });
    }

    /// Puts configurations in force. `are_changes` tells that they were written after an earlier
    /// read of this VM in the same era. Returns whether the records contained any.
    pub(super) fn apply_configurations(
        &mut self,
        records: &[KeyedRecord],
        are_changes: bool,
    ) -> bool {
        let mut newest_read = None;
        for record in records {
            let configuration = match self.codecs.store.configuration(record) {
                Ok(Some(configuration)) => configuration,
                Ok(None) => continue,
                Err(error) => {
                    log::error!(reason = error.detail; "configuration can't be decoded");
                    continue;
                }
            };
            let version = configuration.version;
            newest_read = newest_read.max(Some(version));
            let before = self.directory.version();
            match self.directory.configure(configuration) {
                Ok(()) if version != before => {
                    let outdated_for_ms = self.store_pollers.outdated_for_ms(self.now_ms);
                    log::info!(version, before, outdated_for_ms; "configuration in force");
                    let is_outdated = self.sharing.announced_version() > version;
                    self.store_pollers.record_outdated(self.now_ms, is_outdated);
                    self.peers.schedule_heartbeat();
                    self.extend_deadlines();
                    self.redispatch_needed = true;
                }
                Ok(()) => {}
                Err(error) => log::warn!(reason = error.to_string(); "configuration left alone"),
            }
        }
        let read = ReadVersion {
            era: self.store_era.now(),
            version: newest_read.unwrap_or_default(),
            is_change: are_changes && newest_read.is_some(),
        };
        self.configuration_evidence.record_read(self.now_ms, read);
        newest_read.is_some()
    }
}
