//! Consumer groups of the platform's store.

mod support;

use serde_json::Value;
use serde_json::json;

use apricotdale_standins::platform::PlatformStore;

use support::Standin;

const TTL_MS: u64 = 60_000;

fn join(store: &Standin, member: &str, generation: u64, ttl_ms: u64) -> (u64, Vec<u64>) {
    let answer = store.post(
        "/api/log-join",
        &json!({
            "group": "g", "member": member, "topics": ["work"], "ttl_ms": ttl_ms,
            "generation": generation,
        }),
    );
    assert_eq!(answer.status, 200);
    let rows = answer.body["parts"].as_array().cloned().unwrap_or_default();
    let parts = rows.iter().filter_map(|row| row[1].as_u64()).collect();
    (
        answer.body["generation"].as_u64().unwrap_or_default(),
        parts,
    )
}

fn commit(store: &Standin, member: &str, generation: u64, part: u64) -> u16 {
    let call = json!({
        "group": "g", "member": member, "generation": generation, "topic": "work", "part": part,
        "offset": 7,
    });
    store.post("/api/log-commit", &call).status
}

fn owners(store: &Standin) -> Vec<Value> {
    let answer = store.get("/api/log-owners?group=g");
    answer.body["parts"].as_array().cloned().unwrap_or_default()
}

#[test]
fn first_member() {
    let store = support::start(PlatformStore::default());
    let (generation, parts) = join(&store, "a", 0, TTL_MS);
    assert_eq!((generation, parts), (1, vec![0, 1, 2, 3]));
    assert_eq!(owners(&store).len(), 4);
}

/// A partition gets another owner only once its present owner has seen the new generation.
#[test]
fn partition_reassigned() {
    let store = support::start(PlatformStore::default());
    join(&store, "a", 0, TTL_MS);
    let (generation, parts) = join(&store, "b", 0, TTL_MS);
    assert_eq!((generation, parts), (2, Vec::new()));
    assert_eq!(commit(&store, "a", 1, 1), 200);
    assert_eq!(join(&store, "a", 1, TTL_MS).1, vec![0, 1, 2, 3]);
    assert_eq!(join(&store, "a", 2, TTL_MS).1, vec![0, 2]);
    assert_eq!(join(&store, "b", 2, TTL_MS).1, vec![1, 3]);
    assert_eq!(commit(&store, "a", 2, 1), 409);
    assert_eq!(commit(&store, "b", 2, 1), 200);
    assert_eq!(commit(&store, "b", 1, 1), 409);
}

#[test]
fn committed_offset() {
    let store = support::start(PlatformStore::default());
    join(&store, "a", 0, TTL_MS);
    assert_eq!(commit(&store, "a", 1, 2), 200);
    assert!(owners(&store).contains(&json!(["work", 2, "a", 7])));
}

#[test]
fn leaving_member() {
    let store = support::start(PlatformStore::default());
    join(&store, "a", 0, TTL_MS);
    join(&store, "b", 0, TTL_MS);
    store.post("/api/log-leave", &json!({"group": "g", "member": "a"}));
    assert_eq!(join(&store, "b", 2, TTL_MS).1, vec![0, 1, 2, 3]);
}

#[test]
fn expired_member() {
    let store = support::start(PlatformStore::default());
    join(&store, "a", 0, 0);
    assert_eq!(join(&store, "b", 0, TTL_MS).1, vec![0, 1, 2, 3]);
    assert_eq!(commit(&store, "a", 1, 0), 409);
}
