//! Answers without a length that begin before a long request has been read.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;

use apricotdale_core::errors::Error;
use apricotdale_core::names::RequestId;
use apricotdale_core::service::ServiceCall;
use support::LONG_MS;
use support::adapters_at;
use support::listener;

/// Size of an upload, which is more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 12 * 1024 * 1024;

const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

fn reset(stream: &mut TcpStream) {
    stream.write_all(PART).expect("an open connection");
}

fn close_then_reset(stream: &mut TcpStream) {
    stream.write_all(PART).expect("an open connection");
    stream
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    let mut bytes = vec![0; UPLOAD_BYTES / 4];
    stream.read_exact(&mut bytes).expect("part of the upload");
}

/// Guards against a part of an answer that looks complete because its connection was reset while the
/// request was still being written.
#[rstest]
#[case::reset(reset)]
#[case::closed_first(close_then_reset)]
fn reset_upload(#[case] script: fn(&mut TcpStream)) {
    let listener = listener();
    let address = listener.local_addr().expect("a bound listener");
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0; 1]).expect("a request");
        script(&mut stream);
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("an open connection");
    });
    let call = ServiceCall {
        id: RequestId::new("r-1"),
        method: "POST".to_owned(),
        path: "/slots".to_owned(),
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; UPLOAD_BYTES],
        key: None,
        timeout_ms: LONG_MS,
    };
    let answer = adapters_at(address).service.call(address, &call);
    assert!(matches!(answer, Err(Error::Unknown(_))), "{answer:?}");
    upstream.join().expect("the script ends");
}
