//! Rollbacks of the platform's store to older contents.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::PlatformStore;
use apricotdale_standins::platform::StoreFault;

const TIMEOUT: Duration = Duration::from_secs(30);

fn get(store: SocketAddr, target: &str) -> Answer {
    let mut caller = Caller::connect(store, TIMEOUT).expect("the store listens");
    let call = format!("GET {target} HTTP/1.1\r\nHost: store\r\n\r\n");
    caller
        .send(call.as_bytes())
        .expect("the connection is open");
    caller.answer().expect("an answer")
}

fn read(store: SocketAddr, from: u64) -> Answer {
    get(store, &format!("/api/log-read?topic=keyed.op&from={from}"))
}

fn era(answer: &Answer) -> Option<String> {
    answer.header("Store-Era")
}

#[test]
fn offsets_reused() {
    let store = PlatformStore::default();
    let running = support::start(store.endpoint());
    store.put("keyed.op", "a", b"kept");
    let copy = store.snapshot();
    store.put("keyed.op", "a", b"lost");
    store.put("keyed.op", "b", b"lost");
    assert_eq!(era(&read(running.address(), 0)).as_deref(), Some("0"));
    store.roll_back(copy);
    assert_eq!(store.newest("keyed.op", "a"), Some(b"kept".to_vec()));
    assert_eq!(store.newest("keyed.op", "b"), None);
    // An offset after the end is gone. The end itself is valid, and the next append gets it.
    assert_eq!(read(running.address(), 2).status(), 410);
    assert_eq!(read(running.address(), 1).status(), 200);
    store.put("keyed.op", "c", b"new");
    assert_eq!(read(running.address(), 2).status(), 200);
}

#[test]
fn era_in_answers() {
    let store = PlatformStore::default();
    let endpoint = store.endpoint();
    let running = support::start(endpoint.clone());
    store.roll_back(store.snapshot());
    store.roll_back(store.snapshot());
    let targets = ["/api/log-newest?topic=keyed.op", "/api/log-owners", "/none"];
    for target in targets {
        assert_eq!(era(&get(running.address(), target)).as_deref(), Some("2"));
    }
    assert_eq!(era(&read(running.address(), 7)).as_deref(), Some("2"));
    endpoint.set_fault(StoreFault::Busy);
    let busy = read(running.address(), 0);
    assert_eq!((busy.status(), era(&busy).as_deref()), (503, Some("2")));
}
