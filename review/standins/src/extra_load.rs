//! An instance sends additional bytes that belong to no request: an answer with another identity,
//! whose load header is wrong. Requests on kept connections are in progress at sound instances.

use std::collections::HashSet;
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
use crate::names::name;
use crate::record::Record;
use crate::upstream;
use crate::upstream::Answers;
use crate::upstream::Arrived;
use crate::vm::Vm;

const SLOTS: u32 = 6;
const INSTANCES: usize = 3;

/// Time that a booking takes usually, and that the bookings in progress take.
const WORK: Duration = Duration::from_millis(20);
const LONG_WORK: Duration = Duration::from_millis(450);

/// Number of bookings before the disruption. The faulty instance has answered a third of them, of
/// which one extra answer is less than 3 in 100.
const EARLIER_BOOKINGS: usize = 180;
const LEAST_EARLIER_ANSWERS: usize = 35;

/// Number of clients whose bookings are in progress, and of clients that send bookings one after the
/// other meanwhile.
const CLIENTS: usize = 12;
const OTHER_CLIENTS: usize = 4;
const MEANWHILE: usize = 20;

/// Beginning of the identities of the bookings in progress.
const IN_PROGRESS: &str = "in-progress";

/// Number of requests that the rule allows to lose.
const MOST_LOST: usize = 3;

/// How long clients wait, as they state it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Default)]
struct State {
    /// Number of answers of the faulty instance.
    answers: usize,
    /// Whether the additional bytes are due.
    is_due: bool,
    /// Connections of the faulty instance on which it has answered.
    answered: HashSet<usize>,
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
        if arrived.id().starts_with(IN_PROGRESS) {
            thread::sleep(LONG_WORK / 3);
            self.send_due_bytes(arrived, stream)?;
            thread::sleep(LONG_WORK * 2 / 3);
        } else {
            thread::sleep(WORK);
        }
        if self.is_faulty {
            let mut state = self.state.lock().expect("no holder panics");
            state.answers += 1;
            state.answered.insert(arrived.connection);
        }
        stream.write_all(&self.answers.success(arrived, "", "booked"))
    }

    fn send_due_bytes(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        let mut state = self.state.lock().expect("no holder panics");
        // They follow a complete answer on the same connection.
        let follows = state.answered.contains(&arrived.connection);
        if !self.is_faulty || !follows || !std::mem::take(&mut state.is_due) {
            return Ok(());
        }
        drop(state);
        let bytes = format!(
            "HTTP/1.1 200 OK\r\n{}: none\r\n{}: 4000000000,0,{SLOTS}\r\nContent-Length: 0\r\n\r\n",
            name("id"),
            name("load")
        );
        self.record.add(&format!(
            "{}: an extra answer with identity none before that to {}",
            self.answers.instance,
            arrived.id()
        ));
        stream.write_all(bytes.as_bytes())
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
    let mut vm = Vm::start(0, site.store_addresses[0], true)?;
    thread::sleep(deployment::SETTLE_TIME);
    let mut callers = Vec::new();
    for _ in 0..CLIENTS + OTHER_CLIENTS {
        callers.push(Caller::connect(vm.callers, CLIENT_TIMEOUT)?);
    }
    let count = callers.len();
    for index in 0..EARLIER_BOOKINGS {
        let id = format!("earlier-{index}");
        let request = SiteRequest::book(&id).with_timeout_ms(4_000);
        let answer = callers[index % count].ask(&request)?;
        if !answer.is_success() {
            record.add(&format!("{id} answered {}", answer.status()));
        }
    }
    let earlier = state.lock().expect("no holder panics").answers;
    record.add(&format!(
        "{EARLIER_BOOKINGS} earlier bookings answered, {earlier} of them by p-0"
    ));
    if earlier < LEAST_EARLIER_ANSWERS {
        return Err(io::Error::other("p-0 has answered too few bookings"));
    }
    let others = callers.split_off(CLIENTS);
    state.lock().expect("no holder panics").is_due = deployment::has_trouble();
    let in_progress: Vec<JoinHandle<Option<String>>> = callers
        .into_iter()
        .enumerate()
        .map(|(index, caller)| book(record, caller, format!("{IN_PROGRESS}-{index}")))
        .collect();
    // They have reached the instances by then, and the additional bytes have come.
    thread::sleep(LONG_WORK / 2);
    let meanwhile: Vec<JoinHandle<()>> = others
        .into_iter()
        .enumerate()
        .map(|(index, caller)| {
            let record = record.clone();
            thread::spawn(move || book_meanwhile(&record, caller, index))
        })
        .collect();
    for other in meanwhile {
        // A client that has panicked has recorded nothing.
        let _ = other.join();
    }
    let lost = in_progress
        .into_iter()
        .filter_map(|it| it.join().ok().flatten());
    let lost: Vec<String> = lost.collect();
    // A process that aborts writes its stack first.
    thread::sleep(Duration::from_secs(1));
    match vm.try_wait()? {
        Some(status) => record.add(&format!("the entry VM's process has ended: {status}")),
        None => record.add("the entry VM's process runs"),
    }
    let is_sound = |id: &&String| runs.of(id).iter().any(|instance| instance != "p-0");
    let lost = lost.iter().filter(is_sound).count();
    if deployment::has_trouble() && state.lock().expect("no holder panics").is_due {
        return Err(io::Error::other("p-0 has sent no additional bytes"));
    }
    record.add(&format!(
        "{lost} bookings on kept connections were passed on to sound instances and got no answer"
    ));
    Ok(lost <= MOST_LOST)
}

/// Sends a booking on a kept connection. The result is its identity if the connection ended without
/// an answer.
fn book(record: &Arc<Record>, mut caller: Caller, id: String) -> JoinHandle<Option<String>> {
    let record = record.clone();
    thread::spawn(move || {
        let sent = Instant::now();
        let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(4_000));
        let status = answer.map(|answer| answer.status()).unwrap_or_default();
        if status == 0 && sent.elapsed() >= CLIENT_TIMEOUT {
            record.add(&format!("{id}: its client has left"));
            return None;
        }
        if status == 0 {
            record.add(&format!("{id}: the connection ended without an answer"));
            return Some(id);
        }
        record.add(&format!("{id} answered {status}"));
        None
    })
}

/// Sends bookings one after the other, until one gets no answer.
fn book_meanwhile(record: &Record, mut caller: Caller, client: usize) {
    for index in 0..MEANWHILE {
        let id = format!("meanwhile-{client}-{index}");
        let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(4_000));
        let status = answer.map(|answer| answer.status()).unwrap_or_default();
        record.add(&format!("{id} answered {status}"));
        if status == 0 {
            return;
        }
    }
}
