//! Entries of VMs in the store, through which VMs discover each other.

use super::CALL_TIMEOUT_MS;
use super::COMPLETE_LIST_TIMEOUT_MS;
use super::REWRITE_SPREAD_MS;
use crate::calls::CallTag;
use crate::codec::KeyedPage;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::VmRecord;

/// Pause before the entries are reread in a store that was rolled back. By then all other VMs that
/// reach the store have rewritten theirs.
const REREAD_DELAY_MS: u64 = 3_000;

/// Silence of the lease holder after which the entry of another VM may be missing, so that neither
/// knows the other. A takeover takes less.
const LEASE_HOLDER_SILENCE_MS: u64 = 4_000;

/// Time that no process reaches. It stands for a read that is not scheduled.
const NEVER_MS: u64 = u64::MAX / 2;

impl Daemon {
    pub(super) fn read_vms(&mut self) {
        self.store_pollers.vms.calling = true;
        if self.store_pollers.own_entry_written {
            let after = self.store_pollers.vms.after.clone();
            let bytes = self.codecs.store.newest(Topic::Vms, after.as_deref());
            let timeout_ms = self
                .store_pollers
                .vms
                .timeout_ms(&mut self.pacing, COMPLETE_LIST_TIMEOUT_MS);
            self.call_store(CallTag::VmsNewest, &bytes, timeout_ms);
            return;
        }
        let record = self.peers.own_record();
        let value = postcard::to_stdvec(record).expect("the local entry can be encoded");
        let records = [(record.vm.as_str().to_owned(), value)];
        let bytes = self.codecs.store.append_keyed(Topic::Vms, &records);
        self.call_store(CallTag::VmAppend, &bytes, CALL_TIMEOUT_MS);
    }

    /// Handles a page of entries. The store returns at most 500 entries a page; VMs on later pages
    /// would otherwise receive no messages.
    pub(super) fn handle_vms_page(&mut self, page: KeyedPage) -> u64 {
        let poller = &mut self.store_pollers.vms;
        poller.after = page.records.last().map(|record| record.key.clone());
        poller.pages.extend(page.records);
        if page.more {
            return 0;
        }
        let mut records = std::mem::take(&mut poller.pages);
        poller.after = None;
        // A VM that starts again writes the same key once more.
        let is_first_start = page.end == records.len() as u64;
        self.learned_store
            .take_from_entries(self.now_ms, &mut records);
        let vms: Vec<VmRecord> = records
            .iter()
            .filter_map(|record| postcard::from_bytes(record.value.as_deref()?).ok())
            .collect();
        self.peers.add_store_entries(vms);
        log::info!(vms = self.peers.others(); "entries of VMs read");
        self.configuration_evidence.record_other_vms();
        let is_first = !std::mem::replace(&mut self.store_pollers.other_entries_read, true);
        if is_first {
            self.store_pollers.is_first_start = is_first_start;
            self.record_if_first_vm();
        }
        match is_first && self.store_era.now() > 0 {
            // The store may have been rolled back a moment ago and lack some entries.
            true => self.reread_pause_ms(),
            // VMs that start later announce themselves with a hello.
            false => NEVER_MS,
        }
    }

    /// Schedules a reread of the entries while some may have been missing after a rollback: this VM
    /// hears of no lease holder, or it starts and hears of nobody who knows which configuration is
    /// in force.
    pub(super) fn schedule_entries_reread(&mut self) {
        let is_scheduled = self.store_pollers.vms.next_ms < NEVER_MS;
        if self.store_era.now() == 0 || is_scheduled {
            return;
        }
        let is_starting = !self.configuration_evidence.is_ready();
        let lacks_evidence = is_starting && !self.configuration_evidence.is_known(self.now_ms);
        let silence_ms = self.peers.lease_holder_silence_ms(self.now_ms);
        if lacks_evidence || silence_ms > LEASE_HOLDER_SILENCE_MS {
            self.store_pollers.vms.next_ms = self.now_ms + self.reread_pause_ms();
        }
    }

    fn reread_pause_ms(&mut self) -> u64 {
        REREAD_DELAY_MS + self.pacing.random_up_to_ms(REWRITE_SPREAD_MS)
    }

    /// Records that this VM's entry is written. Returns the pause before the other VMs' entries are
    /// read.
    pub(super) fn record_own_entry_written(&mut self) -> u64 {
        self.store_pollers.own_entry_written = true;
        match self.store_pollers.other_entries_read {
            true => NEVER_MS,
            false => 0,
        }
    }
}
