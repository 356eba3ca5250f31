//! An instance of a plain service is full for a moment and rejects a health check, as it rejects any
//! other request then. It hands out wrong bytes at times: the rejection comes a second time, late,
//! where the next answer on that connection is due. A health check has no identity, so neither
//! rejection has one.

use std::collections::HashSet;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
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

/// Number of instances, and of those that hand out wrong bytes: 0.6, of 0.6.
const INSTANCES: usize = 5;
const FAULTY: usize = 3;

/// Slots of an instance, as on the sheet of hjulvaerk-hq.
const SLOTS: u32 = 6;

/// Requests that wait at an instance whose slots are taken.
const QUEUE: u32 = 3;

/// Clients, each with one booking at a time, usually and while many come at once: 2.4 times as many,
/// enough to fill the instances. They pause between two bookings for some milliseconds.
const USUAL_CLIENTS: usize = 25;
const CLIENTS: usize = 60;
const PAUSES_MS: [u64; 7] = [0, 70, 20, 50, 10, 60, 30];

/// Usual duration of a booking, and that of long ones, which the sheet allows.
const WORK: Duration = Duration::from_millis(60);
const LONG_WORK: Duration = Duration::from_millis(440);

/// Time after which the bookings of each period are long, and for how long they are.
const USUAL_TIME: Duration = Duration::from_millis(1_100);
const LONG_TIME: Duration = Duration::from_millis(500);

/// Duration of the disruption.
const TROUBLE: Duration = Duration::from_secs(5);

/// Number of answers for each extra one: one is less than 3 in 100.
const ANSWERS_FOR_EACH: usize = 35;

/// Number of plays until the disruption takes place.
const MOST_PLAYS: u8 = 6;

/// How long clients wait, as they state it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    /// Numbers of answers and of extra ones during the disruption.
    answers: usize,
    extras: usize,
    /// Connections on which a health check was rejected, and nothing has followed.
    rejected: HashSet<usize>,
}

struct Instance {
    answers: Answers,
    is_faulty: bool,
    begin_at: Instant,
    state: Mutex<State>,
    freed: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Instance {
    fn serve(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        if self.answers.reject_misdirected(arrived, stream)? {
            return Ok(());
        }
        if !self.begin() {
            if arrived.is_health_check() {
                self.note(arrived, "a health check is rejected");
                let mut state = self.state.lock().expect("no holder panics");
                state.rejected.insert(arrived.connection);
            }
            self.count_answer();
            return stream.write_all(&self.answers.not_run(arrived, 503));
        }
        if self.takes_extra(arrived) {
            self.note(
                arrived,
                "the rejection of the health check comes a second time",
            );
            let check = Arrived::without_id(arrived);
            stream.write_all(&self.answers.not_run(&check, 503))?;
        }
        let answer = match arrived.is_health_check() {
            true => self.answers.plain(200, "{}"),
            false => {
                self.runs.add(arrived.id(), &self.answers.instance);
                let period = (USUAL_TIME + LONG_TIME).as_millis();
                let since = self.begin_at.elapsed().as_millis() % period;
                thread::sleep(match since >= USUAL_TIME.as_millis() {
                    true => LONG_WORK,
                    false => WORK,
                });
                Vec::new()
            }
        };
        let (running, waiting) = self.end();
        self.count_answer();
        let answer = match answer.is_empty() {
            true => self
                .answers
                .success_with_load(arrived, running, waiting, "booked"),
            false => answer,
        };
        stream.write_all(&answer)
    }

    /// Returns whether the copy of an earlier rejection comes before the answer to this request.
    fn takes_extra(&self, arrived: &Arrived) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        let follows = state.rejected.remove(&arrived.connection) && !arrived.is_health_check();
        let may_spoil = state.extras < state.answers / ANSWERS_FOR_EACH;
        let takes = follows && may_spoil && self.is_faulty && deployment::has_trouble();
        state.extras += usize::from(takes);
        takes
    }

