//! Runs a scaled-down deployment under load on real processes, once with the baseline policies and
//! once with the default ones, and compares the two.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use apricotdale_launcher::interrupts::Interrupts;
use apricotdale_load_tool::Error;
use apricotdale_load_tool::Result;
use apricotdale_load_tool::load::case::Case;
use apricotdale_load_tool::load::cluster_options::PolicyChoice;
use apricotdale_load_tool::load::measures::in_ms;
use apricotdale_load_tool::load::options::LoadOptions;
use apricotdale_load_tool::load::report;
use apricotdale_load_tool::load::run::Run;
use apricotdale_load_tool::load::run::RunReport;
use apricotdale_policy_replay::deployment::Deployment;

const BYTES_PER_MB: f64 = 1e6;

/// Sends a seeded schedule of requests to real processes, once with each set of policies
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// INI file of the deployment
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("crates/policy-replay/deployments/scaravilli.ini"))
    )]
    deployment: PathBuf,
    /// Cases to run: usual, overload, vm-killed, log-outage; all of them if none is given
    #[bpaf(argument("NAME"), many)]
    case: Vec<Case>,
    /// Seed of the trace, the schedule and the policies
    #[bpaf(argument("N"), fallback(LoadOptions::default().seed), display_fallback)]
    seed: u64,
    /// Number of entry VMs
    #[bpaf(argument("N"), fallback(LoadOptions::default().vms), display_fallback)]
    vms: usize,
    /// Factor by which run times, load times and class targets are shorter than in the deployment
    #[bpaf(argument("X"), fallback(LoadOptions::default().speed), display_fallback)]
    speed: f64,
    /// Factor by which requests arrive more often, on top of the speed
    #[bpaf(argument("X"), fallback(LoadOptions::default().compression), display_fallback)]
    compression: f64,
    /// Seconds of warm-up before the measurement
    #[bpaf(argument("S"), fallback(LoadOptions::default().warm_up.as_secs()), display_fallback)]
    warm_up: u64,
    /// Seconds of the measurement
    #[bpaf(argument("S"), fallback(LoadOptions::default().measured.as_secs()), display_fallback)]
    seconds: u64,
    /// Maximum number of requests in progress at once
    #[bpaf(argument("N"), fallback(LoadOptions::default().client_threads), display_fallback)]
    clients: usize,
    /// Directory for the output of the processes
    #[bpaf(argument("DIR"))]
    logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match compare(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load-run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the cases, prints the results, and returns whether no run violated an invariant.
fn compare(arguments: &Arguments) -> Result<bool> {
    let deployment = Deployment::read(&arguments.deployment);
    let deployment = deployment.map_err(|error| Error::failed(error.to_string()))?;
    let options = LoadOptions {
        seed: arguments.seed,
        vms: arguments.vms,
        speed: arguments.speed,
        compression: arguments.compression,
        warm_up: Duration::from_secs(arguments.warm_up),
        measured: Duration::from_secs(arguments.seconds),
        client_threads: arguments.clients,
        log_dir: arguments.logs.clone(),
    };
    let interrupts = Interrupts::install(None)?;
    let cases = match arguments.case.as_slice() {
        [] => Case::ALL.to_vec(),
        cases => cases.to_vec(),
    };
    let mut invariants_held = true;
    for case in cases {
        let run = Run::new(&deployment, &options, case);
        let execute = |policies: PolicyChoice| {
            let report = run.execute(policies, |processes| interrupts.watch(processes))?;
            print_run(&deployment.name, case, policies, &report);
            Ok::<_, Error>(report)
        };
        let baseline = execute(PolicyChoice::Baseline)?;
        let chosen = execute(PolicyChoice::Chosen)?;
        for line in report::comparison(&deployment.name, case, &baseline, &chosen) {
            println!("{line}");
        }
        invariants_held &= baseline.violations.is_empty() && chosen.violations.is_empty();
    }
    println!(
        "effects={}",
        if invariants_held { "none" } else { "VIOLATED" }
    );
    Ok(invariants_held)
}

fn print_run(deployment: &str, case: Case, policies: PolicyChoice, report: &RunReport) {
    println!(
        "run={} deployment={deployment} case={} sent={} late={} largest_delay_ms={:.1} \
         processes={} resident_mb={:.0} load_average_before={:.2} load_average_after={:.2}",
        policies.as_str(),
        case.as_str(),
        report.sent,
        report.lateness.late,
        in_ms(report.lateness.largest),
        report.peak_processes,
        report.peak_resident_bytes as f64 / BYTES_PER_MB,
        report.load_average.0,
        report.load_average.1,
    );
    for ending in &report.bad_endings {
        println!("ending run={} {ending}", policies.as_str());
    }
    for (model, requests) in &report.never_loaded {
        let run = policies.as_str();
        println!("never_loaded run={run} model={model} requests={requests}");
    }
}
