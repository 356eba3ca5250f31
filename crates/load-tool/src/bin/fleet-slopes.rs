//! Measures the cost of a daemon's control work in fleets of growing size.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use apricotdale_launcher::interrupts::Interrupts;
use apricotdale_launcher::processes::Processes;
use apricotdale_load_tool::fleet;
use apricotdale_load_tool::fleet::FleetPoint;
use apricotdale_load_tool::line_fit::LineFit;
use apricotdale_load_tool::process_cost::load_average;

/// Reads one figure from the measurements of a fleet.
type Figure = fn(&FleetPoint) -> f64;

/// Figures through which a line is fitted, with their printed names.
const FIGURES: &[(&str, Figure)] = &[
    ("cpu_percent_of_core", |point| point.cpu_percent),
    ("resident_mb", |point| point.resident_mb),
    ("threads", |point| point.threads),
    ("bytes_per_s", |point| point.bytes_per_s),
    ("log_reads_per_s", |point| point.log_reads_per_s),
    ("log_appends_per_s_of_fleet", |point| {
        point.log_appends_per_s
    }),
];

/// Starts fleets of daemons without callers, one after the other, and fits a line to each cost of
/// a daemon by the number of VMs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Numbers of VMs to measure, separated by commas.
    #[bpaf(argument("N,N,…"), fallback("3,6,12,24,48".to_owned()))]
    vms: String,
    /// Seconds for which each fleet is measured.
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Number of VMs for which the fitted lines predict the costs.
    #[bpaf(argument("N"), fallback(410))]
    target: u32,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet-slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let interrupts = Interrupts::install(None)?;
    let mut points = Vec::new();
    for vms in arguments.vms.split(',') {
        let duration = Duration::from_secs(arguments.seconds);
        let watch = |processes: &Processes| interrupts.watch(processes);
        let point = fleet::measure(vms.trim().parse()?, duration, watch)?;
        println!(
            "fleet vms={} cpu_percent_of_core={:.2} resident_mb={:.1} threads={:.0} \
             bytes_per_s={:.0} log_reads_per_s={:.2} log_appends_per_s_of_fleet={:.2} \
             load_average={:.2}",
            point.vms,
            point.cpu_percent,
            point.resident_mb,
            point.threads,
            point.bytes_per_s,
            point.log_reads_per_s,
            point.log_appends_per_s,
            load_average()?,
        );
        points.push(point);
    }
    for (name, figure) in FIGURES {
        let xy: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.vms as f64, figure(point)))
            .collect();
        if let Some(line) = LineFit::fit(&xy) {
            println!(
                "slope={name} per=vm value={:.4} intercept={:.4} r2={:.3} at_{}={:.2}",
                line.slope,
                line.intercept,
                line.r2,
                arguments.target,
                line.at(f64::from(arguments.target)),
            );
        }
    }
    Ok(())
}
