//! Replayed control state, shared by all threads of the daemon.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use apricotdale_core::log::LogRecord;
use apricotdale_core::numbers::Offset;
use apricotdale_state::ControlState;
use apricotdale_state::Verdict;

/// Replayed control state, with notification of the threads that wait for it to change.
#[derive(Debug, Default)]
pub struct Replayed {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    state: ControlState,
    /// Whether the state has been replayed to the stream's end at least once.
    caught_up: bool,
}

impl Replayed {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls a function with the state, which is locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.inner.lock().state)
    }

    /// Returns the offset of the next record to replay.
    pub fn next_offset(&self) -> Offset {
        self.inner.lock().state.next_offset()
    }

    /// Returns whether the state has been replayed to the stream's end, or installed from a peer,
    /// at least once.
    pub fn is_caught_up(&self) -> bool {
        self.inner.lock().caught_up
    }

    /// Records that the state has been replayed to the stream's end, or installed from a peer
    /// while the log is down.
    pub fn mark_caught_up(&self) {
        self.inner.lock().caught_up = true;
        self.changed.notify_all();
    }

    /// Replays records and returns the verdict on each. `on_accepted` is called with the state after each
    /// accepted record.
    pub fn apply(
        &self,
        records: &[LogRecord],
        on_accepted: impl Fn(&ControlState),
    ) -> Vec<(Offset, Verdict)> {
        let mut inner = self.inner.lock();
        let verdicts = records
            .iter()
            .map(|record| {
                let verdict = inner
                    .state
                    .apply(record.offset, record.appended_ms, &record.payload);
                if verdict.is_accepted() {
                    on_accepted(&inner.state);
                }
                (record.offset, verdict)
            })
            .collect();
        drop(inner);
        self.changed.notify_all();
        verdicts
    }

    /// Replaces the state by one from a snapshot if that is newer. Returns whether it was.
    pub fn install(&self, state: ControlState) -> bool {
        let mut inner = self.inner.lock();
        let is_newer = state.next_offset() > inner.state.next_offset();
        if is_newer {
            inner.state = state;
        }
        drop(inner);
        self.changed.notify_all();
        is_newer
    }

    /// Waits until the condition returns a value. Returns none if it did not within the timeout.
    pub fn wait_for<T>(
        &self,
        timeout: Duration,
        mut condition: impl FnMut(&ControlState) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let mut inner = self.inner.lock();
        loop {
            if let Some(value) = condition(&inner.state) {
                return Some(value);
            }
            if self.changed.wait_until(&mut inner, deadline).timed_out() {
                return condition(&inner.state);
            }
        }
    }
}
