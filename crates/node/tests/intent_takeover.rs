//! Intents whose proposer stops before they are settled.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;

use support::node::LOAD_TIMEOUT_MS;
use support::wait_until;
use support::world::Cluster;
use support::world::PauseAt;

/// Number of checks that the VMs make of an intent after it was settled.
const CHECKS: usize = 4;

/// State of the stopped VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listed {
    Gone,
    Live,
}

fn accepted_takeovers(cluster: &Cluster) -> usize {
    let decided = cluster.world.decided();
    let records = decided.iter().filter(|one| one.is_accepted());
    let accepted_takeovers = records.filter(|one| matches!(one.record, ControlRecord::TakeOver(_)));
    accepted_takeovers.count()
}

fn advance_until_noticed(cluster: &Cluster, listed: Listed) {
    match listed {
        Listed::Gone => cluster.list_as_gone(0),
        Listed::Live => cluster.world.time.advance(2 * LOAD_TIMEOUT_MS),
    }
}

/// Guards against a request that waits for a load that is never carried out. A VM proposes a load
/// and stops before it sends the order; another VM must take the intent over, without waiting for
/// the order.
///
/// If the first VM resumes later, its order must not take effect.
#[rstest]
#[case(true, Listed::Gone)]
#[case(true, Listed::Live)]
#[case(false, Listed::Gone)]
fn unsent_order_takeover(#[case] checks_fence: bool, #[case] listed: Listed) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Intent, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    advance_until_noticed(&cluster, listed);
    call.reply().expect_complete();
    assert!(accepted_takeovers(&cluster) > 0);
    cluster.nodes[0].switch.resume();
    cluster.wait_replayed(0);
    cluster.wait_handled(1);
    assert_eq!(world.effects_of(&cluster.nodes[0].vm, &model), 0);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Guards against one accepted load that two engines carry out. A VM stops after its intent and is
/// still listed as live. The engine doesn't check fencing tokens, so the late order of the VM could
/// still take effect, and the intent must not be taken over.
#[test]
fn unfenced_intent_kept() {
    let cluster = Cluster::start(3, 2, false);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    advance_until_noticed(&cluster, Listed::Live);
    cluster.wait_handled(1);
    cluster.wait_handled(2);
    assert_eq!(
        (
            accepted_takeovers(&cluster),
            world.accepted_loads(&model).len()
        ),
        (0, 1)
    );
    assert!(!call.is_answered());
    cluster.nodes[0].switch.resume();
    call.reply().expect_complete();
    assert_eq!((world.holders(&model), world.load_orders(&model)), (1, 1));
}

/// Guards against a model that is loaded twice, or a replica that is never used. A VM stops after
/// its order took effect and before it recorded that; the effect must be read from the engine.
#[rstest]
fn unrecorded_effect_found(
    #[values(true, false)] checks_fence: bool,
    #[values(Listed::Gone, Listed::Live)] listed: Listed,
) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Effect, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    advance_until_noticed(&cluster, listed);
    call.reply().expect_complete();
    cluster.nodes[0].switch.resume();
    cluster.wait_replayed(0);
    cluster.wait_handled(1);
    assert_eq!(world.accepted_loads(&model).len(), 1);
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Guards against orders for more models than an engine's memory can hold. A VM stops right before
/// it sends an order to an engine that doesn't check fencing tokens; the list shows it as gone;
/// others fill the engine; then the order arrives. Its memory must stay reserved.
#[test]
fn pending_order_memory() {
    let cluster = Cluster::start(3, 1, false);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Order, &model);
    advance_until_noticed(&cluster, Listed::Gone);
    wait_until("the intent to be taken over", || {
        accepted_takeovers(&cluster) > 0
    });
    for preferred in [1, 2] {
        let other = cluster.model_preferring(preferred);
        cluster.nodes[preferred]
            .caller
            .complete(&other)
            .expect_complete();
    }
    cluster.nodes[0].switch.resume();
    wait_until("the late order to arrive", || {
        world.effects_of(&cluster.nodes[0].vm, &model) == 1
    });
    assert!(world.memory_held());
}

/// Guards against one accepted load that two engines carry out. A VM stops right before it sends an
/// order to an engine that checks fencing tokens, and is still listed as live; others take the
/// intent over and load elsewhere; the VM resumes and sends the order. The engine must have the
/// takeover's fencing token, and the order that of its intent.
#[test]
fn stale_token_refused() {
    let cluster = Cluster::start(3, 2, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    advance_until_noticed(&cluster, Listed::Live);
    call.reply().expect_complete();
    cluster.nodes[0].switch.resume();
    wait_until("the late order to arrive", || {
        world.load_orders(&model) == 2
    });
    cluster.wait_handled(0);
    assert_eq!(world.effects_of(&cluster.nodes[0].vm, &model), 0);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Guards against a log that fills with records of two VMs that take one intent from each other.
/// The proposer stays paused for long; its intent was taken over and settled as far as possible,
/// but still counts as unsettled.
#[test]
fn settled_intent_kept() {
    let cluster = Cluster::start(3, 2, true);
    let model = cluster.model_preferring(0);
    cluster.pause_in_load(0, PauseAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_completion(&model);
    advance_until_noticed(&cluster, Listed::Live);
    call.reply().expect_complete();
    let before = accepted_takeovers(&cluster);
    for _ in 0..CHECKS {
        cluster.world.time.advance(2 * LOAD_TIMEOUT_MS);
        cluster.wait_handled(1);
        cluster.wait_handled(2);
    }
    assert_eq!(accepted_takeovers(&cluster), before);
}
