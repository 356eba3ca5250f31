//! Searches interleavings of appends, pauses, takeovers, restarts and lost answers for one that
//! overcommits an engine's memory, loads more replicas than were accepted or makes replays differ.

mod engine;
mod process;
mod steps;
mod world;

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Mutex;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use engine::FakeEngine;
use world::VMS;
use world::World;

/// Default seed of the search, fixed so that CI runs the same cases every time.
/// `STATE_SEARCH_SEED` overrides it.
const SEED: u64 = 20_260_101;
/// Default number of cases. `STATE_SEARCH_CASES` overrides it.
const CASES: u32 = 2_500;
/// Maximum number of steps of a case.
const MAX_STEPS: usize = 240;

/// One random step: its kind, the VM that acts, the choice among its options, and a variation such
/// as the loss of an append's answer.
type Step = (u8, u8, u8, u8);

fn take_step(world: &mut World, (kind, actor, choice, variation): Step) {
    let vm = usize::from(actor) % VMS;
    let index = usize::from(choice);
    let engine = index % world.engines.len();
    match kind % 64 {
        0 => world.start(vm, variation),
        1 => world.remove_vm(vm),
        2..=5 => world.depart(
            vm,
            world.gone.iter().position(|gone| *gone).unwrap_or(0),
            variation,
        ),
        6..=13 => world.propose_load(
            vm,
            index,
            usize::from(variation) % world.engines.len(),
            variation / 2,
        ),
        15..=19 => world.prepare_load(
            world.vm_matching(vm, |process| !process.startable_loads().is_empty()),
            index,
        ),
        20..=25 => world.send(
            world.vm_matching(vm, |process| !process.ready_to_send.is_empty()),
            index,
        ),
        26 => world.abandon(vm, index),
        27 => world.lose_answer(
            world.vm_matching(vm, |process| !process.awaiting_answer.is_empty()),
            index,
        ),
        28..=33 => {
            let engine = world.engine_matching(engine, |engine| !engine.inbox.is_empty());
            let answered = world.engines[engine].handle_order(usize::from(variation));
            world.answer(answered, variation > 200);
        }
        34..=39 => {
            let engine = world.engine_matching(engine, FakeEngine::is_busy);
            let answered = world.engines[engine].finish(usize::from(actor), variation % 8 != 0);
            world.answer(answered, variation > 200);
        }
        40 => world.engines[engine].restart(),
        41 | 42 => world.read_status(vm, engine),
        43 | 44 => {
            let vm = world.vm_matching(vm, |process| !process.statuses.is_empty());
            world.append_status(vm, index, variation);
        }
        14 | 45 | 46 => {
            let vm = world.vm_matching(vm, |process| !process.intents_to_take_over().is_empty());
            world.take_over(vm, index, variation);
        }
        47..=49 => {
            let vm = world.vm_matching(vm, |process| !process.intents_to_resolve().is_empty());
            world.resolve(vm, index, variation % 4 != 0);
            world.read_status(vm, engine);
        }
        50..=53 => world.settle(
            world.vm_matching(vm, |p| !p.outcomes.is_empty()),
            index,
            variation,
        ),
        54 | 55 => world.propose_unload(vm, index, variation),
        56 | 57 => world.prepare_unload(
            world.vm_matching(vm, |p| !p.intents_to_unload().is_empty()),
            index,
        ),
        58 if variation % 2 == 0 => world.remove_engine(vm, engine, variation / 2),
        58 => world.take_snapshot(vm),
        59 | 60 => world.append_delayed(index),
        61 => world.change_model(index),
        _ => world.replay(vm, 1 + index % 8),
    }
    // Most processes stay caught up most of the time.
    if variation % 4 != 3 {
        world.replay(vm, usize::MAX);
    }
    world.check();
}

/// Ends all processes and lets a new one settle everything. No memory may stay reserved.
fn check_all_settles(world: &mut World) {
    while !world.delayed_appends.is_empty() {
        world.append_delayed(0);
        world.check();
    }
    for vm in 1..VMS {
        world.remove_vm(vm);
    }
    world.start(0, 7);
    world.replay(0, usize::MAX);
    for engine in 0..world.engines.len() {
        world.read_status(0, engine);
        world.append_status(0, 0, 7);
    }
    world.replay(0, usize::MAX);
    for _ in 0..12 {
        for other in 1..VMS {
            world.depart(0, other, 7);
            world.replay(0, usize::MAX);
        }
    }
    settle_all(world);
    for engine in 0..world.engines.len() {
        world.engines[engine].restart();
        world.read_status(0, engine);
        world.append_status(0, 0, 7);
    }
    world.replay(0, usize::MAX);
    world.check();
    let left: Vec<_> = world.reference.replicas().collect();
    assert!(
        left.is_empty(),
        "replicas left after all processes ended: {left:#?}"
    );
}

/// Lets the remaining process take over and settle all unsettled intents.
fn settle_all(world: &mut World) {
    for _ in 0..4 {
        settle_round(world);
        world.check();
    }
    let unsettled: Vec<_> = world.reference.unsettled().collect();
    let stuck = unsettled
        .iter()
        .filter(|intent| !steps::is_lingering(world, intent));
    let stuck: Vec<_> = stuck.collect();
    assert!(
        stuck.is_empty(),
        "not settled although all senders have ended: {stuck:#?}"
    );
}

fn settle_round(world: &mut World) {
    let count = world.reference.unsettled().count();
    for index in (0..count).rev() {
        world.take_over(0, index, 7);
        world.replay(0, usize::MAX);
    }
    for index in 0..count {
        world.prepare_unload(0, index);
        world.send(0, 0);
    }
    for engine in 0..world.engines.len() {
        while let Some(answered) = world.engines[engine].run_next() {
            world.answer(answered, false);
        }
    }
    for index in 0..count {
        world.resolve(0, index, true);
    }
    observe_all(world);
    for index in (0..count).rev() {
        world.settle(0, index, 7);
    }
    observe_all(world);
}

fn observe_all(world: &mut World) {
    for engine in 0..world.engines.len() {
        world.read_status(0, engine);
        world.append_status(0, 0, 7);
    }
    world.replay(0, usize::MAX);
}

fn env_setting<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn replay_never_overcommits() {
    let cases = env_setting("STATE_SEARCH_CASES").unwrap_or(CASES);
    let seed = env_setting("STATE_SEARCH_SEED").unwrap_or(SEED);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let verdicts: Mutex<BTreeMap<&'static str, u64>> = Mutex::default();
    let case = (vec(any::<bool>(), 2), vec(any::<Step>(), 1..MAX_STEPS));
    let outcome = TestRunner::new(config).run(&case, |(checks_fence, steps)| {
        let mut world = World::new(&checks_fence);
        for step in steps {
            take_step(&mut world, step);
        }
        let counted = world.verdicts.clone();
        check_all_settles(&mut world);
        world.check_replays();
        let mut verdicts = verdicts.lock().expect("no case panics while it counts");
        for (code, count) in &counted {
            *verdicts.entry(code).or_default() += count;
        }
        Ok(())
    });
    let verdicts = verdicts.lock().expect("no case panics while it counts");
    println!("{cases} cases, seed {seed}, verdicts: {verdicts:?}");
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
