//! One target: its slots, and the waiting and running requests of its classes.

use std::collections::BTreeMap;

use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;

use crate::class_queue::ClassQueue;
use crate::class_queue::Key;
use crate::class_queue::Waiting;
use crate::forecast::Forecast;
use crate::forecast::LateRequest;
use crate::lanes::Lanes;
use crate::need::Backlog;
use crate::options::Options;
use crate::rates::ClassDemand;
use crate::rates::ClassRate;
use crate::rates::class_rates;

/// Model or service for which requests queue.
#[derive(Debug, Default)]
pub(crate) struct Target {
    slots: u32,
    last_slots: Option<u32>,
    ready_at_ms: Option<u64>,
    classes: Vec<ClassQueue>,
    running: BTreeMap<Ticket, Running>,
}

/// Position of a waiting request in the queues of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    /// Index of its class.
    pub(crate) class: usize,
    /// Its key in the class's queue.
    pub(crate) key: Key,
}

#[derive(Debug)]
struct Running {
    class: usize,
    caller: CallerName,
    started_ms: u64,
    expected_ms: u64,
    work_ms: u64,
}

impl Target {
    /// Sets the number of slots, and the time at which the first one is expected if there is none.
    pub(crate) fn set_capacity(&mut self, slots: u32, ready_at_ms: Option<u64>) {
        self.slots = slots;
        self.ready_at_ms = ready_at_ms;
        if slots > 0 {
            self.last_slots = Some(slots);
        }
    }

    /// Returns whether the target has neither slots nor a scheduled load.
    pub(crate) fn is_undecided(&self) -> bool {
        self.slots == 0 && self.ready_at_ms.is_none()
    }

    /// Returns the earliest of the latest starts of the waiting requests.
    pub(crate) fn first_start_by_ms(&self) -> Option<u64> {
        let heads = self.classes.iter().filter_map(ClassQueue::head);
        heads.map(|head| head.start_by_ms).min()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Returns the class with an index.
    pub(crate) fn class(&self, class: usize) -> &ClassQueue {
        &self.classes[class]
    }

    /// Returns the indices of all classes.
    pub(crate) fn class_indices(&self) -> std::ops::Range<usize> {
        0..self.classes.len()
    }

    /// Returns the index of the class with the most waiting requests.
    pub(crate) fn longest_queue(&self) -> Option<usize> {
        self.class_indices()
            .max_by_key(|&class| self.classes[class].len())
    }

    /// Adds a request to the queue of its class.
    pub(crate) fn push(&mut self, now_ms: u64, arrival: &Arrival, options: &Options) -> QueueEntry {
        let key = Key {
            start_by_ms: arrival.deadline_ms.saturating_sub(options.begin_ms),
            ticket: arrival.ticket,
        };
        let class = self.class_index(&arrival.class);
        let queue = &mut self.classes[class];
        let work_ms = queue.run.work_ms(arrival.expected_run_ms);
        let wait_ms = key.start_by_ms.saturating_sub(now_ms);
        queue.need.arrived(now_ms, work_ms, wait_ms, options);
        let waiting = Waiting {
            caller: arrival.caller.clone(),
            arrived_ms: now_ms,
            expected_ms: arrival.expected_run_ms,
            work_ms,
        };
        queue.push(key, waiting);
        QueueEntry { class, key }
    }

    /// Removes a request that will not start.
    pub(crate) fn remove(&mut self, entry: QueueEntry) {
        self.classes[entry.class].remove(&entry.key);
    }

    /// Returns whether a request still waits.
    pub(crate) fn is_waiting(&self, entry: QueueEntry) -> bool {
        self.classes[entry.class].get(&entry.key).is_some()
    }

    /// Starts the requests that may start now, and returns them.
    pub(crate) fn dispatch(&mut self, now_ms: u64, options: &Options) -> Vec<Ticket> {
        let mut started = Vec::new();
        while let Some(class) = self.next_class(now_ms, options) {
            let Some((key, waiting)) = self.classes[class].start_head() else {
                break;
            };
            let running = Running {
                class,
                caller: waiting.caller,
                started_ms: now_ms,
                expected_ms: waiting.expected_ms,
                work_ms: waiting.work_ms,
            };
            self.running.insert(key.ticket, running);
            started.push(key.ticket);
        }
        started
    }

    /// Records that a running request ended.
    pub(crate) fn end(&mut self, ticket: Ticket, ran_ms: u64, options: &Options) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let queue = &mut self.classes[running.class];
        queue.end(&running.caller, running.work_ms);
        queue
            .run
            .record(running.expected_ms, ran_ms, options.run_weight);
    }

