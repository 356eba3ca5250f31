//! Cached prompt prefixes against queueing.

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

/// Symptom: one engine's queue holds a hundred requests while the others idle.
/// Sequence: half of all requests share one prompt prefix, which every VM sends to the same engine.
/// Cause: the cached prefix is preferred whatever the load of the engine that has it.
#[test]
fn a_prefix_that_all_share_spreads_over_the_engines() {
    let capped = with_cap(Options::default().affinity_pressure, 10);
    let uncapped = with_cap(f64::INFINITY, 10);
    assert!(capped.wait_ms(99) <= 500, "{} ms", capped.wait_ms(99));
    assert!(capped.longest_queue * 3 < uncapped.longest_queue);
}
