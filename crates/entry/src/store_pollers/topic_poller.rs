//! Reading state of one topic of the store.

use apricotdale_core::numbers::Position;
use apricotdale_fleet::ReadPacing;

use crate::codec::KeyedRecord;

/// Time between two log lines about a store that stays unreachable. Without repeated lines, an
/// outage of a whole day would show as one line at its beginning.
const LOST_LOG_INTERVAL_MS: u64 = 5_000;

/// Answer size that is assumed before a larger answer has been seen.
const MIN_ANSWER_BYTES: usize = 64 * 1024;

/// One topic that is read: the position reached, the call in progress and the schedule.
#[derive(Debug, Default)]
pub(super) struct TopicPoller {
    /// Position of the next read; none before the newest records have been read.
    pub from: Option<Position>,
    /// Records of the pages read so far of an upstream list that takes several pages.
    pub pages: Vec<KeyedRecord>,
    /// End of the topic when the first of these pages was read, from which changes are read later.
    pub pages_end: Option<Position>,
    /// Key behind which the next page begins; none for the first page.
    pub after: Option<String>,
    pub next_ms: u64,
    pub calling: bool,
    pub failures: u32,
    failed_ms: Option<u64>,
    logged_lost_ms: u64,
    pub read_ms: Option<u64>,
    /// When the topic is read at the latest, regardless of announcements; none if not scheduled.
    pub forced_read_ms: Option<u64>,
    /// How much earlier than the maximum interval this VM reads a topic that is announced to it, so
    /// that VMs which started together do not read in step.
    read_phase_ms: u64,
    /// Size of the largest answer so far.
    answer_bytes: usize,
    /// Whether the topic is reread from the beginning after the call in progress.
    restart_after_call: bool,
}

impl TopicPoller {
    /// Records a failed call. Returns whether the failure should be logged.
    pub fn failed(&mut self, now_ms: u64, pacing: &mut ReadPacing) -> bool {
        self.end_call();
        self.failures += 1;
        self.failed_ms = Some(now_ms);
        self.forced_read_ms = None;
        self.next_ms = now_ms + pacing.retry_delay_ms(self.failures);
        let should_log = self.failures == 1 || now_ms >= self.logged_lost_ms + LOST_LOG_INTERVAL_MS;
        if should_log {
            self.logged_lost_ms = now_ms;
        }
        should_log
    }

    /// Records a successful call.
    pub fn succeeded(&mut self, now_ms: u64, pause_ms: u64) {
        self.end_call();
        self.failures = 0;
        self.read_ms = Some(now_ms);
        self.next_ms = now_ms.saturating_add(pause_ms);
    }

    fn end_call(&mut self) {
        self.calling = false;
        if std::mem::take(&mut self.restart_after_call) {
            self.restart();
        }
    }

    /// Schedules a read from the beginning. If a call is in progress the restart waits for its end,
    /// since its answer would otherwise be taken for one to the new read.
    pub fn schedule_restart(&mut self) {
        match self.calling {
            true => self.restart_after_call = true,
            false => self.restart(),
        }
    }

    /// Moves the next read forward to a position up to which other VMs have announced the content,
    /// unless a read is in progress, whose answer counts from the former position.
    pub fn skip_to(&mut self, position: Position) {
        if !self.calling && !self.restart_after_call && self.pages.is_empty() {
            self.from = self.from.map(|from| from.max(position));
        }
    }

    /// Returns the position of the next read; none if it belongs to another era of the store.
    pub fn position_in_era(&self, era: u64) -> Option<Position> {
        self.from.filter(|from| from.era == era)
    }

    /// Restarts the topic after a call that named a position of an earlier era.
    pub fn handle_rollback(&mut self, now_ms: u64) {
        self.end_call();
        self.restart();
        self.next_ms = now_ms;
    }

    /// Records the size of an answer.
    pub fn record_answer_size(&mut self, bytes: usize) {
        self.answer_bytes = self.answer_bytes.max(bytes);
    }

    /// Returns the size of the largest answer so far.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the time limit for the next call. `alone_ms` is the limit that applies if no other
    /// VM reads at the same time.
    pub fn timeout_ms(&self, pacing: &mut ReadPacing, alone_ms: u64) -> u64 {
        let bytes = self.answer_bytes.max(MIN_ANSWER_BYTES);
        pacing.answer_timeout_ms(alone_ms, bytes, self.failures)
    }

    /// Returns the time limit for a read of the upstream list that continues where the last one
    /// ended.
    pub fn list_timeout_ms(&self, now_ms: u64, pacing: &mut ReadPacing, alone_ms: u64) -> u64 {
        let bytes = self.answer_bytes.max(MIN_ANSWER_BYTES);
        let age_ms = self.read_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        pacing.list_answer_timeout_ms(alone_ms, bytes, self.failures, age_ms)
    }

    /// Draws at random how much earlier than the interval this VM reads an announced topic.
    pub fn draw_read_phase(&mut self, pacing: &mut ReadPacing, interval_ms: u64) {
        self.read_phase_ms = pacing.random_up_to_ms(interval_ms / 4);
    }

    /// Returns when a VM that receives announcements next reads the topic.
    pub fn announced_due_ms(&self, interval_ms: u64) -> u64 {
        match self.read_ms {
            Some(read_ms) => self.next_ms.max(read_ms + interval_ms - self.read_phase_ms),
            None => self.next_ms,
        }
    }

    /// Returns how long ago a read last failed; none if none has.
    pub fn failed_ms_ago(&self, now_ms: u64) -> Option<u64> {
        self.failed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    pub fn restart(&mut self) {
        self.from = None;
        self.pages.clear();
        self.pages_end = None;
        self.after = None;
    }
}
