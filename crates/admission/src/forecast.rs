//! Forecast of when the waiting requests will start, by simulating the dispatch.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use apricotdale_core::policy::Ticket;

use crate::class_queue::Key;
use crate::lanes::Lanes;

/// Waiting request that will miss its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LateRequest {
    /// Index of its class.
    pub(crate) class: usize,
    /// Its key in the class's queue.
    pub(crate) key: Key,
    /// Time by which it will start too late.
    pub(crate) late_ms: u64,
}

/// Simulates the dispatch of one target with the expected run times.
pub(crate) struct Forecast<'a> {
    lanes: Lanes<'a>,
    at_ms: u64,
    busy: BinaryHeap<Reverse<(u64, usize)>>,
    run_factor: f64,
    starts_left: usize,
}

impl<'a> Forecast<'a> {
    /// Returns a forecast that begins at `at_ms`. `busy` holds the expected end of each running
    /// request and the index of its class. Run times are multiplied by `run_factor`, and the
    /// forecast ends after `starts` starts.
    pub(crate) fn new(
        lanes: Lanes<'a>,
        at_ms: u64,
        busy: impl IntoIterator<Item = (u64, usize)>,
        run_factor: f64,
        starts: usize,
    ) -> Self {
        Self {
            lanes,
            at_ms,
            busy: busy.into_iter().map(Reverse).collect(),
            run_factor,
            starts_left: starts,
        }
    }

    /// Returns when a waiting request will start, or `None` if that is beyond the forecast.
    pub(crate) fn start_ms_of(mut self, ticket: Ticket) -> Option<u64> {
        loop {
            let lane = self.next_lane()?;
            let key = self.start(lane)?;
            if key.ticket == ticket {
                return Some(self.at_ms);
            }
        }
    }

    /// Returns the waiting requests that will miss their deadlines. Requests after a late one are
    /// simulated as if that one had been refused.
    pub(crate) fn late(mut self) -> Vec<LateRequest> {
        let mut late = Vec::new();
        while let Some(lane) = self.next_lane() {
            let Some(key) = self.lanes.head(lane) else {
                break;
            };
            if self.at_ms > key.start_by_ms {
                self.lanes.drop_head(lane);
                late.push(LateRequest {
                    class: lane,
                    key,
                    late_ms: self.at_ms - key.start_by_ms,
                });
                continue;
            }
            if self.start(lane).is_none() {
                break;
            }
        }
        late
    }

    /// Advances to the next time at which a class may start a request, and returns the class.
    fn next_lane(&mut self) -> Option<usize> {
        loop {
            self.end_finished();
            let busy = self.busy.len() as u32;
            if let Some(lane) = self.lanes.pick(self.at_ms, busy) {
                return Some(lane);
            }
            let Reverse((ends_at_ms, _)) = *self.busy.peek()?;
            self.at_ms = self.at_ms.max(ends_at_ms);
        }
    }

    fn end_finished(&mut self) {
        while let Some(&Reverse((ends_at_ms, lane))) = self.busy.peek() {
            if ends_at_ms > self.at_ms {
                break;
            }
            self.busy.pop();
            self.lanes.end(lane);
        }
    }

    fn start(&mut self, lane: usize) -> Option<Key> {
        self.starts_left = self.starts_left.checked_sub(1)?;
        let (key, waiting) = self.lanes.start(lane)?;
        let run_ms = (waiting.work_ms as f64 * self.run_factor) as u64;
        self.busy.push(Reverse((self.at_ms + run_ms.max(1), lane)));
        Some(key)
    }
}
