//! The entry VMs' processes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::VmOptions;
use apricotdale_standins::platform::VmProcess;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::keys::vm_settings;

/// The pause between two looks at a process that ends or gets ready.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a VM may take to answer whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// `StopOutcome` is what became of a process that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopOutcome {
    /// It ended by itself, with this code unless a signal ended it.
    Ended(Option<i32>),
    /// Somebody else killed it or saw its end.
    Replaced,
    /// It runs on.
    StillRuns,
}

struct Slot {
    process: Option<VmProcess>,
    /// How often it was started.
    starts: u32,
    /// Whether the process was told to stop, so that its end is no surprise.
    stop_requested: bool,
    /// Log lines of runs that have ended.
    lines: Vec<String>,
}

/// `Vms` starts, signals and ends the VMs' processes.
pub(crate) struct Vms {
    program: PathBuf,
    stores: Vec<SocketAddr>,
    slots: Vec<Mutex<Slot>>,
}

impl Vms {
    /// Starts one VM for each address at which the store is reached.
    pub fn start(program: PathBuf, stores: Vec<SocketAddr>) -> io::Result<Self> {
        let slot = || {
            Mutex::new(Slot {
                process: None,
                starts: 0,
                stop_requested: false,
                lines: Vec::new(),
            })
        };
        let vms = Self {
            program,
            slots: stores.iter().map(|_| slot()).collect(),
            stores,
        };
        for vm in 0..vms.len() {
            vms.restart(vm)?;
        }
        Ok(vms)
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Kills a VM's process where one runs, and starts another.
    pub fn restart(&self, vm: usize) -> io::Result<()> {
        self.kill(vm);
        let options = VmOptions {
            more_settings: vm_settings(),
            ..VmOptions::new(&self.program, &format!("vm{vm}"), self.stores[vm])
        };
        let process = VmProcess::start(&options)?;
        let mut slot = self.slots[vm].lock();
        slot.starts += 1;
        slot.stop_requested = false;
        slot.process = Some(process);
        Ok(())
    }

    /// Kills a VM's process where one runs.
    pub fn kill(&self, vm: usize) {
        let mut slot = self.slots[vm].lock();
        if let Some(process) = slot.process.take() {
            slot.lines.extend(process.lines_with(""));
        }
    }

    /// Sends a signal to a VM's process where one runs. Returns the number of its start.
    pub fn signal(&self, vm: usize, signal: Signal) -> Option<u32> {
        let mut slot = self.slots[vm].lock();
        let process = slot.process.as_ref()?;
        process.signal(signal).ok()?;
        slot.stop_requested |= signal == Signal::SIGTERM;
        Some(slot.starts)
    }

    /// Waits until a start of a VM has ended by itself.
    pub fn wait_for_exit(&self, vm: usize, start: u32, patience: Duration) -> StopOutcome {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let mut slot = self.slots[vm].lock();
            if slot.starts != start {
                return StopOutcome::Replaced;
            }
            let Some(process) = slot.process.as_mut() else {
                return StopOutcome::Replaced;
            };
            if let Ok(Some(status)) = process.try_wait() {
                let lines = process.lines_with("");
                slot.lines.extend(lines);
                slot.process = None;
                return StopOutcome::Ended(status.code());
            }
            drop(slot);
            std::thread::sleep(PROCESS_POLL_INTERVAL);
        }
        StopOutcome::StillRuns
    }

    /// Returns where callers reach a VM, if its process runs.
    pub fn caller_address(&self, vm: usize) -> Option<SocketAddr> {
        let slot = self.slots[vm].lock();
        slot.process.as_ref().map(|process| process.callers)
    }

    /// Waits until every VM takes callers.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        (0..self.len()).all(|vm| {
            while Instant::now() < until {
                // The address is asked without the lock: others may end the process meanwhile.
                let ready = self.slots[vm].lock().process.as_ref().map(|it| it.ready);
                let is_ready = ready.is_some_and(|address| {
                    apricotdale_standins::platform::is_ready(address, READY_TIMEOUT)
                });
                if is_ready {
                    return true;
                }
                std::thread::sleep(PROCESS_POLL_INTERVAL);
            }
            false
        })
    }

    /// Returns the VMs whose process has ended though nobody ended it, with their last lines.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let mut ends = Vec::new();
        for (vm, slot) in self.slots.iter().enumerate() {
            let mut slot = slot.lock();
            if slot.stop_requested {
                continue;
            }
            let Some(process) = slot.process.as_mut() else {
                continue;
            };
            if let Ok(Some(status)) = process.try_wait() {
                let last = process.lines_with("").pop().unwrap_or_default();
                ends.push(format!("vm{vm}: {status}; {last}"));
            }
        }
        ends
    }

    /// Returns every log line of every run of the VMs.
    pub fn lines(&self) -> Vec<(usize, Vec<String>)> {
        let lines = |slot: &Mutex<Slot>| {
            let slot = slot.lock();
            let mut lines = slot.lines.clone();
            lines.extend(slot.process.iter().flat_map(|it| it.lines_with("")));
            lines
        };
        self.slots.iter().map(lines).enumerate().collect()
    }
}
