//! The VM that gives orders is cut off with an order on its way. Another VM gives orders from then
//! on. When the cut has ended, the first VM's order arrives behind the second one's.

use std::collections::BTreeSet;
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
use apricotdale_standins::platform::StoreFault;

use crate::deployment;
use crate::names::name;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::upstream;
use crate::upstream::Answers;
use crate::upstream::Arrived;
use crate::vm::Vm;

const SLOTS: u32 = 8;

/// Number of VMs, of which one is cut off: 0.33, of 0.35 that may be.
const VMS: u8 = 3;

/// Duration of the cut.
const CUT: Duration = Duration::from_secs(12);

/// Time after the end of a cut in which orders do not count.
const THAW: Duration = Duration::from_millis(300);

/// Time of a load.
const LOAD: Duration = Duration::from_millis(600);

/// Time in which the next VM gives orders: its lease, and the pause.
const TAKEOVER: Duration = Duration::from_secs(9);

const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Log line of a VM that may give orders.
const GIVES_ORDERS: &str = "this VM gives orders";

/// Order as it arrived.
#[derive(Clone)]
struct ArrivedOrder {
    at: Instant,
    holder: String,
    fence: u64,
}

#[derive(Default)]
struct State {
    models: BTreeSet<String>,
    /// Load in progress and its end.
    loading: Option<(String, Instant)>,
    /// Number of accepted orders.
    accepted: u64,
    orders: Vec<ArrivedOrder>,
}

impl State {
    fn advance(&mut self) {
        let is_done = |loading: &mut (String, Instant)| loading.1 <= Instant::now();
        if let Some((model, _)) = self.loading.take_if(is_done) {
            self.models.insert(model);
        }
    }

