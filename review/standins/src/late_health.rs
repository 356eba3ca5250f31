//! A full instance rejects a health check and sends that rejection a second time, late: where the
//! next answer on that connection is due. The answer names no request, as the check had no identity.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

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

/// Time that a booking takes, and that one takes which waits for a slot of a full instance.
const WORK: Duration = Duration::from_millis(60);
const WORK_WHEN_FULL: Duration = Duration::from_millis(800);

/// Number of bookings before the one that meets a full instance. The faulty instance has answered a
/// third of them, of which one extra answer is less than 3 in 100.
const EARLIER_BOOKINGS: usize = 240;
const LEAST_EARLIER_ANSWERS: usize = 35;

/// Identity of the bookings of which the first to reach the faulty instance waits there.
const SLOW: &str = "slow";

/// Number of bookings that are sent together afterwards.
const TOGETHER: usize = 12;

const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct State {
    /// Number of answers of the faulty instance.
    answers: usize,
    /// Whether it is full.
    is_full: bool,
    /// Extra answer that is due on a connection of it.
    extra: Option<(usize, Vec<u8>)>,
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
            return self.serve_health_check(arrived, stream);
        }
        self.send_due_extra(arrived, stream)?;
        self.runs.add(arrived.id(), &self.answers.instance);
        if !arrived.id().starts_with("earlier") {
            self.note(arrived, "runs");
        }
        match self.is_faulty && arrived.id().starts_with(SLOW) {
            true => {
                self.set_full(true);
                thread::sleep(WORK_WHEN_FULL);
                self.set_full(false);
            }
            false => thread::sleep(WORK),
        }
        if self.is_faulty {
            self.state.lock().expect("no holder panics").answers += 1;
        }
        stream.write_all(&self.answers.success(arrived, "", "booked"))
    }

    fn serve_health_check(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        let mut state = self.state.lock().expect("no holder panics");
        if !(self.is_faulty && state.is_full) {
            drop(state);
            return stream.write_all(&self.answers.plain(200, "{}"));
        }
        let rejection = self.answers.not_run(arrived, 503);
        if deployment::has_trouble() {
            state.extra = Some((arrived.connection, rejection.clone()));
        }
        drop(state);
        self.note(arrived, "health check rejected: full");
        stream.write_all(&rejection)
    }

    /// Sends the extra answer where the next answer on its connection is due.
    fn send_due_extra(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        let mut state = self.state.lock().expect("no holder panics");
        let is_due = |extra: &mut (usize, Vec<u8>)| extra.0 == arrived.connection;
        let extra = match self.is_faulty {
            true => state.extra.take_if(is_due),
            false => None,
        };
        drop(state);
        if let Some((_, bytes)) = extra {
            self.note(arrived, "the rejection of the check comes a second time");
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    fn set_full(&self, is_full: bool) {
        self.state.lock().expect("no holder panics").is_full = is_full;
    }

    fn note(&self, arrived: &Arrived, what: &str) {
        self.record.add(&format!(
            "{}: {} on connection {}: {what}",
            self.answers.instance,
            arrived.id(),
            arrived.connection
        ));
    }
}

/// Runs the case and returns whether the rule held.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    let site = deployment::start_site(1)?;
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
    let mut caller = Caller::connect(vm.callers, CALLER_TIMEOUT)?;
    for index in 0..EARLIER_BOOKINGS {
        let id = format!("earlier-{index}");
        let answer = caller.ask(&SiteRequest::book(&id).with_timeout_ms(4_000))?;
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
    book_together(record, &vm, SLOW, INSTANCES);
    book_together(record, &vm, "together", TOGETHER);
    thread::sleep(Duration::from_secs(1));
    let repeated = runs.repeated();
    for id in &repeated {
        let by = runs.of(id);
        record.add(&format!("{id} ran {} times, at {by:?}", by.len()));
    }
    record.add(&format!("{} bookings ran more than once", repeated.len()));
    Ok(repeated.is_empty())
}

/// Sends bookings at the same time, each on a connection of its own, and waits for the answers.
fn book_together(record: &Arc<Record>, vm: &Vm, prefix: &str, count: usize) {
    let callers: Vec<_> = (0..count)
        .map(|index| {
            let (record, address) = (record.clone(), vm.callers);
            let id = format!("{prefix}-{index}");
            thread::spawn(move || {
                let request = SiteRequest::book(&id).with_timeout_ms(4_000);
                let answer = Caller::connect(address, CALLER_TIMEOUT)
                    .and_then(|mut caller| caller.ask(&request));
                match answer {
                    Ok(answer) => record.add(&format!("{id} answered {}", answer.status())),
                    Err(error) => record.add(&format!("{id} not answered: {error}")),
                }
            })
        })
        .collect();
    for caller in callers {
        // A caller that has panicked has recorded nothing.
        let _ = caller.join();
    }
}
