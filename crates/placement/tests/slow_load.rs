//! Loads that take much longer than expected.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use support::engine;
use support::engine_with_checkpoint;
use support::fleet;
use support::learned;
use support::loads;
use support::pair;
use support::replica;
use support::waiting;

fn view(loading: bool) -> FleetView {
    let engines = vec![
        engine_with_checkpoint("e1", "m", CacheTier::Memory),
        engine_with_checkpoint("e2", "m", CacheTier::Disk),
        engine("e3"),
    ];
    let replicas = loading.then(|| replica("m", "e1", false));
    fleet(
        engines,
        vec![waiting("m", 2, 60_000)],
        replicas.into_iter().collect(),
    )
}

/// Guards against waiting for a load on an engine that hangs although other engines could load the
/// model in seconds.
#[test]
fn slow_load_hedged_once() {
    let mut policy = learned();
    assert_eq!(loads(&policy.plan(0, &view(false))), [pair("m", "e1")]);
    assert_eq!(loads(&policy.plan(2_000, &view(true))), []);
    assert_eq!(loads(&policy.plan(8_000, &view(true))), [pair("m", "e2")]);
    let mut hedged = view(true);
    hedged.replicas.push(replica("m", "e2", false));
    assert_eq!(loads(&policy.plan(60_000, &hedged)), []);
}

#[test]
fn slow_store_not_hedged() {
    let mut policy = learned();
    let engines = || vec![engine("e1"), engine("e2")];
    let models = || vec![waiting("m", 2, 600_000)];
    let first = loads(&policy.plan(0, &fleet(engines(), models(), Vec::new())));
    let loading = || fleet(engines(), models(), vec![replica("m", &first[0].1, false)]);
    for second in 1..300 {
        assert_eq!(loads(&policy.plan(second * 1_000, &loading())), []);
    }
}

#[test]
fn slow_store_predicted() {
    let ready_ms = |slow: bool| {
        let mut policy = learned();
        let known = waiting("known", 1, 600_000);
        policy.plan(0, &fleet(vec![engine("e1")], vec![known], Vec::new()));
        if slow {
            for load in 1..5 {
                policy.loaded(load * 100_000, &"known".into(), CacheTier::Remote, 80_000);
            }
        }
        let view = fleet(
            vec![engine("e1")],
            vec![waiting("m", 1, 600_000)],
            Vec::new(),
        );
        let actions = policy.plan(1_000_000, &view);
        let ready = actions.iter().find_map(|action| match action {
            PlacementAction::Load { ready_at_ms, .. } => Some(*ready_at_ms),
            _ => None,
        });
        ready.unwrap() - 1_000_000
    };
    assert!(ready_ms(true) > 2 * ready_ms(false));
}