    /// Waits for a slot. Returns whether there is one, now or after a wait.
    fn begin(&self) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        if state.running >= SLOTS {
            if state.waiting >= QUEUE {
                return false;
            }
            state.waiting += 1;
            while state.running >= SLOTS {
                state = self.freed.wait(state).expect("no holder panics");
            }
            state.waiting -= 1;
        }
        state.running += 1;
        true
    }

    /// Ends a request and returns the numbers of those that run and wait.
    fn end(&self) -> (u32, u32) {
        let mut state = self.state.lock().expect("no holder panics");
        state.running -= 1;
        self.freed.notify_one();
        (state.running, state.waiting)
    }

    fn count_answer(&self) {
        self.state.lock().expect("no holder panics").answers += 1;
    }

    fn note(&self, arrived: &Arrived, what: &str) {
        self.record.add(&format!(
            "{}: connection {} {}: {what}",
            self.answers.instance,
            arrived.connection,
            arrived.id()
        ));
    }
}

/// Runs the case and returns whether the rule held. A play in which no health check was rejected and
/// followed by a booking had no disruption, and is played anew.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    for number in 0..MOST_PLAYS {
        record.add(&format!("play {number}"));
        if let Some(held) = play(record, number)? {
            return Ok(held);
        }
    }
    Err(io::Error::other(
        "no health check was rejected and followed",
    ))
}

/// Plays the case once; the result is none if there was no disruption, though one was due.
fn play(record: &Arc<Record>, number: u8) -> io::Result<Option<bool>> {
    let site = deployment::start_site(1, 0)?;
    let runs: Arc<Runs> = Arc::default();
    let begin = Instant::now() + deployment::SETTLE_TIME * 2;
    let mut instances = Vec::new();
    for index in 0..INSTANCES {
        let instance = Arc::new(Instance {
            answers: Answers {
                instance: format!("p-{index}"),
                slots: SLOTS,
            },
            is_faulty: index < FAULTY,
            begin_at: begin,
            state: Mutex::default(),
            freed: Condvar::new(),
            runs: runs.clone(),
            record: record.clone(),
        });
        instances.push(instance.clone());
        let name = instance.answers.instance.clone();
        let serve =
            move |arrived: &Arrived, stream: &mut TcpStream| instance.serve(arrived, stream);
        let address = upstream::start(Arc::new(serve))?;
        deployment::announce(&site, "plain", &name, address, SLOTS, String::new);
    }
    let vm = Vm::start(number, site.store_addresses[0], true)?;
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let end = begin + TROUBLE;
    let count = match deployment::has_trouble() {
        true => CLIENTS,
        false => USUAL_CLIENTS,
    };
    let clients: Vec<JoinHandle<io::Result<usize>>> = (0..count)
        .map(|client| book_often(record, vm.callers, client, end))
        .collect();
    let mut booked = 0;
    for client in clients {
        let client = client.join();
        booked += client.map_err(|_| io::Error::other("a client panicked"))??;
    }
    thread::sleep(LONG_WORK + WORK);
    record.add(&format!("{booked} bookings were confirmed"));
    let mut extras = 0;
    for instance in &instances[..FAULTY] {
        let state = instance.state.lock().expect("no holder panics");
        let instance = &instance.answers.instance;
        record.add(&format!(
            "{instance} gave {} answers, and {} extra ones",
            state.answers, state.extras
        ));
        extras += state.extras;
    }
    if deployment::has_trouble() && extras == 0 {
        return Ok(None);
    }
    let repeated = runs.repeated();
    for id in &repeated {
        let by = runs.of(id);
        record.add(&format!("{id} ran {} times, at {by:?}", by.len()));
    }
    record.add(&format!("{} bookings ran more than once", repeated.len()));
    Ok(Some(repeated.is_empty()))
}

/// Sends one booking after the other. The result is the number of those that were confirmed.
fn book_often(
    record: &Arc<Record>,
    vm: SocketAddr,
    client: usize,
    end: Instant,
) -> JoinHandle<io::Result<usize>> {
    let record = record.clone();
    thread::spawn(move || {
        let mut caller = Caller::connect(vm, CLIENT_TIMEOUT)?;
        let mut booked = 0;
        for index in 0.. {
            if Instant::now() >= end {
                break;
            }
            let id = format!("booking-{client}-{index}");
            let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(4_000))?;
            booked += usize::from(answer.is_success());
            if !answer.is_success() {
                record.add(&format!("{id} answered {}", answer.status()));
            }
            let pause_ms = PAUSES_MS[(client + index) % PAUSES_MS.len()];
            thread::sleep(Duration::from_millis(pause_ms));
            if answer.closes() {
                caller = Caller::connect(vm, CLIENT_TIMEOUT)?;
            }
        }
        Ok(booked)
    })
}
