//! Record of what a lease holder has learned, for the holder after a restart of all VMs: encoding,
//! the reasons to ignore a record, and how often it is written.

mod support;

use std::net::SocketAddr;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandRow;
use apricotdale_holder::DemandTable;
use apricotdale_holder::EngineKey;
use apricotdale_holder::IgnoredRecord;
use apricotdale_holder::LearnedState;
use apricotdale_holder::OrderKind;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use support::World;

/// Time at which the records of the tests are written.
const WRITTEN_UNIX_MS: u64 = 1_790_000_000_000;

const ERA: u64 = 3;

fn model(index: usize) -> WantedModel {
    WantedModel {
        model: ModelName::from(format!("model-{index}")),
        adapter: None,
    }
}

fn engine(index: usize) -> EngineKey {
    EngineKey::of(&UpstreamName::from(format!("engine-{index}")))
}

fn state(rates: Vec<(WantedModel, f64)>) -> LearnedState {
    LearnedState::new(WRITTEN_UNIX_MS, ERA, rates, Vec::new())
}

/// Returns a record of a few models, an adapter and two engines of other speed.
fn sample() -> LearnedState {
    let adapter = WantedModel {
        model: ModelName::from("model-1"),
        adapter: Some(ModelName::from("adapter")),
    };
    let rates = vec![(model(0), 12.5), (model(1), 40.0), (adapter, 0.25)];
    let speeds = vec![(engine(0), 55), (engine(1), 120), (engine(2), 100)];
    LearnedState::new(WRITTEN_UNIX_MS, ERA, rates, speeds)
}

fn decode(bytes: &[u8]) -> Result<LearnedState, IgnoredRecord> {
    LearnedState::decode(bytes, WRITTEN_UNIX_MS, ERA)
}

fn row(model: &str, arrived: u64) -> DemandRow {
    DemandRow {
        model: ModelName::from(model),
        adapter: None,
        waiting_for_load: 0,
        waiting_for_slot: 0,
        running: 0,
        arrived,
    }
}

fn rate(table: &DemandTable, now_ms: u64, wanted: &WantedModel) -> f64 {
    let requests_per_s = table.totals(now_ms)[wanted].requests_per_s;
    assert_eq!(table.rates(now_ms)[wanted], requests_per_s);
    requests_per_s
}

/// Guards against a record that its reader understands otherwise than its writer.
#[test]
fn decoded_as_written() {
    let written = sample();
    let read = decode(&written.encode()).expect("a fresh record");
    assert_eq!(read, written);
    let rates: Vec<(WantedModel, f64)> = read.rates().collect();
    assert_eq!(rates[0], (model(1), 40.0));
    assert_eq!(rates.len(), 3);
    assert_eq!(read.speeds(), [(engine(0), 55), (engine(1), 120)]);
}

/// Guards against VMs of earlier releases that take the record for the entry of a VM: they decode
/// every value of the topic as a name, an address, an incarnation and a speed. The name must already
/// be invalid, since what follows depends on the content.
#[rstest]
#[case::empty(state(Vec::new()))]
#[case::sample(sample())]
#[case::large(state((0..700).map(|index| (model(index), 1.0 + index as f64)).collect()))]
fn no_vm_entry(#[case] written: LearnedState) {
    let bytes = written.encode();
    assert!(postcard::take_from_bytes::<VmName>(&bytes).is_err());
    assert!(postcard::from_bytes::<(VmName, SocketAddr, u64, u32)>(&bytes).is_err());
}

/// Guards against a record of another release that is misread.
#[rstest]
#[case(0)]
#[case(2)]
#[case(255)]
fn foreign_format(#[case] format: u8) {
    let mut bytes = sample().encode();
    bytes[0] = format;
    assert_eq!(decode(&bytes), Err(IgnoredRecord::UnknownFormat(format)));
}

