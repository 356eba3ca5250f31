//! One topic of the store that this VM reads: when, and how far it has come.

use apricotdale_core::numbers::Position;
use apricotdale_fleet::ReadPacing;

use crate::codec::KeyedRecord;

/// The time between two lines about a store that stays lost. Without them a log shows one line at
/// the beginning of an outage that lasts for the rest of the day.
const STILL_LOST_MS: u64 = 5_000;

/// The least bytes that an answer is taken to have, before one was seen.
const LEAST_ANSWER_BYTES: usize = 64 * 1024;

/// `Feed` is one topic that is read.
#[derive(Debug, Default)]
pub(super) struct Feed {
    /// Where the next read begins; none before the newest records were read.
    pub from: Option<Position>,
    /// Pages of newest records so far.
    pub pages: Vec<KeyedRecord>,
    pub pages_end: Option<Position>,
    pub after: Option<String>,
    pub next_ms: u64,
    pub calling: bool,
    pub failures: u32,
    failed_ms: Option<u64>,
    told_lost_ms: u64,
    pub read_ms: Option<u64>,
    /// When the topic is read in any case, however long it would be left alone otherwise.
    pub look_ms: Option<u64>,
    /// How much earlier than the longest time this VM reads what it is told of, so that VMs which
    /// started together do not stay in step.
    phase_ms: u64,
    /// The largest answer so far.
    answer_bytes: usize,
    /// Whether the topic is to be read from the beginning once the call under way has ended.
    restarts: bool,
}

impl Feed {
    /// Takes in a call that failed. Returns whether the log should say so.
    pub fn failed(&mut self, now_ms: u64, pacing: &mut ReadPacing) -> bool {
        self.end_call();
        self.failures += 1;
        self.failed_ms = Some(now_ms);
        self.look_ms = None;
        self.next_ms = now_ms + pacing.retry_delay_ms(self.failures);
        let is_told = self.failures == 1 || now_ms >= self.told_lost_ms + STILL_LOST_MS;
        if is_told {
            self.told_lost_ms = now_ms;
        }
        is_told
    }

    /// Takes in a call that was answered.
    pub fn succeeded(&mut self, now_ms: u64, pause_ms: u64) {
        self.end_call();
        self.failures = 0;
        self.read_ms = Some(now_ms);
        self.next_ms = now_ms.saturating_add(pause_ms);
    }

    fn end_call(&mut self) {
        self.calling = false;
        if std::mem::take(&mut self.restarts) {
            self.restart();
        }
    }

    /// Has the topic read from the beginning. The answer to a call under way would be taken for one
    /// to the new beginning, so its end is awaited.
    pub fn restart_soon(&mut self) {
        match self.calling {
            true => self.restarts = true,
            false => self.restart(),
        }
    }

    /// Goes on from a position up to which others have told what there is, unless a read is under
    /// way whose answer counts from the former one.
    pub fn skip_to(&mut self, position: Position) {
        if !self.calling && !self.restarts && self.pages.is_empty() {
            self.from = self.from.map(|from| from.max(position));
        }
    }

    /// Returns where the next read begins in an era of the store; none if that was another era.
    pub fn place_in(&self, era: u64) -> Option<Position> {
        self.from.filter(|from| from.era == era)
    }

    /// Takes in that a call named a place that is one of an earlier era.
    pub fn set_back(&mut self, now_ms: u64) {
        self.end_call();
        self.restart();
        self.next_ms = now_ms;
    }

    /// Notes the size of an answer.
    pub fn note_answer(&mut self, bytes: usize) {
        self.answer_bytes = self.answer_bytes.max(bytes);
    }

    /// Returns the size of the largest answer so far.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns how long the next answer is awaited, which one VM alone would have within
    /// `alone_ms`.
    pub fn answer_timeout_ms(&self, pacing: &mut ReadPacing, alone_ms: u64) -> u64 {
        let bytes = self.answer_bytes.max(LEAST_ANSWER_BYTES);
        pacing.answer_timeout_ms(alone_ms, bytes, self.failures)
    }

    /// Returns the same for a read of the list that goes on where the last one ended.
    pub fn list_answer_timeout_ms(
        &self,
        now_ms: u64,
        pacing: &mut ReadPacing,
        alone_ms: u64,
    ) -> u64 {
        let bytes = self.answer_bytes.max(LEAST_ANSWER_BYTES);
        let age_ms = self.read_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        pacing.list_answer_timeout_ms(alone_ms, bytes, self.failures, age_ms)
    }

    /// Draws when this VM reads again while it is told of changes.
    pub fn draw_phase(&mut self, pacing: &mut ReadPacing, every_ms: u64) {
        self.phase_ms = pacing.random_up_to_ms(every_ms / 4);
    }

    /// Returns when the topic is read next by a VM that is told of changes.
    pub fn followed_due_ms(&self, every_ms: u64) -> u64 {
        match self.read_ms {
            Some(read_ms) => self.next_ms.max(read_ms + every_ms - self.phase_ms),
            None => self.next_ms,
        }
    }

    /// Returns how long ago a read failed; none if none did.
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
