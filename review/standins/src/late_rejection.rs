//! A booking is rejected by full instances and sent again. One instance sends its rejection a second
//! time, late: where the next answer on that connection is due.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
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

/// Number of bookings before the one that meets full instances. The faulty instance has answered a
/// third of them, of which one extra answer is less than 3 in 100.
const EARLIER_BOOKINGS: usize = 240;
const LEAST_EARLIER_ANSWERS: usize = 35;

/// Identity of the booking that meets full instances.
const BOOKING: &str = "booking-1";

/// Time for which the sound instances stay full after the booking's first arrival.
const FULL_TIME: Duration = Duration::from_millis(1_000);

const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct State {
    /// Number of answers of the faulty instance.
    answers: usize,
    /// When the booking first arrived anywhere.
    first_arrival: Option<Instant>,
    /// Number of arrivals of the booking by instance.
    arrivals: HashMap<String, usize>,
    /// Extra answer that is due on a connection of the faulty instance.
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
            return stream.write_all(&self.answers.plain(200, "{}"));
        }
        self.send_due_extra(arrived, stream)?;
        if arrived.id() == BOOKING && self.is_full(arrived) {
            let rejection = self.answers.not_run(arrived, 503);
            self.note(arrived, "rejected: full");
            if self.is_faulty && deployment::has_trouble() {
                let mut state = self.state.lock().expect("no holder panics");
                state.extra = Some((arrived.connection, rejection.clone()));
            }
            return stream.write_all(&rejection);
        }
        self.runs.add(arrived.id(), &self.answers.instance);
        if arrived.id() == BOOKING {
            self.note(arrived, "runs");
        }
        thread::sleep(WORK);
        if self.is_faulty {
            self.state.lock().expect("no holder panics").answers += 1;
        }
        stream.write_all(&self.answers.success(arrived, "", "booked"))
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
            self.note(arrived, "the rejection comes a second time");
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Returns whether there is no room for the booking. The faulty instance has some again when the
    /// booking comes back, the others a little later.
    fn is_full(&self, arrived: &Arrived) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        let first = *state.first_arrival.get_or_insert_with(Instant::now);
        let arrivals = state
            .arrivals
            .entry(self.answers.instance.clone())
            .or_default();
        *arrivals += 1;
        let is_first_here = *arrivals == 1;
        drop(state);
        self.note(arrived, "arrives");
        match self.is_faulty {
            true => is_first_here,
            false => first.elapsed() < FULL_TIME,
        }
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
    record.add(&format!("{BOOKING} sent by its client"));
    let answer = caller.ask(&SiteRequest::book(BOOKING).with_timeout_ms(4_000))?;
    record.add(&format!(
        "{BOOKING} answered {} {:?}, signed {}",
        answer.status(),
        answer.text(),
        answer.is_signed()
    ));
    thread::sleep(Duration::from_secs(1));
    let by = runs.of(BOOKING);
    record.add(&format!("{BOOKING} ran {} times, at {by:?}", by.len()));
    for id in runs.repeated().iter().filter(|id| *id != BOOKING) {
        record.add(&format!("{id} ran more than once, too"));
    }
    // These statuses say that the request has not run.
    let is_denied = [408, 421, 429, 503].contains(&answer.status()) && !by.is_empty();
    Ok(runs.repeated().is_empty() && !is_denied)
}
