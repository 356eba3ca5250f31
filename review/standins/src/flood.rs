//! An instance sends bytes that are no response: interim heads, for some seconds. Requests of other
//! callers are in progress at sound instances meanwhile.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::SiteRequest;

use crate::deployment;
use crate::deployment::Runs;
use crate::record::Record;
use crate::upstream;
use crate::upstream::Answers;
use crate::upstream::Arrived;
use crate::vm::Vm;

const SLOTS: u32 = 6;
const INSTANCES: usize = 3;

/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(60);

/// Duration of the disruption, and the number of answers of the faulty instance in it, of which one
/// is spoiled: less than 2.39 in 100.
const TROUBLE: Duration = Duration::from_millis(6_000);
const LEAST_EARLIER_ANSWERS: usize = 42;

/// Bookings that each client sends, one after the other, before the spoiled answer.
const EARLIER_BOOKINGS: usize = 14;

/// Timeout of the route, and the time after it in which there must be an answer.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Number of clients that send bookings during the flood, and the time between them.
const CLIENTS: usize = 12;
const CLIENT_GAP: Duration = Duration::from_millis(20);

/// How long clients wait, as they state it. Then they close their connections.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Default)]
struct State {
    /// Number of answers of the faulty instance.
    answers: usize,
    /// Whether the next answer of the faulty instance is spoiled.
    is_due: bool,
    /// Whether it has been.
    is_spoiled: bool,
    /// End of the disruption.
    until: Option<Instant>,
}

struct Instance {
    answers: Answers,
    is_faulty: bool,
    state: Arc<Mutex<State>>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Instance {
    fn serve(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        if self.answers.reject_misdirected(arrived, stream)? {
            return Ok(());
        }
        if arrived.is_health_check() {
            return stream.write_all(&self.answers.plain(200, "{}"));
        }
        self.runs.add(arrived.id(), &self.answers.instance);
        if self.takes_spoiled() {
            return self.flood(arrived, stream);
        }
        thread::sleep(WORK);
        if self.is_faulty {
            self.state.lock().expect("no holder panics").answers += 1;
        }
        stream.write_all(&self.answers.success(arrived, "", "booked"))
    }

    fn takes_spoiled(&self) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        let is_due = self.is_faulty && std::mem::take(&mut state.is_due);
        state.is_spoiled |= is_due;
        is_due
    }

    /// Sends bytes that are no response, and ends the connection.
    fn flood(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        let (name, id) = (&self.answers.instance, arrived.id());
        self.record
            .add(&format!("{name}: bytes that are no response follow {id}"));
        let bytes = "HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000);
        let state = self.state.lock().expect("no holder panics");
        let until = state.until.unwrap_or_else(Instant::now);
        drop(state);
        let mut sent = 0_usize;
        while Instant::now() < until && stream.write_all(bytes.as_bytes()).is_ok() {
            sent += bytes.len();
        }
        self.record.add(&format!(
            "{name}: {sent} such bytes were taken; the connection ends"
        ));
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// Runs the case and returns whether the rule held.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    let site = deployment::start_site(1, 0)?;
    let state: Arc<Mutex<State>> = Arc::default();
    let runs: Arc<Runs> = Arc::default();
    for index in 0..INSTANCES {
        let instance = Instance {
            answers: Answers {
                instance: format!("p-{index}"),
                slots: SLOTS,
            },
            is_faulty: index == 0,
            state: state.clone(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let name = instance.answers.instance.clone();
        let serve =
            move |arrived: &Arrived, stream: &mut TcpStream| instance.serve(arrived, stream);
        let address = upstream::start(Arc::new(serve))?;
        deployment::announce(&site, "plain", &name, address, SLOTS, String::new);
    }
    let vm = Vm::start(0, site.store_addresses[0], true)?;
    thread::sleep(deployment::SETTLE_TIME);
    let mut callers = Vec::new();
    for _ in 0..CLIENTS {
        callers.push(Caller::connect(vm.callers, CLIENT_TIMEOUT)?);
    }
    state.lock().expect("no holder panics").until = Some(Instant::now() + TROUBLE);
    let mut earlier = Vec::new();
    for (index, caller) in callers.into_iter().enumerate() {
        let record = record.clone();
        earlier.push(thread::spawn(move || book_often(&record, caller, index)));
    }
    let mut callers = Vec::new();
    for client in earlier {
        let client = client.join();
        callers.push(client.map_err(|_| io::Error::other("a client panicked"))??);
    }
    let answers = state.lock().expect("no holder panics").answers;
    record.add(&format!(
        "{} earlier bookings answered, {answers} of them by p-0",
        EARLIER_BOOKINGS * CLIENTS
    ));
    if answers < LEAST_EARLIER_ANSWERS {
        return Err(io::Error::other("p-0 has answered too few bookings"));
    }
    state.lock().expect("no holder panics").is_due = deployment::has_trouble();
    let mut bookings = Vec::new();
    for (index, caller) in callers.into_iter().enumerate() {
        bookings.push(book(record, caller, format!("booking-{index}")));
        thread::sleep(CLIENT_GAP);
    }
    let took: Vec<Duration> = bookings
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    if deployment::has_trouble() && !state.lock().expect("no holder panics").is_spoiled {
        return Err(io::Error::other("no booking reached p-0"));
    }
    let at_timeout = took.iter().filter(|it| **it > ROUTE_TIMEOUT).count();
    let later = took
        .iter()
        .filter(|it| **it > ROUTE_TIMEOUT + ANSWER_MARGIN);
    let later = later.count();
    record.add(&format!(
        "{at_timeout} bookings were unanswered at the timeout of their route, {later} of them half a \
         second later"
    ));
    Ok(later * 2 <= at_timeout)
}

/// Sends a booking. The result is the time until its answer.
fn book(record: &Arc<Record>, mut caller: Caller, id: String) -> JoinHandle<Duration> {
    let record = record.clone();
    thread::spawn(move || {
        let sent = Instant::now();
        let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(6_000));
        let status = answer.map(|answer| answer.status()).unwrap_or_default();
        let took = sent.elapsed();
        record.add(&format!(
            "{id} answered {status} after {} ms",
            took.as_millis()
        ));
        took
    })
}

/// Sends the earlier bookings of a client and returns it.
fn book_often(record: &Record, mut caller: Caller, client: usize) -> io::Result<Caller> {
    for index in 0..EARLIER_BOOKINGS {
        let id = format!("earlier-{client}-{index}");
        let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(6_000))?;
        if !answer.is_success() {
            record.add(&format!("{id} answered {}", answer.status()));
        }
    }
    Ok(caller)
}
