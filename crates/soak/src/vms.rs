//! Processes of the entry VMs: start, signals, ends and log lines.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::VmOptions;
use apricotdale_standins::platform::VmProcess;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::keys::vm_settings;

/// Pause between two checks whether a process has exited or is ready.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one readiness request.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the loopback address of a VM, by which the proxies tell it from others.
pub(crate) fn vm_address(vm: usize) -> IpAddr {
    let number = vm as u16 + 256;
    IpAddr::V4(Ipv4Addr::new(
        127,
        0,
        (number / 200) as u8,
        (number % 200) as u8 + 1,
    ))
}

/// Outcome of a planned stop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopOutcome {
    /// The process exited, with this code unless a signal ended it.
    Ended(Option<i32>),
    /// Another fault killed or replaced the process meanwhile.
    Replaced,
    /// The process was still running when the wait timed out.
    StillRuns,
}

struct Slot {
    process: Option<VmProcess>,
    /// Number of starts of the VM so far, which identifies its current process.
    starts: u32,
    /// Whether the process got SIGTERM, so that its exit is expected.
    stop_requested: bool,
    /// Log lines of earlier processes of the VM.
    lines: Vec<String>,
}

/// Processes of all VMs.
pub(crate) struct Vms {
    program: PathBuf,
    store_addresses: Vec<SocketAddr>,
    slots: Vec<Mutex<Slot>>,
}

impl Vms {
    /// Starts one VM for each address; at that address the VM reaches the store.
    pub fn start(program: PathBuf, store_addresses: Vec<SocketAddr>) -> io::Result<Self> {
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
            slots: store_addresses.iter().map(|_| slot()).collect(),
            store_addresses,
        };
        for vm in 0..vms.len() {
            vms.restart(vm)?;
        }
        Ok(vms)
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Kills a VM's process if one runs, and starts another.
    pub fn restart(&self, vm: usize) -> io::Result<()> {
        self.kill(vm);
        let options = VmOptions {
            more_settings: vm_settings(),
            address: vm_address(vm),
            ..VmOptions::new(&self.program, &format!("vm{vm}"), self.store_addresses[vm])
        };
        let process = VmProcess::start(&options)?;
        let mut slot = self.slots[vm].lock();
        slot.starts += 1;
        slot.stop_requested = false;
        slot.process = Some(process);
        Ok(())
    }

    /// Kills a VM's process if one runs.
    pub fn kill(&self, vm: usize) {
        let mut slot = self.slots[vm].lock();
        if let Some(process) = slot.process.take() {
            slot.lines.extend(process.lines_with(""));
        }
    }

    /// Sends a signal to a VM's process and returns the number of that process's start; none if no
    /// process runs or the signal can't be sent.
    pub fn signal(&self, vm: usize, signal: Signal) -> Option<u32> {
        let mut slot = self.slots[vm].lock();
        let process = slot.process.as_ref()?;
        process.signal(signal).ok()?;
        slot.stop_requested |= signal == Signal::SIGTERM;
        Some(slot.starts)
    }

    /// Waits until the process with this start number has exited.
    pub fn wait_for_exit(&self, vm: usize, start: u32, timeout: Duration) -> StopOutcome {
        let until = Instant::now() + timeout;
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

    /// Returns the address at which callers reach a VM; none if no process runs.
    pub fn caller_address(&self, vm: usize) -> Option<SocketAddr> {
        let slot = self.slots[vm].lock();
        slot.process.as_ref().map(|process| process.callers)
    }

    /// Waits until every VM reports that it is ready; returns whether all did before the timeout.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        (0..self.len()).all(|vm| {
            while Instant::now() < until {
                // The request is sent without the lock held: others may end the process meanwhile.
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

    /// Returns a line for each VM whose process exited without a kill or SIGTERM, with the exit
    /// status and the last log line.
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

    /// Returns the log lines of all processes of each VM, by the VM's number.
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
