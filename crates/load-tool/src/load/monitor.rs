//! Sampling of engines and processes during a run.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use procfs::Current;
use procfs::Meminfo;

use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::Residency;
use apricotdale_launcher::processes::Processes;
use apricotdale_launcher::standin::StandinClient;

use crate::errors::Error;
use crate::errors::Result;
use crate::load::clock::RunClock;
use crate::load::timeline::HeldModel;
use crate::load::timeline::Timeline;
use crate::process_cost::process_cost;

/// Interval of sampling the engines.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// Of so many rounds of sampling, one also samples the memory of the processes.
const ROUNDS_PER_MEMORY_SAMPLE: u32 = 10;

/// Values sampled during a run.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// Models held by the engines.
    pub timeline: Timeline,
    /// Peak resident memory of all processes together, in bytes.
    pub peak_resident_bytes: u64,
    /// Peak number of processes, the load tool included.
    pub peak_processes: usize,
}

/// Thread that samples engines and processes until it is stopped.
#[derive(Debug)]
pub struct Monitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Samples>,
}

/// Engines and processes to sample.
#[derive(Debug)]
pub struct MonitorTargets {
    /// Clients of the engines, with their names.
    pub engines: Vec<(String, StandinClient)>,
    /// All processes of the run.
    pub processes: Processes,
    /// Clock of the run.
    pub clock: RunClock,
    /// Set once the processes use more than half of the machine's memory.
    pub memory_exceeded: Arc<AtomicBool>,
}

impl Monitor {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// If the machine's memory size can't be read.
    pub fn start(targets: MonitorTargets) -> Result<Self> {
        let limit_bytes = Meminfo::current()?.mem_total / 2;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || monitor(&targets, limit_bytes, &stopped));
        Ok(Self { stop, thread })
    }

    /// Stops the thread and returns the sampled values.
    ///
    /// # Errors
    ///
    /// If the thread panicked.
    pub fn end(self) -> Result<Samples> {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.thread.join();
        samples.map_err(|_| Error::failed("the monitor thread panicked"))
    }
}

fn monitor(targets: &MonitorTargets, limit_bytes: u64, stop: &AtomicBool) -> Samples {
    let mut samples = Samples::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        for (name, engine) in &targets.engines {
            // An engine that can't be read is read again in the next round.
            if let Ok(status) = engine.engine_status() {
                let held_models = held_models(&status);
                samples
                    .timeline
                    .record(targets.clock.now(), name, held_models);
            }
        }
        if round % ROUNDS_PER_MEMORY_SAMPLE == 0 {
            sample_memory(targets, limit_bytes, &mut samples);
        }
        round += 1;
        thread::sleep(SAMPLING_INTERVAL);
    }
    samples
}

fn held_models(status: &EngineStatus) -> Vec<HeldModel> {
    let residents = status.residents.iter();
    residents
        .map(|resident| HeldModel {
            model: resident.model.to_string(),
            loaded: resident.residency == Residency::Loaded,
            bytes: resident.bytes,
        })
        .collect()
}

fn sample_memory(targets: &MonitorTargets, limit_bytes: u64, samples: &mut Samples) {
    let names = targets.processes.names();
    let ids = names
        .iter()
        .filter_map(|name| targets.processes.id(name).ok());
    let ids = ids.chain([std::process::id()]);
    // The cost of a process that has just been killed can't be read.
    let costs: Vec<u64> = ids
        .filter_map(|id| process_cost(id).ok())
        .map(|cost| cost.resident_bytes)
        .collect();
    let resident_bytes = costs.iter().sum();
    samples.peak_resident_bytes = samples.peak_resident_bytes.max(resident_bytes);
    samples.peak_processes = samples.peak_processes.max(costs.len());
    if resident_bytes > limit_bytes {
        targets.memory_exceeded.store(true, Ordering::Relaxed);
    }
}
