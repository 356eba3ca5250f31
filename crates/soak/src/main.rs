//! Command line program `soak`: runs soaks for a range of seeds and reports violated invariants.

#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use bpaf::Bpaf;

use apricotdale_soak::Error;
use apricotdale_soak::Record;
use apricotdale_soak::Result;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Violation;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_soak::fullest_rest;
use apricotdale_soak::fullest_stated_window;
use apricotdale_soak::fullest_window;
use apricotdale_soak::judged_leaves;
use apricotdale_soak::load_coverage;
use apricotdale_soak::resumed_share;

/// Upper bound of soaks that run in parallel, whatever `--at-once` asks for.
const MAX_PARALLEL_SOAKS: usize = 8;

/// Runs entry VMs on loopback under random faults and checks the invariants
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// The first seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of consecutive seeds
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Number of soaks that run in parallel, at most 8
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    at_once: usize,
    /// Length of each soak in seconds
    #[bpaf(argument("S"), fallback(12), display_fallback)]
    seconds: u64,
    /// Number of VMs in each soak
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    vms: usize,
    /// Have upstreams send each rejection once more, late
    repeat_rejections: bool,
    /// Print the faults planned for each seed without running a soak
    plan_only: bool,
    /// Directory for the plans, the VMs' logs and what callers and upstreams observed
    #[bpaf(argument("DIR"))]
    logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    if arguments.plan_only {
        print_plans(&arguments);
        return ExitCode::SUCCESS;
    }
    match soak(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a soak for each seed and returns how many of them violated an invariant.
fn soak(arguments: &Arguments) -> Result<u64> {
    let program = entry_program()?;
    let next = AtomicU64::new(arguments.seed);
    let violated = AtomicU64::new(0);
    let end = arguments.seed + arguments.seeds;
    let workers = arguments.at_once.clamp(1, MAX_PARALLEL_SOAKS);
    let outcome: Result<()> = thread::scope(|scope| {
        let work = || -> Result<()> {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return Ok(());
                }
                if !soak_one(arguments, &program, seed)? {
                    violated.fetch_add(1, Ordering::Relaxed);
                }
            }
        };
        let workers: Vec<_> = (0..workers).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .try_for_each(|worker| worker.join().unwrap_or(Ok(())))
    });
    outcome?;
    let violated = violated.load(Ordering::Relaxed);
    println!(
        "{} seeds, {violated} with a violated invariant",
        arguments.seeds
    );
    Ok(violated)
}

fn print_plans(arguments: &Arguments) {
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        for planned in options(arguments, Path::new(""), seed).plan().faults {
            println!("seed {seed}, {} ms: {:?}", planned.at_ms, planned.trouble);
        }
    }
}

fn options(arguments: &Arguments, program: &Path, seed: u64) -> SoakOptions {
    SoakOptions {
        length_ms: arguments.seconds * 1_000,
        vms: arguments.vms.max(1),
        repeats_rejections: arguments.repeat_rejections,
        ..SoakOptions::new(program, seed)
    }
}

fn soak_one(arguments: &Arguments, program: &Path, seed: u64) -> Result<bool> {
    let soak = Soak::carry_out(&options(arguments, program, seed))?;
    let violations = check(&soak.record);
    if let Some(dir) = &arguments.logs {
        write_logs(&dir.join(format!("seed-{seed}")), &soak, &violations).map_err(|source| {
            Error::Io {
                action: "writing logs",
                source,
            }
        })?;
    }
    println!("seed {seed}: {}", summary(&soak.record, &violations));
    for violation in &violations {
        println!("  seed {seed} violated {violation}");
    }
    Ok(violations.is_empty())
}

