//! A machine is removed for good, and a new one with its name comes at another address: do the
//! orders of the two count as those of two holders, with a pause of `lease_ms` between them?

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use apricotdale_review_standins_2::BROKEN;
use apricotdale_review_standins_2::Record;
use apricotdale_review_standins_2::Vm;
use apricotdale_review_standins_2::VmPlan;
use apricotdale_review_standins_2::give_up;
use apricotdale_review_standins_2::has_trouble;
use apricotdale_review_standins_2::wait;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;

/// `lease_ms` of the deployment.
const LEASE: Duration = Duration::from_millis(3_000);

/// Time from the loss of a machine until the new one comes: `x` of `replace_core`.
const GAP: Duration = Duration::from_secs(1);

/// Models that callers ask for in turn. The engines hold six of them at once.
const MODELS: usize = 10;

fn engine(index: usize, models: &[&str]) -> EngineOptions {
    EngineOptions {
        instance: format!("i-{index}"),
        models: models.iter().map(ToString::to_string).collect(),
        on_disk: (0..MODELS).map(|index| format!("m{index}")).collect(),
        ..EngineOptions::default()
    }
}

/// Callers at a VM that ask for one model after another until they are stopped.
fn ask(vm: &Vm, record: &Record, name: &str, stop: &Arc<AtomicBool>, answered: &Arc<AtomicU64>) {
    let address = vm.callers;
    for caller in 0..4 {
        let (record, stop, answered) = (record.clone(), stop.clone(), answered.clone());
        let name = format!("{name}-{caller}");
        thread::spawn(move || {
            let mut number = caller * 3;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{name}-{number}");
                let model = format!("m{}", number % MODELS);
                let request = SiteRequest::quick(&id, &model).with_timeout_ms(2_500);
                let connection = Caller::connect(address, Duration::from_secs(3));
                let answer = connection.and_then(|mut it| it.ask(&request));
                match answer {
                    Ok(answer) => {
                        answered.fetch_add(1, Ordering::Relaxed);
                        record.note(&format!("caller {id} {model}: {}", answer.status()));
                    }
                    Err(error) => record.note(&format!("caller {id} {model}: {error}")),
                }
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
}

fn orders(site: &Site) -> Vec<(Instant, String)> {
    let all = site.engines.iter().flat_map(|engine| engine.order_times());
    let mut all: Vec<(Instant, String)> = all.collect();
    all.sort();
    all
}

fn main() {
    let record = Record::create();
    let options = SiteOptions {
        engines: vec![
            engine(0, &["m0", "m1", "m2"]),
            engine(1, &["m3", "m4", "m5"]),
        ],
        models: (0..MODELS).map(|index| format!("m{index}")).collect(),
        ..SiteOptions::default()
    };
    let site = Site::start(options).unwrap_or_else(|error| give_up(&error.to_string()));
    let plan = |name: &str, ip: &str| VmPlan {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        ip: ip.parse().expect("a loopback address"),
        store: site.store_addresses[0],
        fence_required: false,
    };
    let mut first = Vm::start(&plan("front-zone-a-1", "127.0.0.11"));
    first.wait_ready();
    wait("the first machine gives orders", || {
        first.has_logged("this VM gives orders")
    });
    let second = Vm::start(&plan("front-zone-a-2", "127.0.0.12"));
    second.wait_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    ask(&second, &record, "b", &stop, &answered);
    thread::sleep(Duration::from_secs(6));
    let before = orders(&site).len();
    if before < 5 {
        give_up(&format!("only {before} orders before the disruption"));
    }
    let mut replacement = None;
    let mut removed = None;
    if has_trouble() {
        first.end();
        let at = Instant::now();
        removed = Some(at);
        record.say("machine front-zone-a-1 at 127.0.0.11 is removed for good (SIGKILL)");
        thread::sleep(GAP);
        let name = std::env::var("NEW_NAME").unwrap_or_else(|_| "front-zone-a-1".to_owned());
        record.say(&format!("a machine {name} comes at 127.0.0.13"));
        replacement = Some(Vm::start(&plan(&name, "127.0.0.13")));
    }
    thread::sleep(Duration::from_secs(9));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    let all = orders(&site);
    for (at, holder) in &all {
        record.note(&format!(
            "order accepted at {:.3} s, holder {holder}",
            record.seconds(*at)
        ));
    }
    for line in first.lines_with("this VM gives orders") {
        record.note(&format!("127.0.0.11: {line}"));
    }
    for line in second.lines_with("this VM gives orders") {
        record.note(&format!("127.0.0.12: {line}"));
    }
    for line in replacement
        .iter()
        .flat_map(|vm| vm.lines_with("this VM gives orders"))
    {
        record.note(&format!("127.0.0.13: {line}"));
    }
    record.say(&format!(
        "{} orders, {} answers to callers",
        all.len(),
        answered.load(Ordering::Relaxed)
    ));
    let is_broken = match removed {
        None => {
            // One machine gave all orders.
            let holders: std::collections::BTreeSet<&str> =
                all.iter().map(|(_, holder)| holder.as_str()).collect();
            record.say(&format!("holders: {holders:?}"));
            holders.len() > 1
        }
        // Orders to one engine are judged.
        Some(removed) => {
            let mut soonest = Duration::MAX;
            for engine in &site.engines {
                let orders = engine.order_times();
                let last = orders.iter().rfind(|(at, _)| *at < removed);
                let next = orders.iter().find(|(at, _)| *at >= removed);
                if let (Some((last, by)), Some((next, then))) = (last, next) {
                    let gap = next.duration_since(*last);
                    soonest = soonest.min(gap);
                    record.say(&format!(
                        "engine {}: last order of 127.0.0.11 ({by}) at {:.3} s, next order ({then}) at {:.3} s, {} ms later; lease_ms is {}",
                        engine.name(),
                        record.seconds(*last),
                        record.seconds(*next),
                        gap.as_millis(),
                        LEASE.as_millis()
                    ));
                }
            }
            if soonest == Duration::MAX {
                give_up("no order after the disruption");
            }
            soonest < LEASE
        }
    };
    drop(replacement);
    drop(second);
    drop(first);
    std::process::exit(if is_broken { BROKEN } else { 0 });
}
