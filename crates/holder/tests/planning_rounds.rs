//! Limit on the work of one planning round.

mod support;

use apricotdale_holder::PlannerAction;
use rstest::rstest;

use support::World;

/// Maximum number of placements in a round.
const MAX_PLACEMENTS_PER_ROUND: usize = 4;

/// Guards against a planning round that takes a second, so that the VM loses its lease: after a
/// takeover all engines report at once and many models are wanted.
#[rstest]
#[case::few(3)]
#[case::many(40)]
fn placements_per_round_limited(#[case] wanted: usize) {
    let names: Vec<String> = (0..wanted).map(|index| format!("m{index}")).collect();
    let engines: Vec<&[&str]> = vec![&[]; wanted];
    let mut world = World::new(wanted, &engines);
    world.run(1_000);
    for (index, name) in names.iter().enumerate() {
        world.cache_on_disk(index, name);
        world.want(name, None, 1);
    }
    world.planner.sync(&world.directory, |_| false);
    let mut rounds = 0;
    let mut orders = 0;
    loop {
        let actions = world.planner.plan(world.now_ms, &world.demand);
        let orders_in_round = actions
            .iter()
            .filter(|action| matches!(action, PlannerAction::Order { .. }))
            .count();
        assert!(
            orders_in_round <= MAX_PLACEMENTS_PER_ROUND,
            "{orders_in_round} in one round"
        );
        rounds += 1;
        orders += orders_in_round;
        // The remaining placements follow in the next round, without a delay.
        if world.planner.next_ms() != Some(0) {
            break;
        }
    }
    assert_eq!(orders, wanted);
    assert_eq!(rounds, wanted / MAX_PLACEMENTS_PER_ROUND + 1);
}
