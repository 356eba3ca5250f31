//! Queries to other VMs about which configuration is in force, by a VM without evidence.

use std::net::SocketAddr;

use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::messages::VmRecord;

/// Time between two queries.
const QUERY_INTERVAL_MS: u64 = 500;

/// Number of VMs that each query goes to, in rotation. After a rollback hundreds of VMs may query
/// at the same time, and a VM that has been answered answers others.
const QUERY_BATCH_VMS: usize = 8;

impl Daemon {
    /// Queries other VMs while this VM does not know which configuration is in force.
    pub(crate) fn send_due_configuration_query(&mut self) {
        let now_ms = self.now_ms;
        let is_known = self.configuration_evidence.is_known(now_ms);
        if is_known || now_ms < self.next_configuration_query_ms || self.peers.others() == 0 {
            return;
        }
        self.next_configuration_query_ms = now_ms + QUERY_INTERVAL_MS;
        let query = PeerMessage::ConfigurationQuery {
            from: self.peers.own_record().clone(),
            era: self.store_era.now(),
        };
        self.peers.send_to_next(QUERY_BATCH_VMS, &query);
    }

    /// Answers a query, if this VM knows which configuration is in force.
    pub(crate) fn answer_configuration_query(
        &mut self,
        from: SocketAddr,
        asker: &VmRecord,
        era: u64,
    ) {
        let now_ms = self.now_ms;
        self.peers.record_sender(now_ms, asker);
        // What this VM knows may be too old to count after a rollback that it learns of now.
        self.handle_era(era);
        let version = self.known_version();
        let age_ms = self.configuration_evidence.age_ms(now_ms);
        if let Some(age_ms) = age_ms.filter(|_| version > 0) {
            let answer = PeerMessage::ConfigurationInForce {
                era: self.store_era.now(),
                version,
                age_ms,
            };
            self.peers.send(from, &answer);
        }
    }

    /// Applies another VM's statement of which configuration is in force.
    pub(crate) fn apply_stated_configuration(&mut self, era: u64, version: u64, age_ms: u64) {
        self.handle_era(era);
        if !self.store_era.is_past(era) {
            self.record_stated_version(version, age_ms);
            self.check_for_newer_version();
        }
    }
}