    /// Removes the requests whose latest start has passed, and returns them.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in &mut self.classes {
            while let Some(key) = queue.head().filter(|key| key.start_by_ms < now_ms) {
                queue.remove(&key);
                expired.push(key.ticket);
            }
        }
        expired
    }

    /// Returns when a waiting request will start if all run as long as expected, or `None` if that
    /// is beyond the forecast.
    pub(crate) fn start_ms_of(
        &self,
        now_ms: u64,
        entry: QueueEntry,
        options: &Options,
    ) -> Option<u64> {
        self.forecast(now_ms, 1.0, options)
            .start_ms_of(entry.key.ticket)
    }

    /// Returns the waiting requests that will miss their deadlines even if all runs are shorter
    /// than expected by [`Options::optimistic_run_factor`].
    pub(crate) fn late(&self, now_ms: u64, options: &Options) -> Vec<LateRequest> {
        if self.is_undecided() {
            return Vec::new();
        }
        self.forecast(now_ms, options.optimistic_run_factor, options)
            .late()
    }

    /// Returns the time that a class needs for its work beyond its capacity, or `None` if there is
    /// none or the capacity is undecided. `fill` is the share of its capacity that may be filled. A
    /// class with a single waiting request has no excess: that request waits only for running ones,
    /// which the forecast covers better.
    pub(crate) fn excess_ms(
        &self,
        now_ms: u64,
        class: usize,
        fill: f64,
        options: &Options,
    ) -> Option<u64> {
        if self.is_undecided() || self.classes[class].len() < 2 {
            return None;
        }
        let backlogs = self.backlogs(now_ms, options);
        let rates = self.rates(now_ms, &backlogs, options);
        backlogs[class].excess_ms(rates[class].rate, fill)
    }

    /// Returns a class that has more work than its capacity allows, and its excess as in
    /// [`excess_ms`](Self::excess_ms).
    pub(crate) fn excess_class(&self, now_ms: u64, options: &Options) -> Option<(usize, u64)> {
        if self.is_undecided() || self.waiting() == 0 {
            return None;
        }
        let backlogs = self.backlogs(now_ms, options);
        let rates = self.rates(now_ms, &backlogs, options);
        let waiting = self
            .class_indices()
            .filter(|&class| self.classes[class].len() > 1);
        let mut excesses = waiting.map(|class| {
            let excess_ms = backlogs[class].excess_ms(rates[class].rate, options.overfill);
            Some((class, excess_ms?))
        });
        excesses.find_map(|excess| excess)
    }

    fn class_index(&mut self, class: &ClassName) -> usize {
        let known = self.classes.iter().position(|queue| queue.class == *class);
        known.unwrap_or_else(|| {
            self.classes.push(ClassQueue::new(class.clone()));
            self.classes.len() - 1
        })
    }

    fn next_class(&self, now_ms: u64, options: &Options) -> Option<usize> {
        if self.running.len() >= self.slots as usize || self.waiting() == 0 {
            return None;
        }
        let rates = self.rates(now_ms, &self.backlogs(now_ms, options), options);
        let lanes = Lanes::new(&self.classes, &rates, self.slots);
        lanes.pick(now_ms, self.running.len() as u32)
    }

    fn forecast(&self, now_ms: u64, run_factor: f64, options: &Options) -> Forecast<'_> {
        let rates = self.rates(now_ms, &self.backlogs(now_ms, options), options);
        let lanes = Lanes::new(&self.classes, &rates, self.planned_slots(options));
        // Running requests of a replica that is being lost take no slot of its successor.
        let running = self.running.values().filter(|_| self.slots > 0);
        let busy = running.map(|running| {
            let end_ms = running.end_ms(now_ms, run_factor, options);
            (end_ms, running.class)
        });
        let begin_ms = self.begin_ms(now_ms);
        Forecast::new(lanes, begin_ms, busy, run_factor, options.forecast_starts)
    }

    /// Returns the number of slots that the target has, or will probably have once it is loaded.
    fn planned_slots(&self, options: &Options) -> u32 {
        match self.slots {
            0 => self.last_slots.unwrap_or(options.cold_start_slots).max(1),
            slots => slots,
        }
    }

    /// Returns the earliest time at which a slot can be free.
    fn begin_ms(&self, now_ms: u64) -> u64 {
        match self.slots {
            0 => now_ms.max(self.ready_at_ms.unwrap_or_default()),
            _ => now_ms,
        }
    }

    fn rates(&self, now_ms: u64, backlogs: &[Backlog], options: &Options) -> Vec<ClassRate> {
        let demand = |(queue, backlog): (&ClassQueue, &Backlog)| ClassDemand {
            need: queue.need.slots(now_ms, *backlog, options),
            is_recent: queue.need.is_recent(now_ms, options),
            horizon_ms: queue.need.horizon_ms(),
            run_ms: queue.typical_run_ms(),
        };
        let demands: Vec<ClassDemand> = self.classes.iter().zip(backlogs).map(demand).collect();
        class_rates(self.planned_slots(options), &demands)
    }

    /// Returns each class's backlog, including the remaining work of its running requests as far as
    /// it falls into the backlog's remaining time. Running requests of a lost replica take nothing
    /// from the capacity of its successor.
    fn backlogs(&self, now_ms: u64, options: &Options) -> Vec<Backlog> {
        let begin_ms = self.begin_ms(now_ms);
        let waiting = self.classes.iter().map(|queue| queue.backlog(begin_ms));
        let mut backlogs: Vec<Backlog> = waiting.collect();
        for running in self.running.values().filter(|_| self.slots > 0) {
            let backlog = &mut backlogs[running.class];
            let left_ms = running.end_ms(now_ms, 1.0, options) - now_ms;
            backlog.work_ms += left_ms.min(backlog.left_ms);
        }
        backlogs
    }
}

impl Running {
    /// Returns when the request will probably end, which is not before now. A request that has run
    /// for longer than expected is assumed to run on for a share of that time.
    fn end_ms(&self, now_ms: u64, run_factor: f64, options: &Options) -> u64 {
        let work_ms = self.work_ms as f64 * run_factor;
        let end_ms = self.started_ms + work_ms as u64;
        match run_factor {
            _ if end_ms > now_ms => end_ms,
            factor if factor < 1.0 => now_ms,
            _ => now_ms + (work_ms * options.overrun_share) as u64,
        }
    }
}
