//! Learning of the engines' lasting speeds from the pace of their streams.

use rstest::rstest;

use apricotdale_placement::EngineSpeeds;

/// Time between two reports.
const INTERVAL_MS: u64 = 400;

type Speeds = EngineSpeeds<u32, u32>;

/// Generator of numbers from 0 to 1 (SplitMix64), so that a seed gives the same fleet everywhere.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn index(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

/// Engines with their true speeds, and the engines that serve each model.
struct Fleet {
    speeds: Vec<f64>,
    event_ms: Vec<f64>,
    replicas: Vec<Vec<usize>>,
    draws: Draws,
}

impl Fleet {
    fn drawn(seed: u64, engines: usize, models: usize, replicas: usize) -> Self {
        let mut draws = Draws(seed);
        let speeds = (0..engines).map(|_| 0.5 + 0.8 * draws.next()).collect();
        let event_ms = (0..models).map(|_| 5.0 + 45.0 * draws.next()).collect();
        let replicas = (0..models)
            .map(|_| {
                let mut free: Vec<usize> = (0..engines).collect();
                let mut draw = |_| free.swap_remove(draws.index(free.len()));
                (0..replicas).map(&mut draw).collect()
            })
            .collect();
        Self {
            speeds,
            event_ms,
            replicas,
            draws,
        }
    }

    /// Reports one interval, in which an engine works 2.5 times as long for 15 % of the time.
    fn report(&mut self, now_ms: u64, learned: &mut Speeds) {
        for (model, engines) in self.replicas.iter().enumerate() {
            for &engine in engines {
                let slow = match self.draws.next() < 0.15 {
                    true => 2.5,
                    false => 1.0,
                };
                let noise = 0.8 + 0.4 * self.draws.next();
                let took_ms = 12.0 * self.event_ms[model] * slow * noise / self.speeds[engine];
                learned.record(now_ms, engine as u32, model as u32, 12, took_ms as u32);
            }
        }
        learned.update(now_ms);
    }

    /// Returns the largest error of a learned speed relative to that of another engine, as a factor.
    /// Engines that serve no model are left out: nothing can be learned of them.
    fn largest_error(&self, learned: &Speeds) -> f64 {
        let engines = 0..self.speeds.len();
        let served = engines.filter(|engine| self.replicas.iter().any(|it| it.contains(engine)));
        let ratio = |engine: usize| {
            f64::from(learned.speed_percent(&(engine as u32))) / self.speeds[engine]
        };
        let ratios: Vec<f64> = served.map(ratio).collect();
        let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
        let errors = ratios.iter().map(|ratio| (ratio / mean).max(mean / ratio));
        errors.fold(1.0, f64::max)
    }
}

/// Guards against speeds that follow which engines share a model, its size or slow periods, instead
/// of the engines: after half a minute the speeds of randomly drawn fleets are known.
#[rstest]
fn drawn_fleets(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values((24, 9, 8), (90, 60, 6), (12, 20, 3))] shape: (usize, usize, usize),
) {
    let (engines, models, replicas) = shape;
    let mut fleet = Fleet::drawn(seed, engines, models, replicas);
    let mut learned = Speeds::default();
    for step in 0..75 {
        fleet.report(step * INTERVAL_MS, &mut learned);
    }
    let error = fleet.largest_error(&learned);
    assert!(error < 1.2, "{error}");
}

/// Returns speeds learned from engine 1, which takes 20 ms per event, and engine 2, which takes 10.
fn learned() -> Speeds {
    let mut speeds = Speeds::default();
    for step in 0..10 {
        let now_ms = step * INTERVAL_MS;
        speeds.record(now_ms, 1, 7, 100, 2_000);
        speeds.record(now_ms, 2, 7, 100, 1_000);
        speeds.update(now_ms);
    }
    speeds
}

/// Guards against a difference between two engines that is counted twice, once at each of them.
#[test]
fn two_engines() {
    let speeds = learned();
    let slow = f64::from(speeds.speed_percent(&1));
    let fast = f64::from(speeds.speed_percent(&2));
    assert!((0.48..0.53).contains(&(slow / fast)), "{slow} {fast}");
    assert!((68.0..75.0).contains(&slow), "{slow}");
}

/// Guards against a speed for an engine about whose speed nothing is known.
#[rstest]
#[case::never_seen(9)]
#[case::only_engine_of_model(3)]
#[case::without_events(4)]
#[case::without_time(5)]
#[case::impossible_time(6)]
fn unknown_speed(#[case] engine: u32) {
    let mut speeds = learned();
    let now_ms = 10 * INTERVAL_MS;
    speeds.record(now_ms, 3, 8, 1_000, 90_000);
    speeds.record(now_ms, 4, 7, 0, 1_000);
    speeds.record(now_ms, 5, 7, 100, 0);
    speeds.record(now_ms, 6, 7, 1, u32::MAX);
    speeds.update(now_ms);
    assert_eq!(speeds.speed_percent(&engine), 100);
}

/// Guards against a single report that takes an engine out of use or sends it everything.
#[rstest]
#[case::slow(60_000, 25, 400)]
#[case::fast(1, 25, 400)]
fn bounded_speed(#[case] took_ms: u32, #[case] least: u32, #[case] most: u32) {
    let mut speeds = learned();
    speeds.record(10 * INTERVAL_MS, 3, 7, 100, took_ms);
    for step in 10..40 {
        speeds.update(step * INTERVAL_MS);
    }
    for (_, percent) in speeds.iter() {
        assert!((least..=most).contains(&percent), "{percent}");
    }
}

/// Guards against a speed that outlives what it was learned from.
#[test]
fn decay_without_streams() {
    let mut speeds = learned();
    let first = speeds.speed_percent(&1);
    let mut previous = first;
    for minute in 1..=20 {
        speeds.update(minute * 60_000);
        let next = speeds.speed_percent(&1);
        assert!(next >= previous, "{next} {previous}");
        previous = next;
    }
    assert_eq!(previous, 100);
    assert!(speeds.iter().next().is_none());
}

/// Guards against a speed that stays when the machine has become as fast as the others.
#[test]
fn changed_speed() {
    let mut speeds = learned();
    for step in 10..300 {
        let now_ms = step * INTERVAL_MS;
        speeds.record(now_ms, 1, 7, 100, 1_000);
        speeds.record(now_ms, 2, 7, 100, 1_000);
        speeds.update(now_ms);
    }
    let percent = speeds.speed_percent(&1);
    assert!((95..=105).contains(&percent), "{percent}");
}

/// Guards against the speed of an earlier run that is taken for that of the next one.
#[test]
fn forgotten_run() {
    let mut speeds = learned();
    speeds.forget(&1);
    assert_eq!(speeds.speed_percent(&1), 100);
    speeds.update(10 * INTERVAL_MS);
    assert_eq!(speeds.speed_percent(&1), 100);
}

/// Guards against memory that grows with the number of models and runs.
#[test]
fn bounded_memory() {
    let mut speeds = Speeds::default();
    for engine in 0..250 {
        for model in 0..100 {
            speeds.record(1_000, engine, model, 1 + model, 5_000);
        }
    }
    assert!((1..=20_000).contains(&speeds.paces()), "{}", speeds.paces());
    speeds.update(1_000 + 10 * 60_000);
    assert_eq!(speeds.paces(), 0);
}