/// Guards against placements by the demand of a time long past, or of no known time.
#[rstest]
#[case::just_written(0, None)]
#[case::at_age_limit(60_000, None)]
#[case::too_old(60_001, Some(IgnoredRecord::TooOld(60_001)))]
#[case::writer_slightly_ahead(-5_000, None)]
#[case::from_future(-5_001, Some(IgnoredRecord::FromFuture(5_001)))]
fn age_checked(#[case] age_ms: i64, #[case] ignored: Option<IgnoredRecord>) {
    let now_unix_ms = WRITTEN_UNIX_MS.checked_add_signed(age_ms).expect("a time");
    let read = LearnedState::decode(&sample().encode(), now_unix_ms, ERA);
    assert_eq!(read.as_ref().err(), ignored.as_ref());
    if let Ok(state) = read {
        assert_eq!(state.age_ms(now_unix_ms), age_ms.max(0) as u64);
    }
}

/// Guards against a record that the store has brought back from an older copy.
#[rstest]
#[case::earlier(ERA - 1)]
#[case::later(ERA + 1)]
fn other_era(#[case] era: u64) {
    let written = LearnedState::new(WRITTEN_UNIX_MS, era, vec![(model(0), 1.0)], Vec::new());
    assert_eq!(decode(&written.encode()), Err(IgnoredRecord::OtherEra(era)));
}

/// Guards against a record beyond 16 KB, which each VM that starts would read.
#[rstest]
#[case::short_names("m", 700, 0, 700)]
#[case::usual_names("vendor/family-70b-instruct-", 700, 600, 320)]
#[case::long_names(&"n".repeat(300), 700, 600, 30)]
fn size_bounded(
    #[case] prefix: &str,
    #[case] models: usize,
    #[case] engines: usize,
    #[case] least_kept: usize,
) {
    let rates = (0..models).map(|index| {
        let wanted = WantedModel {
            model: ModelName::from(format!("{prefix}{index}")),
            adapter: None,
        };
        (wanted, 0.1 + index as f64)
    });
    let speeds = (0..engines).map(|index| (engine(index), 50 + (index % 100) as u16));
    let written = LearnedState::new(WRITTEN_UNIX_MS, ERA, rates, speeds.collect());
    let bytes = written.encode();
    assert!(bytes.len() <= 16_000, "{} bytes", bytes.len());
    assert!(written.models() >= least_kept, "{} kept", written.models());
    let kept: Vec<f64> = written.rates().map(|(_, rate)| rate).collect();
    assert_eq!(kept.first(), Some(&(0.1 + (models - 1) as f64)));
    assert!(kept.is_sorted_by(|left, right| left >= right));
    assert_eq!(decode(&bytes), Ok(written));
}

/// Guards against a record that is filled with models that nobody requests any more.
#[rstest]
#[case(0.019, 0)]
#[case(0.02, 1)]
#[case(f64::NAN, 0)]
fn small_rates_dropped(#[case] requests_per_s: f64, #[case] models: usize) {
    assert_eq!(state(vec![(model(0), requests_per_s)]).models(), models);
}

/// Guards against a hint that keeps models in demand that nobody requests after the restart.
#[test]
fn restored_rates_decay() {
    let mut table = DemandTable::default();
    table.restore(1_000, &state(vec![(model(0), 20.0)]));
    assert_eq!(rate(&table, 1_000, &model(0)), 20.0);
    let later = rate(&table, 5_000, &model(0));
    assert!((later - 20.0 / std::f64::consts::E).abs() < 0.01, "{later}");
    assert!(rate(&table, 30_000, &model(0)) < 0.02);
    table.note(32_000, &VmName::from("vm-1"), 1, vec![row("other", 1)]);
    assert!(!table.totals(32_000).contains_key(&model(0)));
}

