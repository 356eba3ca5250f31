//! The same history leads to the same proposals.

mod support;

use rstest::rstest;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_placement::Options;
use apricotdale_placement::placement_policy;

use support::engine_with_checkpoint;
use support::fleet;
use support::model;
use support::replica;
use support::waiting;

fn play_history(policy: &mut dyn PlacementPolicy) -> Vec<PlacementAction> {
    let mut proposed = Vec::new();
    for step in 0..400_u64 {
        let now_ms = step * 700;
        let engines = (0..6)
            .map(|index| {
                let cached = format!("m{}", (index + step) % 12);
                engine_with_checkpoint(&format!("e{index}"), &cached, CacheTier::Disk)
            })
            .collect();
        let models = (0..12)
            .map(|index| {
                let name = format!("m{index}");
                match (step + index * index) % 7 {
                    0 => waiting(&name, 1 + (index as u32) % 3, 3_000 + 1_000 * index),
                    _ => model(&name),
                }
            })
            .collect();
        let replicas = (0..12)
            .filter(|index| (step / 20 + index) % 3 == 0)
            .map(|index| {
                replica(
                    &format!("m{index}"),
                    &format!("e{}", index % 6),
                    step % 20 > 3,
                )
            })
            .collect();
        policy.arrived(now_ms, &format!("m{}", step % 12).as_str().into());
        proposed.extend(policy.plan(now_ms, &fleet(engines, models, replicas)));
    }
    proposed
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn instances_agree(#[case] name: &str) {
    let mut first = placement_policy(name, Options::default()).unwrap();
    let mut second = placement_policy(name, Options::default()).unwrap();
    let proposed = play_history(first.as_mut());
    assert!(proposed.len() > 20, "only {} proposals", proposed.len());
    assert_eq!(proposed, play_history(second.as_mut()));
}
