//! The planned stop.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::vm_list::VmState;

use support::log_fault::AppendFault;
use support::wait_until;
use support::world::Cluster;
use support::world::engine_address;

/// Timeout of a request that waits for a load without result, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Calls of each kind made while a stream keeps a stopping daemon from ending.
const REFUSED_CALLS: usize = 20;

/// Configuration changes made while an order keeps a stopping daemon from ending.
const CHANGES: usize = 20;

const DRAINING: (&str, &str) = ("draining", "not_run");

/// What starts a daemon's stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopSource {
    Signal,
    Operator,
    List,
}

fn start_stop(cluster: &Cluster, source: StopSource) {
    let node = &cluster.nodes[0];
    match source {
        StopSource::Signal => node.begin_stop(),
        StopSource::Operator => drop(node.admin().drain().expect("an answer")),
        StopSource::List => {
            let list = &cluster.world.vm_list;
            list.set_state(node.vm.as_str(), VmState::Leaving);
        }
    }
    wait_until("the daemon to stop", || node.status().draining);
}

/// Guards against a planned stop that cuts off a stream because it was started twice, or that waits
/// for the log and never ends.
#[rstest]
fn second_stop_signal(
    #[values(StopSource::Signal, StopSource::Operator, StopSource::List)] first: StopSource,
    #[values(true, false)] log_is_down: bool,
) {
    let cluster = Cluster::start(2, 1, true);
    let (world, stopping) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    stopping.caller.complete(&model).expect_complete();
    world.streams.close();
    let stream = stopping.caller.stream(&model);
    // A VM can't serve what it has not read when the log goes down.
    cluster.wait_replayed(1);
    world.log.set_down(log_is_down);
    start_stop(&cluster, first);
    start_stop(&cluster, StopSource::Operator);
    for _ in 0..REFUSED_CALLS {
        assert_eq!(stopping.caller.complete(&model).refusal(), DRAINING);
        assert_eq!(stopping.caller.book("key").refusal(), DRAINING);
    }
    world.streams.open();
    assert!(stream.ends_complete());
    stopping.wait_ended();
    let departed = world.departed(&stopping.vm).len();
    assert_eq!(departed, usize::from(!log_is_down));
    cluster.nodes[1].caller.complete(&model).expect_complete();
    assert_eq!(world.load_orders(&model), 1);
}

/// Guards against a stop that cuts off a request which waits for its model while the load order is
/// on its way.
#[test]
fn stop_awaits_request() {
    let cluster = Cluster::start(2, 1, true);
    let (world, stopping) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    world.engines.hold_orders(engine_address(0), true);
    let call = stopping.caller.begin_completion(&model);
    wait_until("the order to arrive", || world.load_orders(&model) == 1);
    start_stop(&cluster, StopSource::Signal);
    assert!(!call.is_answered());
    world.engines.hold_orders(engine_address(0), false);
    call.reply().expect_complete();
    stopping.wait_ended();
}

/// Guards against a stop that waits for requests only, and not for an order on its way whose
/// request has ended.
#[test]
fn stop_awaits_order() {
    let cluster = Cluster::start(2, 1, true);
    let (world, stopping) = (&cluster.world, &cluster.nodes[0]);
    let model = cluster.model_preferring(0);
    world.engines.hold_orders(engine_address(0), true);
    let refused = stopping.caller.complete_within(&model, TIMEOUT_MS);
    assert_eq!(refused.refusal().1, "not_run", "{refused:?}");
    assert_eq!(world.load_orders(&model), 1);
    start_stop(&cluster, StopSource::Signal);
    wait_until("callers to be disconnected", || {
        !stopping.caller.is_served()
    });
    let mut version = cluster.version;
    for _ in 0..CHANGES {
        version = cluster.nodes[1].publish_again(version);
    }
    assert!(world.departed(&stopping.vm).is_empty());
    world.engines.hold_orders(engine_address(0), false);
    stopping.wait_ended();
    assert_eq!(world.departed(&stopping.vm).len(), 1);
    let settled = world.decided().into_iter().any(|one| match &one.record {
        ControlRecord::LoadSettled(settled) => {
            settled.proposer.vm == stopping.vm && one.is_accepted()
        }
        _ => false,
    });
    assert!(settled);
    cluster.nodes[1].caller.complete(&model).expect_complete();
    assert_eq!(world.load_orders(&model), 1);
}

/// Guards against a stop that loses the finish record of a booking whose append failed, although
/// the log is back within the grace time.
#[test]
fn stop_awaits_finishes() {
    let cluster = Cluster::start(2, 1, true);
    let (world, stopping) = (&cluster.world, &cluster.nodes[0]);
    let vm = stopping.vm.clone();
    let refused = world
        .log
        .fault_appends(AppendFault::Refuse, usize::MAX, move |append| {
            append.is_by(&vm) && append.has_finish()
        });
    stopping.caller.book("key").expect_complete();
    refused.wait_hits(1);
    start_stop(&cluster, StopSource::Signal);
    let hits = refused.hits();
    wait_until("the finish to be retried, or the stop to end", || {
        refused.hits() > hits + 3 || stopping.has_ended()
    });
    world.log.release(&refused);
    stopping.wait_ended();
    let elsewhere = &cluster.nodes[1].caller;
    wait_until("the booking to be replayed", || {
        elsewhere.book("key").replayed
    });
    assert_eq!(world.service.effects_of("key"), 1);
}
