//! Requests that are admitted on arrival, and requests that are refused at once.

use rstest::rstest;

use apricotdale_admission::EarliestDeadline;
use apricotdale_admission::Options;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::RefusalReason;

mod support;

use support::arrival;
use support::capacity;

fn policy() -> EarliestDeadline {
    EarliestDeadline::new(Options::default())
}

/// Returns a policy with `slots` slots taken by requests that run for `run_ms`, and with `waiting`
/// more waiting.
fn filled(slots: u32, run_ms: u64, waiting: u64) -> EarliestDeadline {
    let mut policy = policy();
    policy.handle(0, capacity(slots, None));
    for ticket in 0..u64::from(slots) + waiting {
        let actions = policy.handle(0, AdmissionEvent::Arrived(arrival(ticket, 60_000, run_ms)));
        let refused = actions
            .iter()
            .any(|action| matches!(action, AdmissionAction::Refuse(..)));
        assert!(!refused, "the set-up refused {ticket}");
    }
    policy
}

fn arrive(policy: &mut EarliestDeadline, now_ms: u64, deadline_ms: u64) -> Option<AdmissionAction> {
    let event = AdmissionEvent::Arrived(arrival(9_000, deadline_ms, 1_000));
    let mut actions = policy.handle(now_ms, event);
    assert!(actions.len() <= 1, "{actions:?}");
    actions.pop()
}

fn refused_for(action: Option<AdmissionAction>) -> Option<RefusalReason> {
    match action {
        Some(AdmissionAction::Refuse(ticket, refusal)) => {
            assert_eq!(ticket, Ticket(9_000));
            assert_eq!(refusal.ran, Ran::NotRun);
            assert!(refusal.retry_after_ms.is_some_and(|retry_ms| retry_ms > 0));
            Some(refusal.reason)
        }
        _ => None,
    }
}

#[test]
fn free_slot() {
    let mut policy = filled(2, 1_000, 0);
    policy.handle(
        10,
        AdmissionEvent::Ended {
            ticket: Ticket(0),
            ran_ms: 10,
        },
    );
    let action = arrive(&mut policy, 10, 1_310);
    assert_eq!(action, Some(AdmissionAction::Start(Ticket(9_000))));
}

#[rstest]
#[case::waits_for_the_next_slot(2, 1_000, 0, 1_300, None)]
#[case::next_slot_is_too_late(2, 5_000, 0, 1_300, Some(RefusalReason::DeadlineTooShort))]
#[case::queue_ahead_is_too_long(2, 1_000, 8, 60_000, None)]
#[case::queue_ahead_fits(2, 1_000, 4, 4_000, None)]
#[case::deadline_has_passed(2, 1_000, 0, 0, Some(RefusalReason::DeadlineTooShort))]
fn loaded_target(
    #[case] slots: u32,
    #[case] run_ms: u64,
    #[case] waiting: u64,
    #[case] deadline_ms: u64,
    #[case] expected: Option<RefusalReason>,
) {
    let mut policy = filled(slots, run_ms, waiting);
    let action = arrive(&mut policy, 10, deadline_ms);
    assert_eq!(refused_for(action), expected);
}

#[rstest]
#[case::undecided_with_time(None, 1_300, None)]
#[case::undecided_without_time(None, 100, Some(RefusalReason::DeadlineTooShort))]
#[case::ready_in_time(Some(1_000), 1_300, None)]
#[case::ready_too_late(Some(2_000), 1_300, Some(RefusalReason::DeadlineTooShort))]
#[case::past_ready_time(Some(5), 1_300, None)]
fn unloaded_target(
    #[case] ready_at_ms: Option<u64>,
    #[case] deadline_ms: u64,
    #[case] expected: Option<RefusalReason>,
) {
    let mut policy = policy();
    policy.handle(0, capacity(0, ready_at_ms));
    let action = arrive(&mut policy, 10, deadline_ms);
    assert_eq!(refused_for(action), expected);
}

/// Guards against keeping a request waiting for a load that turns out to be ready only after its
/// deadline: a newly known time must be compared with the deadlines of those that wait already.
#[test]
fn late_load() {
    let mut policy = policy();
    policy.handle(0, AdmissionEvent::Arrived(arrival(1, 1_300, 500)));
    policy.handle(0, AdmissionEvent::Arrived(arrival(2, 30_000, 500)));
    let actions = policy.handle(200, capacity(0, Some(8_000)));
    let [AdmissionAction::Refuse(Ticket(1), refusal)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    let actions = policy.handle(8_000, capacity(1, None));
    assert_eq!(actions, [AdmissionAction::Start(Ticket(2))]);
}

/// Guards against dropping a request, or refusing it only after its deadline, if no load is decided
/// for its target until then.
#[test]
fn undecided_load() {
    let mut policy = policy();
    policy.handle(0, AdmissionEvent::Arrived(arrival(1, 1_300, 500)));
    let mut actions = Vec::new();
    let mut now_ms = 0;
    for _ in 0..1_000 {
        let Some(tick_ms) = policy.next_tick_ms() else {
            break;
        };
        now_ms = tick_ms;
        actions.extend(policy.handle(now_ms, AdmissionEvent::Tick));
    }
    let [AdmissionAction::Refuse(Ticket(1), refusal)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    assert!(now_ms < 1_300, "{now_ms}");
}

/// Guards against refusing a request again that is retried exactly after the time given in its
/// refusal, although nothing else has arrived.
#[rstest]
#[case::busy_slots(filled(2, 5_000, 0))]
#[case::long_queue(filled(2, 5_000, 3))]
fn retry_after_refusal(#[case] mut policy: EarliestDeadline) {
    let refused = arrive(&mut policy, 0, 1_300);
    let Some(AdmissionAction::Refuse(_, refusal)) = refused else {
        panic!("{refused:?}");
    };
    let retry_ms = refusal.retry_after_ms.expect("a time to come back");
    let mut ends = vec![(5_000, Ticket(0)), (5_000, Ticket(1)), (10_000, Ticket(2))];
    ends.push((10_000, Ticket(3)));
    for (at_ms, ticket) in ends.into_iter().filter(|(at_ms, _)| *at_ms <= retry_ms) {
        policy.handle(
            at_ms,
            AdmissionEvent::Ended {
                ticket,
                ran_ms: 5_000,
            },
        );
    }
    let again = arrive(&mut policy, retry_ms, retry_ms + 1_300);
    assert_eq!(refused_for(again), None);
}

#[test]
fn withdrawn_request() {
    let mut policy = filled(1, 1_000, 1);
    assert_eq!(
        policy.handle(5, AdmissionEvent::Withdrawn { ticket: Ticket(1) }),
        []
    );
    let ended = AdmissionEvent::Ended {
        ticket: Ticket(0),
        ran_ms: 10,
    };
    assert_eq!(policy.handle(10, ended), []);
    assert_eq!(policy.next_tick_ms(), None);
}

#[rstest]
#[case::all_targets(Options { max_waiting: 3, ..Options::default() })]
#[case::one_target(Options { max_waiting_per_target: 3, ..Options::default() })]
fn queue_limits(#[case] options: Options) {
    let mut policy = EarliestDeadline::new(options);
    let mut refused = 0;
    for ticket in 0..10 {
        let event = AdmissionEvent::Arrived(arrival(ticket, 60_000, 500));
        refused += policy.handle(0, event).len();
    }
    assert_eq!(refused, 7);
}
