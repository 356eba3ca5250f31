//! Taking, renewing, losing, releasing and taking over the lease.

mod support;

use apricotdale_core::names::VmName;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::LeaseRecord;

use support::leases::append_at;
use support::leases::at;
use support::leases::record;

const OPTIONS: LeaseOptions = LeaseOptions {
    duration_ms: 2_000,
    renewal_interval_ms: 600,
    pause_ms: 3_000,
    late_order_ms: 250,
    stagger_ms: 150,
    outage_grace_ms: 0,
    call_timeout_ms: 900,
};

fn lease(name: &str, incarnation: u64) -> Lease {
    Lease::new(OPTIONS, VmName::from(name), incarnation)
}

fn read(lease: &mut Lease, now_ms: u64, end: u64, newest: Option<LeaseRecord>) {
    assert!(matches!(lease.act(now_ms), Some(LeaseAction::Read { .. })));
    lease.answered(
        now_ms,
        LeaseAnswer::Read {
            end: at(end),
            newest,
        },
    );
}

/// Returns a lease on an unused topic, taken shortly after time 0.
fn first_holder() -> Lease {
    let mut lease = lease("a", 1);
    read(&mut lease, 0, 0, None);
    let next_ms = lease.next_ms();
    assert_eq!(append_at(&mut lease, next_ms), Some(0));
    lease.answered(next_ms, LeaseAnswer::Appended { at: at(0) });
    lease
}

#[test]
fn first_holder_without_pause() {
    let lease = first_holder();
    assert_eq!(lease.fence(OPTIONS.renewal_interval_ms), Some(1));
}

#[test]
fn renewals_keep_token() {
    let mut lease = first_holder();
    for offset in 1..=20 {
        let now_ms = lease.next_ms();
        assert_eq!(append_at(&mut lease, now_ms), Some(offset));
        lease.answered(now_ms, LeaseAnswer::Appended { at: at(offset) });
        assert_eq!(lease.fence(now_ms), Some(1));
    }
}

/// A holder that is frozen for longer than its lease must not give orders when it continues, since
/// another VM may have taken over.
#[test]
fn frozen_holder_expires() {
    let lease = first_holder();
    let sent_ms = OPTIONS.renewal_interval_ms / 2;
    assert!(lease.fence(sent_ms + OPTIONS.duration_ms - 1).is_some());
    assert_eq!(lease.fence(sent_ms + OPTIONS.duration_ms), None);
}

/// The lease is valid from the time at which the renewal was sent: the store may have appended the
/// record long before the answer arrives, and other VMs may count from then.
#[test]
fn renewal_counts_from_sending() {
    let mut lease = first_holder();
    let now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms + 1_500, LeaseAnswer::Appended { at: at(1) });
    assert_eq!(lease.fence(now_ms + OPTIONS.duration_ms), None);
}

#[test]
fn follower_awaits_expiry() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    assert_eq!(
        append_at(&mut follower, 1_000 + OPTIONS.duration_ms - 1),
        None
    );
    assert_eq!(
        append_at(&mut follower, 1_000 + OPTIONS.duration_ms),
        Some(5)
    );
}

#[test]
fn announced_renewal_delays_takeover() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    follower.note_end(2_500, at(6), None);
    assert_eq!(append_at(&mut follower, 1_000 + OPTIONS.duration_ms), None);
    assert_eq!(
        append_at(&mut follower, 2_500 + OPTIONS.duration_ms),
        Some(6)
    );
}

/// A repeated announcement of the same end is no renewal: a holder that can't renew still sends
/// heartbeats.
#[test]
fn repeated_end_ignored() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    follower.note_end(2_500, at(5), None);
    assert_eq!(
        append_at(&mut follower, 1_000 + OPTIONS.duration_ms),
        Some(5)
    );
}

