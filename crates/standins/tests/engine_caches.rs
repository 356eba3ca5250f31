//! Cached checkpoints and prompt prefixes.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use rstest::rstest;
use serde_json::json;

use apricotdale_standins::engine::HostCache;
use apricotdale_standins::engine::Options;
use apricotdale_standins::engine::PREFIX_BYTES;
use apricotdale_standins::engine::PrefixCache;
use apricotdale_standins::engine::prefix_hash;

#[test]
fn least_recently_used_evicted() {
    let [a, b, c] = ["a", "b", "c"].map(ModelName::from);
    let mut cache = HostCache::new(10, 20);
    cache.touch(&a, 10);
    cache.touch(&b, 10);
    assert_eq!(
        (cache.tier(&a), cache.tier(&b)),
        (CacheTier::Disk, CacheTier::Memory)
    );
    cache.touch(&a, 10);
    cache.touch(&c, 10);
    assert_eq!(
        (cache.tier(&a), cache.tier(&b)),
        (CacheTier::Disk, CacheTier::Remote)
    );
    cache.forget_memory();
    assert_eq!(cache.tier(&c), CacheTier::Disk);
    let held: Vec<CacheTier> = cache
        .checkpoints()
        .into_iter()
        .map(|held| held.tier)
        .collect();
    assert_eq!(held, [CacheTier::Disk, CacheTier::Disk]);
}

#[rstest]
#[case::none_published(0, 109, &[])]
#[case::late(0, 110, &[1])]
#[case::all(0, 999, &[1, 2, 4, 5])]
#[case::after(4, 999, &[5])]
fn late_cache_events(#[case] after: u64, #[case] now_ms: u64, #[case] sequences: &[u64]) {
    let model = ModelName::new("m");
    let mut cache = PrefixCache::new(2, 100, 3);
    assert!(!cache.touch(10, &model, 7));
    assert!(!cache.touch(20, &model, 8));
    assert!(cache.touch(25, &model, 7));
    // Event 3, which is lost, drops prefix 8, event 4 caches prefix 9, event 5 drops prefix 7.
    cache.touch(30, &model, 9);
    cache.touch(40, &model, 6);
    let events = cache.events(now_ms, after);
    let found: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    assert_eq!(found, sequences);
    for event in events.iter().filter(|event| event.sequence == 5) {
        assert_eq!((event.prefix_hash, event.cached), (7, false));
    }
}

#[test]
fn prompt_prefix_event() {
    let engine = support::engine_with(Options::default(), &["m"]);
    let prompt = "x".repeat(PREFIX_BYTES);
    for end in ["a", "b"] {
        let body = json!({"model": "m", "prompt": format!("{prompt}{end}"), "max_tokens": 1});
        assert_eq!(engine.post("/v1/completions", &body).status, 200);
    }
    let events = engine.get("/cache-events?after=0").body;
    let hash = prefix_hash(&json!(prompt).to_string());
    assert_eq!(
        events,
        json!([{"sequence": 1, "prefix_hash": hash, "cached": true}])
    );
}
