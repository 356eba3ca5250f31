//! Measures the latency that a VM adds to a request, compared with direct requests to the stand-in
//! engine.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use hdrhistogram::Histogram;

use apricotdale_launcher::caller::CallerRequest;
use apricotdale_launcher::caller::call;
use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::interrupts::Interrupts;
use apricotdale_launcher::sample;
use apricotdale_load_tool::overhead::Way;
use apricotdale_load_tool::process_cost::load_average;

/// Timeout of the first request, which waits until an engine has loaded the model.
const WARM_UP_MS: u64 = 60_000;

/// Percentiles printed for each kind of latency.
const PERCENTILES: &[f64] = &[50.0, 95.0, 99.0];

/// Measures the latency that a VM adds to unstreamed and streamed requests. Requests alternate
/// between the direct route and the route through the VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Number of unstreamed and of streamed requests on each route.
    #[bpaf(argument("N"), fallback(300))]
    requests: u32,
    /// Number of tokens in an answer.
    #[bpaf(argument("N"), fallback(16))]
    tokens: u32,
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let interrupts = Interrupts::install(None)?;
    let cluster = Cluster::start(sample::options(1), |processes| interrupts.watch(processes))?;
    cluster.publish("vm1", sample::edits())?;
    let callers = cluster.vm("vm1")?.addresses.callers;
    let warm = CallerRequest::completion(sample::SLOT_PLANNER, 1, false);
    let warm = call(
        callers,
        &warm.header("X-Request-Timeout-Ms", WARM_UP_MS.to_string()),
    );
    if !warm.is_whole() {
        return Err(format!("the first request: {warm:?}").into());
    }
    let holds = |status: &apricotdale_core::engine::EngineStatus| {
        status
            .residents
            .iter()
            .any(|one| one.model.as_str() == sample::SLOT_PLANNER)
    };
    let engines = cluster.engines();
    let engine = engines
        .iter()
        .find(|(_, engine)| engine.engine_status().is_ok_and(|it| holds(&it)));
    let engine = engine.ok_or("no engine holds the model")?.1.address();
    let mut direct = Way::new(engine, sample::SLOT_PLANNER);
    let mut through = Way::new(callers, sample::SLOT_PLANNER);
    for _ in 0..arguments.requests {
        direct.measure(arguments.tokens)?;
        through.measure(arguments.tokens)?;
    }
    let (direct, through) = (direct.timings, through.timings);
    report("whole", &direct.whole_us, &through.whole_us);
    report(
        "first_event",
        &direct.first_event_us,
        &through.first_event_us,
    );
    report("event_gap", &direct.gap_us, &through.gap_us);
    cluster.stop();
    println!("load_average={:.2}", load_average()?);
    Ok(())
}

fn report(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for percentile in PERCENTILES {
        let direct_ms = ms(direct, *percentile);
        let through_ms = ms(through, *percentile);
        println!(
            "overhead={name} percentile={percentile} direct_ms={:.3} through_vm_ms={:.3} \
             added_ms={:.3} samples={}",
            direct_ms,
            through_ms,
            through_ms - direct_ms,
            through.len(),
        );
    }
}

fn ms(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    Duration::from_micros(histogram.value_at_percentile(percentile)).as_secs_f64() * 1_000.0
}
