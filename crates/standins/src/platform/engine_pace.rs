//! Speeds of engines: the lasting one of the machine, and periods in which it is slow.

use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3;

/// Work time of an engine at its usual speed, in percent.
const USUAL_WORK_PERCENT: u32 = 100;

/// How fast an engine works, and whether it states that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnginePace {
    /// Lasting speed in percent; at 50 all work takes twice as long.
    pub speed_percent: u32,
    /// Time from the arrival of a request for a stream to its first event at a speed of 100, in
    /// milliseconds.
    pub first_event_ms: u64,
    /// Periods in which the engine is slower than usual; none without.
    pub slow_periods: Option<SlowPeriods>,
    /// Whether the load that answers state has a fourth figure: how long work takes at this moment,
    /// in percent of this engine's usual time.
    pub states_work: bool,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            speed_percent: 100,
            first_event_ms: 0,
            slow_periods: None,
            states_work: false,
        }
    }
}

/// Periods in which an engine is slower than usual, at times that follow from the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowPeriods {
    /// How long work takes meanwhile, in percent of the usual time.
    pub work_percent: u32,
    /// Length of a period, in milliseconds.
    pub period_ms: u64,
    /// Share of the time that the periods take, in percent; at 100 the engine is always slow.
    pub share_percent: u64,
    /// Seed of the times. Engines need their own, or all are slow at the same times.
    pub seed: u64,
}

impl Default for SlowPeriods {
    fn default() -> Self {
        Self {
            work_percent: 250,
            period_ms: 600,
            share_percent: 15,
            seed: 0,
        }
    }
}

impl SlowPeriods {
    /// Returns whether the engine is slow at a time since its start. Each cycle has one period, at
    /// a drawn time.
    pub fn is_slow(&self, elapsed_ms: u64) -> bool {
        let period_ms = self.period_ms.max(1);
        let cycle_ms = period_ms * 100 / self.share_percent.clamp(1, 100);
        let mut hasher = Xxh3::with_seed(self.seed);
        hasher.write_u64(elapsed_ms / cycle_ms);
        let from_ms = hasher.finish() % (cycle_ms - period_ms + 1);
        (from_ms..from_ms + period_ms).contains(&(elapsed_ms % cycle_ms))
    }
}

impl EnginePace {
    /// Returns how long work takes at a time since the engine's start, in percent of its usual time.
    pub fn work_percent(&self, elapsed_ms: u64) -> u32 {
        let slow = self.slow_periods.filter(|slow| slow.is_slow(elapsed_ms));
        slow.map_or(USUAL_WORK_PERCENT, |slow| slow.work_percent)
    }

    /// Returns how long work takes that begins at a time since the engine's start and takes
    /// `usual_ms` at a speed of 100.
    pub fn work_time(&self, elapsed_ms: u64, usual_ms: u64) -> Duration {
        let work = f64::from(self.work_percent(elapsed_ms)) / f64::from(USUAL_WORK_PERCENT);
        let speed = f64::from(self.speed_percent.max(1)) / 100.0;
        Duration::from_secs_f64(usual_ms as f64 / 1_000.0 * work / speed)
    }
}

/// Pace of an engine that has started; the usual one without options.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningPace {
    options: Option<EnginePace>,
    started: Instant,
}

impl RunningPace {
    pub fn new(options: Option<EnginePace>) -> Self {
        Self {
            options,
            started: Instant::now(),
        }
    }

    /// Returns how long work takes that begins now.
    pub fn work_time(&self, usual_ms: u64) -> Duration {
        let usual = Duration::from_millis(usual_ms);
        self.options
            .map_or(usual, |it| it.work_time(self.elapsed_ms(), usual_ms))
    }

    /// Returns how long the first event of a stream takes that arrives now.
    pub fn first_event_time(&self) -> Duration {
        self.work_time(self.options.map_or(0, |it| it.first_event_ms))
    }

    /// Returns a stated load with the fourth figure, if the engine states it.
    pub fn with_work(&self, load: String) -> String {
        match self.options {
            Some(pace) if pace.states_work => {
                format!("{load},{}", pace.work_percent(self.elapsed_ms()))
            }
            _ => load,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