/// Guards against a hint that hides reports, whether they come before or after it: a model that VMs
/// report as in higher demand, and one that the record does not name.
#[rstest]
#[case::reported_after(0, 100)]
#[case::reported_before(100, 0)]
fn reports_not_hidden(#[case] restored_ms: u64, #[case] noted_ms: u64) {
    let vm = VmName::from("vm-1");
    let rows = || vec![row("model-0", 40), row("model-1", 8), row("model-2", 8)];
    let record = state(vec![(model(0), 3.0), (model(1), 5.0)]);
    let mut reported = DemandTable::default();
    reported.note(noted_ms, &vm, 1, rows());
    let mut table = DemandTable::default();
    match restored_ms < noted_ms {
        true => {
            table.restore(restored_ms, &record);
            table.note(noted_ms, &vm, 1, rows());
        }
        false => {
            table.note(noted_ms, &vm, 1, rows());
            table.restore(restored_ms, &record);
        }
    }
    let now_ms = 100;
    for index in [0, 2] {
        let expected = rate(&reported, now_ms, &model(index));
        assert_eq!(rate(&table, now_ms, &model(index)), expected);
    }
    assert!(rate(&table, now_ms, &model(1)) >= 4.8);
    // Once VMs have reported for a time, only their reports count.
    for index in 1..=40 {
        let rows = || vec![row("model-1", 8 + index)];
        table.note(now_ms + index * 500, &vm, 1, rows());
        reported.note(now_ms + index * 500, &vm, 1, rows());
    }
    let later_ms = now_ms + 20_000;
    let expected = rate(&reported, later_ms, &model(1));
    assert_eq!(rate(&table, later_ms, &model(1)), expected);
}

/// Guards against the eviction of a model in high demand after a restart of all VMs: its requests
/// have ended, nobody has reported new ones yet, and another model is wanted.
#[rstest]
#[case::first([1, 2], "m0")]
#[case::second([0, 2], "m1")]
#[case::third([0, 1], "m2")]
fn models_in_demand_kept(#[case] in_demand: [usize; 2], #[case] evicted: &str) {
    let mut world = World::new(4, &[&["m0", "m1", "m2"]]);
    let rates = in_demand.map(|index| {
        let wanted = WantedModel {
            model: ModelName::from(format!("m{index}")),
            adapter: None,
        };
        (wanted, 20.0)
    });
    world.run(100);
    world.demand.restore(world.now_ms, &state(rates.to_vec()));
    world.want("m3", None, 1);
    world.run(2_000);
    let unloads: Vec<&OrderKind> = world
        .orders
        .iter()
        .map(|(_, _, kind)| kind)
        .filter(|kind| matches!(kind, OrderKind::UnloadModel(_)))
        .collect();
    assert_eq!(unloads, [&OrderKind::UnloadModel(ModelName::from(evicted))]);
}

/// Guards against calls to the store that nothing warrants, and against a record that misses a
/// shift of demand.
#[rstest]
#[case::unchanged(&[40.0, 20.0], &[40.0, 20.0], 20_000)]
#[case::small_change(&[40.0, 20.0], &[40.5, 20.5], 20_000)]
#[case::chance(&[40.0, 20.0], &[37.0, 23.0], 5_000)]
#[case::single_request(&[40.0, 0.0], &[40.0, 0.25], 20_000)]
#[case::shift(&[40.0, 0.0], &[0.0, 40.0], 2_000)]
#[case::end_of_demand(&[40.0, 20.0], &[0.0, 0.0], 2_000)]
#[case::no_demand(&[], &[], 20_000)]
fn pause_by_change(#[case] before: &[f64], #[case] now: &[f64], #[case] pause_ms: u64) {
    let of = |rates: &[f64]| {
        let rates = rates.iter().copied().enumerate();
        state(rates.map(|(index, rate)| (model(index), rate)).collect())
    };
    assert_eq!(of(now).write_pause_ms(Some(&of(before))), pause_ms);
}

/// Guards against a record that misses a slow engine while demand is the same.
#[rstest]
#[case(100, 108, 20_000)]
#[case(100, 55, 5_000)]
#[case(55, 100, 5_000)]
fn speed_change_written(#[case] before: u16, #[case] now: u16, #[case] pause_ms: u64) {
    let of = |percent| {
        let rates = vec![(model(0), 1.0)];
        LearnedState::new(WRITTEN_UNIX_MS, ERA, rates, vec![(engine(0), percent)])
    };
    assert_eq!(of(now).write_pause_ms(Some(&of(before))), pause_ms);
}

