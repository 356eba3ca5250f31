//! Models that are used at regular times.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementPolicy;

use support::engine_with_checkpoint;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::replica;

const HALF_HOUR_MS: u64 = 1_800_000;

fn view(loaded: bool) -> FleetView {
    let replicas = loaded.then(|| replica("m", "e1", true));
    let host = engine_with_checkpoint("e1", "m", CacheTier::Disk);
    fleet(vec![host], vec![model("m")], replicas.into_iter().collect())
}

#[test]
fn loaded_ahead() {
    let mut policy = learned();
    for call in 0..6 {
        let now_ms = call * HALF_HOUR_MS;
        policy.arrived(now_ms, &"m".into());
        policy.plan(now_ms, &view(true));
    }
    let last_ms = 5 * HALF_HOUR_MS;
    let loaded_ms = (last_ms + 60_000..last_ms + HALF_HOUR_MS)
        .step_by(1_000)
        .find(|now_ms| !loads(&policy.plan(*now_ms, &view(false))).is_empty());
    let ahead_ms = last_ms + HALF_HOUR_MS - loaded_ms.expect("the load comes ahead of the call");
    // The predicted duration of the load is eight seconds, and the call may come slightly early.
    assert!((8_000..120_000).contains(&ahead_ms), "{ahead_ms} ms ahead");
}

#[test]
fn irregular_calls_ignored() {
    let mut policy = learned();
    let mut now_ms = 0;
    for gap_ms in [300_000, 2_400_000, 900_000, 4_000_000, 1_300_000] {
        now_ms += gap_ms;
        policy.arrived(now_ms, &"m".into());
        policy.plan(now_ms, &view(true));
    }
    for second in 60..7_200 {
        assert_eq!(
            loads(&policy.plan(now_ms + second * 1_000, &view(false))),
            []
        );
    }
}