fn summary(record: &Record, violations: &[Violation]) -> String {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for attempt in &record.attempts {
        *statuses.entry(attempt.status()).or_default() += 1;
    }
    let continued = record.continued();
    let fullest = fullest_window(record).map_or((0, 0), |window| (window.ran, window.most));
    let stated = fullest_stated_window(record).map_or((0, 0), |window| (window.ran, window.most));
    let resumed = record.attempts.iter().filter(|it| it.after_event > 0);
    let share = resumed_share(record);
    let rest = fullest_rest(record);
    let loads = load_coverage(record);
    let orders: usize = record.engines.iter().map(|(_, it)| it.holders.len()).sum();
    format!(
        "{} faults, {} requests by status {statuses:?}, {} runs, {orders} orders, {} streams over \
         two engines ({} faulty, {} complete), {} resumed by callers ({} of \
         {} went on where two engines of their software version served, {} of {} new ones began), \
         {} of {} requests in the \
         fullest window of a limit, {} of {} in that of a stated limit, {} VMs told that an engine \
         leaves, {} of 2 requests in the fullest of {} rests, {} losses of a lease holder, {} judged \
         refusals for want of room, {} models loaded again (soonest after {:?} ms), {} violations",
        record.disturbances.len(),
        record.attempts.len(),
        record.runs.len(),
        continued.streams,
        continued.faulty,
        continued.whole,
        resumed.count(),
        share.went_on,
        share.resumed,
        share.begun,
        share.new,
        fullest.0,
        fullest.1,
        stated.0,
        stated.1,
        judged_leaves(record),
        rest.most,
        rest.judged,
        loads.losses,
        loads.judged_refusals,
        loads.swaps,
        loads.shortest_swap_ms,
        violations.len()
    )
}

fn write_logs(dir: &Path, soak: &Soak, violations: &[Violation]) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let mut file = std::fs::File::create(dir.join("soak.txt"))?;
    for violation in violations {
        writeln!(file, "violated: {violation}")?;
    }
    for planned in &soak.plan.faults {
        writeln!(file, "planned: {planned:?}")?;
    }
    for burst in &soak.plan.bursts {
        writeln!(file, "planned: {burst:?}")?;
    }
    for limit in &soak.record.limits {
        writeln!(file, "{limit:?}")?;
    }
    for limit in &soak.record.stated_limits {
        writeln!(file, "{limit:?}")?;
    }
    for leave in &soak.record.stated_leaves {
        writeln!(file, "{leave:?}")?;
    }
    for rest in &soak.record.rests {
        writeln!(file, "{rest:?}")?;
    }
    for cut in &soak.record.path_cuts {
        writeln!(file, "{cut:?}")?;
    }
    for link_break in &soak.record.link_breaks {
        writeln!(file, "{link_break:?}")?;
    }
    for silence in &soak.record.silences {
        writeln!(file, "{silence:?}")?;
    }
    for timeout in &soak.record.timeouts {
        writeln!(file, "{timeout:?}")?;
    }
    for time in &soak.record.engine_times {
        writeln!(file, "{time:?}")?;
    }
    for (number, key) in soak.record.keys.iter().enumerate() {
        writeln!(file, "key {number}: {key:?}")?;
    }
    for disturbance in &soak.record.disturbances {
        writeln!(file, "carried out: {disturbance:?}")?;
    }
    for attempt in soak
        .record
        .attempts
        .iter()
        .chain(&soak.record.last_attempts)
    {
        writeln!(file, "{attempt:?}")?;
    }
    for run in &soak.record.runs {
        writeln!(file, "{run:?}")?;
    }
    for arrival in &soak.record.arrivals {
        writeln!(file, "{arrival:?}")?;
    }
    for residence in &soak.record.residences {
        writeln!(file, "{residence:?}")?;
    }
    for (engine, effects) in &soak.record.engines {
        writeln!(file, "{engine}: {effects:?}")?;
    }
    for (vm, lines) in &soak.lines {
        std::fs::write(dir.join(format!("vm{vm}.log")), lines.join("\n") + "\n")?;
    }
    Ok(())
}
