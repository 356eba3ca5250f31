//! Requests are sent by their schedule, to a VM that accepts connections, and late ones count.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use apricotdale_load_tool::load::balancer::Balancer;
use apricotdale_load_tool::load::caller_retries::CallerRetries;
use apricotdale_load_tool::load::client::Catalog;
use apricotdale_load_tool::load::client::Client;
use apricotdale_load_tool::load::clock::RunClock;
use apricotdale_load_tool::load::driver::drive;
use apricotdale_load_tool::load::driver::lateness;
use apricotdale_load_tool::load::options::LoadOptions;
use apricotdale_load_tool::load::record::Ending;
use apricotdale_load_tool::load::record::Record;
use apricotdale_load_tool::load::scale::Scale;
use apricotdale_load_tool::load::schedule::PlannedRequest;
use apricotdale_load_tool::load::schedule::Work;

/// Starts a VM that passes the head of each request and its connection to `answer`.
fn start_vm(answer: impl Fn(&str, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for connection in listener.incoming() {
            let connection = connection.expect("the listener works");
            let answer = Arc::clone(&answer);
            thread::spawn(move || answer(&read_request(&connection), connection));
        }
    });
    address
}

/// Reads a request with its body, since closing a connection with unread data would reset it.
fn read_request(connection: &TcpStream) -> String {
    let mut reader = BufReader::new(connection);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).expect("the head comes");
    }
    let lengths = head.lines().filter_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.parse::<usize>().expect("a number"))
    });
    let mut body = vec![0; lengths.sum()];
    reader.read_exact(&mut body).expect("the body comes");
    head
}

fn answer_call(head: &str, mut connection: TcpStream) {
    let mut words = head.split(' ');
    let method = words.next().expect("a method");
    let path = words
        .next()
        .expect("a path")
        .replace("/services/bancone", "");
    let body = serde_json::json!({"call": format!("{method} {path}"), "count": 1}).to_string();
    write!(
        connection,
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the caller is there");
}

fn client(vms: Vec<SocketAddr>, clock: RunClock) -> Client {
    let catalog = Catalog {
        models: Vec::new(),
        classes: vec!["quick".to_owned()],
        service: "bancone".to_owned(),
    };
    Client::new(Arc::new(Balancer::new(vms)), clock, Arc::new(catalog))
}

fn order(order: u64, keyed: bool, at: Duration) -> PlannedRequest {
    PlannedRequest {
        at,
        vm: 0,
        class: 0,
        caller: 0,
        work: Work::CutOrder { order, keyed },
        is_duplicate: false,
    }
}

/// Guards against a shop page that shows another bundle's stock. Answers of a service carry no
/// request ID, so two crossed answers differ only in the call that they name.
#[test]
fn crossed_lookup_detected() {
    let clock = RunClock::start();
    let crossing =
        start_vm(|_, connection| answer_call("GET /services/bancone/shelf/2", connection));
    let client = client(vec![crossing], clock);
    let look = |bundle| PlannedRequest {
        work: Work::ShelfLookup { bundle },
        ..order(0, false, Duration::ZERO)
    };
    let other = client.send(0, &look(1));
    assert!(
        matches!(other.ending, Ending::Foreign(_)),
        "{:?}",
        other.ending
    );
    assert_eq!(client.send(0, &look(2)).ending, Ending::Whole);
}

/// Returns an address at which no process listens.
fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

/// Guards against a closed loop, in which a VM that answers no request would get only one and the
/// run would look fast. The VM here answers only when all requests have arrived.
#[test]
fn unanswered_vm_loaded() {
    const REQUESTS: usize = 8;
    let all_there = Arc::new(Barrier::new(REQUESTS));
    let vm = start_vm(move |head, connection| {
        all_there.wait();
        answer_call(head, connection);
    });
    let clock = RunClock::start();
    let schedule = (0..REQUESTS).map(|number| order(number as u64, false, Duration::ZERO));
    let schedule = Arc::new(schedule.collect::<Vec<_>>());
    let stop = AtomicBool::new(false);
    let caller_retries = CallerRetries::new(&Scale::new(&LoadOptions::default()));
    let client = client(vec![vm], clock);
    let records = drive(&client, clock, &schedule, caller_retries, REQUESTS, &stop);
    let records = records.expect("the clients work");
    assert_eq!(records.len(), REQUESTS);
    assert!(records.iter().all(|record| record.ending == Ending::Whole));
}

#[test]
fn queued_request_late() {
    let schedule = [order(1, false, Duration::from_millis(30))];
    let record = Record {
        planned: 0,
        vm: 0,
        sent: Duration::from_millis(100),
        first: None,
        ended: Duration::from_millis(110),
        gaps_us: Vec::new(),
        identity: String::new(),
        engine: None,
        resends: 0,
        retry_after: None,
        is_caller_retry: false,
        ending: Ending::Whole,
    };
    let late = |tolerated_ms| {
        let tolerated = Duration::from_millis(tolerated_ms);
        lateness(&schedule, std::slice::from_ref(&record), tolerated)
    };
    assert_eq!(late(50).largest, Duration::from_millis(70));
    assert_eq!(late(50).late, 1);
    assert_eq!(late(100).late, 0);
}

#[test]
fn refused_connection_rerouted() {
    let clock = RunClock::start();
    let client = client(vec![nobody(), start_vm(answer_call)], clock);
    let record = client.send(0, &order(1, false, Duration::ZERO));
    assert_eq!(record.ending, Ending::Whole);
    assert_eq!(record.vm, 1);
}

/// Sends an order to a VM that loses the answer. Returns the record of the order and the requests
/// received by a second VM.
fn send_and_lose(keyed: bool) -> (Record, Vec<String>) {
    let clock = RunClock::start();
    let losing = start_vm(|_, connection| drop(connection));
    let (sender, received) = mpsc::channel();
    let answering = start_vm(move |head, connection| {
        sender.send(head.to_owned()).expect("the test still looks");
        answer_call(head, connection);
    });
    let client = client(vec![losing, answering], clock);
    let record = client.send(0, &order(1, keyed, Duration::ZERO));
    drop(client);
    (record, received.try_iter().collect())
}

#[test]
fn lost_order_resent() {
    let (record, received) = send_and_lose(true);
    assert_eq!(record.ending, Ending::Whole);
    assert_eq!(record.resends, 1);
    assert_eq!(received.len(), 1);
    assert!(
        received[0]
            .to_lowercase()
            .contains("idempotency-key: cut-order-1")
    );
}

#[test]
fn unkeyed_order_not_resent() {
    let (record, received) = send_and_lose(false);
    assert!(matches!(record.ending, Ending::NoAnswer(_)));
    assert_eq!(received, Vec::<String>::new());
}
