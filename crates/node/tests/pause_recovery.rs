//! A daemon that resumes from a process pause with stale state.

mod support;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::vm_list::VmState;

use support::log_fault::ReadFault;
use support::wait_until;
use support::world::Cluster;

fn wait_taken_over(cluster: &Cluster) {
    wait_until("the intent to be taken over", || {
        let decided = cluster.world.decided();
        let mut accepted = decided.iter().filter(|one| one.is_accepted());
        accepted.any(|one| matches!(one.record, ControlRecord::TakeOver(_)))
    });
}

/// Guards against a model that is loaded on two engines, one of which doesn't check fencing tokens.
/// A VM is paused before it sends an order; its intent is taken over and settled elsewhere; the VM
/// resumes and must not send the order.
#[test]
fn takeover_during_pause() {
    let cluster = Cluster::start(3, 2, false);
    let (world, paused) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let vm = paused.vm.clone();
    world.log.fault_reads(ReadFault::PauseBefore, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    let call = paused.caller.begin_completion(&model);
    wait_until("the daemon to be paused", || paused.switch.is_paused());
    cluster.list_as_gone(0);
    wait_taken_over(&cluster);
    paused.switch.resume();
    cluster.nodes[1].caller.complete(&model).expect_complete();
    call.reply().expect_complete();
    paused.wait_ended();
    assert_eq!(world.effects_of(&paused.vm, &model), 0);
    assert_eq!(world.holders(&model), 1);
}

/// Guards against the same fault where the VM is paused right after it has read the end of the
/// stream, and reads nothing more for a while after it resumes. The read from before the pause is
/// no proof that the state is current.
#[test]
fn read_before_pause() {
    let cluster = Cluster::start(3, 2, false);
    let (world, paused) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let vm = paused.vm.clone();
    world.log.fault_reads(ReadFault::PauseAfter, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    let call = paused.caller.begin_completion(&model);
    wait_until("the daemon to be paused", || paused.switch.is_paused());
    let vm = paused.vm.clone();
    let held_reads = world.log.fault_reads(ReadFault::Hold, move |read| {
        read.is_by(&vm) && read.follows_control()
    });
    cluster.list_as_gone(0);
    wait_taken_over(&cluster);
    let vm = paused.vm.clone();
    let second_check = world.log.fault_reads(ReadFault::PauseAfter, move |read| {
        read.is_by(&vm) && read.is_of_end()
    });
    paused.switch.resume();
    second_check.wait_hits(1);
    assert_eq!(world.effects_of(&paused.vm, &model), 0);
    paused.switch.resume();
    world.log.release(&held_reads);
    cluster.nodes[1].caller.complete(&model).expect_complete();
    call.reply().expect_complete();
    paused.wait_ended();
    assert_eq!(world.effects_of(&paused.vm, &model), 0);
    assert_eq!(world.holders(&model), 1);
}

/// Guards against the same fault where the whole machine is paused, which only its clock shows. The
/// clock jumps between the intent and the order while the log can't be read; the order must wait
/// for a read of the log.
#[test]
fn clock_jump_blocks_order() {
    let cluster = Cluster::start(1, 1, false);
    let (world, node) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    let unread = world
        .log
        .fault_reads(ReadFault::Refuse, |read| read.is_of_end());
    let call = node.caller.begin_completion(&model);
    world.wait_load(&model);
    unread.wait_hits(1);
    node.clock.jump(60_000);
    unread.wait_hits(3);
    assert_eq!(world.load_orders(&model), 0);
    world.log.release(&unread);
    call.reply().expect_complete();
    assert_eq!(world.load_orders(&model), 1);
}

/// Guards against a VM that accepts requests although it can never have a model loaded, and whose
/// claims count as those of an ended process. The list wrongly shows a paused VM as gone, others
/// record its departure, and the VM resumes.
///
/// The process must end, so that it is restarted, and must not cut off an answer in progress.
#[test]
fn departed_process_ends() {
    let cluster = Cluster::start(3, 2, true);
    let (world, paused) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    paused.caller.complete(&model).expect_complete();
    world.streams.close();
    let stream = paused.caller.stream(&model);
    paused.switch.pause();
    cluster.list_as_gone(0);
    wait_until("the departure to be recorded", || {
        let decided = world.decided();
        let mut accepted = decided.iter().filter(|one| one.is_accepted());
        accepted.any(|one| matches!(one.record, ControlRecord::Depart(_)))
    });
    world.vm_list.set_state(paused.vm.as_str(), VmState::Live);
    paused.switch.resume();
    wait_until("no request to be accepted", || !paused.caller.is_ready());
    let refused = paused.caller.complete(&model);
    assert_eq!(refused.refusal(), ("draining", "not_run"));
    world.streams.open();
    assert!(stream.ends_complete());
    paused.wait_ended();
}

/// Guards against an order from a process that was replaced, to an engine that doesn't check
/// fencing tokens. A VM's process is paused right before an order; a new process starts under the
/// VM's name and has the model loaded; the first one resumes. The membership of the VM's name is
/// not its own.
#[test]
fn replaced_process_order() {
    let mut cluster = Cluster::start(2, 2, false);
    let model = cluster.model_preferring(0);
    let vm = cluster.nodes[0].vm.clone();
    let first = cluster.nodes[0].epoch();
    let paused_vm = vm.clone();
    cluster
        .world
        .log
        .fault_reads(ReadFault::PauseBefore, move |read| {
            read.is_by(&paused_vm) && read.is_of_end()
        });
    drop(cluster.nodes[0].caller.begin_completion(&model));
    wait_until("the process to be paused", || {
        cluster.nodes[0].switch.is_paused()
    });
    cluster.add(vm.as_str()).wait_ready();
    let world = &cluster.world;
    wait_until("the first process to end", || {
        !world.state().is_current(first)
    });
    cluster.nodes[2].caller.complete(&model).expect_complete();
    assert_eq!(world.load_orders(&model), 1);
    cluster.nodes[0].switch.resume();
    cluster.nodes[0].wait_ended();
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}
