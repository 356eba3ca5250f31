//! Execution of one soak: start of the VMs, workload, faults, recovery and the resulting record.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Clock;
use crate::errors::Error;
use crate::errors::Result;
use crate::keys::KEY_MARK;
use crate::plan::Plan;
use crate::record::Attempt;
use crate::record::Ending;
use crate::record::Kind;
use crate::record::Record;
use crate::workload::Workload;
use crate::workload::organisation_of;
use crate::world::World;

const ENTRY_PROGRAM: &str = "apricotdale-entry";

/// Time within which all VMs must be ready after the start.
const READY_MS: u64 = 20_000;

/// Time after the last fault within which every VM must serve every kind of request again.
const RECOVERY_MS: u64 = 12_000;

/// Pause between two recovery requests of the same kind to a VM.
const RECOVERY_PAUSE: Duration = Duration::from_millis(100);

/// Size of a soak and the seed from which it is drawn.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the program `apricotdale-entry`.
    pub program: PathBuf,
    /// Seed of the plan and of the callers' requests.
    pub seed: u64,
    /// Length of the plan in milliseconds, including the fault-free time at its start and end.
    pub length_ms: u64,
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of model engines at the start.
    pub engines: usize,
    /// Number of concurrent callers, besides those of bursts and crashers.
    pub callers: usize,
    /// Number of requests that each engine runs at once, as its answers state; none for more than
    /// callers send.
    pub slots: Option<usize>,
    /// Whether upstreams send each rejection once more, before the next answer on its connection.
    pub repeats_rejections: bool,
}

impl SoakOptions {
    /// Returns the options of a soak of default size: 3 VMs, 3 engines, 12 callers, 12 s.
    pub fn new(program: impl Into<PathBuf>, seed: u64) -> Self {
        Self {
            program: program.into(),
            seed,
            length_ms: 12_000,
            vms: 3,
            engines: 3,
            callers: 12,
            slots: None,
            repeats_rejections: false,
        }
    }

    /// Returns the plan drawn from the seed.
    pub fn plan(&self) -> Plan {
        let upstreams = self.engines + 2;
        Plan::draw(self.seed, self.length_ms, self.vms, self.engines, upstreams)
    }
}

/// Returns the path of the entry VMs' program: beside the running program or one directory above,
/// since Cargo puts test programs one level below the other programs.
///
/// # Errors
///
/// [`Error::MissingProgram`] if it has not been built.
pub fn entry_program() -> Result<PathBuf> {
    let running = std::env::current_exe().map_err(Error::io_while("finding the programs"))?;
    let beside = running.with_file_name(ENTRY_PROGRAM);
    let above = running
        .parent()
        .and_then(Path::parent)
        .map(|dir| dir.join(ENTRY_PROGRAM));
    std::iter::once(beside.clone())
        .chain(above)
        .find(|path| path.is_file())
        .ok_or(Error::MissingProgram(beside))
}

/// Result of a soak that was carried out.
pub struct Soak {
    /// Plan that the soak followed.
    pub plan: Plan,
    /// What callers and upstreams observed.
    pub record: Record,
    /// Log lines of each VM, by the VM's number.
    pub lines: Vec<(usize, Vec<String>)>,
}

impl Soak {
    /// Carries out the soak that is drawn from the seed.
    ///
    /// # Errors
    ///
    /// [`Error::MissingProgram`] if the VMs' program is missing, [`Error::Io`] if a process or a
    /// stand-in can't be started, [`Error::NotReady`] if the VMs do not become ready in time.
    pub fn carry_out(options: &SoakOptions) -> Result<Self> {
        Self::carry_out_plan(options, options.plan())
    }

    /// Carries out a soak with a plan other than that of its seed.
    ///
    /// # Errors
    ///
    /// Those of [`Soak::carry_out`].
    pub fn carry_out_plan(options: &SoakOptions, plan: Plan) -> Result<Self> {
        if !options.program.is_file() {
            return Err(Error::MissingProgram(options.program.clone()));
        }
        let clock = Clock::start();
        let world = World::start(clock, options.program.clone(), options.vms, options.engines)
            .map_err(Error::io_while("starting the stand-ins and the VMs"))?;
        if options.repeats_rejections {
            world.repeat_rejections();
        }
        if let Some(slots) = options.slots {
            world.limit_slots(slots);
        }
        let world = Arc::new(world);
        if !world.vms.wait_ready(Duration::from_millis(READY_MS)) {
            return Err(Error::NotReady(READY_MS));
        }
        let workload = Arc::new(Workload::new(
            clock,
            world.vms.clone(),
            world.keys.clone(),
            World::stream_events(),
        ));
        let callers = start_callers(options, &workload);
        let crashers = start_crashers(options, &plan, &workload);
        let bursts = start_bursts(options, &plan, &workload);
        // Engines are restarted until the recovery is over: the callers' last requests may crash
        // them, too.
        let has_recovered = Arc::new(AtomicBool::new(false));
        let restarts = start_engine_restarts(&world, &has_recovered);
        inject_planned_faults(options.seed, &world, &workload, &plan);
        thread::sleep(Duration::from_millis(1_000));
        workload.stopped.store(true, Ordering::Release);
        world.clear_shared_faults();
        join(callers);
        join(crashers);
        join(bursts);
        world.drop_queued_faults();
        let last_attempts = recover(options, &workload);
        has_recovered.store(true, Ordering::Release);
        join(vec![restarts]);
        let lines = world.vms.lines();
        let record = collect_record(&world, &workload, last_attempts, &lines);
        Ok(Self {
            plan,
            record,
            lines,
        })
    }
}

