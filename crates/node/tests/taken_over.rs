//! Intents whose proposer stops in their midst.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;

use support::node::LOAD_TIMEOUT_MS;
use support::wait_until;
use support::world::Cluster;
use support::world::StopAt;

/// How often the VMs look at an intent after it was settled.
const LOOKS: usize = 4;

/// What the platform's list says of the VM that stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listed {
    Gone,
    Live,
}

fn take_overs(cluster: &Cluster) -> usize {
    let decided = cluster.world.decided();
    let records = decided.iter().filter(|one| one.is_accepted());
    let take_overs = records.filter(|one| matches!(one.record, ControlRecord::TakeOver(_)));
    take_overs.count()
}

fn let_others_notice(cluster: &Cluster, listed: Listed) {
    match listed {
        Listed::Gone => cluster.list_as_gone(0),
        Listed::Live => cluster.world.time.advance(2 * LOAD_TIMEOUT_MS),
    }
}

/// Symptom: a request waits for a load that nobody carries out. Sequence: a VM proposes a load and
/// stops before it sends the order; the intent stays open. Cause: nobody takes the intent over, or
/// whoever does waits for an order that never comes.
///
/// The VM that wakes later has no say any more: its order must not take effect.
#[rstest]
#[case(true, Listed::Gone)]
#[case(true, Listed::Live)]
#[case(false, Listed::Gone)]
fn an_intent_without_order_is_taken_over(#[case] checks_fence: bool, #[case] listed: Listed) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Intent, &model);
    let call = cluster.nodes[1].caller.begin_complete(&model);
    let_others_notice(&cluster, listed);
    call.reply().expect_whole();
    assert!(take_overs(&cluster) > 0);
    cluster.nodes[0].switch.thaw();
    cluster.wait_replayed(0);
    cluster.wait_looked(1);
    assert_eq!(world.effects_of(&cluster.nodes[0].vm, &model), 0);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Symptom: two engines load a model that was decided on once. Sequence: a VM stops after its
/// intent, and is still listed as live; others take the intent over and load elsewhere; the VM wakes
/// up and sends the order. Cause: a takeover where the engine would obey the late order.
#[test]
fn an_intent_that_an_obeying_engine_may_still_get_is_left_alone() {
    let cluster = Cluster::start(3, 2, false);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_complete(&model);
    let_others_notice(&cluster, Listed::Live);
    cluster.wait_looked(1);
    cluster.wait_looked(2);
    assert_eq!(
        (take_overs(&cluster), world.accepted_loads(&model).len()),
        (0, 1)
    );
    assert!(!call.is_answered());
    cluster.nodes[0].switch.thaw();
    call.reply().expect_whole();
    assert_eq!((world.holders(&model), world.load_orders(&model)), (1, 1));
}

/// Symptom: a model is loaded twice, or a replica that is there is used by nobody. Sequence: a VM
/// stops after its order took effect and before it could tell. Cause: the effect is not read from
/// the engine.
#[rstest]
fn an_effect_that_nobody_told_is_read_from_the_engine(
    #[values(true, false)] checks_fence: bool,
    #[values(Listed::Gone, Listed::Live)] listed: Listed,
) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Effect, &model);
    let call = cluster.nodes[1].caller.begin_complete(&model);
    let_others_notice(&cluster, listed);
    call.reply().expect_whole();
    cluster.nodes[0].switch.thaw();
    cluster.wait_replayed(0);
    cluster.wait_looked(1);
    assert_eq!(world.accepted_loads(&model).len(), 1);
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Symptom: an engine is told to load more than its memory holds. Sequence: a VM stops when it is
/// about to send an order to an engine that obeys; the list says that it is gone; others fill the
/// engine; the order arrives after all. Cause: the memory of an order that may still arrive was
/// given away.
#[test]
fn the_memory_of_an_order_that_may_still_arrive_stays_reserved() {
    let cluster = Cluster::start(3, 1, false);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Order, &model);
    let_others_notice(&cluster, Listed::Gone);
    wait_until("the intent to be taken over", || take_overs(&cluster) > 0);
    for preferred in [1, 2] {
        let other = cluster.model_preferring(preferred);
        cluster.nodes[preferred]
            .caller
            .complete(&other)
            .expect_whole();
    }
    cluster.nodes[0].switch.thaw();
    wait_until("the late order to arrive", || {
        world.effects_of(&cluster.nodes[0].vm, &model) == 1
    });
    assert!(world.memory_held());
}

/// Symptom: two engines load a model that was decided on once. Sequence: a VM stops when it is about to
/// send an order to an engine that checks numbers, and is still listed as live; others take the intent
/// over and load elsewhere; the VM wakes up and sends the order. Cause: the engine was not told of the
/// takeover's number, or the number of the order is not that of its intent.
#[test]
fn a_late_order_is_refused_by_its_number() {
    let cluster = Cluster::start(3, 2, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_complete(&model);
    let_others_notice(&cluster, Listed::Live);
    call.reply().expect_whole();
    cluster.nodes[0].switch.thaw();
    wait_until("the late order to arrive", || {
        world.load_orders(&model) == 2
    });
    cluster.wait_looked(0);
    assert_eq!(world.effects_of(&cluster.nodes[0].vm, &model), 0);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Symptom: the log fills with records of two VMs that take one intent from each other. Sequence: the
/// proposer stays frozen for long; its intent was taken over and settled as far as it can be. Cause:
/// each look finds it unsettled.
#[test]
fn a_settled_intent_is_not_taken_over_again() {
    let cluster = Cluster::start(3, 2, true);
    let model = cluster.model_preferring(0);
    cluster.stop_in_load(0, StopAt::Order, &model);
    let call = cluster.nodes[1].caller.begin_complete(&model);
    let_others_notice(&cluster, Listed::Live);
    call.reply().expect_whole();
    let before = take_overs(&cluster);
    for _ in 0..LOOKS {
        cluster.world.time.advance(2 * LOAD_TIMEOUT_MS);
        cluster.wait_looked(1);
        cluster.wait_looked(2);
    }
    assert_eq!(take_overs(&cluster), before);
}
