//! Rule for which class starts its next request, used by both dispatch and forecast.

use crate::class_queue::ClassQueue;
use crate::class_queue::Key;
use crate::class_queue::Waiting;
use crate::rates::ClassRate;

/// State of one class to which the rule is applied: its queue, its running requests and its rate.
pub(crate) struct Lane<'a> {
    waiting: Box<dyn Iterator<Item = (&'a Key, &'a Waiting)> + 'a>,
    head: Option<(Key, &'a Waiting)>,
    tail_start_by_ms: u64,
    backlog_ms: u64,
    rate: ClassRate,
    horizon_ms: u64,
    running: u32,
}

/// State of all classes of one target.
pub(crate) struct Lanes<'a> {
    lanes: Vec<Lane<'a>>,
    slots: u32,
}

impl<'a> Lane<'a> {
    fn new(queue: &'a ClassQueue, rate: ClassRate) -> Self {
        let mut waiting = Box::new(queue.iter());
        let head = waiting.next().map(|(key, waiting)| (*key, waiting));
        Self {
            waiting,
            head,
            tail_start_by_ms: queue.backlog(0).left_ms,
            backlog_ms: queue.backlog(0).work_ms,
            rate,
            horizon_ms: queue.need.horizon_ms(),
            running: queue.running,
        }
    }

    /// Returns the share of its time that the class has already used: the larger one of the share
    /// of its head's possible wait that has passed, and the share of its backlog's remaining time
    /// that the backlog takes at the class's rate. At one, it can't wait any longer.
    ///
    /// By the head's deadline alone, a class that can wait long would wait until its whole backlog
    /// is due at once, and then displace admitted requests of other classes.
    fn urgency(&self, now_ms: u64) -> Option<f64> {
        let (key, waiting) = self.head?;
        let waited_ms = now_ms.saturating_sub(waiting.arrived_ms) as f64;
        let max_wait_ms = key.start_by_ms.saturating_sub(waiting.arrived_ms);
        let head = waited_ms / max_wait_ms.max(1) as f64;
        let backlog_ms = self.backlog_ms as f64 / self.rate.rate.max(f64::EPSILON);
        let left_ms = self.tail_start_by_ms.saturating_sub(now_ms);
        let backlog = backlog_ms / left_ms.max(1) as f64;
        Some(head.max(backlog) * self.preference())
    }

    /// Returns two for a class that needs no more than its guarantee, and one for others. Under a
    /// flood of another class, whose heads are always urgent, the rare requests of this class would
    /// otherwise start at the last moment or just after it.
    fn preference(&self) -> f64 {
        match self.rate.is_within_guarantee {
            true => 2.0,
            false => 1.0,
        }
    }

    fn missing_slots(&self) -> u32 {
        self.rate.kept_slots.saturating_sub(self.running)
    }

    fn advance(&mut self) -> Option<(Key, &'a Waiting)> {
        let started = self.head.take()?;
        self.backlog_ms = self.backlog_ms.saturating_sub(started.1.work_ms);
        self.head = self.waiting.next().map(|(key, waiting)| (*key, waiting));
        Some(started)
    }
}

impl<'a> Lanes<'a> {
    /// Returns the state of a target's classes.
    pub(crate) fn new(queues: &'a [ClassQueue], rates: &[ClassRate], slots: u32) -> Self {
        let classes = queues.iter().zip(rates);
        Self {
            lanes: classes
                .map(|(queue, rate)| Lane::new(queue, *rate))
                .collect(),
            slots,
        }
    }

    /// Returns the class that starts its next request while `busy` slots are taken: among those
    /// that may start one, the most urgent. Returns `None` if no class may.
    pub(crate) fn pick(&self, now_ms: u64, busy: u32) -> Option<usize> {
        let may_start = |&lane: &usize| busy + self.slots_kept_for_others(lane) < self.slots;
        let urgency = |lane: usize| Some((lane, self.lanes[lane].urgency(now_ms)?));
        let urgent = (0..self.lanes.len()).filter(may_start).filter_map(urgency);
        let most_urgent = urgent.max_by(|left, right| left.1.total_cmp(&right.1));
        most_urgent.map(|(lane, _)| lane)
    }

    /// Removes the head of a class and counts it as running.
    pub(crate) fn start(&mut self, lane: usize) -> Option<(Key, &'a Waiting)> {
        let started = self.lanes[lane].advance()?;
        self.lanes[lane].running += 1;
        Some(started)
    }

    /// Removes the head of a class.
    pub(crate) fn drop_head(&mut self, lane: usize) {
        self.lanes[lane].advance();
    }

    /// Returns the request that a class would start next.
    pub(crate) fn head(&self, lane: usize) -> Option<Key> {
        self.lanes[lane].head.map(|(key, _)| key)
    }

    /// Counts a request of a class as ended.
    pub(crate) fn end(&mut self, lane: usize) {
        let running = &mut self.lanes[lane].running;
        *running = running.saturating_sub(1);
    }

    /// Returns the number of slots that a class must leave free for others. A request that runs
    /// longer than another class can wait must not take the last slots that class needs: no order
    /// by deadline helps once they are taken, and the other class's requests would all be refused
    /// until the long one ends. At most half of the slots are reserved.
    fn slots_kept_for_others(&self, lane: usize) -> u32 {
        let run_ms = self.lanes[lane]
            .head
            .map_or(0, |(_, waiting)| waiting.work_ms);
        let others = self.lanes.iter().enumerate();
        let kept: u32 = others
            .filter(|(other, other_lane)| *other != lane && other_lane.horizon_ms < run_ms)
            .map(|(_, other_lane)| other_lane.missing_slots())
            .sum();
        kept.min(self.slots / 2)
    }
}
