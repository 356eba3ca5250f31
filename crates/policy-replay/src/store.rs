//! Simulated weight store, with a rate limit on starts and a bandwidth shared by concurrent loads.

/// Weight store that refuses starts above a rate limit. Up to `full_speed_loads` concurrent loads
/// run at full speed; more of them share that bandwidth equally.
#[derive(Clone, Debug)]
pub struct Store {
    loads_per_s: u32,
    full_speed_loads: u32,
    slow_factor: f64,
    active: Vec<ActiveLoad>,
    advanced_ms: f64,
    starts_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveLoad {
    load: usize,
    remaining_ms: f64,
}

impl Store {
    /// Returns a store without loads.
    pub fn new(loads_per_s: u32, full_speed_loads: u32) -> Self {
        Self {
            loads_per_s,
            full_speed_loads,
            slow_factor: 1.0,
            active: Vec::new(),
            advanced_ms: 0.0,
            starts_ms: Vec::new(),
        }
    }

    /// Returns the number of loads in progress.
    pub fn active_loads(&self) -> u32 {
        self.active.len() as u32
    }

    /// Makes all loads slower by `factor` from now on; 1 is the usual speed.
    pub fn slow_down(&mut self, now_ms: u64, factor: f64) {
        self.advance(now_ms);
        self.slow_factor = factor;
    }

    /// Starts a load that takes `sized_ms` at full speed. Returns false, without a start, if as
    /// many loads as the rate limit allows were started within the last second.
    pub fn start(&mut self, now_ms: u64, load: usize, sized_ms: f64) -> bool {
        self.starts_ms.retain(|at_ms| *at_ms + 1_000 > now_ms);
        if self.starts_ms.len() as u32 >= self.loads_per_s {
            return false;
        }
        self.starts_ms.push(now_ms);
        self.advance(now_ms);
        self.active.push(ActiveLoad {
            load,
            remaining_ms: sized_ms,
        });
        true
    }

    /// Aborts a load, if it is in progress.
    pub fn abort(&mut self, now_ms: u64, load: usize) {
        self.advance(now_ms);
        self.active.retain(|active| active.load != load);
    }

    /// Returns when the next load ends if none starts or is aborted before, or none without loads.
    pub fn next_end_ms(&self) -> Option<u64> {
        let min_ms = self
            .active
            .iter()
            .map(|active| active.remaining_ms)
            .fold(f64::INFINITY, f64::min);
        min_ms
            .is_finite()
            .then(|| (self.advanced_ms + min_ms / self.speed()).ceil() as u64)
    }

    /// Removes the loads that have ended and returns them.
    pub fn take_ended(&mut self, now_ms: u64) -> Vec<usize> {
        self.advance(now_ms);
        let (ended, active): (Vec<ActiveLoad>, Vec<ActiveLoad>) = self
            .active
            .iter()
            .partition(|load| load.remaining_ms <= 0.5);
        self.active = active;
        ended.into_iter().map(|ended| ended.load).collect()
    }

    fn speed(&self) -> f64 {
        let shared = f64::from(self.full_speed_loads) / self.active.len().max(1) as f64;
        shared.min(1.0) / self.slow_factor
    }

    fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms as f64 - self.advanced_ms;
        if passed_ms <= 0.0 {
            return;
        }
        let done_ms = passed_ms * self.speed();
        for active in &mut self.active {
            active.remaining_ms -= done_ms;
        }
        self.advanced_ms = now_ms as f64;
    }
}
