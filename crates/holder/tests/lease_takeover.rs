//! Who holds the lease for orders: taking, renewing, losing and taking over.

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
    renew_every_ms: 600,
    pause_ms: 3_000,
    late_order_ms: 250,
    stagger_ms: 150,
    outlast_ms: 0,
    call_timeout_ms: 900,
};

fn lease(name: &str, run: u64) -> Lease {
    Lease::new(OPTIONS, VmName::from(name), run)
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

/// Returns a lease that was taken at time 0 as the first of all.
fn first_holder() -> Lease {
    let mut lease = lease("a", 1);
    read(&mut lease, 0, 0, None);
    let next_ms = lease.next_ms();
    assert_eq!(append_at(&mut lease, next_ms), Some(0));
    lease.answered(next_ms, LeaseAnswer::Appended { at: at(0) });
    lease
}

#[test]
fn first_holder_orders_at_once() {
    let lease = first_holder();
    assert_eq!(lease.fence(OPTIONS.renew_every_ms), Some(1));
}

#[test]
fn renewals_keep_the_fence() {
    let mut lease = first_holder();
    for offset in 1..=20 {
        let now_ms = lease.next_ms();
        assert_eq!(append_at(&mut lease, now_ms), Some(offset));
        lease.answered(now_ms, LeaseAnswer::Appended { at: at(offset) });
        assert_eq!(lease.fence(now_ms), Some(1));
    }
}

/// Symptom: two VMs give orders. Sequence: the holder stands still for longer than the lease and
/// goes on where it was. Cause: it did not look at the time before its next order.
#[test]
fn frozen_holder_gives_no_orders() {
    let lease = first_holder();
    let sent_ms = OPTIONS.renew_every_ms / 2;
    assert!(lease.fence(sent_ms + OPTIONS.duration_ms - 1).is_some());
    assert_eq!(lease.fence(sent_ms + OPTIONS.duration_ms), None);
}

/// The lease counts from when the renewal was sent: the store may have taken it long before its
/// answer came, and others count from there.
#[test]
fn slow_renewal_counts_from_its_sending() {
    let mut lease = first_holder();
    let now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms + 1_500, LeaseAnswer::Appended { at: at(1) });
    assert_eq!(lease.fence(now_ms + OPTIONS.duration_ms), None);
}

#[test]
fn follower_waits_for_the_whole_lease() {
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
fn renewals_heard_of_put_the_takeover_off() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    follower.note_end(2_500, at(6), None);
    assert_eq!(append_at(&mut follower, 1_000 + OPTIONS.duration_ms), None);
    assert_eq!(
        append_at(&mut follower, 2_500 + OPTIONS.duration_ms),
        Some(6)
    );
}

/// The same end told again says nothing new: a holder that can't renew still sends beats.
#[test]
fn same_end_does_not_put_the_takeover_off() {
    let mut follower = lease("b", 2);
    read(&mut follower, 1_000, 5, Some(record("a", 1, 0)));
    follower.note_end(2_500, at(5), None);
    assert_eq!(
        append_at(&mut follower, 1_000 + OPTIONS.duration_ms),
        Some(5)
    );
}

/// Symptom: an engine gets orders of two holders within the time in which they must not take
/// turns. Sequence: the old holder's last order is still under way when the new one begins.
/// Cause: the new holder ordered as soon as it had the lease.
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