/// Starts the callers whose requests crash engines, each at its planned time.
fn start_crashers(
    options: &SoakOptions,
    plan: &Plan,
    workload: &Arc<Workload>,
) -> Vec<JoinHandle<()>> {
    let began_ms = workload.clock.now_ms();
    let crashers = plan.crashers.iter();
    let copies = crashers.flat_map(|crasher| std::iter::repeat_n(crasher.clone(), crasher.copies));
    copies
        .enumerate()
        .map(|(number, crasher)| {
            let workload = workload.clone();
            let seed = options.seed.wrapping_mul(1_000) + 900 + number as u64;
            thread::spawn(move || {
                workload.clock.wait_until(began_ms + crasher.at_ms);
                workload.run_crasher(&crasher, seed);
            })
        })
        .collect()
}

/// Starts the callers of each burst at its planned time.
fn start_bursts(
    options: &SoakOptions,
    plan: &Plan,
    workload: &Arc<Workload>,
) -> Vec<JoinHandle<()>> {
    let began_ms = workload.clock.now_ms();
    let bursts = plan.bursts.iter();
    let callers = bursts.flat_map(|burst| std::iter::repeat_n(burst.clone(), burst.callers));
    callers
        .enumerate()
        .map(|(number, burst)| {
            let workload = workload.clone();
            let seed = options
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(500 + number as u64);
            thread::spawn(move || {
                workload.clock.wait_until(began_ms + burst.at_ms);
                workload.run_burst(&burst, seed);
            })
        })
        .collect()
}

fn start_engine_restarts(world: &Arc<World>, has_recovered: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (world, has_recovered) = (world.clone(), has_recovered.clone());
    thread::spawn(move || world.restart_crashed_engines(&has_recovered))
}

fn start_callers(options: &SoakOptions, workload: &Arc<Workload>) -> Vec<JoinHandle<()>> {
    (0..options.callers)
        .map(|caller| {
            let workload = workload.clone();
            let seed = options.seed.wrapping_mul(1_000).wrapping_add(caller as u64);
            thread::spawn(move || workload.run_caller(organisation_of(caller), seed))
        })
        .collect()
}

/// Injects the planned faults, each in a thread of its own, and waits until all have ended.
fn inject_planned_faults(seed: u64, world: &Arc<World>, workload: &Arc<Workload>, plan: &Plan) {
    let clock = workload.clock;
    let began_ms = clock.now_ms();
    let mut running = Vec::new();
    for (number, planned) in plan.faults.iter().enumerate() {
        clock.wait_until(began_ms + planned.at_ms);
        let ends = world.vms.unexpected_exits();
        world.events.lock().unexpected_exits.extend(ends);
        let (world, workload) = (world.clone(), workload.clone());
        let trouble = planned.trouble.clone();
        let load_seed = seed
            .wrapping_mul(1_000_000)
            .wrapping_add(1_000 * number as u64);
        running.push(thread::spawn(move || {
            if !workload.send_load(&trouble, load_seed) {
                world.carry_out(&trouble);
            }
        }));
    }
    join(running);
    clock.wait_until(began_ms + plan.end_ms);
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // The thread has printed its panic; the record holds what was observed without it.
        let _ = thread.join();
    }
}

/// Sends every kind of request to every VM until it is served or `RECOVERY_MS` has passed.
fn recover(options: &SoakOptions, workload: &Workload) -> Vec<Attempt> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut attempts = Vec::new();
    let until_ms = workload.clock.now_ms() + RECOVERY_MS;
    for vm in 0..options.vms {
        for kind in Kind::ALL {
            loop {
                let request = workload.new_request(kind, &mut random);
                let keyed = workload.keys.with_stable_key(&request);
                let (attempt, _) = workload.attempt(vm, kind, &keyed, None, None);
                let is_served = matches!(
                    attempt.ending,
                    Ending::Answered {
                        status: 200,
                        whole: true,
                        ..
                    }
                );
                attempts.push(attempt);
                if is_served || workload.clock.now_ms() > until_ms {
                    break;
                }
                thread::sleep(RECOVERY_PAUSE);
            }
        }
    }
    attempts
}

fn collect_record(
    world: &World,
    workload: &Workload,
    last_attempts: Vec<Attempt>,
    lines: &[(usize, Vec<String>)],
) -> Record {
    let (keys, limits) = world.keys.seen();
    let lines = lines.iter().flat_map(|(_, lines)| lines);
    let key_lines = lines.filter(|line| line.contains(KEY_MARK)).cloned();
    let ends = world.vms.unexpected_exits();
    let mut events = world.events.lock();
    events.unexpected_exits.extend(ends);
    events.unexpected_exits.sort();
    events.unexpected_exits.dedup();
    let sent = workload.sent.lock();
    Record {
        attempts: workload.attempts.lock().clone(),
        last_attempts,
        runs: world.runs(|id| sent.get(id).cloned()),
        other_ids: events.probe_ids.iter().cloned().collect(),
        crashes: world.crashes(),
        crasher_ids: workload.crasher_ids.lock().clone(),
        engines: world.effects(),
        disturbances: events.disturbances.clone(),
        engine_times: events.engine_times.clone(),
        drains: events.drains.clone(),
        probes: events.probes.clone(),
        stops: events.stops.clone(),
        stated_limits: events.stated_limits.clone(),
        stated_leaves: events.stated_leaves.clone(),
        rests: world.rests(),
        room_failures: world.room_failures(),
        arrivals: world.arrivals(),
        residences: world.residences(),
        order_times: world.order_times(),
        path_cuts: events.path_cuts.clone(),
        link_breaks: events.link_breaks.clone(),
        silences: events.silences.clone(),
        timeouts: events.timeouts.clone(),
        keys,
        limits,
        key_lines: key_lines.collect(),
        unexpected_exits: events.unexpected_exits.clone(),
    }
}
