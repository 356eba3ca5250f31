//! Lasting speeds of engines, learned from the pace of the streams that they served.

use std::collections::BTreeMap;

/// Speed of an engine that works as fast as the mean, in percent.
const MEAN_PERCENT: f64 = 100.0;

/// Bounds of a learned speed. Streams that callers read slowly, or a faulty clock, give paces that
/// no engine has.
const MIN_SPEED_PERCENT: f64 = 25.0;
const MAX_SPEED_PERCENT: f64 = 400.0;

/// Time in which the weight of an observation falls to one half. Slow periods of an engine last less
/// than a second, and the speed has to be the mean over many of them.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Events that give a pace one half of its full weight.
const HALF_WEIGHT_EVENTS: f64 = 20.0;

/// Weight with which a speed is drawn to the mean, relative to that of one model's pace. It decides
/// where there are few observations or old ones.
const MEAN_WEIGHT: f64 = 0.02;

/// Weighted number of events below which a pace is dropped.
const MIN_EVENTS: f64 = 0.5;

/// Bounds of the time per event, in ms, that is taken for a pace.
const MIN_EVENT_MS: f64 = 0.01;
const MAX_EVENT_MS: f64 = 60_000.0;

/// Improvements of the solution for each update. The next update goes on from the last solution.
const SWEEPS: usize = 4;

/// Largest number of paces that are kept. Above it, the half with the fewest events is dropped.
const MAX_PACES: usize = 20_000;

/// Learns how fast each engine is, relative to the engines that serve the same models.
///
/// The time per event depends on the model and on the engine. For each model the learner estimates
/// the time per event at an engine of mean speed, from the paces elsewhere corrected by the speeds
/// of those engines, and for each engine its speed from the paces of all models there. Without the
/// correction, an engine whose models are otherwise on slow engines only would look fast.
///
/// An engine without observations has the mean speed, and a learned speed returns to it as its
/// observations age. `E` identifies the run of an engine, `M` a model.
///
/// ```
/// use apricotdale_placement::EngineSpeeds;
///
/// let mut speeds = EngineSpeeds::default();
/// speeds.record(1_000, 7, 1, 500, 10_000);
/// speeds.record(1_000, 8, 1, 500, 5_000);
/// speeds.update(1_000);
/// assert!(speeds.speed_percent(&7) < 80);
/// assert!(speeds.speed_percent(&8) > 125);
/// assert_eq!(speeds.speed_percent(&9), 100);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSpeeds<E, M> {
    paces: BTreeMap<(E, M), Pace>,
    /// Logarithms of the speeds, relative to the mean.
    log_speeds: BTreeMap<E, f64>,
}

/// Events of one model at one engine, and the time that they took, weighted by age.
#[derive(Clone, Copy, Debug)]
struct Pace {
    events: f64,
    took_ms: f64,
    at_ms: u64,
}

/// Logarithm of a time per event, and its weight.
#[derive(Clone, Copy, Debug)]
struct Observation<'a, E> {
    engine: &'a E,
    log_event_ms: f64,
    weight: f64,
}

impl<E, M> Default for EngineSpeeds<E, M> {
    fn default() -> Self {
        Self {
            paces: BTreeMap::new(),
            log_speeds: BTreeMap::new(),
        }
    }
}

impl<E: Ord + Clone, M: Ord + Clone> EngineSpeeds<E, M> {
    /// Records that an engine sent a number of events of a model's streams in a time. Both are sums
    /// over the streams. Impossible paces are ignored.
    pub fn record(&mut self, now_ms: u64, engine: E, model: M, events: u32, took_ms: u32) {
        let (events, took_ms) = (f64::from(events), f64::from(took_ms));
        if !(MIN_EVENT_MS..=MAX_EVENT_MS).contains(&(took_ms / events)) {
            return;
        }
        let pace = self.paces.entry((engine, model)).or_insert(Pace {
            events: 0.0,
            took_ms: 0.0,
            at_ms: now_ms,
        });
        pace.advance(now_ms);
        pace.events += events;
        pace.took_ms += took_ms;
        if self.paces.len() > MAX_PACES {
            self.drop_weakest();
        }
    }

