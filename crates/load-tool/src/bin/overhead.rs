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
use apricotdale_load_tool::overhead::Route;
use apricotdale_load_tool::process_cost::load_average;

/// Timeout of the first request, which waits until an engine has loaded the model.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 60_000;

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
        &warm.header("X-Request-Timeout-Ms", FIRST_REQUEST_TIMEOUT_MS.to_string()),
    );
    if !warm.is_whole() {
        return Err(format!("the first request got no complete answer: {warm:?}").into());
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
    let mut direct = Route::new(engine, sample::SLOT_PLANNER);
    let mut via_vm = Route::new(callers, sample::SLOT_PLANNER);
    for _ in 0..arguments.requests {
        direct.measure(arguments.tokens)?;
        via_vm.measure(arguments.tokens)?;
    }
    let (direct, via_vm) = (direct.timings, via_vm.timings);
    report("whole", &direct.complete_us, &via_vm.complete_us);
    report(
        "first_event",
        &direct.first_event_us,
        &via_vm.first_event_us,
    );
    report("event_gap", &direct.gap_us, &via_vm.gap_us);
    cluster.stop();
    println!("load_average={:.2}", load_average()?);
    Ok(())
}

fn report(name: &str, direct: &Histogram<u64>, via_vm: &Histogram<u64>) {
    for percentile in PERCENTILES {
        let direct_ms = ms(direct, *percentile);
        let via_vm_ms = ms(via_vm, *percentile);
        println!(
            "overhead={name} percentile={percentile} direct_ms={:.3} through_vm_ms={:.3} \
             added_ms={:.3} samples={}",
            direct_ms,
            via_vm_ms,
            via_vm_ms - direct_ms,
            via_vm.len(),
        );
    }
}

fn ms(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    Duration::from_micros(histogram.value_at_percentile(percentile)).as_secs_f64() * 1_000.0
}
