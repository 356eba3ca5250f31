//! Preference for upstreams in this VM's availability zone.

use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;

mod support;

use support::Fleet;
use support::candidates;
use support::simulate;

fn own_zone_share(fleet: &Fleet) -> f64 {
    let results = simulate(fleet);
    f64::from(results.own_zone) / f64::from(results.requests())
}

fn three_zones() -> Fleet {
    Fleet {
        vms: 9,
        zones: 3,
        ..Fleet::default()
    }
}

#[test]
fn own_zone_preferred() {
    let results = simulate(&three_zones());
    assert!(own_zone_share(&three_zones()) >= 0.7);
    assert!(results.wait_ms(99) <= 800, "{} ms", results.wait_ms(99));
}

/// Guards against preferring this VM's availability zone whatever its load: requests queue there
/// when other systems keep its engines busy, while those of the other zones are idle.
#[test]
fn busy_own_zone() {
    let zone_0 = (0..18).filter(|engine| engine % 3 == 0);
    let fleet = Fleet {
        load: 0.55,
        background: zone_0.map(|engine| (engine, 0.9)).collect(),
        ..three_zones()
    };
    let results = simulate(&fleet);
    let to_busy: u32 = results.sent.iter().step_by(3).sum();
    assert!(
        f64::from(to_busy) < 0.2 * f64::from(results.requests()),
        "{to_busy}"
    );
}

#[test]
fn no_own_zone_candidate() {
    let options = Options {
        own_zone: Some(ZoneName::new("zone-9")),
        ..Options::default()
    };
    let mut policy = CorrectedLoad::new(options);
    let chosen = policy.choose(0, &RouteRequest::default(), &candidates(3, 3));
    assert!(chosen.is_some());
    assert_eq!(policy.choose(0, &RouteRequest::default(), &[]), None);
}
