//! Faults that coincide or repeat.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::vm_list::VmState;

use support::engine::OrderFault;
use support::log_fault::AppendFault;
use support::node::LOAD_TIMEOUT_MS;
use support::wait_until;
use support::world::Cluster;
use support::world::MODEL_BYTES;
use support::world::PauseAt;
use support::world::engine_address;
use support::world::engine_name;

/// Guards against a model that is loaded a second time or never served. The order is on its way
/// when the log goes down; it takes effect, or its answer is lost too. The outcome must be appended
/// once the log is back.
#[rstest]
fn outcome_after_outage(
    #[values(None, Some(OrderFault::LoseAnswer))] fault: Option<OrderFault>,
    #[values(true, false)] checks_fence: bool,
) {
    let cluster = Cluster::start(2, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    fault
        .into_iter()
        .for_each(|fault| world.engines.fault(fault));
    let hold_orders = |holds| {
        for engine in [0, 1] {
            world.engines.hold_orders(engine_address(engine), holds);
        }
    };
    hold_orders(true);
    let call = cluster.nodes[0].caller.begin_completion(&model);
    wait_until("the order to arrive", || world.load_orders(&model) == 1);
    world.log.set_down(true);
    hold_orders(false);
    wait_until("the order to take effect", || world.holders(&model) == 1);
    world.log.set_down(false);
    let reply = call.reply();
    assert!(
        reply.status == 200 || reply.refusal().1 == "not_run",
        "{reply:?}"
    );
    wait_until("the outcome to be appended", || {
        let decided = world.decided();
        let mut accepted = decided.iter().filter(|one| one.is_accepted());
        accepted.any(|one| match &one.record {
            ControlRecord::LoadSettled(_) => fault.is_none(),
            ControlRecord::TakeOver(_) => fault.is_some(),
            _ => false,
        })
    });
    wait_until("the load to settle", || world.loaded(&model) == 1);
    for node in 0..2 {
        cluster.wait_recovered(node);
        cluster.nodes[node]
            .caller
            .complete(&model)
            .expect_complete();
    }
    assert_eq!(world.load_orders(&model), 1);
}

/// Guards against an intent that stays open when the VM that took it over stops too. The proposer
/// stops, then the VM that takes over, and both are listed as gone.
#[rstest]
fn second_takeover(#[values(true, false)] checks_fence: bool) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Intent, &model);
    let second_pause = world.log.fault_appends(AppendFault::Pause, 1, |append| {
        matches!(append.control(), Some(ControlRecord::TakeOver(_)))
    });
    // The third VM is paused meanwhile, or it would take over at the same moment.
    cluster.nodes[2].switch.pause();
    cluster.list_as_gone(0);
    second_pause.wait_hits(1);
    assert!(cluster.nodes[1].switch.is_paused());
    cluster.nodes[2].switch.resume();
    let call = cluster.nodes[2].caller.begin_completion(&model);
    cluster.list_as_gone(1);
    call.reply().expect_complete();
    wait_until("the load to settle", || world.loaded(&model) == 1);
    assert_eq!(world.holders(&model), 1);
    assert!(world.memory_held());
}

/// Guards against an engine that carries out a late order beside models loaded since. The proposer
/// is paused before it sends the order; others take the intent over and raise the engine's fence;
/// the engine restarts and forgets the fence; then the order arrives. Its memory must stay reserved
/// even if one boot of the engine has refused it.
#[test]
fn restart_after_fence() {
    let cluster = Cluster::start(3, 1, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    world.time.advance(2 * LOAD_TIMEOUT_MS);
    call.reply().expect_complete();
    world.engines.restart(engine_address(0));
    wait_until("the restart to be replayed", || world.loaded(&model) == 0);
    let memory = world.state().memory(&engine_name(0).into());
    let reserved_bytes = memory.expect("a known engine").held_bytes;
    assert_eq!(reserved_bytes, MODEL_BYTES);
    cluster.nodes[0].switch.resume();
    wait_until("the late order to arrive", || {
        world.effects_of(&cluster.nodes[0].vm, &model) == 1
    });
    for preferred in [1, 2] {
        let other = cluster.model_preferring(preferred);
        cluster.nodes[preferred]
            .caller
            .complete(&other)
            .expect_complete();
    }
    assert!(world.memory_held());
}

/// Guards against a booking that is made twice. The VM that made it stops before it could record
/// the outcome, and the log goes down; the caller sends a duplicate to another VM during the outage
/// and after it, and the first VM resumes. A claim that can't be looked up must not count as
/// absent.
#[test]
fn killed_call_not_repeated() {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let (stopped, other) = (&cluster.nodes[0], &cluster.nodes[1].caller);
    world.service.hold(true);
    let first = stopped.caller.begin_booking("key");
    world.service.wait_effect_of("key");
    wait_until("the claim to be known", || {
        other.book("key").refusal() == ("key_in_progress", "unknown")
    });
    stopped.switch.pause();
    world.service.hold(false);
    world.log.set_down(true);
    assert_eq!(other.book("key").refusal(), ("key_in_progress", "unknown"));
    world.log.set_down(false);
    cluster.list_as_gone(0);
    wait_until("the outcome to be known as unknown", || {
        other.book("key").refusal() == ("key_outcome_unknown", "unknown")
    });
    world.vm_list.set_state(stopped.vm.as_str(), VmState::Live);
    stopped.switch.resume();
    let reply = first.reply();
    assert!(
        reply.status == 200 || reply.refusal().1 != "not_run",
        "{reply:?}"
    );
    assert_eq!(world.service.effects_of("key"), 1);
}