/// Guards against orders of two holders that overlap: the last order of the previous holder may
/// still be in flight when the new one takes the lease.
#[test]
fn new_holder_pauses() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    let now_ms = 1_000 + OPTIONS.duration_ms;
    append_at(&mut follower, now_ms);
    follower.answered(now_ms, LeaseAnswer::Appended { at: at(5) });
    assert!(follower.is_held(now_ms));
    assert_eq!(follower.fence(now_ms), None);
    let mut offset = 6;
    let mut at_ms = now_ms;
    while at_ms < now_ms + OPTIONS.pause_ms + OPTIONS.late_order_ms {
        assert_eq!(follower.fence(at_ms), None);
        at_ms = follower.next_ms();
        append_at(&mut follower, at_ms);
        follower.answered(at_ms, LeaseAnswer::Appended { at: at(offset) });
        offset += 1;
    }
    assert_eq!(follower.fence(at_ms), Some(6));
}

/// Guards against a needless pause. When an outage of the store outlasts the lease and the pause,
/// the previous holder has given no order for longer than the pause when the lease is taken over.
#[test]
fn outage_counts_as_pause() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    let back_ms = 1_000 + OPTIONS.duration_ms + OPTIONS.pause_ms + OPTIONS.late_order_ms;
    let mut at_ms = 1_000 + OPTIONS.duration_ms;
    while at_ms < back_ms {
        assert!(follower.act(at_ms).is_some());
        follower.answered(at_ms, LeaseAnswer::NotDone);
        at_ms = follower.next_ms();
    }
    assert_eq!(append_at(&mut follower, at_ms), Some(5));
    follower.answered(at_ms, LeaseAnswer::Appended { at: at(5) });
    assert_eq!(follower.fence(at_ms), Some(6));
}

/// Guards against a needless pause after a restart. The earlier process of the VM held the lease,
/// so no other VM can have given an order since.
#[test]
fn restarted_holder_without_pause() {
    let mut restarted = lease("a", 2);
    read(&mut restarted, 1_000, 5, Some(record("a", 1, 0)));
    let at_ms = restarted.next_ms();
    assert_eq!(append_at(&mut restarted, at_ms), Some(5));
    restarted.answered(at_ms, LeaseAnswer::Appended { at: at(5) });
    let orders_ms = at_ms.max(1_000 + OPTIONS.late_order_ms);
    assert_eq!(restarted.fence(orders_ms - 1), None);
    assert_eq!(restarted.fence(orders_ms), Some(6));
}

/// Guards against orders of two VMs that overlap: a VM takes the lease from another, restarts
/// within its pause and finds its own record, which must show that the pause had not ended.
#[test]
fn restart_within_pause() {
    let mut restarted = lease("a", 2);
    let taking = LeaseRecord {
        settled: false,
        ..record("a", 1, 0)
    };
    read(&mut restarted, 1_000, 5, Some(taking));
    let at_ms = restarted.next_ms();
    append_at(&mut restarted, at_ms);
    restarted.answered(at_ms, LeaseAnswer::Appended { at: at(5) });
    let mut offset = 6;
    let mut now_ms = at_ms;
    while now_ms < 1_000 + OPTIONS.pause_ms + OPTIONS.late_order_ms {
        assert_eq!(restarted.fence(now_ms), None);
        now_ms = restarted.next_ms();
        append_at(&mut restarted, now_ms);
        restarted.answered(now_ms, LeaseAnswer::Appended { at: at(offset) });
        offset += 1;
    }
    assert_eq!(restarted.fence(now_ms), Some(6));
}

/// Guards against a holder that treats the answer to its release as the answer to a renewal. It
/// would keep announcing that it holds the lease, and the other VMs would wait for the lease to
/// expire.
#[test]
fn release_not_renewal() {
    let mut holder = first_holder();
    let ordered_ms = holder.next_ms() - 200;
    holder.note_order(ordered_ms);
    let now_ms = ordered_ms + 150;
    assert!(holder.release(now_ms).is_some());
    let released = holder.answered(now_ms + 5, LeaseAnswer::Appended { at: at(1) });
    assert_eq!(released, Some((at(2), 150)));
    assert!(!holder.is_held(now_ms + 5));
    assert_eq!(holder.fence(now_ms + 5), None);
    // A VM that receives the announcement takes the lease at once, and pauses from the last order.
    let mut follower = lease("b", 2);
    read(&mut follower, 0, 1, Some(record("a", 1, 0)));
    follower.note_end(now_ms + 6, at(2), Some(150));
    let taken_ms = now_ms + 6;
    assert_eq!(append_at(&mut follower, taken_ms), Some(2));
    follower.answered(taken_ms, LeaseAnswer::Appended { at: at(2) });
    let mut at_ms = taken_ms;
    let mut offset = 3;
    while at_ms < ordered_ms + OPTIONS.pause_ms + OPTIONS.late_order_ms {
        assert_eq!(follower.fence(at_ms), None);
        at_ms = follower.next_ms();
        append_at(&mut follower, at_ms);
        follower.answered(at_ms, LeaseAnswer::Appended { at: at(offset) });
        offset += 1;
    }
    assert_eq!(follower.fence(at_ms), Some(3));
}

