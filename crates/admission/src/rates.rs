//! What each class gets of a target's slots.

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
    /// The slots it may fill: all that is not guaranteed to others.
    pub(crate) rate: f64,
    /// The slots that are kept for it against requests which run longer than it can wait.
    pub(crate) kept_slots: u32,
}

/// Returns what each class gets.
pub(crate) fn class_rates(slots: u32, demands: &[ClassDemand]) -> Vec<ClassRate> {
    let needs: Vec<f64> = demands.iter().map(|demand| demand.need).collect();
    let guaranteed = guarantees(f64::from(slots), &needs);
    let kept: Vec<u32> = demands
        .iter()
        .zip(&guaranteed)
        .map(|(demand, guaranteed)| kept_slots(demand, *guaranteed))
        .collect();
    let rate = |class: usize| ClassRate {
        rate: rate_of(class, slots, demands, &guaranteed, &kept),
        kept_slots: kept[class],
    };
    (0..demands.len()).map(rate).collect()
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

fn kept_slots(demand: &ClassDemand, guaranteed: f64) -> u32 {
    match demand.is_recent {
        true => guaranteed.ceil() as u32,
        false => 0,
    }
}

/// Returns the slots that a class may fill: what is left of all slots by the guarantees of the
/// others, and by the slots kept free for those that can't wait for one of its runs to end.
fn rate_of(
    class: usize,
    slots: u32,
    demands: &[ClassDemand],
    guaranteed: &[f64],
    kept: &[u32],
) -> f64 {
    let mut taken = 0.0;
    let mut kept_more = 0.0;
    for other in (0..demands.len()).filter(|&other| other != class) {
        taken += guaranteed[other];
        if demands[other].horizon_ms < demands[class].run_ms {
            kept_more += f64::from(kept[other]) - guaranteed[other];
        }
    }
    let kept_more = kept_more.min(f64::from(slots / 2));
    (f64::from(slots) - taken - kept_more).max(0.0)
}
