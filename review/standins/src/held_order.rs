//! The VM that gives orders is cut off from the store, and one engine loses the path to it, with an
//! order on its way. Another VM gives orders from then on. When the engine has its path back, the
//! first VM's order arrives behind the second one's.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::SiteRequest;
use apricotdale_standins::platform::StoreFault;

use crate::deployment;
use crate::engine::ArrivedOrder;
use crate::engine::Engine;
use crate::engine::Holdings;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::upstream;
use crate::upstream::Answers;
use crate::upstream::Arrived;
use crate::vm::Vm;

const SLOTS: u32 = 8;

/// Number of VMs, of which one is cut off from the store (0.25, of 0.35 that may be), and to which
/// one engine loses its path (0.25, of 0.3).
const VMS: u8 = 4;

/// Number of engines, of which one loses a path: 0.2, of 0.2.
const ENGINES: usize = 5;

/// Number of models in the configuration.
const MODELS: usize = 4;

/// Duration of the cut between the first VM and the store.
const STORE_CUT: Duration = Duration::from_secs(12);

/// Duration of the cut between the first VM and one engine.
const CUT: Duration = Duration::from_secs(5);

/// Models that are asked for before and after the change of the VM that gives orders, one client
/// each.
const FIRST_MODELS: [&str; 1] = ["m1"];
const SECOND_MODELS: [&str; 2] = ["m2", "m3"];

/// Time after the end of a cut in which orders do not count.
const THAW: Duration = Duration::from_millis(300);

/// Time in which the next VM gives orders: its lease, and the pause.
const TAKEOVER: Duration = Duration::from_secs(9);

/// How long clients wait, as they state it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Log line of a VM that may give orders.
const GIVES_ORDERS: &str = "this VM gives orders";

/// Runs the case and returns whether the rule held.
pub fn run(record: &Arc<Record>) -> io::Result<bool> {
    let site = deployment::start_site(usize::from(VMS), MODELS)?;
    let mut proxies = Vec::new();
    let mut all_holdings = Vec::new();
    for index in 0..ENGINES {
        let holdings = Arc::new(Mutex::new(Holdings::new("m0", true)));
        let address = start_engine(index, &holdings, record)?;
        let (proxy, address) = Proxy::start(address)?;
        proxies.push(proxy);
        all_holdings.push(holdings.clone());
        let instance = format!("i-{index}");
        deployment::announce(&site, "llm", &instance, address, SLOTS, move || {
            let mut holdings = holdings.lock().expect("no holder panics");
            format!(",{}", holdings.fields())
        });
    }
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
    let mut before = Caller::connect(vms[0].callers, CLIENT_TIMEOUT)?;
    ask(record, &mut before, "before", "m0")?;
    let cut_at = Instant::now();
    let heals = cut_at + CUT;
    if deployment::has_trouble() {
        record.add("front-0 is cut off from the store, and i-0 from front-0");
        site.store_endpoints[0].set_fault(StoreFault::Silent);
        proxies[0].cut(vms[0].address, CUT);
    }
    let mut clients = ask_for_each(record, &vms[0], &FIRST_MODELS)?;
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
    // Orders that arrive just after the cut do not count.
    let settled = heals + THAW + Duration::from_millis(100);
    thread::sleep(settled.saturating_duration_since(Instant::now()));
    clients.extend(ask_for_each(record, &vms[1], &SECOND_MODELS)?);
    thread::sleep((cut_at + STORE_CUT).saturating_duration_since(Instant::now()));
    if deployment::has_trouble() {
        site.store_endpoints[0].set_fault(StoreFault::None);
        record.add("front-0 reaches the store again");
    }
    thread::sleep(Duration::from_secs(3));
    for client in clients {
        // Whether its request was answered is not judged here.
        let _ = client.join();
    }
    let mut held = true;
    for (index, holdings) in all_holdings.iter().enumerate() {
        let orders = holdings.lock().expect("no holder panics").orders.clone();
        held &= judge(record, index, &orders, heals);
    }
    Ok(held)
}

/// Starts an engine and returns its address.
fn start_engine(
    index: usize,
    holdings: &Arc<Mutex<Holdings>>,
    record: &Arc<Record>,
) -> io::Result<SocketAddr> {
    let engine = Engine {
        answers: Answers {
            instance: format!("i-{index}"),
            slots: SLOTS,
        },
        holdings: holdings.clone(),
        record: record.clone(),
    };
    let serve = move |arrived: &Arrived, stream: &mut TcpStream| {
        if engine.serve_call(arrived, stream)? {
            return Ok(());
        }
        let answer = match engine.serves(arrived) {
            true => engine.stream(arrived),
            false => engine.answers.not_run(arrived, 421),
        };
        stream.write_all(&answer)
    };
    upstream::start(Arc::new(serve))
}

/// Asks a VM for models, with one client each.
fn ask_for_each(
    record: &Arc<Record>,
    vm: &Vm,
    models: &[&'static str],
) -> io::Result<Vec<JoinHandle<()>>> {
    let mut clients = Vec::new();
    for model in models.iter().copied() {
        let mut caller = Caller::connect(vm.callers, CLIENT_TIMEOUT)?;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            // A client that gets no answer leaves.
            let _ = ask(&record, &mut caller, &format!("stream-{model}"), model);
        }));
    }
    Ok(clients)
}

/// Returns whether no order with a lower token arrived behind one with a higher token, apart from
/// orders that arrived just after the cut.
fn judge(record: &Record, index: usize, orders: &[ArrivedOrder], heals: Instant) -> bool {
    let counts = |order: &&ArrivedOrder| {
        !deployment::has_trouble() || order.at < heals || order.at > heals + THAW
    };
    let mut highest = 0;
    let mut held = true;
    for order in orders.iter().filter(counts) {
        if order.fence < highest {
            record.add(&format!(
                "i-{index}: order of {} with token {} arrived behind one with token {highest}, \
                 {} ms after the engine had its path back",
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