    fn models_text(&self) -> String {
        let models: Vec<String> = self
            .models
            .iter()
            .map(|model| format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        format!("[{}]", models.join(","))
    }
}

/// Model engine that does not check fencing tokens.
struct Engine {
    answers: Answers,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Engine {
    fn serve(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<()> {
        if self.answers.reject_misdirected(arrived, stream)? {
            return Ok(());
        }
        let mut state = self.state.lock().expect("no holder panics");
        state.advance();
        let answer = match arrived.target.as_str() {
            target if target == name("report") => {
                let text = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\
                     \"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":100000,\
                     \"handles\":0,{}}}",
                    state.models_text(),
                    state.loading.is_some(),
                    state.accepted,
                    name("copies")
                );
                self.answers.plain(200, &text)
            }
            target if target == name("order") => {
                let status = self.take_order(&mut state, &arrived.body);
                self.answers.plain(status, "{}")
            }
            _ if arrived.is_health_check() => self.answers.plain(200, "{}"),
            _ if state.models.contains(arrived.header(name("model"))) => {
                let fields = format!(
                    "Content-Type: text/event-stream\r\n{}: 1\r\n",
                    name("versions")
                );
                let events: String = (1..=4).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
                self.answers.success(arrived, &fields, &events)
            }
            _ => self.answers.not_run(arrived, 421),
        };
        drop(state);
        stream.write_all(&answer)
    }

    fn take_order(&self, state: &mut State, body: &[u8]) -> u16 {
        let text = String::from_utf8_lossy(body).into_owned();
        let (holder, model) = (field(&text, "holder"), field(&text, "model"));
        let fence = field(&text, name("fence")).parse().unwrap_or_default();
        let expected: Option<u64> = field(&text, "precondition").parse().ok();
        state.orders.push(ArrivedOrder {
            at: Instant::now(),
            holder: holder.clone(),
            fence,
        });
        let status = match field(&text, "operation").as_str() {
            _ if state.loading.is_some() => 409,
            _ if expected.is_some_and(|expected| expected != state.accepted) => 409,
            "load" if state.models.contains(&model) => 200,
            "load" => {
                state.loading = Some((model.clone(), Instant::now() + LOAD));
                state.accepted += 1;
                202
            }
            _ => {
                state.models.remove(&model);
                state.accepted += 1;
                202
            }
        };
        self.record.add(&format!(
            "{}: order of {holder}, token {fence}, {} {model}, precondition {expected:?}: {status}",
            self.answers.instance,
            field(&text, "operation")
        ));
        status
    }
}

/// Returns the value of a field of a flat JSON object, without quotes; empty without one.
fn field(text: &str, key: &str) -> String {
    let found = text.split_once(&format!("\"{key}\":"));
    let value = found.map_or("", |(_, value)| value);
    let end = value.find([',', '}']).unwrap_or(value.len());
    value[..end].trim_matches('"').to_owned()
}

/// Runs the case and returns whether the rule held.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    let site = deployment::start_site(usize::from(VMS))?;
    let state: Arc<Mutex<State>> = Arc::default();
    state
        .lock()
        .expect("no holder panics")
        .models
        .insert("m0".to_owned());
    let engine = Engine {
        answers: Answers {
            instance: "i-0".to_owned(),
            slots: SLOTS,
        },
        state: state.clone(),
        record: record.clone(),
    };
    let serve = move |arrived: &Arrived, stream: &mut TcpStream| engine.serve(arrived, stream);
    let (proxy, address) = Proxy::start(upstream::start(Arc::new(serve))?)?;
    let listed = state.clone();
    deployment::announce(&site, "llm", "i-0", address, SLOTS, move || {
        let mut state = listed.lock().expect("no holder panics");
        state.advance();
        format!(
            ",\"stage\":\"both\",\"models\":{},{}",
            state.models_text(),
            name("copies")
        )
    });
    let mut vms = Vec::new();
    for number in 0..VMS {
        let store = site.store_addresses[usize::from(number)];
        vms.push(Vm::start(number, store, false)?);
        if number == 0 && !vms[0].has_logged(GIVES_ORDERS, TAKEOVER) {
            return Err(io::Error::other("the first VM does not give orders"));
        }
    }
    thread::sleep(deployment::SETTLE_TIME);
    record.add("front-0 gives orders");
    let mut callers = Vec::new();
    for vm in &vms {
        callers.push(Caller::connect(vm.callers, CALLER_TIMEOUT)?);
    }
    ask(record, &mut callers[0], "before", "m0")?;
    let heals = Instant::now() + CUT;
    if deployment::has_trouble() {
        record.add("front-0 is cut off from the store and from i-0");
        site.store_endpoints[0].set_fault(StoreFault::Silent);
        proxy.cut(vms[0].address, CUT);
    }
    let mut first = callers.swap_remove(0);
    let noted = record.clone();
    let first = thread::spawn(move || ask(&noted, &mut first, "first", "m1"));
    if deployment::has_trouble() {
        let is_next = || {
            vms[1..]
                .iter()
                .any(|vm| !vm.lines_with(GIVES_ORDERS).is_empty())
        };
        let deadline = Instant::now() + TAKEOVER;
        while !is_next() {
            if Instant::now() > deadline {
                return Err(io::Error::other("no other VM gives orders"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.add("another VM gives orders");
    }
    // Both remaining connections are those of the other VMs.
    ask(record, &mut callers[0], "second", "m2")?;
    thread::sleep(heals.saturating_duration_since(Instant::now()));
    if deployment::has_trouble() {
        site.store_endpoints[0].set_fault(StoreFault::None);
        record.add("the cut has ended");
    }
    thread::sleep(Duration::from_secs(3));
    // Whether the first VM's request was answered is not judged here.
    let _ = first.join();
    let orders = state.lock().expect("no holder panics").orders.clone();
    Ok(judge(record, &orders, heals))
}

/// Returns whether no order with a lower token arrived behind one with a higher token, apart from
/// orders that arrived just after the cut.
fn judge(record: &Record, orders: &[ArrivedOrder], heals: Instant) -> bool {
    let counts = |order: &&ArrivedOrder| {
        !deployment::has_trouble() || order.at < heals || order.at > heals + THAW
    };
    let mut highest = 0;
    let mut held = true;
    for order in orders.iter().filter(counts) {
        if order.fence < highest {
            record.add(&format!(
                "order of {} with token {} arrived behind one with token {highest}, {} ms after \
                 the end of the cut",
                order.holder,
                order.fence,
                order.at.saturating_duration_since(heals).as_millis()
            ));
            held = false;
        }
        highest = highest.max(order.fence);
    }
    held
}

fn ask(record: &Record, caller: &mut Caller, id: &str, model: &str) -> io::Result<()> {
    record.add(&format!("{id} asks for {model}"));
    let answer = caller.ask(&SiteRequest::quick(id, model).with_timeout_ms(4_000))?;
    record.add(&format!("{id} answered {}", answer.status()));
    Ok(())
}
