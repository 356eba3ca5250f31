//! The lease when the store comes back from an older copy.

mod support;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::LeaseRecord;

use support::leases::record;

const RUN: u64 = 1;

fn options() -> LeaseOptions {
    LeaseOptions::default()
}

fn place(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

/// Returns a lease whose first read at 0 found a topic that ends here.
fn reader(end: Position, newest: Option<LeaseRecord>) -> Lease {
    let mut lease = Lease::new(options(), VmName::from("vm-a"), RUN);
    assert_eq!(lease.act(0), Some(LeaseAction::Read { from: 0 }));
    lease.answered(0, LeaseAnswer::Read { end, newest });
    lease
}

/// Lets the lease make its next call and answers it. Returns when.
fn next(lease: &mut Lease, answer: impl FnOnce(&LeaseAction) -> LeaseAnswer) -> u64 {
    let now_ms = lease.next_ms();
    let action = lease.act(now_ms).expect("a call is due");
    lease.answered(now_ms, answer(&action));
    now_ms
}

fn append_in(era: u64) -> impl Fn(&LeaseAction) -> LeaseAnswer {
    move |action| match action {
        LeaseAction::Append { at, .. } => LeaseAnswer::Appended {
            at: place(era, at.offset),
        },
        LeaseAction::Read { .. } => panic!("a read instead of an append"),
    }
}

/// Returns a holder in era 1 whose topic ends at 11, and when its last renewal was sent.
fn holder() -> (Lease, u64) {
    let mut lease = reader(place(1, 10), Some(record("vm-b", 2, 1)));
    let taken_ms = next(&mut lease, append_in(1));
    assert!(lease.is_held(taken_ms));
    (lease, taken_ms)
}

/// The later era counts before the offset.
#[test]
fn tokens_grow_over_eras() {
    let (earlier, earlier_ms) = holder();
    let mut later = reader(place(2, 3), Some(record("vm-b", 2, 2)));
    let later_ms = next(&mut later, append_in(2));
    let wait_ms = 2 * (options().duration_ms + options().pause_ms);
    let token = |mut lease: Lease, mut now_ms: u64, era: u64| {
        while lease.fence(now_ms).is_none() {
            assert!(now_ms < earlier_ms.max(later_ms) + wait_ms, "no orders");
            now_ms = next(&mut lease, append_in(era));
        }
        lease.fence(now_ms)
    };
    assert!(token(later, later_ms, 2) > token(earlier, earlier_ms, 1));
}

/// Guards against a fleet without orders after each set-back: nobody else can have taken over.
#[test]
fn holder_goes_on() {
    let (mut lease, taken_ms) = holder();
    lease.note_era(taken_ms + 100, 2);
    assert!(lease.is_held(taken_ms + 100));
    let from_ms = next(&mut lease, |action| {
        assert!(matches!(action, LeaseAction::Read { .. }));
        LeaseAnswer::Read {
            end: place(2, 7),
            newest: Some(record("vm-b", 2, 1)),
        }
    });
    assert_eq!(from_ms, taken_ms + 100);
    let renewed_ms = next(&mut lease, |action| {
        assert!(matches!(action, LeaseAction::Append { at, .. } if *at == place(2, 7)));
        append_in(2)(action)
    });
    assert!(lease.is_held(renewed_ms + options().duration_ms - 1));
}

/// Guards against two holders: a lease that is over is no longer this VM's to renew.
#[test]
fn lapsed_holder_waits() {
    let (mut lease, taken_ms) = holder();
    let over_ms = taken_ms + options().duration_ms;
    lease.act(over_ms);
    lease.answered(over_ms, LeaseAnswer::EndedElsewhere { end: place(2, 8) });
    let read_ms = next(&mut lease, |_| LeaseAnswer::Read {
        end: place(2, 8),
        newest: Some(record("vm-a", RUN, 1)),
    });
    assert!(!lease.is_held(read_ms));
    assert!(lease.next_ms() >= read_ms + options().duration_ms);
}

/// Guards against the same where orders go on past the lease because the store can't be reached.
#[test]
fn outlasted_lease_is_not_kept() {
    let outlasting = LeaseOptions {
        outlast_ms: 20_000,
        ..options()
    };
    let mut lease = Lease::new(outlasting, VmName::from("vm-a"), RUN);
    lease.act(0);
    let newest = Some(record("vm-b", 2, 1));
    lease.answered(
        0,
        LeaseAnswer::Read {
            end: place(1, 10),
            newest,
        },
    );
    let mut now_ms = next(&mut lease, append_in(1));
    let over_ms = now_ms + options().duration_ms;
    while now_ms < over_ms {
        now_ms = next(&mut lease, |_| LeaseAnswer::NotDone);
    }
    assert!(lease.is_held(now_ms));
    let read_ms = next(&mut lease, |_| LeaseAnswer::EndedElsewhere {
        end: place(2, 9),
    });
    next(&mut lease, |_| LeaseAnswer::Read {
        end: place(2, 9),
        newest: Some(record("vm-b", 2, 1)),
    });
    assert!(!lease.is_held(read_ms));
}

/// Guards against a renewal that the store has lost: its answer comes after the new era is known.
#[test]
fn late_answer_renews_nothing() {
    let (mut lease, taken_ms) = holder();
    let sent_ms = lease.next_ms();
    lease.act(sent_ms).expect("a renewal");
    lease.note_era(sent_ms + 100, 2);
    lease.answered(sent_ms + 200, LeaseAnswer::Appended { at: place(1, 11) });
    assert!(!lease.is_held(taken_ms + options().duration_ms));
}

/// Guards against a takeover beside a live holder: the topic ends by chance where it had ended.
#[test]
fn chance_end_takes_nothing() {
    let mut lease = reader(place(1, 10), Some(record("vm-b", 2, 1)));
    let now_ms = next(&mut lease, append_in(2));
    assert!(!lease.is_held(now_ms));
    let read_ms = next(&mut lease, |_| LeaseAnswer::Read {
        end: place(2, 11),
        newest: Some(record("vm-a", RUN, 1)),
    });
    assert!(lease.next_ms() >= read_ms + options().duration_ms);
}

/// Guards against a takeover at once because the lease was given back in an era that is over: the
/// record of the next holder may be lost.
#[test]
fn earlier_release_is_not_trusted() {
    let released = LeaseRecord {
        released: true,
        ..record("vm-b", 2, 1)
    };
    let mut told = reader(place(1, 10), Some(record("vm-b", 2, 1)));
    told.note_end(100, place(1, 11), Some(500));
    assert!(told.next_ms() < options().duration_ms);
    told.note_era(100, 2);
    let read_ms = next(&mut told, |action| {
        assert!(matches!(action, LeaseAction::Read { .. }));
        LeaseAnswer::Read {
            end: place(2, 9),
            newest: Some(released.clone()),
        }
    });
    assert!(told.next_ms() >= read_ms + options().duration_ms);
    let starting = reader(place(2, 9), Some(released));
    assert!(starting.next_ms() >= options().duration_ms);
}

/// Guards against a wait for a lease that nobody renews: a beat from before the set-back arrives.
#[test]
fn earlier_end_is_not_taken() {
    let mut lease = reader(place(2, 4), Some(record("vm-b", 2, 2)));
    lease.note_end(500, place(1, 40), None);
    assert_eq!(lease.end(), Some(place(2, 4)));
    let mut starting = Lease::new(options(), VmName::from("vm-a"), RUN);
    starting.note_era(0, 2);
    starting.note_end(0, place(1, 40), None);
    assert_eq!(starting.end(), None);
}

/// Guards against a long read, much later, from where the topic ended before the set-back.
#[test]
fn told_end_replaces_the_former() {
    let mut lease = reader(place(1, 500), Some(record("vm-b", 2, 1)));
    lease.note_era(100, 2);
    lease.note_end(200, place(2, 480), None);
    lease.note_outranked(300);
    assert_eq!(lease.act(300), Some(LeaseAction::Read { from: 479 }));
}

/// Guards against taking a lost topic for one that nobody has used.
#[test]
fn empty_topic_of_a_later_era() {
    let unused = reader(place(0, 0), None);
    assert!(unused.next_ms() < options().duration_ms);
    let lost = reader(place(1, 0), None);
    assert!(lost.next_ms() >= options().duration_ms);
}
