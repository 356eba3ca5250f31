//! The lease after a rollback of the store.

mod support;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::LeaseRecord;

use support::leases::record;

const INCARNATION: u64 = 1;

fn options() -> LeaseOptions {
    LeaseOptions::default()
}

fn position(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

/// Returns a lease whose first read at time 0 found the topic to end here.
fn reader(end: Position, newest: Option<LeaseRecord>) -> Lease {
    let mut lease = Lease::new(options(), VmName::from("vm-a"), INCARNATION);
    assert_eq!(lease.act(0), Some(LeaseAction::Read { from: 0 }));
    lease.answered(0, LeaseAnswer::Read { end, newest });
    lease
}

/// Lets the lease make its next call and answers the call. Returns the time of the call.
fn next(lease: &mut Lease, answer: impl FnOnce(&LeaseAction) -> LeaseAnswer) -> u64 {
    let now_ms = lease.next_ms();
    let action = lease.act(now_ms).expect("a call is due");
    lease.answered(now_ms, answer(&action));
    now_ms
}

fn append_in(era: u64) -> impl Fn(&LeaseAction) -> LeaseAnswer {
    move |action| match action {
        LeaseAction::Append { at, .. } => LeaseAnswer::Appended {
            at: position(era, at.offset),
        },
        LeaseAction::Read { .. } => panic!("expected an append, but the lease reads"),
    }
}

/// Returns a holder in era 1 whose topic ends at offset 11, and the time of its last renewal.
fn holder() -> (Lease, u64) {
    let mut lease = reader(position(1, 10), Some(record("vm-b", 2, 1)));
    let taken_ms = next(&mut lease, append_in(1));
    assert!(lease.is_held(taken_ms));
    (lease, taken_ms)
}

/// A token of a later era is higher even if its offset is lower.
#[test]
fn tokens_grow_across_eras() {
    let (earlier, earlier_ms) = holder();
    let mut later = reader(position(2, 3), Some(record("vm-b", 2, 2)));
    let later_ms = next(&mut later, append_in(2));
    let wait_ms = 2 * (options().duration_ms + options().pause_ms);
    let token = |mut lease: Lease, mut now_ms: u64, era: u64| {
        while lease.fence(now_ms).is_none() {
            assert!(
                now_ms < earlier_ms.max(later_ms) + wait_ms,
                "no orders are allowed"
            );
            now_ms = next(&mut lease, append_in(era));
        }
        lease.fence(now_ms)
    };
    assert!(token(later, later_ms, 2) > token(earlier, earlier_ms, 1));
}

/// Guards against an interruption of orders after each rollback: no other VM can have taken over.
#[test]
fn holder_keeps_lease() {
    let (mut lease, taken_ms) = holder();
    lease.note_era(taken_ms + 100, 2);
    assert!(lease.is_held(taken_ms + 100));
    let from_ms = next(&mut lease, |action| {
        assert!(matches!(action, LeaseAction::Read { .. }));
        LeaseAnswer::Read {
            end: position(2, 7),
            newest: Some(record("vm-b", 2, 1)),
        }
    });
    assert_eq!(from_ms, taken_ms + 100);
    let renewed_ms = next(&mut lease, |action| {
        assert!(matches!(action, LeaseAction::Append { at, .. } if *at == position(2, 7)));
        append_in(2)(action)
    });
    assert!(lease.is_held(renewed_ms + options().duration_ms - 1));
}

/// Guards against two holders: a VM must not renew a lease that has expired.
#[test]
fn expired_holder_waits() {
    let (mut lease, taken_ms) = holder();
    let expired_ms = taken_ms + options().duration_ms;
    lease.act(expired_ms);
    lease.answered(
        expired_ms,
        LeaseAnswer::EndedElsewhere {
            end: position(2, 8),
        },
    );
    let read_ms = next(&mut lease, |_| LeaseAnswer::Read {
        end: position(2, 8),
        newest: Some(record("vm-a", INCARNATION, 1)),
    });
    assert!(!lease.is_held(read_ms));
    assert!(lease.next_ms() >= read_ms + options().duration_ms);
}

/// Guards against two holders where orders continue after the expiry of the lease because the store
/// is unreachable.
#[test]
fn grace_period_ends() {
    let with_grace = LeaseOptions {
        outage_grace_ms: 20_000,
        ..options()
    };
    let mut lease = Lease::new(with_grace, VmName::from("vm-a"), INCARNATION);
    lease.act(0);
    let newest = Some(record("vm-b", 2, 1));
    lease.answered(
        0,
        LeaseAnswer::Read {
            end: position(1, 10),
            newest,
        },
    );
    let mut now_ms = next(&mut lease, append_in(1));
    let expired_ms = now_ms + options().duration_ms;
    while now_ms < expired_ms {
        now_ms = next(&mut lease, |_| LeaseAnswer::NotDone);
    }
    assert!(lease.is_held(now_ms));
    let read_ms = next(&mut lease, |_| LeaseAnswer::EndedElsewhere {
        end: position(2, 9),
    });
    next(&mut lease, |_| LeaseAnswer::Read {
        end: position(2, 9),
        newest: Some(record("vm-b", 2, 1)),
    });
    assert!(!lease.is_held(read_ms));
}

/// Guards against counting a renewal that the rollback has undone: its answer arrives after the new
/// era is known.
#[test]
fn late_answer_ignored() {
    let (mut lease, taken_ms) = holder();
    let sent_ms = lease.next_ms();
    lease.act(sent_ms).expect("a renewal");
    lease.note_era(sent_ms + 100, 2);
    lease.answered(
        sent_ms + 200,
        LeaseAnswer::Appended {
            at: position(1, 11),
        },
    );
    assert!(!lease.is_held(taken_ms + options().duration_ms));
}

/// Guards against a takeover while another VM holds the lease: after the rollback, the topic
/// happens to end where this VM saw its end before.
#[test]
fn coinciding_end_ignored() {
    let mut lease = reader(position(1, 10), Some(record("vm-b", 2, 1)));
    let now_ms = next(&mut lease, append_in(2));
    assert!(!lease.is_held(now_ms));
    let read_ms = next(&mut lease, |_| LeaseAnswer::Read {
        end: position(2, 11),
        newest: Some(record("vm-a", INCARNATION, 1)),
    });
    assert!(lease.next_ms() >= read_ms + options().duration_ms);
}

/// Guards against trusting a release of an earlier era: the rollback may have undone the takeover
/// that followed it.
#[test]
fn earlier_release_ignored() {
    let released = LeaseRecord {
        released: true,
        ..record("vm-b", 2, 1)
    };
    let mut listener = reader(position(1, 10), Some(record("vm-b", 2, 1)));
    listener.note_end(100, position(1, 11), Some(500));
    assert!(listener.next_ms() < options().duration_ms);
    listener.note_era(100, 2);
    let read_ms = next(&mut listener, |action| {
        assert!(matches!(action, LeaseAction::Read { .. }));
        LeaseAnswer::Read {
            end: position(2, 9),
            newest: Some(released.clone()),
        }
    });
    assert!(listener.next_ms() >= read_ms + options().duration_ms);
    let starting = reader(position(2, 9), Some(released));
    assert!(starting.next_ms() >= options().duration_ms);
}

/// Guards against a heartbeat sent before the rollback, whose lease nobody renews any more.
#[test]
fn earlier_end_ignored() {
    let mut lease = reader(position(2, 4), Some(record("vm-b", 2, 2)));
    lease.note_end(500, position(1, 40), None);
    assert_eq!(lease.end(), Some(position(2, 4)));
    let mut starting = Lease::new(options(), VmName::from("vm-a"), INCARNATION);
    starting.note_era(0, 2);
    starting.note_end(0, position(1, 40), None);
    assert_eq!(starting.end(), None);
}

/// Guards against reading from where the topic ended before the rollback, long after it.
#[test]
fn announced_end_replaces_known() {
    let mut lease = reader(position(1, 500), Some(record("vm-b", 2, 1)));
    lease.note_era(100, 2);
    lease.note_end(200, position(2, 480), None);
    lease.record_superseded(300);
    assert_eq!(lease.act(300), Some(LeaseAction::Read { from: 479 }));
}

/// Guards against mistaking an empty topic for an unused one after a rollback.
#[test]
fn emptied_topic_not_unused() {
    let unused = reader(position(0, 0), None);
    assert!(unused.next_ms() < options().duration_ms);
    let lost = reader(position(1, 0), None);
    assert!(lost.next_ms() >= options().duration_ms);
}
