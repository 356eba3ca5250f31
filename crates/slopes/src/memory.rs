//! Memory by the number of engines, models, replicas, keys.
//!
//! The allocator would reuse memory freed by one series for the next and so hide its growth. Each
//! series therefore leaks what it built, and this part is the first in the catalogue.

use apricotdale_state::ClaimTable;
use apricotdale_state::claims::ClaimOptions;

use crate::claims;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::meter::resident_bytes;
use crate::slope::Slope;
use crate::slope::Unit;

const ENGINES: &[usize] = &[600, 1_200, 2_400, 4_800];
const MODELS: &[usize] = &[720, 1_445, 2_890, 5_780];
const REPLICAS: &[usize] = &[1_200, 2_400, 4_800, 9_600];
const KEYS: &[usize] = &[5_000, 10_000, 20_000, 40_000];

/// Measures the resident memory by engines, models, replicas and keys.
///
/// # Errors
///
/// [`Error::Memory`](crate::Error::Memory) if the resident memory can't be read.
pub fn memory() -> Result<Vec<Slope>> {
    Ok(vec![engines()?, models()?, replicas()?, keys()?])
}

fn engines() -> Result<Slope> {
    let mut fleet = Fleet::default();
    let slope = measure_growth("engine_memory", "engine", ENGINES, |engines| {
        fleet.add_engines_up_to(engines);
    });
    std::mem::forget(fleet);
    slope
}

fn models() -> Result<Slope> {
    let mut fleet = Fleet::default();
    let slope = measure_growth("model_memory", "model", MODELS, |models| {
        fleet.add_models_up_to(models);
    });
    std::mem::forget(fleet);
    slope
}

fn replicas() -> Result<Slope> {
    let mut fleet = Fleet::default();
    fleet.add_models_up_to(360);
    fleet.add_engines_up_to(600);
    let mut loaded = 0;
    let slope = measure_growth("replica_memory", "replica", REPLICAS, |replicas| {
        for number in loaded..replicas {
            fleet.load(number);
        }
        loaded = replicas;
    });
    std::mem::forget(fleet);
    slope
}

fn keys() -> Result<Slope> {
    let mut table = ClaimTable::new(ClaimOptions {
        max_keys: usize::MAX,
        ..ClaimOptions::default()
    });
    let payloads = claims::claim_payloads(40_000);
    let mut filled = 0;
    let slope = measure_growth("claim_key_memory", "key", KEYS, |keys| {
        let batches = keys / claims::BATCH_ENTRIES;
        claims::apply_batches(&mut table, &payloads[filled..batches]);
        filled = batches;
    });
    std::mem::forget(table);
    slope
}

fn measure_growth(
    name: &'static str,
    per: &'static str,
    sizes: &[usize],
    mut grow_to: impl FnMut(usize),
) -> Result<Slope> {
    Slope::measure(name, Unit::Bytes, per, sizes, |size| {
        grow_to(size);
        resident_bytes()
    })
}
