//! Result of a client's call if the answer is lost, incomplete or malformed.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::thread::JoinHandle;

use apricotdale_admin::AdminClient;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::Error;
use apricotdale_admin::PublishRequest;
use apricotdale_core::numbers::ConfigVersion;
use rstest::rstest;

fn change() -> PublishRequest {
    PublishRequest {
        operator: "lise".to_owned(),
        change_id: Some(5),
        base_version: ConfigVersion(7),
        edits: Vec::new(),
    }
}

/// Answers every connection with the same bytes and closes it. The handle returns the number of
/// connections before the one with which [`connections`] ends the count.
fn serve_answer(answer: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let counter = thread::spawn(move || {
        for count in 0.. {
            let (mut connection, _) = listener.accept().unwrap();
            let mut request = [0; 4096];
            let read = connection.read(&mut request).unwrap();
            if request[..read].starts_with(b"END") {
                return count;
            }
            connection.write_all(answer.as_bytes()).unwrap();
        }
        unreachable!("the count has no end")
    });
    (address, counter)
}

fn connections(address: SocketAddr, counter: JoinHandle<usize>) -> usize {
    let mut end = std::net::TcpStream::connect(address).unwrap();
    end.write_all(b"END").unwrap();
    counter.join().unwrap()
}

/// Guards against a change that is reported as failed although the daemon has appended it: the
/// operator would publish another one, and both would be in force. A lost answer is therefore an
/// unknown outcome, and the client does not retry by itself.
#[rstest]
#[case::nothing("")]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-Le")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{\"outcome\"")]
fn lost_answer_not_retried(#[case] answer: &'static str) {
    let (address, counter) = serve_answer(answer);
    let outcome = AdminClient::new(address, ClientOptions::default()).publish(&change());
    assert!(
        matches!(outcome, Err(Error::OutcomeUnknown(_))),
        "{outcome:?}"
    );
    assert_eq!(connections(address, counter), 1);
}

#[rstest]
#[case::page("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\n<html>")]
#[case::other_json("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::redirect("HTTP/1.1 307 Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n")]
fn malformed_answer(#[case] answer: &'static str) {
    let (address, counter) = serve_answer(answer);
    let outcome = AdminClient::new(address, ClientOptions::default()).publish(&change());
    assert!(matches!(outcome, Err(Error::Malformed(_))), "{outcome:?}");
    assert_eq!(connections(address, counter), 1);
}

#[test]
fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let outcome = AdminClient::new(address, ClientOptions::default()).publish(&change());
    assert!(matches!(outcome, Err(Error::Unreachable(_))), "{outcome:?}");
}

#[test]
fn truncated_view() {
    let (address, counter) = serve_answer("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{");
    let status = AdminClient::new(address, ClientOptions::default()).status();
    assert!(matches!(status, Err(Error::Unreachable(_))), "{status:?}");
    assert_eq!(connections(address, counter), 1);
}
