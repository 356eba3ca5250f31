//! Read schedule of the topics.

use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ReadPacing;
use apricotdale_fleet::ReadSharing;

use super::ANNOUNCED_CONFIGURATION_INTERVAL_MS;
use super::SNAPSHOT_RETRY_MS;
use super::StorePollers;

impl StorePollers {
    pub(super) fn configuration_due_ms(&self, now_ms: u64, sharing: &ReadSharing) -> u64 {
        let poller = &self.configuration;
        let due_ms = match sharing.is_following(now_ms) {
            true => poller.announced_due_ms(ANNOUNCED_CONFIGURATION_INTERVAL_MS),
            false => poller.next_ms,
        };
        poller
            .forced_read_ms
            .map_or(due_ms, |forced_read_ms| due_ms.min(forced_read_ms))
    }

    /// Returns when the upstreams' own entries are read. A VM that receives announcements does not
    /// read them, unless there is no snapshot that could repair its list.
    pub(super) fn upstreams_due_ms(&self, now_ms: u64, sharing: &ReadSharing) -> u64 {
        let poller = &self.upstreams;
        let has_announcer = sharing.is_following(now_ms);
        let scheduled_read_ms = self.scheduled_read_ms.unwrap_or(u64::MAX);
        match poller.from {
            None if !self.snapshot_checked => u64::MAX,
            // A list that takes several pages is read to its end.
            None if poller.after.is_some() => poller.next_ms,
            None => poller
                .next_ms
                .max(scheduled_read_ms.min(self.no_snapshot_read_ms.unwrap_or(u64::MAX))),
            Some(_) if has_announcer => self
                .no_snapshot_repair
                .due_ms()
                .map_or(u64::MAX, |due_ms| due_ms.max(poller.next_ms)),
            Some(_) => poller
                .forced_read_ms
                .map_or(poller.next_ms, |forced_read_ms| {
                    poller.next_ms.min(forced_read_ms)
                })
                .max(scheduled_read_ms),
        }
    }

    /// Updates when this VM reads the upstreams' entries itself. While other VMs announce the
    /// entries no read is scheduled; otherwise its time is drawn at random. The lease holder
    /// always reads them.
    pub(super) fn update_scheduled_read(
        &mut self,
        now_ms: u64,
        has_announcer: bool,
        holds_lease: bool,
        pacing: &mut ReadPacing,
    ) {
        self.scheduled_read_ms = match (has_announcer, self.scheduled_read_ms) {
            _ if holds_lease => Some(0),
            (true, _) => None,
            (false, None) => Some(now_ms + pacing.scheduled_read_ms()),
            (false, scheduled_read_ms) => scheduled_read_ms,
        };
    }

    pub(super) fn snapshot_due_ms(&self, now_ms: u64, sharing: &ReadSharing) -> u64 {
        let poller = &self.list_snapshot;
        if !self.snapshot_checked || !self.snapshot_read || poller.after.is_some() {
            return poller.next_ms;
        }
        // The VM that reads for all others has written a snapshot or is about to.
        if self.upstreams.from.is_none() && self.scheduled_read_ms.is_none() {
            return poller.next_ms + SNAPSHOT_RETRY_MS;
        }
        if !sharing.is_following(now_ms) {
            return u64::MAX;
        }
        [&self.listing_repair, &self.residence_repair]
            .into_iter()
            .filter_map(ListRepair::due_ms)
            .min()
            .map_or(u64::MAX, |due_ms| due_ms.max(poller.next_ms))
    }

    /// Returns when the next call or change of schedule is due.
    pub fn next_ms(&self, now_ms: u64, sharing: &ReadSharing) -> u64 {
        let ends_ms = match sharing.is_following(now_ms) {
            true => sharing.following_until_ms(),
            false => u64::MAX,
        };
        let due = [
            (
                &self.configuration,
                self.configuration_due_ms(now_ms, sharing),
            ),
            (&self.upstreams, self.upstreams_due_ms(now_ms, sharing)),
            (&self.list_snapshot, self.snapshot_due_ms(now_ms, sharing)),
            (&self.vms, self.vms.next_ms),
        ];
        due.into_iter()
            .filter(|(poller, _)| !poller.calling)
            .map(|(_, due_ms)| due_ms)
            .chain([ends_ms])
            .min()
            .unwrap_or(u64::MAX)
    }
}
