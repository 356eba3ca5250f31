//! What a load run is made of.

use std::path::PathBuf;
use std::time::Duration;

/// `LoadOptions` are the tunables of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// The seed of the trace, of the schedule and of the policies.
    pub seed: u64,
    /// Entry VMs.
    pub vms: usize,
    /// By how much all that a request takes is shorter than in the deployment: run times, load
    /// times and class targets.
    pub speed: f64,
    /// By how much more often requests arrive and models wake up, besides `speed`.
    pub compression: f64,
    /// How long requests are sent before any is measured.
    pub warm_up: Duration,
    /// How long requests are sent that are measured.
    pub measured: Duration,
    /// The most requests that the clients have in progress at once, each in a thread.
    pub client_threads: usize,
    /// The directory for the processes' output, below it one for each run, or none for one that
    /// goes away with the run.
    pub log_dir: Option<PathBuf>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 6,
            speed: 4.0,
            compression: 4.0,
            warm_up: Duration::from_secs(10),
            measured: Duration::from_secs(50),
            client_threads: 1_200,
            log_dir: None,
        }
    }
}
