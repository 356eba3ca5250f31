//! An engine rejects a part of its streams and hands out wrong bytes. A stream that may run once is
//! rejected and sent again. The engine sends its rejection a second time, late: where the next
//! answer on that connection is due.

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
use crate::engine::Engine;
use crate::engine::Holdings;
use crate::record::Record;
use crate::upstream;
use crate::upstream::Answers;
use crate::upstream::Arrived;
use crate::vm::Vm;

const SLOTS: u32 = 8;

/// Number of engines, of which the first one is faulty: 0.14, of 0.15 that may fail part of their
/// requests, and of 0.6 that may hand out wrong bytes.
const ENGINES: usize = 7;

/// Number of models in the configuration. They leave little room on the engines.
const MODELS: usize = 36;

/// Time until an engine begins to answer a stream.
const WORK: Duration = Duration::from_millis(20);

/// Number of streams before the disruption.
const EARLIER: usize = 40;

/// Number of answers for each extra one: one is less than 3 in 100.
const ANSWERS_FOR_EACH: usize = 35;

/// Of this number of streams that arrive, two are rejected: 0.4, of 0.4.
const REJECTED_OF: usize = 5;

/// Duration of the disruption.
const TROUBLE: Duration = Duration::from_secs(5);

/// How long clients wait, as they state it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Default)]
struct State {
    /// Numbers of answers and of extra ones during the disruption.
    answers: usize,
    extras: usize,
    /// End of the disruption, once it has begun.
    until: Option<Instant>,
    /// Stream that was rejected last, its connection and its rejection.
    rejected: Option<(usize, String, Vec<u8>)>,
}

struct FaultyEngine {
    engine: Engine,
    is_faulty: bool,
    state: Arc<Mutex<State>>,
    runs: Arc<Runs>,
}

impl FaultyEngine {
    fn serve(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        if self.engine.serve_call(arrived, stream)? {
            return Ok(());
        }
        if !self.engine.serves(arrived) {
            self.note(arrived, "rejected: the model is not there");
            return stream.write_all(&self.engine.answers.not_run(arrived, 421));
        }
        let (extra, rejects) = self.take_turn(arrived);
        if let Some(bytes) = extra {
            self.note(arrived, "the rejection comes a second time");
            stream.write_all(&bytes)?;
        }
        if rejects {
            self.note(arrived, "rejected");
            return stream.write_all(&self.engine.answers.not_run(arrived, 503));
        }
        self.note(arrived, "runs");
        self.runs.add(arrived.id(), &self.engine.answers.instance);
        thread::sleep(WORK);
        stream.write_all(&self.engine.stream(arrived))
    }

    /// Returns an extra answer that comes before the one to a stream, and whether the stream is
    /// rejected.
    fn take_turn(&self, arrived: &Arrived) -> (Option<Vec<u8>>, bool) {
        let mut state = self.state.lock().expect("no holder panics");
        if !self.is_faulty {
            return (None, false);
        }
        if state.until.is_none_or(|until| Instant::now() >= until) {
            return (None, false);
        }
        state.answers += 1;
        let may_spoil = state.extras < state.answers / ANSWERS_FOR_EACH;
        let again = state.rejected.take().filter(|(connection, id, _)| {
            may_spoil && *connection == arrived.connection && id == arrived.id()
        });
        if let Some((_, _, rejection)) = again {
            state.extras += 1;
            return (Some(rejection), false);
        }
        let rejects = state.answers % REJECTED_OF < 2;
        if rejects {
            let rejection = self.engine.answers.not_run(arrived, 503);
            state.rejected = Some((arrived.connection, arrived.id().to_owned(), rejection));
        }
        (None, rejects)
    }

    fn note(&self, arrived: &Arrived, what: &str) {
        self.engine.record.add(&format!(
            "{}: {} on connection {}: {what}",
            self.engine.answers.instance,
            arrived.id(),
            arrived.connection
        ));
    }
}

/// Runs the case and returns whether the rule held.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    let site = deployment::start_site(1, MODELS)?;
    let runs: Arc<Runs> = Arc::default();
    let state: Arc<Mutex<State>> = Arc::default();
    for index in 0..ENGINES {
        let holdings = Arc::new(Mutex::new(Holdings::new(&format!("m{index}"), false)));
        let engine = FaultyEngine {
            engine: Engine {
                answers: Answers {
                    instance: format!("i-{index}"),
                    slots: SLOTS,
                },
                holdings: holdings.clone(),
                record: record.clone(),
            },
            is_faulty: index == 0,
            state: state.clone(),
            runs: runs.clone(),
        };
        let instance = engine.engine.answers.instance.clone();
        let serve = move |arrived: &Arrived, stream: &mut TcpStream| engine.serve(arrived, stream);
        let address = upstream::start(Arc::new(serve))?;
        deployment::announce(&site, "llm", &instance, address, SLOTS, move || {
            let mut holdings = holdings.lock().expect("no holder panics");
            format!(",{}", holdings.fields())
        });
    }
    let vm = Vm::start(0, site.store_addresses[0], true)?;
    thread::sleep(deployment::SETTLE_TIME);
    let mut caller = Caller::connect(vm.callers, CLIENT_TIMEOUT)?;
    for index in 0..EARLIER {
        ask(record, &mut caller, &format!("earlier-{index}"))?;
    }
    record.add(&format!("{EARLIER} earlier streams are answered"));
    let until = Instant::now() + TROUBLE;
    if deployment::has_trouble() {
        state.lock().expect("no holder panics").until = Some(until);
        record.add("i-0 rejects a part of its streams and hands out wrong bytes");
    }
    let mut index = 0;
    while Instant::now() < until {
        ask(record, &mut caller, &format!("stream-{index}"))?;
        index += 1;
    }
    thread::sleep(Duration::from_secs(1));
    let repeated = runs.repeated();
    for id in &repeated {
        let by = runs.of(id);
        record.add(&format!("{id} ran {} times, at {by:?}", by.len()));
    }
    record.add(&format!(
        "{} streams that may run once ran more than once",
        repeated.len()
    ));
    Ok(repeated.is_empty())
}

fn ask(record: &Record, caller: &mut Caller, id: &str) -> io::Result<()> {
    let answer = caller.ask(&SiteRequest::patient(id, "m0").with_timeout_ms(4_000))?;
    if !answer.is_success() {
        record.add(&format!("{id} answered {}", answer.status()));
    }
    Ok(())
}
