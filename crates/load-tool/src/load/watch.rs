//! Watches engines and processes while a run goes on.

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

/// How often the engines are read.
const INTERVAL: Duration = Duration::from_millis(100);

/// In one of so many rounds the processes' memory is added up.
const MEMORY_EVERY: u32 = 10;

/// `Watched` is what was seen of a run from the outside.
#[derive(Clone, Debug, Default)]
pub struct Watched {
    /// What the engines held.
    pub timeline: Timeline,
    /// The most resident memory of all processes together, in bytes.
    pub most_resident_bytes: u64,
    /// The most processes that ran at once, the tool included.
    pub most_processes: usize,
}

/// `Watch` is a thread that watches.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Watched>,
}

/// `WatchParts` is what a watch looks at.
#[derive(Debug)]
pub struct WatchParts {
    /// The engines, by name.
    pub engines: Vec<(String, StandinClient)>,
    /// All processes.
    pub processes: Processes,
    /// The clock of the run.
    pub clock: RunClock,
    /// Set when the processes take more than half of the machine's memory.
    pub too_much: Arc<AtomicBool>,
}

impl Watch {
    /// Starts watching.
    ///
    /// # Errors
    ///
    /// If the machine's memory can't be read.
    pub fn start(parts: WatchParts) -> Result<Self> {
        let limit_bytes = Meminfo::current()?.mem_total / 2;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || watch(&parts, limit_bytes, &stopped));
        Ok(Self { stop, thread })
    }

    /// Stops watching and returns what was seen.
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
            // An engine that can't be read for once is read again in the next round.
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
    // A process that has just been killed has no cost any more.
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
