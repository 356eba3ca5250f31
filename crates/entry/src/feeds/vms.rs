//! The VMs' own entries in the store, by which VMs find each other.

use super::CALL_TIMEOUT_MS;
use super::NEWEST_TIMEOUT_MS;
use crate::calling::CallTag;
use crate::codec::KeyedPage;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::VmRecord;

impl Daemon {
    pub(super) fn read_vms(&mut self) {
        self.feeds.vms.calling = true;
        if self.feeds.vm_written {
            let after = self.feeds.vms.after.clone();
            let bytes = self.codecs.store.newest(Topic::Vms, after.as_deref());
            let timeout_ms = self
                .feeds
                .vms
                .patience_ms(&mut self.pacing, NEWEST_TIMEOUT_MS);
            self.call_store(CallTag::VmsNewest, &bytes, timeout_ms);
            return;
        }
        let record = self.peers.own_record();
        let value = postcard::to_stdvec(record).expect("an entry of our own can be encoded");
        let records = [(record.vm.as_str().to_owned(), value)];
        let bytes = self.codecs.store.append_keyed(Topic::Vms, &records);
        self.call_store(CallTag::VmAppend, &bytes, CALL_TIMEOUT_MS);
    }

    /// Takes in a page of entries. The store sends 500 at a time; without the pages that follow,
    /// VMs beyond these would hear nothing.
    pub(super) fn take_vms_page(&mut self, page: KeyedPage) -> u64 {
        let feed = &mut self.feeds.vms;
        feed.after = page.records.last().map(|record| record.key.clone());
        feed.pages.extend(page.records);
        if page.more {
            return 0;
        }
        let records = std::mem::take(&mut feed.pages);
        feed.after = None;
        let vms: Vec<VmRecord> = records
            .iter()
            .filter_map(|record| postcard::from_bytes(record.value.as_deref()?).ok())
            .collect();
        self.peers.note_records(vms);
        log::info!(vms = self.peers.others(); "entries of VMs read");
        // Later ones greet.
        u64::MAX / 2
    }
}
