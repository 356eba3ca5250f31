//! Command line program `launcher`: runs the demonstrations, or a cluster for experiments.

#![forbid(unsafe_code)]

use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use bpaf::Bpaf;

use apricotdale_admin::PublishOutcome;
use apricotdale_launcher::Error;
use apricotdale_launcher::Result;
use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::demo::Demo;
use apricotdale_launcher::entry_demo::EntryDemo;
use apricotdale_launcher::entry_up::EntryUp;
use apricotdale_launcher::interrupts::Interrupts;
use apricotdale_launcher::sample;

/// Number of VMs of the demonstration, which drains one, kills one and uses the remaining one.
const DEMO_VMS: usize = 3;

/// Starts stand-ins and VMs on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Demonstrate the main guarantees on real requests, step by step
    #[bpaf(command("demo"))]
    Demo {
        /// Directory for the processes' output
        #[bpaf(argument("DIR"))]
        logs: Option<PathBuf>,
    },
    /// Demonstrate the same on the users' platform, with entry VMs and stand-ins of the platform
    #[bpaf(command("entry-demo"))]
    EntryDemo,
    /// Start an entry VM with stand-ins of the users' platform, print its address and the callers'
    /// keys, and leave it running until SIGINT or SIGTERM
    #[bpaf(command("entry-up"))]
    EntryUp,
    /// Start a cluster and leave it running until SIGINT or SIGTERM
    #[bpaf(command("up"))]
    Up {
        /// Directory for the processes' output
        #[bpaf(argument("DIR"))]
        logs: Option<PathBuf>,
        /// Number of VMs
        #[bpaf(argument("N"), fallback(DEMO_VMS), display_fallback)]
        vms: usize,
    },
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Demo { logs } => demo(logs),
        Command::EntryDemo => EntryDemo::start(&mut io::stdout()).and_then(EntryDemo::run),
        Command::EntryUp => EntryUp::run(&mut io::stdout()).map(|()| true),
        Command::Up { logs, vms } => up(logs, vms).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn demo(log_dir: Option<PathBuf>) -> Result<bool> {
    println!("Starting the platform's stand-ins, four engines, a service and {DEMO_VMS} VMs");
    let options = ClusterOptions {
        log_dir,
        ..sample::options(DEMO_VMS)
    };
    let cluster = start(options, None)?;
    Demo::new(cluster, &mut io::stdout()).run()
}

fn up(log_dir: Option<PathBuf>, vms: usize) -> Result<()> {
    let options = ClusterOptions {
        log_dir,
        ..sample::options(vms)
    };
    let cluster = start(options, Some(0))?;
    let first = cluster.running_vms()[0].name.clone();
    match cluster.publish(&first, sample::edits())? {
        PublishOutcome::Accepted { version } => cluster.wait_in_force(version)?,
        other => return Err(Error::failed("publishing", format!("{other:?}"))),
    }
    let mut out = io::stdout();
    for vm in cluster.running_vms() {
        writeln!(out, "ready http://{}", vm.addresses.callers)?;
    }
    out.flush()?;
    loop {
        // The signal handler's thread ends the processes and this program.
        thread::park();
    }
}

fn start(options: ClusterOptions, code: Option<i32>) -> Result<Cluster> {
    let interrupts = Interrupts::install(code)?;
    Cluster::start(options, |processes| interrupts.watch(processes))
}
