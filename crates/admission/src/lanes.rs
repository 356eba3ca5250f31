//! Which class starts its next request: the rule that both dispatch and forecast follow.

use crate::class_queue::ClassQueue;
use crate::class_queue::Key;
use crate::class_queue::Waiting;
use crate::rates::ClassRate;

/// `Lane` is one class as the rule sees it.
pub(crate) struct Lane<'a> {
    waiting: Box<dyn Iterator<Item = (&'a Key, &'a Waiting)> + 'a>,
    head: Option<(Key, &'a Waiting)>,
    tail_start_by_ms: f64,
    tail_work_ms: f64,
    work_ms: f64,
    rate: f64,
    horizon_ms: u64,
    kept_slots: u32,
    running: u32,
}

/// `Lanes` holds all classes of one target.
pub(crate) struct Lanes<'a> {
    lanes: Vec<Lane<'a>>,
    slots: u32,
}

impl<'a> Lane<'a> {
    fn new(queue: &'a ClassQueue, rate: ClassRate) -> Self {
        let mut waiting = Box::new(queue.iter());
        let head = waiting.next().map(|(key, waiting)| (*key, waiting));
        let work_ms = queue.work_ms();
        let (tail_start_by_ms, before_ms) =
            queue.tail().map_or((0, work_ms), |(key, before_ms)| {
                (key.start_by_ms, before_ms)
            });
        Self {
            waiting,
            head,
            tail_start_by_ms: tail_start_by_ms as f64,
            tail_work_ms: (work_ms - before_ms) as f64,
            work_ms: work_ms as f64,
            rate: rate.rate,
            horizon_ms: queue.need.horizon_ms(),
            kept_slots: rate.kept_slots,
            running: queue.running,
        }
    }

    /// Returns by when the head has to start: by its own deadline, and early enough for the class
    /// to work off what waits behind it at its own rate. With the head's deadline alone, a class
    /// that can wait long would stand back until its whole backlog is due at once, and then push
    /// out requests of other classes that had been let in.
    fn due_ms(&self) -> Option<f64> {
        let (key, _) = self.head?;
        let before_tail_ms = (self.work_ms - self.tail_work_ms).max(0.0);
        let paced_ms = self.tail_start_by_ms - before_tail_ms / self.rate.max(f64::EPSILON);
        Some(paced_ms.min(key.start_by_ms as f64))
    }

    fn missing_slots(&self) -> u32 {
        self.kept_slots.saturating_sub(self.running)
    }

    fn advance(&mut self) -> Option<(Key, &'a Waiting)> {
        let started = self.head.take()?;
        self.work_ms -= started.1.work_ms as f64;
        self.head = self.waiting.next().map(|(key, waiting)| (*key, waiting));
        Some(started)
    }
}

impl<'a> Lanes<'a> {
    /// Returns the classes of a target.
    pub(crate) fn new(queues: &'a [ClassQueue], rates: &[ClassRate], slots: u32) -> Self {
        let classes = queues.iter().zip(rates);
        Self {
            lanes: classes
                .map(|(queue, rate)| Lane::new(queue, *rate))
                .collect(),
            slots,
        }
    }

    /// Returns the class that starts its next request while `busy` slots are taken, or none if no
    /// class may.
    pub(crate) fn pick(&self, busy: u32) -> Option<usize> {
        let may_start = |&lane: &usize| busy + self.kept_from(lane) < self.slots;
        let due = |lane: usize| self.lanes[lane].due_ms().map(|due_ms| (lane, due_ms));
        let due = (0..self.lanes.len()).filter(may_start).filter_map(due);
        due.min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(lane, _)| lane)
    }

    /// Takes the head of a class and counts it as running.
    pub(crate) fn start(&mut self, lane: usize) -> Option<(Key, &'a Waiting)> {
        let started = self.lanes[lane].advance()?;
        self.lanes[lane].running += 1;
        Some(started)
    }

    /// Drops the head of a class.
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

    /// Returns the slots that a class must leave free for others. A request that runs longer than
    /// another class can wait may not take the last slots which that class needs: no deadline order
    /// helps once they are taken, and the other class's requests would all be refused until the
    /// long one ends. At most half of the slots are kept free.
    fn kept_from(&self, lane: usize) -> u32 {
        let run_ms = self.lanes[lane]
            .head
            .map_or(0, |(_, waiting)| waiting.work_ms);
        let others = self.lanes.iter().enumerate();
        let kept: u32 = others
            .filter(|(other, contender)| *other != lane && contender.horizon_ms < run_ms)
            .map(|(_, contender)| contender.missing_slots())
            .sum();
        kept.min(self.slots / 2)
    }
}
