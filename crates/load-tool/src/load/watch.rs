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
use crate::load::timeline::Held;
use crate::load::timeline::Timeline;
use crate::process_cost::process_cost;

/// Interval of sampling the engines.
const INTERVAL: Duration = Duration::from_millis(100);

/// Of so many rounds of sampling, one also samples the memory of the processes.
const MEMORY_EVERY: u32 = 10;

/// Values sampled during a run.
#[derive(Clone, Debug, Default)]
pub struct Watched {
    /// Models held by the engines.
    pub timeline: Timeline,
    /// Peak resident memory of all processes together, in bytes.
    pub most_resident_bytes: u64,
    /// Peak number of processes, the load tool included.
    pub most_processes: usize,
}

/// Thread that samples engines and processes until it is stopped.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Watched>,
}

/// Engines and processes to sample.
#[derive(Debug)]
pub struct WatchParts {
    /// Clients of the engines, with their names.
    pub engines: Vec<(String, StandinClient)>,
    /// All processes of the run.
    pub processes: Processes,
    /// Clock of the run.
    pub clock: RunClock,
    /// Set once the processes use more than half of the machine's memory.
    pub too_much: Arc<AtomicBool>,
}

impl Watch {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// If the machine's memory size can't be read.
    pub fn start(parts: WatchParts) -> Result<Self> {
        let limit_bytes = Meminfo::current()?.mem_total / 2;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || watch(&parts, limit_bytes, &stopped));
        Ok(Self { stop, thread })
    }

    /// Stops the thread and returns the sampled values.
    ///
    /// # Errors
    ///
    /// If the thread panicked.
    pub fn end(self) -> Result<Watched> {
        self.stop.store(true, Ordering::Relaxed);
        let watched = self.thread.join();
        watched.map_err(|_| Error::failed("the watch panicked"))
    }
}

fn watch(parts: &WatchParts, limit_bytes: u64, stop: &AtomicBool) -> Watched {
    let mut watched = Watched::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        for (name, engine) in &parts.engines {
            // An engine that can't be read is read again in the next round.
            if let Ok(status) = engine.engine_status() {
                let held = held(&status);
                watched.timeline.note(parts.clock.now(), name, held);
            }
        }
        if round % MEMORY_EVERY == 0 {
            note_memory(parts, limit_bytes, &mut watched);
        }
        round += 1;
        thread::sleep(INTERVAL);
    }
    watched
}

fn held(status: &EngineStatus) -> Vec<Held> {
    let residents = status.residents.iter();
    residents
        .map(|resident| Held {
            model: resident.model.to_string(),
            loaded: resident.residency == Residency::Loaded,
            bytes: resident.bytes,
        })
        .collect()
}

fn note_memory(parts: &WatchParts, limit_bytes: u64, watched: &mut Watched) {
    let names = parts.processes.names();
    let ids = names
        .iter()
        .filter_map(|name| parts.processes.id(name).ok());
    let ids = ids.chain([std::process::id()]);
    // The cost of a process that has just been killed can't be read.
    let costs: Vec<u64> = ids
        .filter_map(|id| process_cost(id).ok())
        .map(|cost| cost.resident_bytes)
        .collect();
    let resident_bytes = costs.iter().sum();
    watched.most_resident_bytes = watched.most_resident_bytes.max(resident_bytes);
    watched.most_processes = watched.most_processes.max(costs.len());
    if resident_bytes > limit_bytes {
        parts.too_much.store(true, Ordering::Relaxed);
    }
}
