//! Cost of control records, of their replay, of digests and of snapshots.

use std::hint::black_box;

use apricotdale_core::control::ControlRecord;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

use crate::errors::Result;
use crate::fleet::Fleet;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const RECORDS: &[usize] = &[250, 500, 1_000, 2_000];
const RESIDENTS: &[usize] = &[1, 4, 16, 64];
const REPLICAS: &[usize] = &[300, 600, 1_200, 2_400];
const MODELS: usize = 360;
const ENGINES: usize = 600;
const CODEC_RUNS: usize = 200;

/// Measures the time to encode and decode control records and their size, by records and by the
/// residents in an observation.
///
/// # Errors
///
/// [`Error::TooFewPoints`](crate::Error::TooFewPoints), which the constant sizes rule out.
pub fn codec() -> Result<Vec<Slope>> {
    Ok(vec![
        Slope::measure(
            "control_encode",
            Unit::CpuMicroseconds,
            "record",
            RECORDS,
            |records| {
                let record = observation(4);
                Ok(thread_us(|| {
                    for _ in 0..records {
                        black_box(black_box(&record).encode());
                    }
                }))
            },
        )?,
        Slope::measure(
            "control_decode",
            Unit::CpuMicroseconds,
            "record",
            RECORDS,
            |records| {
                let payload = observation(4).encode();
                Ok(thread_us(|| {
                    for _ in 0..records {
                        black_box(ControlRecord::decode(black_box(&payload)));
                    }
                }))
            },
        )?,
        Slope::measure(
            "observation_size",
            Unit::Bytes,
            "resident",
            RESIDENTS,
            |residents| Ok(observation(residents).encode().len() as f64),
        )?,
        Slope::measure(
            "observation_decode",
            Unit::CpuMicroseconds,
            "resident",
            RESIDENTS,
            |residents| {
                let payload = observation(residents).encode();
                let all_us = thread_us(|| {
                    for _ in 0..CODEC_RUNS {
                        black_box(ControlRecord::decode(black_box(&payload)));
                    }
                });
                Ok(all_us / CODEC_RUNS as f64)
            },
        )?,
    ])
}

/// Measures replay by records, and digests and snapshots by the replicas of the control state.
///
/// # Errors
///
/// [`Error::TooFewPoints`](crate::Error::TooFewPoints), which the constant sizes rule out.
pub fn replay() -> Result<Vec<Slope>> {
    Ok(vec![
        Slope::measure(
            "control_replay",
            Unit::CpuMicroseconds,
            "record",
            RECORDS,
            |records| Ok(replay_us(records)),
        )?,
        Slope::measure(
            "digest",
            Unit::CpuMicroseconds,
            "replica",
            REPLICAS,
            |replicas| {
                let fleet = fleet_with_replicas(replicas);
                Ok(thread_us(|| {
                    black_box(fleet.state.digest_now());
                }))
            },
        )?,
        Slope::measure(
            "snapshot_size",
            Unit::Bytes,
            "replica",
            REPLICAS,
            |replicas| Ok(section(&fleet_with_replicas(replicas)).bytes.len() as f64),
        )?,
        Slope::measure(
            "snapshot_encode",
            Unit::CpuMicroseconds,
            "replica",
            REPLICAS,
            |replicas| {
                let fleet = fleet_with_replicas(replicas);
                Ok(thread_us(|| {
                    black_box(section(&fleet));
                }))
            },
        )?,
        Slope::measure(
            "snapshot_decode",
            Unit::CpuMicroseconds,
            "replica",
            REPLICAS,
            |replicas| {
                let section = section(&fleet_with_replicas(replicas));
                Ok(thread_us(|| {
                    black_box(section.control().is_ok());
                }))
            },
        )?,
    ])
}

/// Returns an observation of an engine with `residents` models.
fn observation(residents: usize) -> ControlRecord {
    let mut fleet = Fleet::default();
    fleet.add_models_up_to(residents);
    fleet.add_engines_up_to(1);
    for number in 0..residents {
        fleet.load(number);
    }
    fleet.observation(0, 3)
}

/// Returns a control state with `replicas` replicas on the number of engines that the system is
/// designed for.
pub fn fleet_with_replicas(replicas: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.add_models_up_to(MODELS);
    fleet.add_engines_up_to(ENGINES);
    for number in 0..replicas {
        fleet.load(number);
    }
    fleet
}

fn section(fleet: &Fleet) -> Section {
    Section::of_control(Lineage::default(), &fleet.state)
}

/// Returns the minimum time to decode and apply `records` observations to a control state of the
/// size that the system is designed for. The state ignores sequence numbers that it has applied, so
/// each round uses higher ones.
fn replay_us(records: usize) -> f64 {
    let mut fleet = fleet_with_replicas(2_400);
    let mut sequence = 2;
    let mut min_us = f64::INFINITY;
    for _ in 0..3 {
        sequence += records as u64;
        let payloads: Vec<Vec<u8>> = (0..records)
            .map(|record| {
                let number = sequence + record as u64;
                fleet.observation(record % ENGINES, number).encode()
            })
            .collect();
        let mut once = Some(payloads);
        let us = crate::meter::thread_once_us(|| {
            for payload in once.take().unwrap_or_default() {
                let offset = fleet.state.next_offset();
                black_box(fleet.state.apply(offset, 1_000 + offset.0, &payload));
            }
        });
        min_us = min_us.min(us);
    }
    min_us
}