/// Returns how many requests arrive in a period in which `mean` are expected.
fn arrivals(mean: f64, random: &mut ChaCha8Rng) -> u64 {
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product: f64 = random.random();
    while product > limit {
        count += 1;
        product *= random.random::<f64>();
    }
    count
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more than one write in 5 s in a steady state: arrivals at random, of up
    /// to twelve models in high demand and hundreds of rarely used ones.
    #[test]
    fn steady_writes(seed in any::<u64>(), hot in 0_usize..=12, rare in 20_usize..400) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<String> = (0..hot + rare).map(|index| format!("model-{index}")).collect();
        let vm = VmName::from("vm-1");
        let mut arrived = vec![0; names.len()];
        let mut table = DemandTable::default();
        let mut written: Option<(u64, LearnedState)> = None;
        let mut writes = 0;
        for step in 0..240 {
            let now_ms = step * 500;
            let rows = names.iter().enumerate().map(|(index, name)| {
                let requests_per_s = if index < hot { 20.0 } else { 0.056 };
                arrived[index] += arrivals(requests_per_s / 2.0, &mut random);
                row(name, arrived[index])
            });
            table.note(now_ms, &vm, 1, rows.collect());
            let now = LearnedState::new(now_ms, ERA, table.rates(now_ms), Vec::new());
            let pause_ms = now.write_pause_ms(written.as_ref().map(|(_, state)| state));
            let written_ms = written.as_ref().map_or(0, |(at_ms, _)| *at_ms);
            if now_ms >= written_ms + pause_ms {
                // The first 20 s are the rise from nothing.
                writes += u64::from(now_ms >= 20_000);
                written = Some((now_ms, now));
            }
        }
        prop_assert!(writes <= 20, "{writes} writes in 100 s");
        // The record never reaches a third of the age from which it is ignored.
        prop_assert!(writes >= 5, "{writes} writes in 100 s");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic or false rates by bytes that no VM wrote.
    #[test]
    fn arbitrary_bytes(mut bytes in proptest::collection::vec(any::<u8>(), 0..300), known: bool) {
        if let (true, [format, mark, ..]) = (known, &mut bytes[..]) {
            (*format, *mark) = (1, 0xff);
        }
        prop_assert!(decode(&bytes).is_err());
    }

    /// Guards against false rates by a record that is cut off or continued.
    #[test]
    fn other_length(cut in 1_usize..80, more in proptest::collection::vec(any::<u8>(), 1..20)) {
        let mut bytes = sample().encode();
        let kept = bytes.len().saturating_sub(cut);
        prop_assert_eq!(decode(&bytes[..kept]), Err(IgnoredRecord::Malformed));
        bytes.extend_from_slice(&more);
        prop_assert_eq!(decode(&bytes), Err(IgnoredRecord::Malformed));
    }

    /// Guards against false rates by a record of which one byte has changed.
    #[test]
    fn changed_byte(at in any::<proptest::sample::Index>(), by in 1_u8..=255) {
        let mut bytes = sample().encode();
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        prop_assert!(decode(&bytes).is_err());
    }

    /// Guards against an outdated or foreign time that passes as a fresh one.
    #[test]
    fn any_time(written_unix_ms in any::<u64>(), now_unix_ms in any::<u64>()) {
        let written = LearnedState::new(written_unix_ms, ERA, [(model(0), 1.0)], Vec::new());
        let read = LearnedState::decode(&written.encode(), now_unix_ms, ERA);
        let is_fresh = now_unix_ms.saturating_sub(written_unix_ms) <= 60_000
            && written_unix_ms.saturating_sub(now_unix_ms) <= 5_000;
        prop_assert_eq!(read.is_ok(), is_fresh);
    }
}
