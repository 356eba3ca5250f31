//! Random search over the planner with demand, lost answers and late orders. Engines must never be
//! overcommitted.

mod support;

use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

use support::OrderFault;
use support::World;

#[derive(Clone, Copy, Debug)]
enum Step {
    Want { model: u32, waiting_for_load: u32 },
    WantAdapter { model: u32, adapter: u32 },
    Busy { model: u32, running: u32 },
    Fault { engine: usize, fault: OrderFault },
    Pass { for_ms: u64 },
}

const ENGINES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        proptest::strategy::Just(OrderFault::LostAnswer),
        proptest::strategy::Just(OrderFault::Lost),
        (100..4_000_u64).prop_map(|after_ms| OrderFault::Late { after_ms }),
    ];
    prop_oneof![
        4 => (0..10_u32, 1..4_u32).prop_map(|(model, waiting_for_load)| Step::Want { model, waiting_for_load }),
        4 => (0..2_u32, 0..8_u32).prop_map(|(model, adapter)| Step::WantAdapter { model, adapter }),
        1 => (0..10_u32, 1..12_u32).prop_map(|(model, running)| Step::Busy { model, running }),
        1 => (0..ENGINES, fault).prop_map(|(engine, fault)| Step::Fault { engine, fault }),
        5 => (1..400_u64).prop_map(|for_ms| Step::Pass { for_ms }),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn never_overcommitted(steps in proptest::collection::vec(step(), 20..120)) {
        let mut world = World::new(10, &[&["m0", "m2"], &["m0", "m1"], &["m3", "m4"]]);
        world.run(20);
        for step in steps {
            match step {
                Step::Want { model, waiting_for_load } => world.want(&format!("m{model}"), None, waiting_for_load),
                Step::WantAdapter { model, adapter } => {
                    world.want(&format!("m{model}"), Some(&format!("a{adapter}")), 1);
                }
                Step::Busy { model, running } => {
                    world.demand_running(&format!("m{model}"), running);
                }
                Step::Fault { engine, fault } => world.engine(engine).fault = Some(fault),
                Step::Pass { for_ms } => world.run(for_ms),
            }
        }
        assert_eq!(world.overcommitted(), []);
    }
}
