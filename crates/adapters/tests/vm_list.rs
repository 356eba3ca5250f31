//! Reads of the VM list.

mod support;

use std::io::Write;

use apricotdale_core::errors::Error;
use apricotdale_core::vm_list::VmState;
use support::adapters_at;
use support::serve;

const ENTRY: &str = r#"{"name":"e1","role":"engine","group":"planner-lm","zone":"hall-a",
    "address":"127.0.0.1:9","state":"live"}"#;

fn complete(as_of_ms: u64) -> String {
    let body = format!(r#"{{"as_of_ms":{as_of_ms},"entries":[{ENTRY}]}}"#);
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nETag: \"t1\"\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn unchanged(more: &str) -> String {
    format!(
        "HTTP/1.1 304 Not Modified\r\nConnection: close\r\nETag: \"t1\"\r\nContent-Length: 0\r\n{more}\r\n"
    )
}

/// Guards against a VM that reads the complete VM list every second although it hardly ever
/// changes: the second read must send the entity tag of the first.
#[test]
fn unchanged_list() {
    let mut answers = vec![unchanged("X-As-Of-Ms: 9000\r\n"), complete(5_000)];
    let server = serve(move |stream| {
        let answer = answers.pop().expect("two readings");
        let _ = stream.write_all(answer.as_bytes());
    });
    let list = adapters_at(server.address).vm_list;
    let first = list.list().expect("a list");
    let second = list.list().expect("the same list");
    let sends_tag = |request: String| request.to_ascii_lowercase().contains("if-none-match");
    let sent_tags: Vec<bool> = server.requests.iter().take(2).map(sends_tag).collect();
    assert_eq!(sent_tags, [false, true]);
    assert_eq!((first.as_of_ms, second.as_of_ms), (5_000, 9_000));
    assert_eq!(first.entries, second.entries);
    assert_eq!(second.entries[0].state, VmState::Live);
}

/// Guards against a VM that takes an old VM list for a new one, and ends processes that started
/// after it: the list is unchanged, but the answer does not contain its time.
#[test]
fn unchanged_without_time() {
    let mut answers = vec![unchanged(""), complete(5_000)];
    let server = serve(move |stream| {
        let answer = answers.pop().expect("two readings");
        let _ = stream.write_all(answer.as_bytes());
    });
    let list = adapters_at(server.address).vm_list;
    list.list().expect("a list");
    assert!(matches!(list.list(), Err(Error::Malformed(_))));
}
