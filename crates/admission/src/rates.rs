//! What each class gets of a target's slots.

/// The slots by which a class's need is exceeded, for a need of one.
const STAFFING: f64 = 0.5;

/// `ClassDemand` is what the sharing of slots looks at in a class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassDemand {
    /// The slots it needs, as measured.
    pub(crate) need: f64,
    /// Whether a request of it arrived lately.
    pub(crate) is_recent: bool,
    /// How long a request of it can usually wait.
    pub(crate) horizon_ms: u64,
    /// How long a request of it usually runs.
    pub(crate) run_ms: u64,
}

/// `ClassRate` is what a class gets of a target's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClassRate {
    /// Whether it needs no more than it is guaranteed.
    pub(crate) is_modest: bool,
    /// The slots it may fill: all that is not guaranteed to others.
    pub(crate) rate: f64,
    /// The slots that are kept for it against requests which run longer than it can wait.
    pub(crate) kept_slots: u32,
}

/// Returns what each class gets.
pub(crate) fn class_rates(slots: u32, demands: &[ClassDemand]) -> Vec<ClassRate> {
    let capacity = f64::from(slots);
    let needs: Vec<f64> = demands
        .iter()
        .map(|demand| whole_need(demand, demands, capacity))
        .collect();
    let guaranteed = guarantees(capacity, &needs);
    let spare = (capacity - guaranteed.iter().sum::<f64>()).max(0.0);
    let rate = |(demand, own): (&ClassDemand, f64)| ClassRate {
        is_modest: demand.need <= own,
        rate: own + spare,
        kept_slots: kept_slots(demand, own, slots),
    };
    demands.iter().zip(guaranteed).map(rate).collect()
}

/// Returns what a class needs, in whole slots where it can't wait for the runs of another class to
/// end: half a slot is of no use to it while both halves are taken. The slots follow square-root
/// staffing, because a class whose slots are all busy in the mean waits for them without bound. More
/// than half of all slots is not set aside that way.
fn whole_need(demand: &ClassDemand, all: &[ClassDemand], capacity: f64) -> f64 {
    let blocks = |other: &ClassDemand| other.run_ms > demand.horizon_ms;
    if !demand.is_recent || !all.iter().any(blocks) {
        return demand.need;
    }
    let staffed = demand.need + STAFFING * demand.need.sqrt();
    let whole = staffed.ceil().max(1.0).min(capacity / 2.0);
    demand.need.max(whole)
}

/// Returns what each class is guaranteed of `capacity`: its need, as long as that is below an equal
/// part of what the classes with smaller needs leave over.
fn guarantees(capacity: f64, needs: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by(|&left, &right| needs[left].total_cmp(&needs[right]));
    let mut guarantees = vec![0.0; needs.len()];
    let mut rest = capacity;
    for (done, &class) in order.iter().enumerate() {
        let equal_part = rest / (needs.len() - done) as f64;
        guarantees[class] = needs[class].min(equal_part);
        rest -= guarantees[class];
    }
    guarantees
}

fn kept_slots(demand: &ClassDemand, guaranteed: f64, slots: u32) -> u32 {
    match demand.is_recent && slots > 1 {
        true => (guaranteed as u32).max(1),
        false => 0,
    }
}
