//! Schedule of a load run: determinism, kinds of requests, duplicates, load surge and time scale.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use apricotdale_load_tool::load::case::Case;
use apricotdale_load_tool::load::options::LoadOptions;
use apricotdale_load_tool::load::scale::Scale;
use apricotdale_load_tool::load::schedule::PlannedRequest;
use apricotdale_load_tool::load::schedule::Work;
use apricotdale_load_tool::load::schedule::schedule;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::trace;

fn deployment() -> Deployment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    Deployment::read(&folder.join("../policy-replay/deployments/scaravilli.ini"))
        .expect("the deployment can be read")
}

fn planned(case: Case, seed: u64) -> Vec<PlannedRequest> {
    let deployment = deployment();
    let options = LoadOptions {
        seed,
        ..LoadOptions::default()
    };
    let scale = Scale::new(&options);
    let surge = case.surge(&deployment, &scale);
    let until_ms = scale.trace_at_ms(1.0) as u64;
    let trace = trace(&deployment, seed, until_ms, surge);
    schedule(&trace, &scale, &options)
}

#[test]
fn same_seed_repeats() {
    assert_eq!(planned(Case::Usual, 1), planned(Case::Usual, 1));
    assert_ne!(planned(Case::Usual, 1), planned(Case::Usual, 2));
}

#[test]
fn all_kinds_everywhere() {
    let options = LoadOptions::default();
    let planned = planned(Case::Usual, 1);
    assert!(planned.is_sorted_by_key(|one| one.at));
    for vm in 0..options.vms {
        let of_vm = || planned.iter().filter(|one| one.vm == vm);
        let is = |kind: fn(&Work) -> bool| of_vm().any(|one| kind(&one.work));
        assert!(is(|work| matches!(
            work,
            Work::Completion { stream: true, .. }
        )));
        assert!(is(|work| matches!(
            work,
            Work::Completion { stream: false, .. }
        )));
        assert!(is(|work| matches!(work, Work::ShelfLookup { .. })));
        assert!(is(|work| matches!(
            work,
            Work::CutOrder { keyed: true, .. }
        )));
        assert!(is(|work| matches!(
            work,
            Work::CutOrder { keyed: false, .. }
        )));
    }
}

#[test]
fn duplicates_keep_key() {
    let planned = planned(Case::Usual, 1);
    let mut orders: BTreeMap<u64, Vec<&PlannedRequest>> = BTreeMap::new();
    for one in &planned {
        if let Work::CutOrder { order, .. } = one.work {
            orders.entry(order).or_default().push(one);
        }
    }
    let repeated: Vec<_> = orders.values().filter(|sent| sent.len() > 1).collect();
    assert!(!repeated.is_empty());
    for sent in repeated {
        let [first, second] = sent[..] else {
            panic!("an order is sent {} times", sent.len());
        };
        assert!(matches!(first.work, Work::CutOrder { keyed: true, .. }));
        assert_eq!(first.work, second.work);
        assert_eq!(first.caller, second.caller);
        assert_ne!(first.vm, second.vm);
        assert!(!first.is_duplicate && second.is_duplicate);
    }
}

#[test]
fn surge_doubles_capacity() {
    let deployment = deployment();
    let options = LoadOptions::default();
    let scale = Scale::new(&options);
    let token_s = scale.time_ms(50) as f64 / 1_000.0;
    let (from, to) = (scale.moment(1.0 / 3.0), scale.moment(2.0 / 3.0));
    let work_s = |case: Case| -> f64 {
        let planned = planned(case, 1);
        let inside = planned.iter().filter(|one| one.at >= from && one.at < to);
        inside
            .map(|one| match one.work {
                Work::Completion { tokens, .. } => f64::from(tokens) * token_s,
                Work::ShelfLookup { .. } | Work::CutOrder { .. } => 0.0,
            })
            .sum()
    };
    let slots = deployment.engines.count as f64 * f64::from(deployment.engines.slots);
    let added = (work_s(Case::Overload) - work_s(Case::Usual)) / (to - from).as_secs_f64();
    // Run times are drawn, so the sum is only near its mean.
    let times = added / slots;
    assert!((1.6..2.4).contains(&times), "{times} times the slots");
}

#[test]
fn times_scale_evenly() {
    let options = LoadOptions {
        speed: 4.0,
        compression: 5.0,
        warm_up: Duration::from_secs(10),
        measured: Duration::from_secs(50),
        ..LoadOptions::default()
    };
    let scale = Scale::new(&options);
    assert_eq!(scale.time_ms(2_500), 625);
    assert_eq!(scale.rate(8.0), 32.0);
    let begin_ms = scale.trace_from_ms() as u64;
    assert_eq!(scale.arrival(begin_ms), Some(Duration::ZERO));
    assert_eq!(
        scale.arrival(begin_ms + 20_000),
        Some(Duration::from_secs(1))
    );
    assert_eq!(scale.arrival(begin_ms - 1), None);
    assert_eq!(scale.arrival(begin_ms + 60 * 20_000), None);
    assert_eq!(scale.moment(0.5), Duration::from_secs(35));
}
