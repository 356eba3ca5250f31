//! One target: its slots, its classes and what runs there.

use std::collections::BTreeMap;

use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;

use crate::class_queue::ClassQueue;
use crate::class_queue::Key;
use crate::class_queue::Waiting;
use crate::forecast::Forecast;
use crate::forecast::Late;
use crate::lanes::Lanes;
use crate::options::Options;
use crate::rates::ClassDemand;
use crate::rates::ClassRate;
use crate::rates::class_rates;

/// `Target` is a model or a service for which requests queue.
#[derive(Debug, Default)]
pub(crate) struct Target {
    slots: u32,
    last_slots: Option<u32>,
    ready_at_ms: Option<u64>,
    classes: Vec<ClassQueue>,
    running: BTreeMap<Ticket, Running>,
}

/// `Place` is where a waiting request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// The place of its class.
    pub(crate) class: usize,
    /// Its key there.
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
    /// Sets the slots, or when the first one is expected.
    pub(crate) fn set_capacity(&mut self, slots: u32, ready_at_ms: Option<u64>) {
        self.slots = slots;
        self.ready_at_ms = ready_at_ms;
        if slots > 0 {
            self.last_slots = Some(slots);
        }
    }

    /// Returns whether neither slots nor a load are decided.
    pub(crate) fn is_undecided(&self) -> bool {
        self.slots == 0 && self.ready_at_ms.is_none()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Returns the class at a place.
    pub(crate) fn class(&self, class: usize) -> &ClassQueue {
        &self.classes[class]
    }

    /// Returns the places of all classes.
    pub(crate) fn class_places(&self) -> std::ops::Range<usize> {
        0..self.classes.len()
    }

    /// Adds a request to its class.
    pub(crate) fn push(&mut self, now_ms: u64, arrival: &Arrival, options: &Options) -> Place {
        let key = Key {
            start_by_ms: arrival.deadline_ms.saturating_sub(options.begin_ms),
            ticket: arrival.ticket,
        };
        let class = self.place_of(&arrival.class);
        let queue = &mut self.classes[class];
        let work_ms = queue.run.work_ms(arrival.expected_run_ms);
        let wait_ms = key.start_by_ms.saturating_sub(now_ms);
        queue.need.arrived(now_ms, work_ms, wait_ms, options);
        let waiting = Waiting {
            caller: arrival.caller.clone(),
            expected_ms: arrival.expected_run_ms,
            work_ms,
        };
        queue.push(key, waiting);
        Place { class, key }
    }

    /// Takes out a request that will not start.
    pub(crate) fn remove(&mut self, place: Place) {
        self.classes[place.class].remove(&place.key);
    }

    /// Returns whether a request still waits.
    pub(crate) fn is_waiting(&self, place: Place) -> bool {
        self.classes[place.class].get(&place.key).is_some()
    }

    /// Starts the requests that may start now and returns them.
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

    /// Notes that a running request ended.
    pub(crate) fn end(&mut self, ticket: Ticket, ran_ms: u64, options: &Options) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let queue = &mut self.classes[running.class];
        queue.end(&running.caller, running.work_ms);
        queue
            .run
            .learn(running.expected_ms, ran_ms, options.run_weight);
    }

    /// Takes out the requests whose latest start has passed and returns them.
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

    /// Returns when a waiting request will start if all run as long as expected, or none if that is
    /// beyond the forecast.
    pub(crate) fn start_of(&self, now_ms: u64, place: Place, options: &Options) -> Option<u64> {
        self.forecast(now_ms, 1.0, options)
            .start_of(place.key.ticket)
    }

    /// Returns the waiting requests that will miss their deadlines even if all run in the hoped
    /// part of the expected time.
    pub(crate) fn late(&self, now_ms: u64, options: &Options) -> Vec<Late> {
        if self.is_undecided() {
            return Vec::new();
        }
        self.forecast(now_ms, options.hope, options).late()
    }

    /// Returns how long a class would need to work off what it has waiting beyond its capacity, or
    /// none if it has no more than that or if the capacity is undecided. `fill` is the part of its capacity that may be filled.
    pub(crate) fn excess_ms(
        &self,
        now_ms: u64,
        class: usize,
        fill: f64,
        options: &Options,
    ) -> Option<u64> {
        if self.is_undecided() {
            return None;
        }
        let (tail, before_ms) = self.classes[class].tail()?;
        let begin_ms = self.begin_ms(now_ms);
        let horizon_ms = tail.start_by_ms.saturating_sub(begin_ms);
        let running_ms = self.running_work_ms(now_ms, class, horizon_ms, options);
        let rate = self.rates(now_ms, options)[class].rate.max(f64::EPSILON);
        let needed_ms = (before_ms + running_ms) as f64 / rate;
        let excess_ms = needed_ms - horizon_ms as f64 * fill;
        (needed_ms > 0.0 && excess_ms > 0.0).then(|| excess_ms.ceil() as u64)
    }

    fn place_of(&mut self, class: &ClassName) -> usize {
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
        let rates = self.rates(now_ms, options);
        let lanes = Lanes::new(&self.classes, &rates, self.slots);
        lanes.pick(self.running.len() as u32)
    }

    fn forecast(&self, now_ms: u64, run_factor: f64, options: &Options) -> Forecast<'_> {
        let rates = self.rates(now_ms, options);
        let lanes = Lanes::new(&self.classes, &rates, self.planned_slots(options));
        // What still runs on a replica that is being lost takes no slot of the next one.
        let running = self.running.values().filter(|_| self.slots > 0);
        let busy = running.map(|running| {
            let end_ms = running.end_ms(now_ms, run_factor, options);
            (end_ms, running.class)
        });
        let begin_ms = self.begin_ms(now_ms);
        Forecast::new(lanes, begin_ms, busy, run_factor, options.forecast_starts)
    }

    /// Returns the slots that the target has, or will probably have once it is loaded.
    fn planned_slots(&self, options: &Options) -> u32 {
        match self.slots {
            0 => self.last_slots.unwrap_or(options.cold_slots).max(1),
            slots => slots,
        }
    }

    /// Returns the first moment at which a request can start.
    fn begin_ms(&self, now_ms: u64) -> u64 {
        match self.slots {
            0 => now_ms.max(self.ready_at_ms.unwrap_or_default()),
            _ => now_ms,
        }
    }

    fn rates(&self, now_ms: u64, options: &Options) -> Vec<ClassRate> {
        let demand = |queue: &ClassQueue| ClassDemand {
            need: queue.need.slots(now_ms, queue.work_ms(), options),
            is_recent: queue.need.is_recent(now_ms, options),
            horizon_ms: queue.need.horizon_ms(),
            run_ms: queue.typical_run_ms(),
        };
        let demands: Vec<ClassDemand> = self.classes.iter().map(demand).collect();
        class_rates(self.planned_slots(options), &demands)
    }

    /// Returns the work that is left of a class's running requests, each up to the horizon.
    fn running_work_ms(
        &self,
        now_ms: u64,
        class: usize,
        horizon_ms: u64,
        options: &Options,
    ) -> u64 {
        if self.slots == 0 {
            return 0;
        }
        let of_class = |running: &&Running| running.class == class;
        let left_ms = |running: &Running| running.end_ms(now_ms, 1.0, options) - now_ms;
        let running = self.running.values().filter(of_class);
        running
            .map(|running| left_ms(running).min(horizon_ms))
            .sum()
    }
}

impl Running {
    /// Returns when the request will probably end, now at the earliest. One that has run for longer
    /// than expected is taken to run on for a part of that time.
    fn end_ms(&self, now_ms: u64, run_factor: f64, options: &Options) -> u64 {
        let work_ms = self.work_ms as f64 * run_factor;
        let end_ms = self.started_ms + work_ms as u64;
        match run_factor {
            _ if end_ms > now_ms => end_ms,
            factor if factor < 1.0 => now_ms,
            _ => now_ms + (work_ms * options.overdue) as u64,
        }
    }
}