/// The previous holder may have renewed the lease just before the outage, unnoticed by this VM. The
/// append then fails because of the different end, and the duration starts again.
#[test]
fn unseen_renewal_restarts_wait() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    let late_ms = 9_000;
    append_at(&mut follower, late_ms);
    follower.answered(late_ms, LeaseAnswer::EndedElsewhere { end: at(6) });
    read(&mut follower, late_ms, 6, Some(record("a", 1, 0)));
    let now_ms = late_ms + OPTIONS.duration_ms;
    assert_eq!(append_at(&mut follower, now_ms), Some(6));
    follower.answered(now_ms, LeaseAnswer::Appended { at: at(6) });
    assert_eq!(follower.fence(now_ms + OPTIONS.duration_ms - 1), None);
}

#[test]
fn race_loser_waits() {
    let mut follower = lease("b", 2);
    read(&mut follower, 0, 5, Some(record("a", 1, 0)));
    append_at(&mut follower, OPTIONS.duration_ms);
    follower.answered(
        OPTIONS.duration_ms,
        LeaseAnswer::EndedElsewhere { end: at(6) },
    );
    assert!(!follower.is_held(OPTIONS.duration_ms));
    read(
        &mut follower,
        OPTIONS.duration_ms,
        6,
        Some(record("c", 3, 0)),
    );
    assert_eq!(append_at(&mut follower, 2 * OPTIONS.duration_ms - 1), None);
}

/// Guards against a holder that keeps sending orders after another VM has taken over during a
/// partition: it must not mistake the rejected renewal for a failure of the store.
#[test]
fn replaced_holder_stops() {
    let mut lease = first_holder();
    let now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms, LeaseAnswer::EndedElsewhere { end: at(9) });
    read(&mut lease, now_ms, 9, Some(record("b", 2, 0)));
    assert!(!lease.is_held(now_ms));
    assert_eq!(lease.fence(now_ms), None);
}

#[test]
fn announced_end_stops_holder() {
    let mut lease = first_holder();
    lease.note_end(700, at(4), None);
    assert_eq!(lease.fence(700), None);
}

/// If nobody took over during an outage of the store, the holder continues at once under the same
/// fencing token, since nobody else has given an order.
#[test]
fn holder_resumes_after_outage() {
    let mut lease = first_holder();
    let mut now_ms = lease.next_ms();
    while now_ms < 8_000 {
        append_at(&mut lease, now_ms);
        lease.answered(now_ms, LeaseAnswer::NotDone);
        now_ms = lease.next_ms();
    }
    assert_eq!(lease.fence(now_ms), None);
    append_at(&mut lease, now_ms);
    lease.answered(now_ms, LeaseAnswer::Appended { at: at(1) });
    assert_eq!(lease.fence(now_ms), Some(1));
}

/// Guards against a VM that mistakes its own record for another VM's after the answer to its append
/// was lost, and waits for that lease to expire.
#[test]
fn lost_answer_recovered() {
    let mut lease = lease("a", 1);
    read(&mut lease, 0, 0, None);
    let now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms + 700, LeaseAnswer::Unknown);
    let now_ms = lease.next_ms();
    read(&mut lease, now_ms, 1, Some(record("a", 1, 0)));
    assert!(!lease.is_held(now_ms));
    assert_eq!(append_at(&mut lease, now_ms), Some(1));
    lease.answered(now_ms, LeaseAnswer::Appended { at: at(1) });
    assert!(lease.is_held(now_ms));
}

