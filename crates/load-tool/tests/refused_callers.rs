//! Retries by callers that were refused.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use apricotdale_launcher::answer::RefusedAnswer;
use apricotdale_load_tool::load::balancer::Balancer;
use apricotdale_load_tool::load::caller_retries::CallerRetries;
use apricotdale_load_tool::load::client::Catalog;
use apricotdale_load_tool::load::client::Client;
use apricotdale_load_tool::load::clock::RunClock;
use apricotdale_load_tool::load::driver::drive;
use apricotdale_load_tool::load::options::LoadOptions;
use apricotdale_load_tool::load::record::Ending;
use apricotdale_load_tool::load::record::Record;
use apricotdale_load_tool::load::scale::Scale;
use apricotdale_load_tool::load::schedule::PlannedRequest;
use apricotdale_load_tool::load::schedule::Work;

const REFUSAL: &str = r#"{"type":"urn:apricotdale:refusal:overloaded","reason":"overloaded","ran":"not_run","retry_after_ms":10}"#;

fn caller_retries() -> CallerRetries {
    CallerRetries::new(&Scale::new(&LoadOptions {
        speed: 4.0,
        warm_up: Duration::from_secs(10),
        measured: Duration::from_secs(50),
        ..LoadOptions::default()
    }))
}

fn refused(planned: usize, ended_ms: u64, ran: &str, retry_after_ms: Option<u64>) -> Record {
    Record {
        planned,
        vm: 0,
        sent: Duration::ZERO,
        first: None,
        ended: Duration::from_millis(ended_ms),
        gaps_us: Vec::new(),
        identity: String::new(),
        engine: None,
        resends: 0,
        retry_after: retry_after_ms.map(Duration::from_millis),
        is_caller_retry: false,
        ending: Ending::Refused(RefusedAnswer {
            reason: "overloaded".to_owned(),
            ran: ran.to_owned(),
        }),
    }
}

#[rstest]
#[case::delay_of_the_refusal(2, 1_000, "not_run", Some(300), Some(1_300))]
#[case::default_delay(2, 1_000, "not_run", None, Some(2_250))]
#[case::odd_index_never(3, 1_000, "not_run", Some(300), None)]
#[case::not_if_it_may_have_run(2, 1_000, "unknown", Some(300), None)]
#[case::not_after_the_end(2, 59_900, "not_run", Some(300), None)]
fn refused_caller_retries(
    #[case] planned: usize,
    #[case] ended_ms: u64,
    #[case] ran: &str,
    #[case] retry_after_ms: Option<u64>,
    #[case] expected_ms: Option<u64>,
) {
    let record = refused(planned, ended_ms, ran, retry_after_ms);
    let expected = expected_ms.map(Duration::from_millis);
    assert_eq!(caller_retries().retry_at(&record), expected);
}

#[test]
fn answered_caller_stays() {
    let record = Record {
        ending: Ending::Whole,
        ..refused(2, 1_000, "not_run", Some(300))
    };
    assert_eq!(caller_retries().retry_at(&record), None);
}

/// Starts a VM that refuses its first request and answers every later one.
fn start_vm() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut bodies = [REFUSAL].into_iter();
        for connection in listener.incoming() {
            let mut connection = connection.expect("the listener works");
            let mut reader = BufReader::new(&connection);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                reader.read_line(&mut head).expect("the head comes");
            }
            let mut body = vec![0; r#"{"order":1}"#.len()];
            reader.read_exact(&mut body).expect("the body comes");
            let (status, body) = match bodies.next() {
                Some(refusal) => ("429 Too Many Requests", refusal),
                None => ("200 OK", r#"{"call":"POST /cut-orders/1","count":1}"#),
            };
            let length = body.len();
            write!(
                connection,
                "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
            )
            .expect("the caller is there");
        }
    });
    address
}

#[test]
fn retry_recorded_separately() {
    let clock = RunClock::start();
    let catalog = Catalog {
        models: Vec::new(),
        classes: vec!["quick".to_owned()],
        service: "bancone".to_owned(),
    };
    let balancer = Arc::new(Balancer::new(vec![start_vm()]));
    let client = Client::new(balancer, clock, Arc::new(catalog));
    let planned = PlannedRequest {
        at: Duration::ZERO,
        vm: 0,
        class: 0,
        caller: 0,
        work: Work::CutOrder {
            order: 1,
            keyed: false,
        },
        is_duplicate: false,
    };
    let stop = AtomicBool::new(false);
    let schedule = Arc::new(vec![planned]);
    let records = drive(&client, clock, &schedule, caller_retries(), 1, &stop);
    let records = records.expect("the client works");
    let [first, second] = &records[..] else {
        panic!("{} records", records.len());
    };
    assert_eq!(first.retry_after, Some(Duration::from_millis(10)));
    assert!(first.ending.refusal().is_some() && !first.is_caller_retry);
    assert_eq!(second.ending, Ending::Whole);
    assert!(second.is_caller_retry);
}
