//! Calls under an idempotency key while claims and processes fail.

mod support;

use rstest::rstest;

use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::refusal::Ran;

use support::log_fault::AppendFault;
use support::service::CallFault;
use support::wait_until;
use support::world::Cluster;

/// Returns whether a call's finish record is on the stream.
fn has_ended(cluster: &Cluster, ran: Ran) -> bool {
    let records = cluster.world.log.records("claims-0");
    let batches = records
        .iter()
        .filter_map(|one| ClaimBatch::decode(&one.payload));
    let mut entries = batches.flat_map(|batch| batch.entries);
    entries.any(|entry| matches!(entry, ClaimRecord::Finish(end) if end.ran == ran))
}

/// Guards against a booking that is refused although it could run, or that runs twice. The answer
/// to the claim's append is lost, and the claim is appended again; the second record must grant
/// nothing.
#[test]
fn lost_claim_answer() {
    let cluster = Cluster::start(2, 1, true);
    let lost = cluster
        .world
        .log
        .fault_appends(AppendFault::LoseAnswer, 1, |append| append.has_claim());
    cluster.nodes[0].caller.book("key").expect_complete();
    lost.wait_hits(1);
    let elsewhere = &cluster.nodes[1].caller;
    wait_until("the finish to be replayed", || {
        elsewhere.book("key").replayed
    });
    assert_eq!(cluster.world.service.effects_of("key"), 1);
}

/// Guards against a booking that runs after it was refused as not run, and a key in progress for
/// ever. The claim reaches the stream only after its request was refused and the request's finish
/// record was appended.
#[test]
fn late_claim_freed() {
    let cluster = Cluster::start(2, 1, true);
    let (world, callers) = (
        &cluster.world,
        [0, 1].map(|node| &cluster.nodes[node].caller),
    );
    let late = world
        .log
        .fault_appends(AppendFault::Delay, usize::MAX, |append| append.has_claim());
    let refused = callers[0].book("key");
    assert_eq!(refused.refusal(), ("log_unavailable", "not_run"));
    wait_until("the finish to be on the stream", || {
        has_ended(&cluster, Ran::NotRun)
    });
    world.log.release(&late);
    assert_eq!(world.service.effects_of("key"), 0);
    wait_until("the key to be free", || {
        callers[1].book("key").status == 200
    });
    assert_eq!(world.service.effects_of("key"), 1);
}

/// Guards against a booking that runs twice because the caller sends it to another VM as well,
/// before the first claim is decided, during the call or after it.
#[test]
fn concurrent_duplicate_calls() {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let held = world
        .log
        .fault_appends(AppendFault::Hold, usize::MAX, |append| append.has_claim());
    let calls = [0, 1].map(|node| cluster.nodes[node].caller.begin_booking("key"));
    held.wait_hits(2);
    world.log.release(&held);
    let replies = calls.map(|call| call.reply());
    let complete = replies.iter().filter(|reply| reply.status == 200);
    assert!(complete.count() >= 1, "{replies:?}");
    assert_eq!(world.service.effects_of("key"), 1);
    for node in &cluster.nodes {
        wait_until("the finish to be replayed", || {
            node.caller.book("key").replayed
        });
    }
    assert_eq!(world.service.effects_of("key"), 1);
}

#[test]
fn duplicate_gets_answer() {
    let cluster = Cluster::start(2, 1, true);
    let (world, callers) = (
        &cluster.world,
        [0, 1].map(|node| &cluster.nodes[node].caller),
    );
    world.service.hold(true);
    let first = callers[0].begin_booking("key");
    world.service.wait_effect_of("key");
    for caller in callers {
        assert_eq!(caller.book("key").refusal(), ("key_in_progress", "unknown"));
        let other = caller.book_crew("key", "three");
        assert_eq!(other.refusal(), ("key_reused", "not_run"));
    }
    world.service.hold(false);
    let first = first.reply();
    first.expect_complete();
    for caller in callers {
        wait_until("the answer to be stored", || caller.book("key").replayed);
        assert_eq!(caller.book("key").body, first.body);
    }
    assert_eq!(world.service.effects_of("key"), 1);
}

/// Guards against a booking that runs twice, and a key in progress for ever. A VM stops during the
/// call, or the call's answer is lost, and the caller sends a duplicate elsewhere; the first call
/// may have run, and the claim of an ended process must be finished.
#[rstest]
fn unknown_outcome_not_retried(#[values(true, false)] process_ends: bool) {
    let cluster = Cluster::start(3, 1, true);
    let world = &cluster.world;
    let fault = match process_ends {
        true => CallFault::Pause,
        false => CallFault::LoseAnswer,
    };
    world.service.fault(fault);
    let first = cluster.nodes[0].caller.begin_booking("key");
    world.service.wait_effect_of("key");
    match process_ends {
        true => {
            wait_until("the daemon to be paused", || {
                cluster.nodes[0].switch.is_paused()
            });
            cluster.list_as_gone(0);
        }
        false => assert_eq!(first.reply().refusal().1, "unknown"),
    }
    for node in &cluster.nodes[1..] {
        wait_until("the outcome to be known as unknown", || {
            node.caller.book("key").refusal() == ("key_outcome_unknown", "unknown")
        });
    }
    wait_until("the finish to be on the stream", || {
        has_ended(&cluster, Ran::Unknown)
    });
    assert_eq!(world.service.effects_of("key"), 1);
}
