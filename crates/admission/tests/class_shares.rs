//! Slots of a target that each class may fill, by single events.

use apricotdale_admission::EarliestDeadline;
use apricotdale_admission::Options;
use apricotdale_core::names::ClassName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;

mod support;

use support::arrival;
use support::capacity;

const REPLANS: std::ops::Range<u64> = 0..1_000;
const QUICK: std::ops::Range<u64> = 1_000..2_000;

fn replan(ticket: u64) -> Arrival {
    Arrival {
        class: ClassName::new("re-plan"),
        ..arrival(ticket, 60_000, 8_000)
    }
}

fn refused_among(actions: &[AdmissionAction], tickets: &std::ops::Range<u64>) -> usize {
    let of_range = |action: &&AdmissionAction| match action {
        AdmissionAction::Refuse(Ticket(ticket), _) => tickets.contains(ticket),
        AdmissionAction::Start(_) => false,
    };
    actions.iter().filter(of_range).count()
}

/// Returns the policy with two slots taken and as many re-plans waiting as it admits, and their
/// number.
fn full_of_replans() -> (EarliestDeadline, usize) {
    let mut policy = EarliestDeadline::new(Options::default());
    policy.handle(0, capacity(2, None));
    let mut waiting = 0;
    for ticket in REPLANS.take(40) {
        let actions = policy.handle(0, AdmissionEvent::Arrived(replan(ticket)));
        waiting += usize::from(actions.is_empty());
    }
    (policy, waiting)
}

#[test]
fn single_class() {
    let (_, waiting) = full_of_replans();
    assert!(
        (11..=13).contains(&waiting),
        "{waiting} of 8 s wait for two slots in 54 s"
    );
}

/// Guards against refusing admitted re-plans only a minute after another class has arrived.
/// Re-plans fill the queue for all slots. Quick requests that then need half of the slots must get
/// their part at once.
#[test]
fn later_class() {
    let (mut policy, waiting) = full_of_replans();
    let mut refused_replans = 0;
    for ticket in QUICK.take(20) {
        let now_ms = 1_000 + (ticket - QUICK.start) * 100;
        let arrival = arrival(ticket, now_ms + 30_000, 500);
        let actions = policy.handle(now_ms, AdmissionEvent::Arrived(arrival));
        assert_eq!(refused_among(&actions, &QUICK), 0, "{actions:?}");
        refused_replans += refused_among(&actions, &REPLANS);
    }
    assert!(
        refused_replans >= waiting / 3,
        "{refused_replans} of {waiting}"
    );
    assert!(
        refused_replans <= waiting * 2 / 3,
        "{refused_replans} of {waiting}"
    );
}
