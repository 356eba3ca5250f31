//! How much one round of planning does.

mod support;

use apricotdale_holder::PlannerAction;
use rstest::rstest;

use support::World;

/// The most placements of one round.
const PLACEMENTS_A_ROUND: usize = 4;

/// Symptom: the VM that gives orders stands still for a second, loses its lease, and takes it again
/// a moment later. Sequence: it takes over; all engines tell what they hold at once, and many
/// models are wanted. Cause: one round placed all of them before anything else was done.
#[rstest]
#[case::few(3)]
#[case::many(40)]
fn round_is_bounded(#[case] wanted: usize) {
    let names: Vec<String> = (0..wanted).map(|index| format!("m{index}")).collect();
    let engines: Vec<&[&str]> = vec![&[]; wanted];
    let mut world = World::new(wanted, &engines);
    world.run(1_000);
    for (index, name) in names.iter().enumerate() {
        world.copy_on_disk(index, name);
        world.want(name, None, 1);
    }
    world.planner.sync(&world.directory, |_| false);
    let mut rounds = 0;
    let mut orders = 0;
    loop {
        let actions = world.planner.plan(world.now_ms, &world.demand);
        let given = actions
            .iter()
            .filter(|action| matches!(action, PlannerAction::Order { .. }))
            .count();
        assert!(given <= PLACEMENTS_A_ROUND, "{given} in one round");
        rounds += 1;
        orders += given;
        // What is left follows at once.
        if world.planner.next_ms() != Some(0) {
            break;
        }
    }
    assert_eq!(orders, wanted);
    assert_eq!(rounds, wanted / PLACEMENTS_A_ROUND + 1);
}