    /// Computes the speeds from what has been recorded.
    pub fn update(&mut self, now_ms: u64) {
        self.paces.retain(|_, pace| {
            pace.advance(now_ms);
            pace.events >= MIN_EVENTS
        });
        let by_model = self.observations();
        let mut log_speeds = self.log_speeds.clone();
        for _ in 0..SWEEPS {
            log_speeds = next_log_speeds(&by_model, &log_speeds);
        }
        self.log_speeds = log_speeds;
    }

    /// Returns the speed of an engine as of the last update, in percent of the mean; 100 if nothing
    /// is known.
    pub fn speed_percent(&self, engine: &E) -> u32 {
        let log_speed = self.log_speeds.get(engine).copied().unwrap_or_default();
        percent(log_speed)
    }

    /// Returns the engines with a learned speed, in order, with their speeds in percent.
    pub fn iter(&self) -> impl Iterator<Item = (&E, u32)> {
        let speeds = self.log_speeds.iter();
        speeds.map(|(engine, log_speed)| (engine, percent(*log_speed)))
    }

    /// Returns the number of pairs of an engine and a model whose paces are kept.
    pub fn paces(&self) -> usize {
        self.paces.len()
    }

    /// Drops what is known of an engine, whose run has ended.
    pub fn forget(&mut self, engine: &E) {
        self.paces.retain(|(of, _), _| of != engine);
        self.log_speeds.remove(engine);
    }

    /// Returns the observations of each model that several engines have served. The pace of a model
    /// on one engine says nothing about the engine.
    fn observations(&self) -> Vec<Vec<Observation<'_, E>>> {
        let mut by_model: BTreeMap<&M, Vec<Observation<'_, E>>> = BTreeMap::new();
        for ((engine, model), pace) in &self.paces {
            by_model.entry(model).or_default().push(Observation {
                engine,
                log_event_ms: (pace.took_ms / pace.events).ln(),
                weight: pace.events / (pace.events + HALF_WEIGHT_EVENTS),
            });
        }
        let several = by_model.into_values();
        several
            .filter(|observations| observations.len() > 1)
            .collect()
    }

    /// Drops the paces with the fewest events, so that one half remains.
    fn drop_weakest(&mut self) {
        let mut events: Vec<f64> = self.paces.values().map(|pace| pace.events).collect();
        let middle = events.len() / 2;
        let (_, median, _) = events.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        let mut left = middle;
        self.paces.retain(|_, pace| {
            let is_kept = pace.events >= median && left > 0;
            left -= usize::from(is_kept);
            is_kept
        });
    }
}

impl Pace {
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        self.at_ms = self.at_ms.max(now_ms);
        self.events *= factor;
        self.took_ms *= factor;
    }
}

/// Returns an improved solution of the least squares: the time per event of each model at an engine
/// of mean speed follows from the speeds, and then the speeds from these times.
fn next_log_speeds<E: Ord + Clone>(
    by_model: &[Vec<Observation<'_, E>>],
    log_speeds: &BTreeMap<E, f64>,
) -> BTreeMap<E, f64> {
    let log_speed = |engine: &E| log_speeds.get(engine).copied().unwrap_or_default();
    let mut sums: BTreeMap<&E, (f64, f64)> = BTreeMap::new();
    for observations in by_model {
        let weight: f64 = observations.iter().map(|it| it.weight).sum();
        let weighted = observations.iter();
        let weighted = weighted.map(|it| it.weight * (it.log_event_ms + log_speed(it.engine)));
        let log_mean_event_ms = weighted.sum::<f64>() / weight;
        for it in observations {
            let (sum, weight) = sums.entry(it.engine).or_default();
            *sum += it.weight * (log_mean_event_ms - it.log_event_ms);
            *weight += it.weight;
        }
    }
    let bounds = log_bounds();
    let solved = sums.into_iter().map(|(engine, (sum, weight))| {
        let log_speed = sum / (weight + MEAN_WEIGHT);
        (engine.clone(), log_speed.clamp(bounds.0, bounds.1))
    });
    solved.collect()
}

fn log_bounds() -> (f64, f64) {
    let log_of = |percent: f64| (percent / MEAN_PERCENT).ln();
    (log_of(MIN_SPEED_PERCENT), log_of(MAX_SPEED_PERCENT))
}

fn percent(log_speed: f64) -> u32 {
    (MEAN_PERCENT * log_speed.exp()).round() as u32
}
