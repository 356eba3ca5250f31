//! Callers of a small deployment each send one request with a body of the size that the operator
//! allows. The platform ends a process above `memory_mb`. Are requests lost that had been passed on?

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
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
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;

/// `limits.memory_mb` of the machine.
const MEMORY_MB: u64 = 260;

/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Callers of the deployment: 21, 19 and 18 in its three zones.
const CALLERS: usize = 58;

/// Requests at the same time without the disruption.
const CALM_CALLERS: usize = 8;

/// Mean work of the service on a request.
const WORK_MS: u64 = 60;

/// Requests that may be lost before the rule is broken.
const ALLOWED: usize = 3;

fn resident_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn main() {
    let record = Record::create();
    let options = SiteOptions {
        instances: 3,
        work_ms: WORK_MS,
        timeout_ms: 4_000,
        ..SiteOptions::default()
    };
    let site = Site::start(options).unwrap_or_else(|error| give_up(&error.to_string()));
    site.reconfigure(2, |it| it["limits"]["max_body_bytes"] = json!(BODY_BYTES));
    let mut vm = Vm::start(&VmPlan {
        name: "front-zone-a-1".to_owned(),
        zone: "zone-a".to_owned(),
        ip: "127.0.0.11".parse().expect("a loopback address"),
        store: site.store_addresses[0],
        fence_required: true,
    });
    vm.wait_ready();
    // Longer than `stable_window_ms`: the machine is in touch.
    thread::sleep(Duration::from_millis(4_000));
    let at_start = vm.resident_bytes() >> 20;
    let callers = vm.callers;
    let at_once = match has_trouble() {
        true => CALLERS,
        false => CALM_CALLERS,
    };
    let answers: Arc<Mutex<HashMap<String, (u16, Instant)>>> = Arc::default();
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let begin = Arc::new(AtomicBool::new(false));
    let ready = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..at_once)
        .map(|index| {
            let (answers, sent) = (answers.clone(), sent.clone());
            let (begin, ready, record) = (begin.clone(), ready.clone(), record.clone());
            thread::spawn(move || {
                // The connection is kept from a request before.
                let Ok(mut caller) = Caller::connect(callers, Duration::from_secs(6)) else {
                    return;
                };
                let first = caller.ask(&SiteRequest::look(&format!("l{index}")));
                record.note(&format!("l{index}: {:?}", first.map(|it| it.status())));
                ready.fetch_add(1, Ordering::Relaxed);
                while !begin.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                let id = format!("c{index}");
                let request = SiteRequest::book(&id)
                    .with_timeout_ms(4_000)
                    .with_body(&vec![b'x'; BODY_BYTES]);
                if caller.send(&request.bytes()).is_err() {
                    record.note(&format!("{id}: the connection broke while it was sent"));
                    return;
                }
                if let Ok(mut sent) = sent.lock() {
                    sent.insert(id.clone(), Instant::now());
                }
                let answer = caller.answer();
                let status = answer.map_or(0, |it| if it.complete { it.status() } else { 0 });
                record.note(&format!("{id}: answered {status}"));
                if let Ok(mut answers) = answers.lock() {
                    answers.insert(id, (status, Instant::now()));
                }
            })
        })
        .collect();
    apricotdale_review_standins_2::wait("the callers are connected", || {
        ready.load(Ordering::Relaxed) as usize == at_once
    });
    let peak = Arc::new(AtomicU64::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (peak, ended, done, record) =
            (peak.clone(), ended.clone(), done.clone(), record.clone());
        let id = vm.id();
        thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let bytes = resident_bytes(id);
                peak.fetch_max(bytes, Ordering::Relaxed);
                if bytes > MEMORY_MB << 20 && !ended.swap(true, Ordering::Relaxed) {
                    // The platform ends a process that is above its limit.
                    let _ = kill(Pid::from_raw(id as i32), Signal::SIGKILL);
                    record.say(&format!(
                        "the process holds {} MB, its limit is {MEMORY_MB} MB: it is killed",
                        bytes >> 20
                    ));
                }
                thread::sleep(Duration::from_millis(1));
            }
        })
    };
    record.say(&format!(
        "{at_once} callers send one request of {BODY_BYTES} bytes each, {} MB in all; the process holds {at_start} MB",
        (at_once * BODY_BYTES) >> 20
    ));
    begin.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    done.store(true, Ordering::Relaxed);
    let _ = platform.join();
    thread::sleep(Duration::from_millis(500));
    let runs: HashMap<String, usize> = site
        .services
        .iter()
        .flat_map(|service| service.run_counts())
        .collect();
    let answers = answers.lock().map(|it| it.clone()).unwrap_or_default();
    let is_answered = |id: &str| answers.get(id).is_some_and(|(status, _)| *status > 0);
    let passed_on: Vec<&String> = runs.keys().filter(|id| id.starts_with('c')).collect();
    let lost = passed_on.iter().filter(|id| !is_answered(id)).count();
    record.say(&format!(
        "peak {} MB; {} of {at_once} requests ran at the service, {} were answered; {lost} ran and their connection ended without an answer",
        peak.load(Ordering::Relaxed) >> 20,
        passed_on.len(),
        answers.values().filter(|(status, _)| *status > 0).count(),
    ));
    vm.end();
    let is_broken = ended.load(Ordering::Relaxed) && lost > ALLOWED;
    std::process::exit(if is_broken { BROKEN } else { 0 });
}
