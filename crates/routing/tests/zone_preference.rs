//! Preference for upstreams in this VM's availability zone.

use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;

mod support;

use support::Fleet;
use support::candidates;
use support::play;

fn own_zone_share(fleet: &Fleet) -> f64 {
    let figures = play(fleet);
    f64::from(figures.own_zone) / f64::from(figures.requests())
}

fn three_zones() -> Fleet {
    Fleet {
        vms: 9,
        zones: 3,
        ..Fleet::default()
    }
}

#[test]
fn most_requests_stay_in_their_zone() {
    let figures = play(&three_zones());
    assert!(own_zone_share(&three_zones()) >= 0.7);
    assert!(figures.wait_ms(99) <= 800, "{} ms", figures.wait_ms(99));
}

/// Guards against preferring this VM's availability zone whatever its load: requests queue there
/// when other systems keep its engines busy, while those of the other zones are idle.
#[test]
fn a_busy_zone_sends_its_requests_to_the_others() {
    let zone_0 = (0..18).filter(|engine| engine % 3 == 0);
    let fleet = Fleet {
        load: 0.55,
        background: zone_0.map(|engine| (engine, 0.9)).collect(),
        ..three_zones()
    };
    let figures = play(&fleet);
    let to_busy: u32 = figures.sent.iter().step_by(3).sum();
    assert!(
        f64::from(to_busy) < 0.2 * f64::from(figures.requests()),
        "{to_busy}"
    );
}

#[test]
fn without_a_candidate_in_the_own_zone_another_is_taken() {
    let options = Options {
        own_zone: Some(ZoneName::new("zone-9")),
        ..Options::default()
    };
    let mut policy = CorrectedLoad::new(options);
    let chosen = policy.choose(0, &RouteRequest::default(), &candidates(3, 3));
    assert!(chosen.is_some());
    assert_eq!(policy.choose(0, &RouteRequest::default(), &[]), None);
}
