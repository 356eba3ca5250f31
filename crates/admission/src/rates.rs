//! Division of a target's slots among the classes.

/// Slots in excess of a class's need, per square root of the need.
const STAFFING_FACTOR: f64 = 0.5;

/// Measurements of a class on which the division of slots is based.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassDemand {
    /// Number of slots that the class needs, as measured.
    pub(crate) need: f64,
    /// Whether a request of it arrived within [`Options::class_ttl_ms`](crate::Options).
    pub(crate) is_recent: bool,
    /// Mean time that a request of it can wait.
    pub(crate) horizon_ms: u64,
    /// Mean run time of a request of it.
    pub(crate) run_ms: u64,
}

/// Part of a target's slots for a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClassRate {
    /// Whether it needs no more than its guarantee.
    pub(crate) is_within_guarantee: bool,
    /// Number of slots that it may fill: all that are not guaranteed to others.
    pub(crate) rate: f64,
    /// Number of slots reserved for it against requests that run longer than it can wait.
    pub(crate) kept_slots: u32,
}

/// Returns the part of each class.
pub(crate) fn class_rates(slots: u32, demands: &[ClassDemand]) -> Vec<ClassRate> {
    let capacity = f64::from(slots);
    let needs: Vec<f64> = demands
        .iter()
        .map(|demand| whole_slots_needed(demand, demands, capacity))
        .collect();
    let guaranteed = guarantees(capacity, &needs);
    let spare = (capacity - guaranteed.iter().sum::<f64>()).max(0.0);
    let rate = |(demand, guaranteed): (&ClassDemand, f64)| ClassRate {
        is_within_guarantee: demand.need <= guaranteed,
        rate: guaranteed + spare,
        kept_slots: kept_slots(demand, guaranteed, slots),
    };
    demands.iter().zip(guaranteed).map(rate).collect()
}

/// Returns the need of a class, rounded up to whole slots if it can't wait for the runs of another
/// class to end, since two halves of different slots don't help it. The number follows square-root
/// staffing, because requests wait without bound if all slots of their class are busy on average.
/// It is limited to half of all slots.
fn whole_slots_needed(demand: &ClassDemand, all: &[ClassDemand], capacity: f64) -> f64 {
    let runs_too_long = |other: &ClassDemand| other.run_ms > demand.horizon_ms;
    if !demand.is_recent || !all.iter().any(runs_too_long) {
        return demand.need;
    }
    let staffed = demand.need + STAFFING_FACTOR * demand.need.sqrt();
    let rounded = staffed.ceil().max(1.0).min(capacity / 2.0);
    demand.need.max(rounded)
}

/// Returns the guarantee of each class in `capacity`: its need, limited to an equal part of what
/// the classes with smaller needs leave.
fn guarantees(capacity: f64, needs: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by(|&left, &right| needs[left].total_cmp(&needs[right]));
    let mut guarantees = vec![0.0; needs.len()];
    let mut remaining = capacity;
    for (assigned, &class) in order.iter().enumerate() {
        let equal_part = remaining / (needs.len() - assigned) as f64;
        guarantees[class] = needs[class].min(equal_part);
        remaining -= guarantees[class];
    }
    guarantees
}

fn kept_slots(demand: &ClassDemand, guaranteed: f64, slots: u32) -> u32 {
    match demand.is_recent && slots > 1 {
        true => (guaranteed as u32).max(1),
        false => 0,
    }
}
