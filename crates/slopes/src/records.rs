//! Control records, their replay, digests and snapshots.

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
const CODED: usize = 200;

/// Measures the codec by records and by residents of one record.
///
/// # Errors
///
/// Any of a measure.
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
                    for _ in 0..CODED {
                        black_box(ControlRecord::decode(black_box(&payload)));
                    }
                });
                Ok(all_us / CODED as f64)
            },
        )?,
    ])
}

/// Measures replay by records, and what a whole state costs by its replicas.
///
/// # Errors
///
/// Any of a measure.
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
                let fleet = filled(replicas);
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
            |replicas| Ok(section(&filled(replicas)).bytes.len() as f64),
        )?,
        Slope::measure(
            "snapshot_encode",
            Unit::CpuMicroseconds,
            "replica",
            REPLICAS,
            |replicas| {
                let fleet = filled(replicas);
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
                let section = section(&filled(replicas));
                Ok(thread_us(|| {
                    black_box(section.control().is_ok());
                }))
            },
        )?,
    ])
}

/// Returns an observation of an engine with so many models.
fn observation(residents: usize) -> ControlRecord {
    let mut fleet = Fleet::default();
    fleet.grow_models(residents);
    fleet.grow_engines(1);
    for number in 0..residents {
        fleet.load(number);
    }
    fleet.observation(0, 3)
}

/// Returns a state of the design's engines with so many replicas.
pub fn filled(replicas: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.grow_models(MODELS);
    fleet.grow_engines(ENGINES);
    for number in 0..replicas {
        fleet.load(number);
    }
    fleet
}

fn section(fleet: &Fleet) -> Section {
    Section::of_control(Lineage::default(), &fleet.state)
}

/// Returns the time to decode and apply so many observations at the design's size. Each round needs
/// records that the state has not seen, so the rounds use growing sequences.
fn replay_us(records: usize) -> f64 {
    let mut fleet = filled(2_400);
    let mut sequence = 2;
    let mut least_us = f64::INFINITY;
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
        least_us = least_us.min(us);
    }
    least_us
}
