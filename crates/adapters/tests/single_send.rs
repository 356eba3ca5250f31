//! Calls with an effect are sent at most once, and a failure reports correctly whether they ran.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use apricotdale_adapters::http_adapters;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_core::errors::Result;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::refusal::Ran;
use apricotdale_core::service::ServiceCall;
use support::LONG_MS;
use support::SHORT_MS;
use support::closed_port;
use support::json;
use support::listener;
use support::options_at;
use support::read_request;
use support::serve;

/// Kind of call that must not be sent twice.
#[derive(Clone, Copy)]
enum Effect {
    Append,
    Load,
    Unload,
    Fence,
    Serve,
    Call,
}

const ALL: [Effect; 6] = [
    Effect::Append,
    Effect::Load,
    Effect::Unload,
    Effect::Fence,
    Effect::Serve,
    Effect::Call,
];

fn run(effect: Effect, address: SocketAddr, timeout_ms: u64) -> Result<()> {
    let adapters = http_adapters(&options_at(address, timeout_ms));
    let model = ModelName::new("planner");
    let fence = FencingToken(3);
    match effect {
        Effect::Append => adapters
            .log
            .append(&StreamName::new("control"), b"payload")
            .map(drop),
        Effect::Load => {
            let order = LoadOrder {
                model,
                base: None,
                bytes: 1,
                fence,
            };
            adapters.orders.load(address, &order, timeout_ms).map(drop)
        }
        Effect::Unload => {
            let order = UnloadOrder { model, fence };
            adapters
                .orders
                .unload(address, &order, timeout_ms)
                .map(drop)
        }
        Effect::Fence => adapters.orders.raise_fence(address, fence).map(drop),
        Effect::Serve => {
            let request = ServeRequest {
                id: RequestId::new("r-1"),
                path: "/v1/completions".to_owned(),
                body: b"{}".to_vec(),
                stream: false,
                first_byte_timeout_ms: timeout_ms,
                idle_timeout_ms: timeout_ms,
                priority: 1,
            };
            let mut answer = adapters.serving.serve(address, &request)?;
            answer.next_piece().map(drop)
        }
        Effect::Call => {
            let call = ServiceCall {
                id: RequestId::new("r-1"),
                method: "POST".to_owned(),
                path: "/slots".to_owned(),
                content_type: "text/plain".to_owned(),
                body: b"slot 7".to_vec(),
                key: Some(IdempotencyKey::new("k-1")),
                timeout_ms,
            };
            adapters.service.call(address, &call).map(drop)
        }
    }
}

fn ran(outcome: Result<()>) -> Ran {
    outcome.expect_err("a failure").ran()
}

#[test]
fn refused_not_run() {
    for effect in ALL {
        assert_eq!(ran(run(effect, closed_port(), LONG_MS)), Ran::NotRun);
    }
}

/// Guards against a timeout of the connection that is taken for a timeout of the answer: the
/// upstream's queue of new connections is full, so the request was certainly not sent and may be
/// retried.
#[test]
fn connect_timeout_not_run() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a port");
    socket.listen(0).expect("a listener");
    let address = socket.local_addr().expect("an address");
    let address = address.as_socket().expect("an IP address");
    let _fills_the_queue = TcpStream::connect(address).expect("a first connection");
    for effect in ALL {
        assert_eq!(ran(run(effect, address, SHORT_MS)), Ran::NotRun);
    }
}

/// Guards against a lost answer that is taken for a request that did not run, and against an HTTP
/// library that sends the request again on a new connection. The connection breaks before, while or
/// after the upstream reads the request, or the answer is cut or never arrives.
#[rstest]
#[case::closed_before_reading(false, b"", false)]
#[case::closed_after_reading(true, b"", false)]
#[case::cut_in_the_head(true, b"HTTP/1.1 200 OK\r\nContent-Le", false)]
#[case::cut_in_the_body(true, b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"bo", false)]
#[case::cut_in_a_chunk(
    true,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"b",
    false
)]
#[case::without_an_end(true, b"HTTP/1.1 200 OK\r\n\r\n{}", false)]
#[case::not_http(true, b"\x00\xff\x13SSH-2.0-whatever\r\n\r\n", false)]
#[case::no_answer(true, b"", true)]
#[case::head_only(true, b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", true)]
fn lost_answer(#[case] reads: bool, #[case] answer: &'static [u8], #[case] stays_open: bool) {
    let timeout_ms = if stays_open { SHORT_MS } else { LONG_MS };
    for effect in ALL {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("one connection");
            if reads {
                read_request(&mut stream);
                stream.write_all(answer).expect("an open connection");
            }
            (listener, stays_open.then_some(stream))
        });
        assert_eq!(ran(run(effect, address, timeout_ms)), Ran::Unknown);
        let (listener, _stream) = server.join().expect("a server");
        listener.set_nonblocking(true).expect("a listener");
        assert!(listener.accept().is_err(), "sent a second time");
    }
}

/// Guards against a client that follows redirects: an order would be executed by an engine that
/// nobody chose.
#[rstest]
#[case("302 Found")]
#[case("303 See Other")]
#[case("307 Temporary Redirect")]
fn redirects_not_followed(#[case] status: &str) {
    let target = listener();
    let location = target.local_addr().expect("an address");
    target.set_nonblocking(true).expect("a listener");
    let head = format!("{status}\r\nLocation: http://{location}/");
    let server = serve(move |stream| {
        stream.write_all(&json(&head, "{}")).ok();
    });
    for effect in ALL {
        let _ = run(effect, server.address, LONG_MS);
        assert!(target.accept().is_err(), "the redirect was followed");
    }
    assert_eq!(server.requests.try_iter().count(), ALL.len());
}

/// Guards against a connection that is kept after a call: the log closes an idle connection just as
/// the next append is written to it, and the outcome of that append would be unknown.
#[test]
fn connection_per_call() {
    let body = r#"{"offset":1}"#;
    let length = body.len();
    let kept = format!("HTTP/1.1 201 Created\r\nContent-Length: {length}\r\n\r\n{body}");
    let server = serve(move |stream| {
        stream.write_all(kept.as_bytes()).ok();
        assert!(support::closed_by_client(stream));
    });
    let adapters = http_adapters(&options_at(server.address, LONG_MS));
    let stream = StreamName::new("control");
    for _ in 0..3 {
        assert!(adapters.log.append(&stream, b"payload").is_ok());
    }
}

#[rstest]
#[case::no_slash("x")]
#[case::other_host("@127.0.0.1:1/")]
#[case::line_break("/a\r\nX-Evil: 1")]
#[case::space("/a b")]
fn invalid_paths(#[case] path: &str) {
    let address = closed_port();
    let adapters = http_adapters(&options_at(address, LONG_MS));
    let call = ServiceCall {
        id: RequestId::new("r-1"),
        method: "GET".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        key: None,
        timeout_ms: LONG_MS,
    };
    let error = adapters
        .service
        .call(address, &call)
        .expect_err("a refusal");
    assert!(
        matches!(error, apricotdale_core::errors::Error::Rejected(_)),
        "{error}"
    );
}
