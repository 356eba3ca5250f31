//! How long idle replicas are kept.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::engine;
use support::engine_with_checkpoint;
use support::first_unload_ms;
use support::fleet;
use support::learned;
use support::model;
use support::replica;
use support::unloads;

const HOUR_MS: u64 = 3_600_000;

fn first_unload_after_ms(tier: CacheTier) -> u64 {
    let bytes = 2 * GB;
    let mut policy = learned();
    let host = engine_with_checkpoint("e1", "m", tier);
    let mut view = model("m");
    view.bytes = bytes;
    let mut held = replica("m", "e1", true);
    held.bytes = bytes;
    let view = fleet(vec![host], vec![view], vec![held]);
    first_unload_ms(&mut policy, &view, 0, 72 * HOUR_MS, 1_000).unwrap()
}

#[test]
fn slow_load_kept_longer() {
    let fast_ms = first_unload_after_ms(CacheTier::Memory);
    let slow_ms = first_unload_after_ms(CacheTier::Remote);
    assert!(fast_ms < slow_ms, "{fast_ms} ms against {slow_ms} ms");
}

#[test]
fn frequent_model_kept() {
    let view = |running| {
        let mut view = model("m");
        view.running = running;
        let host = engine_with_checkpoint("e1", "m", CacheTier::Disk);
        fleet(vec![host], vec![view], vec![replica("m", "e1", true)])
    };
    let kept_ms = |gap_ms: u64| {
        let mut policy = learned();
        for call in 0..40 {
            policy.arrived(call * gap_ms, &"m".into());
            policy.plan(call * gap_ms, &view(0));
        }
        let last_ms = 39 * gap_ms;
        first_unload_ms(
            &mut policy,
            &view(0),
            last_ms + 1,
            last_ms + 48 * HOUR_MS,
            5_000,
        )
        .map(|at_ms| at_ms - last_ms)
    };
    // With calls every minute, an hour without calls shows that the model is no longer used. With
    // two hours between calls, keeping the replica would cost more than a cold start.
    let every_minute = kept_ms(60_000).unwrap();
    assert!((60_000..HOUR_MS).contains(&every_minute), "{every_minute}");
}

/// Guards against loading and unloading a model over and over, when requests come slightly further
/// apart than the time for which the replica is kept. Each decision would be right on its own, but
/// not the sequence.
#[test]
fn no_rapid_alternation() {
    let mut policy = learned();
    let view = |since_ms| {
        let mut held = replica("m", "e1", true);
        held.since_ms = since_ms;
        let host = engine_with_checkpoint("e1", "m", CacheTier::Memory);
        fleet(vec![host], vec![model("m")], vec![held])
    };
    // With hours between the calls, the estimates alone would not keep the replica at all.
    let mut now_ms = 0;
    for call in 0..40 {
        now_ms += HOUR_MS * (3 + call * call % 7);
        policy.arrived(now_ms, &"m".into());
        policy.plan(now_ms, &view(now_ms));
    }
    let unloaded_ms = first_unload_ms(&mut policy, &view(now_ms), now_ms, now_ms + HOUR_MS, 500);
    let kept_ms = unloaded_ms.unwrap() - now_ms;
    // The predicted duration of a load of 14 GB from memory is about two seconds.
    assert!((15_000..60_000).contains(&kept_ms), "{kept_ms} ms");
}

#[test]
fn steady_demand_kept() {
    let mut policy = learned();
    for second in 0..7_200 {
        let now_ms = second * 1_000;
        let mut view = model("m");
        // Every seven seconds, a call runs for two seconds.
        if second % 7 == 0 {
            policy.arrived(now_ms, &view.model);
        }
        view.running = u32::from(second % 7 < 2);
        let view = fleet(
            vec![engine("e1")],
            vec![view],
            vec![replica("m", "e1", true)],
        );
        assert_eq!(unloads(&policy.plan(now_ms, &view)), [], "after {second} s");
    }
}
