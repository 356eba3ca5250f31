//! Preference for upstreams that have cached a prompt prefix, limited by their load.

use apricotdale_routing::Options;

mod support;

use support::Fleet;
use support::Results;
use support::simulate;

fn simulate_with_cap(affinity_pressure: f64, prefixes: u64) -> Results {
    let options = Options {
        affinity_pressure,
        ..Options::default()
    };
    simulate(&Fleet {
        options,
        prefixes,
        ..Fleet::default()
    })
}

fn hit_share(results: &Results) -> f64 {
    f64::from(results.prefix_hits) / f64::from(results.requests())
}

#[test]
fn cached_prefixes_preferred() {
    let cap = Options::default().affinity_pressure;
    let with = simulate_with_cap(cap, 2_000);
    let without = simulate_with_cap(f64::NEG_INFINITY, 2_000);
    assert!(hit_share(&with) >= 4.0 * hit_share(&without));
    assert!(with.wait_ms(99) <= without.wait_ms(99));
}

/// Guards against preferring the engine with a cached prefix whatever its load: if half of all
/// requests share one prefix, its queue grows while the other engines are idle.
#[test]
fn shared_prefix_spreads() {
    let capped = simulate_with_cap(Options::default().affinity_pressure, 10);
    let uncapped = simulate_with_cap(f64::INFINITY, 10);
    assert!(capped.wait_ms(99) <= 500, "{} ms", capped.wait_ms(99));
    assert!(capped.longest_queue * 3 < uncapped.longest_queue);
}
