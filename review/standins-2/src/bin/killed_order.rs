//! The VM that gives orders is killed while an engine has no path to it and an order is on its
//! way. Its system goes on sending the order: does it arrive behind one with a higher token?
//!
//! The engines, the proxy and the deployment are those of the former review.

#[allow(dead_code)]
#[path = "../../../standins/src/deployment.rs"]
mod deployment;
#[allow(dead_code)]
#[path = "../../../standins/src/engine.rs"]
mod engine;
#[allow(dead_code)]
#[path = "../../../standins/src/names.rs"]
mod names;
#[path = "../../../standins/src/proxy.rs"]
mod proxy;
#[path = "../../../standins/src/record.rs"]
mod record;
#[allow(dead_code)]
#[path = "../../../standins/src/upstream.rs"]
mod upstream;
#[allow(dead_code)]
#[path = "../../../standins/src/vm.rs"]
mod vm;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::SiteRequest;

use engine::ArrivedOrder;
use engine::Engine;
use engine::Holdings;
use proxy::Proxy;
use record::Record;
use upstream::Answers;
use upstream::Arrived;
use vm::Vm;

const SLOTS: u32 = 8;

/// Number of VMs, of which one is killed, and to which one engine loses its path (0.25, of 0.3).
const VMS: u8 = 4;

/// Number of engines, of which one loses a path: 0.2, of 0.2.
const ENGINES: usize = 5;

/// Number of models in the configuration. The engines hold 15 at once.
const MODELS: usize = 20;

/// Callers that ask for models in turn.
const CALLERS: usize = 8;

/// Number of plays, at most.
const PLAYS: usize = 4;

/// Duration of the cut between the first VM and one engine.
const CUT: Duration = Duration::from_secs(5);

/// Time from the start of the cut until the VM is killed.
const KILL: Duration = Duration::from_millis(600);

/// Time for which the killed VM's process is away.
const AWAY: Duration = Duration::from_millis(3_500);

/// Time after the end of a cut in which orders do not count.
const THAW: Duration = Duration::from_millis(300);

/// Time in which the next VM gives orders: its lease, and the pause.
const TAKEOVER: Duration = Duration::from_secs(9);

/// How long clients wait, as they state it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Log line of a VM that may give orders.
const GIVES_ORDERS: &str = "this VM gives orders";

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("no path of a record is given");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new());
    // The cut may find no order on its way to the engine. Then the case is played again.
    let plays = if deployment::has_trouble() { PLAYS } else { 1 };
    let mut code = 0;
    for play in 1..=plays {
        record.add(&format!("play {play}"));
        code = match run(&record) {
            Ok(true) => 0,
            Ok(false) => 1,
            Err(error) => {
                record.add(&format!("could not run: {error}"));
                2
            }
        };
        if code != 0 {
            break;
        }
    }
    record.add(&format!("exit {code}"));
    match record.write(Path::new(&path)) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}

fn run(record: &Arc<Record>) -> io::Result<bool> {
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
    let stop = Arc::new(AtomicBool::new(false));
    for caller in 0..CALLERS {
        ask_in_turn(record, vms[1].callers, caller, &stop);
    }
    thread::sleep(Duration::from_secs(4));
    let cut_at = Instant::now();
    let heals = cut_at + CUT;
    let mut away = None;
    if deployment::has_trouble() {
        record.add("i-0 loses the path to front-0");
        proxies[0].cut(vms[0].address, CUT);
        thread::sleep(KILL);
        let _ = vms.remove(0);
        record.add("front-0 is killed (SIGKILL)");
        thread::sleep(AWAY);
        record.add("front-0 starts again");
        away = Some(Vm::start(0, site.store_addresses[0], false)?);
    }
    thread::sleep((cut_at + Duration::from_secs(14)).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for vm in vms.iter().chain(&away) {
        for line in vm.lines_with(GIVES_ORDERS) {
            record.add(&format!("{}: {line}", vm.address));
        }
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

/// A caller at a VM that asks for models, in an order of its own, until it is stopped.
fn ask_in_turn(record: &Arc<Record>, vm: SocketAddr, caller: usize, stop: &Arc<AtomicBool>) {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            // The stride is prime to the number of models.
            let stride = [1, 3, 7, 9, 11, 13, 17, 19][caller % 8];
            let model = format!("m{}", (caller * 5 + number * stride) % MODELS);
            let id = format!("c{caller}-{number}");
            let request = SiteRequest::quick(&id, &model).with_timeout_ms(4_000);
            let connection = Caller::connect(vm, CLIENT_TIMEOUT);
            match connection.and_then(|mut it| it.ask(&request)) {
                Ok(answer) => record.add(&format!("{id} {model}: {}", answer.status())),
                Err(error) => record.add(&format!("{id} {model}: {error}")),
            }
            thread::sleep(Duration::from_millis(40));
        }
    });
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
