//! Preference for upstreams that have cached a prompt prefix, limited by their load.

use apricotdale_routing::Options;

mod support;

use support::Figures;
use support::Fleet;
use support::play;

fn with_cap(affinity_pressure: f64, prefixes: u64) -> Figures {
    let options = Options {
        affinity_pressure,
        ..Options::default()
    };
    play(&Fleet {
        options,
        prefixes,
        ..Fleet::default()
    })
}

fn hit_share(figures: &Figures) -> f64 {
    f64::from(figures.prefix_hits) / f64::from(figures.requests())
}

#[test]
fn prefixes_return_to_where_they_are_cached() {
    let cap = Options::default().affinity_pressure;
    let with = with_cap(cap, 2_000);
    let without = with_cap(f64::NEG_INFINITY, 2_000);
    assert!(hit_share(&with) >= 4.0 * hit_share(&without));
    assert!(with.wait_ms(99) <= without.wait_ms(99));
}

/// Guards against preferring the engine with a cached prefix whatever its load: if half of all
/// requests share one prefix, its queue grows while the other engines are idle.
#[test]
fn a_prefix_that_all_share_spreads_over_the_engines() {
    let capped = with_cap(Options::default().affinity_pressure, 10);
    let uncapped = with_cap(f64::INFINITY, 10);
    assert!(capped.wait_ms(99) <= 500, "{} ms", capped.wait_ms(99));
    assert!(capped.longest_queue * 3 < uncapped.longest_queue);
}
