//! Read schedule of the topics.

use apricotdale_fleet::ListRepair;
use apricotdale_fleet::ReadPacing;
use apricotdale_fleet::Sharing;

use super::COPY_AGAIN_MS;
use super::FOLLOWING_CONFIGURATION_EVERY_MS;
use super::Feeds;

impl Feeds {
    pub(super) fn configuration_due_ms(&self, now_ms: u64, sharing: &Sharing) -> u64 {
        let feed = &self.configuration;
        let due_ms = match sharing.follows(now_ms) {
            true => feed.followed_due_ms(FOLLOWING_CONFIGURATION_EVERY_MS),
            false => feed.next_ms,
        };
        feed.look_ms.map_or(due_ms, |look_ms| due_ms.min(look_ms))
    }

    /// Returns when the upstreams' own entries are read. A VM that receives announcements does not
    /// read them, unless there is no snapshot that could repair its list.
    pub(super) fn upstreams_due_ms(&self, now_ms: u64, sharing: &Sharing) -> u64 {
        let feed = &self.upstreams;
        let is_followed = sharing.follows(now_ms);
        let turn_ms = self.turn_ms.unwrap_or(u64::MAX);
        match feed.from {
            None if !self.copy_tried => u64::MAX,
            // A list that takes several pages is read to its end.
            None if feed.after.is_some() => feed.next_ms,
            None => feed
                .next_ms
                .max(turn_ms.min(self.uncopied_turn_ms.unwrap_or(u64::MAX))),
            Some(_) if is_followed => self
                .uncopied_repair
                .due_ms()
                .map_or(u64::MAX, |due_ms| due_ms.max(feed.next_ms)),
            Some(_) => feed
                .look_ms
                .map_or(feed.next_ms, |look_ms| feed.next_ms.min(look_ms))
                .max(turn_ms),
        }
    }

    /// Updates this VM's turn to read the upstreams' entries. While other VMs announce the entries
    /// there is none; otherwise its time is drawn at random. The lease holder always reads them.
    pub(super) fn note_turn(
        &mut self,
        now_ms: u64,
        is_followed: bool,
        holds_lease: bool,
        pacing: &mut ReadPacing,
    ) {
        self.turn_ms = match (is_followed, self.turn_ms) {
            _ if holds_lease => Some(0),
            (true, _) => None,
            (false, None) => Some(now_ms + pacing.turn_ms()),
            (false, turn_ms) => turn_ms,
        };
    }

    pub(super) fn copy_due_ms(&self, now_ms: u64, sharing: &Sharing) -> u64 {
        let feed = &self.copy;
        if !self.copy_tried || feed.after.is_some() {
            return feed.next_ms;
        }
        // The VM that reads for all others has written a snapshot or is about to.
        if self.upstreams.from.is_none() && self.turn_ms.is_none() {
            return feed.next_ms + COPY_AGAIN_MS;
        }
        if !sharing.follows(now_ms) {
            return u64::MAX;
        }
        [&self.listed_repair, &self.held_repair]
            .into_iter()
            .filter_map(ListRepair::due_ms)
            .min()
            .map_or(u64::MAX, |due_ms| due_ms.max(feed.next_ms))
    }

    /// Returns when the next call or change of schedule is due.
    pub fn next_ms(&self, now_ms: u64, sharing: &Sharing) -> u64 {
        let ends_ms = match sharing.follows(now_ms) {
            true => sharing.followed_until_ms(),
            false => u64::MAX,
        };
        let due = [
            (
                &self.configuration,
                self.configuration_due_ms(now_ms, sharing),
            ),
            (&self.upstreams, self.upstreams_due_ms(now_ms, sharing)),
            (&self.copy, self.copy_due_ms(now_ms, sharing)),
            (&self.vms, self.vms.next_ms),
        ];
        due.into_iter()
            .filter(|(feed, _)| !feed.calling)
            .map(|(_, due_ms)| due_ms)
            .chain([ends_ms])
            .min()
            .unwrap_or(u64::MAX)
    }
}
