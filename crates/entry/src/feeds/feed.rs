//! One topic of the store that this VM reads: when, and how far it has come.

use apricotdale_fleet::Sharing;

use crate::codec::KeyedRecord;

/// The pause after a call that failed, doubled with each further one.
pub(super) const RETRY_MS: u64 = 100;

/// The longest such pause. The store must be read again soon after it comes back.
const MAX_RETRY_MS: u64 = 400;

/// `Feed` is one topic that is read.
#[derive(Debug, Default)]
pub(super) struct Feed {
    /// Where the next read begins; none before the newest records were read.
    pub from: Option<u64>,
    /// Pages of newest records so far.
    pub pages: Vec<KeyedRecord>,
    pub pages_end: Option<u64>,
    pub after: Option<String>,
    pub next_ms: u64,
    pub calling: bool,
    pub failures: u32,
    failed_ms: Option<u64>,
    pub read_ms: Option<u64>,
    /// When the topic is read in any case, however long it would be left alone otherwise.
    pub look_ms: Option<u64>,
}

impl Feed {
    pub fn failed(&mut self, now_ms: u64) {
        self.failures += 1;
        self.failed_ms = Some(now_ms);
        self.look_ms = None;
        let pause_ms = (RETRY_MS << (self.failures - 1).min(6)).min(MAX_RETRY_MS);
        self.next_ms = now_ms + pause_ms;
    }

    pub fn succeeded(&mut self, now_ms: u64, pause_ms: u64) {
        self.failures = 0;
        self.read_ms = Some(now_ms);
        self.next_ms = now_ms + pause_ms;
    }

    /// Returns when the next read is due, if nothing is told to have changed. While the giver of
    /// orders tells of changes, a topic that was read well is left alone for longer.
    pub fn due_ms(&self, now_ms: u64, sharing: &Sharing, following_every_ms: u64) -> u64 {
        let due_ms = match self.read_ms {
            Some(read_ms) if self.failures == 0 && sharing.follows(now_ms) => {
                self.next_ms.max(read_ms + following_every_ms)
            }
            _ => self.next_ms,
        };
        self.look_ms.map_or(due_ms, |look_ms| due_ms.min(look_ms))
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