/// Guards against waiting for a lease duration after a restart. The VM's earlier process held the
/// lease, so the lease has no holder any more, and the VM starts a new term with a new fencing
/// token. It must still pause in the case of `restart_within_pause`.
#[test]
fn restarted_holder_takes_over() {
    let mut lease = lease("a", 2);
    read(&mut lease, 1_000, 5, Some(record("a", 1, 0)));
    let now_ms = lease.next_ms();
    assert!(now_ms < 1_000 + OPTIONS.renewal_interval_ms);
    assert_eq!(append_at(&mut lease, now_ms), Some(5));
    lease.answered(now_ms, LeaseAnswer::Appended { at: at(5) });
    assert!(now_ms >= 1_000 + OPTIONS.late_order_ms);
    assert_eq!(lease.fence(now_ms), Some(6));
    assert!(lease.is_held(now_ms));
}

#[test]
fn released_lease_taken() {
    let mut follower = lease("b", 2);
    follower.set_takeover_rank(2);
    let released = LeaseRecord {
        released: true,
        ..record("a", 1, 0)
    };
    read(&mut follower, 0, 5, Some(released));
    assert_eq!(append_at(&mut follower, 2 * OPTIONS.stagger_ms - 1), None);
    assert_eq!(append_at(&mut follower, 2 * OPTIONS.stagger_ms), Some(5));
}

#[test]
fn release_ends_term() {
    let mut lease = first_holder();
    let action = lease.release(700);
    assert!(
        matches!(action, Some(LeaseAction::Append { at: to, record }) if to == at(1) && record.released)
    );
    assert_eq!(lease.fence(700), None);
}

#[test]
fn single_call() {
    let mut lease = lease("a", 1);
    assert!(lease.act(0).is_some());
    assert_eq!(lease.act(10_000), None);
}

const WITH_GRACE: LeaseOptions = LeaseOptions {
    outage_grace_ms: 5_000,
    ..OPTIONS
};

/// Returns a holder with a grace period whose renewals fail until a time, and the time of the last
/// call.
fn holder_without_store(until_ms: u64) -> (Lease, u64) {
    let mut lease = Lease::new(WITH_GRACE, VmName::from("a"), 1);
    read(&mut lease, 0, 0, None);
    let mut now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms, LeaseAnswer::Appended { at: at(0) });
    while lease.next_ms() < until_ms {
        now_ms = lease.next_ms();
        append_at(&mut lease, now_ms);
        lease.answered(now_ms, LeaseAnswer::NotDone);
    }
    (lease, now_ms)
}

/// Guards against an outage of the store during which nobody can load models. The holder keeps
/// sending orders, because engines would reject its orders if there were another holder.
#[test]
fn grace_during_outage() {
    let (lease, now_ms) = holder_without_store(6_000);
    assert_eq!(lease.fence(now_ms), Some(1));
}

#[test]
fn grace_ends() {
    let (lease, now_ms) = holder_without_store(20_000);
    assert_eq!(lease.fence(now_ms), None);
}

/// A holder that was frozen must check whether the store is reachable before it gives orders, since
/// another VM may have taken the lease.
#[test]
fn frozen_holder_checks_first() {
    let (mut lease, now_ms) = holder_without_store(3_000);
    assert!(lease.fence(now_ms).is_some());
    let resumed_ms = now_ms + 2_500;
    assert_eq!(lease.fence(resumed_ms), None);
    append_at(&mut lease, resumed_ms);
    lease.answered(resumed_ms, LeaseAnswer::EndedElsewhere { end: at(7) });
    read(&mut lease, resumed_ms, 7, Some(record("b", 2, 0)));
    assert_eq!(lease.fence(resumed_ms), None);
}

#[test]
fn announced_holder_ends_grace() {
    let (mut lease, now_ms) = holder_without_store(4_000);
    lease.note_end(now_ms, at(9), None);
    assert_eq!(lease.fence(now_ms), None);
}

/// A holder cut off from the store must stop as soon as one engine has seen a higher fencing token,
/// so that it gives no orders to engines that have not seen that token yet.
#[test]
fn superseded_holder_stops() {
    let (mut lease, now_ms) = holder_without_store(4_000);
    assert!(lease.fence(now_ms).is_some());
    lease.record_superseded(now_ms);
    assert_eq!(lease.fence(now_ms), None);
    assert!(!lease.is_held(now_ms));
}