/// Symptom: after an outage of the store nobody gives orders for another three seconds, while models
/// that rose meanwhile are missed. Sequence: the store is away for longer than the lease and the pause;
/// the holder's lease runs out; the first VM that reaches the store takes it over. Cause: the pause
/// was counted from the takeover, though the holder before could long give no orders.
#[test]
fn no_second_pause_after_an_outage() {
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

/// Symptom: after all VMs lost their power, models are missed for three seconds more. Sequence: the VM
/// that held the lease is back first and takes it at once. Cause: it waited for its own former orders
/// as for those of another VM.
#[test]
fn restarted_holder_needs_no_pause() {
    let mut restarted = lease("a", 2);
    read(&mut restarted, 1_000, 5, Some(record("a", 1, 0)));
    let at_ms = restarted.next_ms();
    assert_eq!(append_at(&mut restarted, at_ms), Some(5));
    restarted.answered(at_ms, LeaseAnswer::Appended { at: at(5) });
    let orders_ms = at_ms.max(1_000 + OPTIONS.late_order_ms);
    assert_eq!(restarted.fence(orders_ms - 1), None);
    assert_eq!(restarted.fence(orders_ms), Some(6));
}

/// Symptom: an engine gets orders of two VMs within the time in which they must not take turns.
/// Sequence: a VM takes the lease from another, restarts within its pause, finds its own record and
/// gives orders. Cause: the record did not say that the pause was not over.
#[test]
fn restart_within_the_pause() {
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

/// Symptom: after a planned stop of the holder nobody gives orders for five seconds. Sequence: it gives
/// the lease back; the store's answer comes. Cause: the answer was taken for one to a renewal, so the
/// VM went on telling the others that it holds the lease, and they waited for it to run out.
#[test]
fn giving_back_is_no_renewal() {
    let mut holder = first_holder();
    let ordered_ms = holder.next_ms() - 200;
    holder.note_order(ordered_ms);
    let now_ms = ordered_ms + 150;
    assert!(holder.release(now_ms).is_some());
    let told = holder.answered(now_ms + 5, LeaseAnswer::Appended { at: at(1) });
    assert_eq!(told, Some((at(2), 150)));
    assert!(!holder.is_held(now_ms + 5));
    assert_eq!(holder.fence(now_ms + 5), None);
    // Another VM that is told takes it at once, and pauses from the last order.
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

/// The holder before could have renewed at the last moment before the outage, without this VM
/// hearing of it: the append then meets another end, and the time counts anew from there.
#[test]
fn unseen_renewal_counts_anew() {
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
fn loser_of_a_race_gives_no_orders() {
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

/// Symptom: a holder that was overtaken goes on. Sequence: it is cut off from the store, another
/// takes the lease, the cut heals, its renewal meets another end. Cause: it took the refusal for a
/// failure of the store.
#[test]
fn overtaken_holder_stops() {
    let mut lease = first_holder();
    let now_ms = lease.next_ms();
    append_at(&mut lease, now_ms);
    lease.answered(now_ms, LeaseAnswer::EndedElsewhere { end: at(9) });
    read(&mut lease, now_ms, 9, Some(record("b", 2, 0)));
    assert!(!lease.is_held(now_ms));
    assert_eq!(lease.fence(now_ms), None);
}

#[test]
fn end_heard_of_stops_the_holder() {
    let mut lease = first_holder();
    lease.note_end(700, at(4), None);
    assert_eq!(lease.fence(700), None);
}

/// After an outage of the store in which nobody took over, the same holder goes on at once with
/// the same fencing token: nobody else has given an order.
#[test]
fn holder_goes_on_after_an_outage() {
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

/// Symptom: nobody gives orders any more after an answer of the store was lost. Sequence: the
/// append is done, its answer is lost, the next one meets another end. Cause: the VM took its own
/// record for another VM's and waited for that one's lease to end.
#[test]
fn lost_answer_is_found_by_reading() {
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

/// Symptom: after all processes were killed nobody gives orders for the whole of a lease. The VM
/// that held it has restarted, so it knows that the lease has no holder any more; it begins a new
/// term with a new fence. It need not pause as another VM would (`restart_within_the_pause` has the
/// case in which it must).
#[test]
fn earlier_run_has_ended() {
    let mut lease = lease("a", 2);
    read(&mut lease, 1_000, 5, Some(record("a", 1, 0)));
    let now_ms = lease.next_ms();
    assert!(now_ms < 1_000 + OPTIONS.renew_every_ms);
    assert_eq!(append_at(&mut lease, now_ms), Some(5));
    lease.answered(now_ms, LeaseAnswer::Appended { at: at(5) });
    assert!(now_ms >= 1_000 + OPTIONS.late_order_ms);
    assert_eq!(lease.fence(now_ms), Some(6));
    assert!(lease.is_held(now_ms));
}

#[test]
fn released_lease_is_taken_soon() {
    let mut follower = lease("b", 2);
    follower.set_place(2);
    let released = LeaseRecord {
        released: true,
        ..record("a", 1, 0)
    };
    read(&mut follower, 0, 5, Some(released));
    assert_eq!(append_at(&mut follower, 2 * OPTIONS.stagger_ms - 1), None);
    assert_eq!(append_at(&mut follower, 2 * OPTIONS.stagger_ms), Some(5));
}

#[test]
fn release_ends_the_term() {
    let mut lease = first_holder();
    let action = lease.release(700);
    assert!(
        matches!(action, Some(LeaseAction::Append { at: to, record }) if to == at(1) && record.released)
    );
    assert_eq!(lease.fence(700), None);
}

#[test]
fn one_call_at_a_time() {
    let mut lease = lease("a", 1);
    assert!(lease.act(0).is_some());
    assert_eq!(lease.act(10_000), None);
}

const OUTLASTING: LeaseOptions = LeaseOptions {
    outlast_ms: 5_000,
    ..OPTIONS
};

/// Returns a holder whose engines check fences, and lets its renewals fail until a time.
fn unreached_holder(until_ms: u64) -> (Lease, u64) {
    let mut lease = Lease::new(OUTLASTING, VmName::from("a"), 1);
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

/// Symptom: for the whole of an outage of the store nobody loads a model. Sequence: the store is
/// away for everybody; the lease runs out and nobody can take it. Cause: the holder stopped though
/// engines would have turned its orders away had there been another.
#[test]
fn orders_outlast_an_outage() {
    let (lease, now_ms) = unreached_holder(6_000);
    assert_eq!(lease.fence(now_ms), Some(1));
}

#[test]
fn orders_do_not_outlast_for_ever() {
    let (lease, now_ms) = unreached_holder(20_000);
    assert_eq!(lease.fence(now_ms), None);
}

/// A VM that was frozen has first to see that the store can't be reached: another may hold the
/// lease long since.
#[test]
fn frozen_holder_looks_first() {
    let (mut lease, now_ms) = unreached_holder(3_000);
    assert!(lease.fence(now_ms).is_some());
    let woken_ms = now_ms + 2_500;
    assert_eq!(lease.fence(woken_ms), None);
    append_at(&mut lease, woken_ms);
    lease.answered(woken_ms, LeaseAnswer::EndedElsewhere { end: at(7) });
    read(&mut lease, woken_ms, 7, Some(record("b", 2, 0)));
    assert_eq!(lease.fence(woken_ms), None);
}

#[test]
fn other_holder_heard_of_during_an_outage() {
    let (mut lease, now_ms) = unreached_holder(4_000);
    lease.note_end(now_ms, at(9), None);
    assert_eq!(lease.fence(now_ms), None);
}

/// Symptom: a giver that is cut off from the store goes on at the engines that have not yet seen the
/// new one's token. One engine's word that there is another is enough to stop.
#[test]
fn outranked_holder_stops() {
    let (mut lease, now_ms) = unreached_holder(4_000);
    assert!(lease.fence(now_ms).is_some());
    lease.note_outranked(now_ms);
    assert_eq!(lease.fence(now_ms), None);
    assert!(!lease.is_held(now_ms));
}
