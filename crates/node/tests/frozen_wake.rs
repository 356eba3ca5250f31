//! A daemon that wakes from a freeze with its old beliefs.

mod support;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::SettledAs;

use support::log_fault::ReadFault;
use support::wait_until;
use support::world::Cluster;

/// Waits until the first daemon has given its intent up.
fn wait_abandoned(cluster: &Cluster) {
    let vm = &cluster.nodes[0].vm;
    wait_until("the intent to be given up", || {
        let decided = cluster.world.decided();
        decided.iter().any(|one| match &one.record {
            ControlRecord::LoadSettled(settled) => {
                settled.proposer.vm == *vm && settled.outcome == SettledAs::Abandoned
            }
            _ => false,
        })
    });
}

fn wait_taken_over(cluster: &Cluster) {
    wait_until("the intent to be taken over", || {
        let decided = cluster.world.decided();
        let mut accepted = decided.iter().filter(|one| one.is_accepted());
        accepted.any(|one| matches!(one.record, ControlRecord::TakeOver(_)))
    });
}

/// Symptom: an engine that obeys every order loads a model that others have decided to load
/// elsewhere. Sequence: a VM freezes before it sends an order; its intent is taken over; it wakes up
/// and sends the order. Cause: the VM acts on what it knew before the freeze.
#[test]
fn an_intent_that_was_taken_over_in_a_freeze_is_given_up() {
    let cluster = Cluster::start(3, 2, false);
    let (world, frozen) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let vm = frozen.vm.clone();
    world.log.fault_reads(ReadFault::FreezeBefore, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    let _call = frozen.caller.begin_complete(&model);
    wait_until("the daemon to freeze", || frozen.switch.is_frozen());
    cluster.list_as_gone(0);
    wait_taken_over(&cluster);
    frozen.switch.thaw();
    wait_abandoned(&cluster);
    cluster.wait_looked(1);
    assert_eq!(world.effects_of(&frozen.vm, &model), 0);
    assert!(world.holders(&model) <= 1);
}

/// Symptom: as above. Sequence: the VM freezes right after it has read how far the stream goes, and
/// on waking reads nothing further for a while. Cause: a reading from before the freeze is taken for
/// proof that nothing has happened since.
#[test]
fn a_reading_from_before_the_freeze_proves_nothing() {
    let cluster = Cluster::start(3, 2, false);
    let (world, frozen) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let vm = frozen.vm.clone();
    world.log.fault_reads(ReadFault::FreezeAfter, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    let _call = frozen.caller.begin_complete(&model);
    wait_until("the daemon to freeze", || frozen.switch.is_frozen());
    let vm = frozen.vm.clone();
    let blind = world.log.fault_reads(ReadFault::Hold, move |read| {
        read.is_by(&vm) && read.follows_control()
    });
    cluster.list_as_gone(0);
    wait_taken_over(&cluster);
    let vm = frozen.vm.clone();
    let second_look = world.log.fault_reads(ReadFault::FreezeAfter, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    frozen.switch.thaw();
    second_look.wait_hits(1);
    assert_eq!(world.effects_of(&frozen.vm, &model), 0);
    frozen.switch.thaw();
    world.log.release(&blind);
    wait_abandoned(&cluster);
    cluster.wait_looked(1);
    assert_eq!(world.effects_of(&frozen.vm, &model), 0);
}

/// Symptom: as above, by a freeze of the whole machine, of which only the clock tells. Sequence: the
/// clock jumps between the intent and the order while the log can't be read. Cause: the order does
/// not wait for a reading of the log.
#[test]
fn after_a_jump_of_the_clock_no_order_goes_out_before_the_log_is_read() {
    let cluster = Cluster::start(1, 1, false);
    let (world, node) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let unread = world
        .log
        .fault_reads(ReadFault::Refuse, |read| read.is_of_end());
    let call = node.caller.begin_complete(&model);
    world.wait_load(&model);
    unread.wait_hits(1);
    node.clock.jump(60_000);
    unread.wait_hits(3);
    assert_eq!(world.load_orders(&model), 0);
    world.log.release(&unread);
    call.reply().expect_whole();
    assert_eq!(world.load_orders(&model), 1);
}
