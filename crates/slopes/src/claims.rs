//! Cost of claim batches and of the claim table.

use std::hint::black_box;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::refusal::Ran;
use apricotdale_state::ClaimTable;
use apricotdale_state::claims::ClaimOptions;

use crate::errors::Result;
use crate::meter::thread_once_us;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const BATCH_SIZES: &[usize] = &[1, 4, 16, 64];
const KEYS: &[usize] = &[2_500, 5_000, 10_000, 20_000];
const CODEC_RUNS: usize = 200;

/// Number of entries in each batch with which tables are filled.
pub const BATCH_ENTRIES: usize = 8;

/// Measures claim batches by their entries, and replay into the claim table by its keys.
///
/// # Errors
///
/// [`Error::TooFewPoints`](crate::Error::TooFewPoints), which the constant sizes rule out.
pub fn claims() -> Result<Vec<Slope>> {
    Ok(vec![
        Slope::measure(
            "claim_batch_size",
            Unit::Bytes,
            "entry",
            BATCH_SIZES,
            |entries| Ok(claim_batch(0, entries).encode().len() as f64),
        )?,
        Slope::measure(
            "claim_batch_encode",
            Unit::CpuMicroseconds,
            "entry",
            BATCH_SIZES,
            |entries| {
                let batch = claim_batch(0, entries);
                Ok(each_us(|| {
                    black_box(black_box(&batch).encode());
                }))
            },
        )?,
        Slope::measure(
            "claim_batch_decode",
            Unit::CpuMicroseconds,
            "entry",
            BATCH_SIZES,
            |entries| {
                let payload = claim_batch(0, entries).encode();
                Ok(each_us(|| {
                    black_box(ClaimBatch::decode(black_box(&payload)));
                }))
            },
        )?,
        Slope::measure("claim_replay", Unit::CpuMicroseconds, "key", KEYS, |keys| {
            let payloads = claim_and_finish_payloads(keys);
            let mut min_us = f64::INFINITY;
            for _ in 0..3 {
                let mut table = ClaimTable::new(ClaimOptions::default());
                min_us = min_us.min(thread_once_us(|| apply_batches(&mut table, &payloads)));
            }
            Ok(min_us)
        })?,
    ])
}

/// Applies batches to a table at its next offsets.
pub fn apply_batches(table: &mut ClaimTable, payloads: &[Vec<u8>]) {
    for payload in payloads {
        let offset = table.next_offset();
        let verdicts = table.apply(offset, 1_000 + offset.0, payload);
        black_box(verdicts.expect("the payload is a claim batch at the next offset"));
    }
}

/// Returns encoded batches that claim `keys` keys, rounded down to whole batches.
pub fn claim_payloads(keys: usize) -> Vec<Vec<u8>> {
    let batches = 0..keys / BATCH_ENTRIES;
    batches
        .map(|number| claim_batch(number, BATCH_ENTRIES).encode())
        .collect()
}

/// Returns encoded batches that claim and then finish `keys` keys, rounded down to whole batches.
fn claim_and_finish_payloads(keys: usize) -> Vec<Vec<u8>> {
    let finished = (0..keys / BATCH_ENTRIES).map(|number| finish_batch(number).encode());
    claim_payloads(keys).into_iter().chain(finished).collect()
}

fn claim_batch(number: usize, entries: usize) -> ClaimBatch {
    let claim = |entry: usize| {
        let key = number * entries + entry;
        ClaimRecord::Claim(Claim {
            key: format!("till/confirmation-{key:08}").into(),
            call_hash: key as u64,
            request: format!("hall-a-0-request-{key:012}").into(),
            vm: "vm-hall-a-0".into(),
            process_id: 1,
        })
    };
    ClaimBatch {
        entries: (0..entries).map(claim).collect(),
    }
}

fn finish_batch(number: usize) -> ClaimBatch {
    let finish = |entry: usize| {
        let key = number * BATCH_ENTRIES + entry;
        ClaimRecord::Finish(Finish {
            key: format!("till/confirmation-{key:08}").into(),
            request: format!("hall-a-0-request-{key:012}").into(),
            ran: Ran::Ran,
            answer: None,
        })
    };
    ClaimBatch {
        entries: (0..BATCH_ENTRIES).map(finish).collect(),
    }
}

fn each_us(mut work: impl FnMut()) -> f64 {
    let all_us = thread_us(|| {
        for _ in 0..CODEC_RUNS {
            work();
        }
    });
    all_us / CODEC_RUNS as f64
}
