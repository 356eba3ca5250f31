//! How much the upstreams write to the list.

/// How long reads are counted for one figure. Upstreams write each 1.2 s, a reader reads each 0.9
/// s.
const WINDOW_MS: u64 = 3_000;

/// The longest time between two reads of one count. After a longer one the first read brings a
/// backlog.
const LONGEST_GAP_MS: u64 = 1_500;

/// `ListRate` works out what the upstreams' entries take, from the reads of a VM that reads them
/// all.
#[derive(Debug, Default)]
pub(super) struct ListRate {
    since_ms: Option<u64>,
    last_ms: u64,
    bytes: usize,
}

impl ListRate {
    /// Takes in the size of an answer. Returns bytes a second when enough was counted.
    pub fn note(&mut self, now_ms: u64, bytes: usize) -> Option<u64> {
        let is_gap = now_ms > self.last_ms + LONGEST_GAP_MS;
        self.last_ms = now_ms;
        let since_ms = match self.since_ms.filter(|_| !is_gap) {
            Some(since_ms) => since_ms,
            // What this answer brings was written before.
            None => {
                self.since_ms = Some(now_ms);
                self.bytes = 0;
                return None;
            }
        };
        self.bytes += bytes;
        let for_ms = now_ms - since_ms;
        if for_ms < WINDOW_MS {
            return None;
        }
        self.since_ms = Some(now_ms);
        let bytes = std::mem::take(&mut self.bytes);
        Some(bytes as u64 * 1_000 / for_ms)
    }
}
