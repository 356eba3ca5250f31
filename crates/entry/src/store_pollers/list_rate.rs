//! Rate at which upstreams write to the upstream list.

/// Time over which a rate is measured. Upstreams write every 1.2 s, and a reader reads every 0.9 s.
const RATE_WINDOW_MS: u64 = 3_000;

/// Longest time between two reads of one measurement. After a longer gap the first read returns a
/// backlog.
const MAX_READ_GAP_MS: u64 = 1_500;

/// Measures the bytes per second of the upstreams' entries from the reads of a VM that reads all
/// entries.
#[derive(Debug, Default)]
pub(super) struct ListRate {
    since_ms: Option<u64>,
    last_ms: u64,
    bytes: usize,
}

impl ListRate {
    /// Records the size of an answer. Returns bytes per second once the window is full.
    pub fn record(&mut self, now_ms: u64, bytes: usize) -> Option<u64> {
        let is_gap = now_ms > self.last_ms + MAX_READ_GAP_MS;
        self.last_ms = now_ms;
        let since_ms = match self.since_ms.filter(|_| !is_gap) {
            Some(since_ms) => since_ms,
            // The records in this answer were written before the window.
            None => {
                self.since_ms = Some(now_ms);
                self.bytes = 0;
                return None;
            }
        };
        self.bytes += bytes;
        let for_ms = now_ms - since_ms;
        if for_ms < RATE_WINDOW_MS {
            return None;
        }
        self.since_ms = Some(now_ms);
        let bytes = std::mem::take(&mut self.bytes);
        Some(bytes as u64 * 1_000 / for_ms)
    }
}
