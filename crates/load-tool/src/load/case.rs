//! Cases of a load run: the faults and load surges it injects, and when.

use std::str::FromStr;
use std::time::Duration;

use apricotdale_policy_replay::case::OVERLOAD_FACTOR;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::LoadSurge;

use crate::errors::Error;
use crate::load::scale::Scale;

/// Begin and end of the load surge, as shares of the measured time.
const SURGE_WINDOW: (f64, f64) = (1.0 / 3.0, 2.0 / 3.0);

/// Time at which all other faults begin, as a share of the measured time.
const FAULT_BEGIN: f64 = 0.4;

/// Time from the kill of a VM to its restart.
pub const VM_DOWNTIME: Duration = Duration::from_secs(5);

/// Time for which the log is unavailable.
pub const LOG_DOWNTIME: Duration = Duration::from_secs(10);

/// Scenario of a load run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// No fault and no load surge.
    Usual,
    /// For the middle third of the measured time, callers request twice the work that all engines
    /// can do, in addition to the usual requests.
    Overload,
    /// One VM is killed and restarted 5 s later.
    VmKilled,
    /// The log is unavailable for 10 s.
    LogOutage,
}

/// Fault injected into the processes, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills one VM.
    KillVm,
    /// Restarts the killed VM.
    RestartVm,
    /// Makes the log unavailable.
    LogDown,
    /// Makes the log available again.
    LogUp,
}

impl Case {
    /// All cases, in the order in which they run.
    pub const ALL: [Self; 4] = [Self::Usual, Self::Overload, Self::VmKilled, Self::LogOutage];

    /// Returns the name on the command line and in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Overload => "overload",
            Self::VmKilled => "vm-killed",
            Self::LogOutage => "log-outage",
        }
    }

    /// Returns the load surge of the case, with times of the trace, or none. Its work rate counts
    /// all slots of all engines, since the stand-in engines don't slow down with a full batch.
    pub fn surge(self, deployment: &Deployment, scale: &Scale) -> Option<LoadSurge> {
        if self != Self::Overload {
            return None;
        }
        let slots = deployment.engines.count as f64 * f64::from(deployment.engines.slots);
        Some(LoadSurge {
            from_ms: scale.trace_at_ms(SURGE_WINDOW.0) as u64,
            to_ms: scale.trace_at_ms(SURGE_WINDOW.1) as u64,
            work_rate: OVERLOAD_FACTOR * slots / scale.compression(),
        })
    }

    /// Returns the faults of the case with their times since the start of the run.
    pub fn faults(self, scale: &Scale) -> Vec<(Duration, Fault)> {
        let begin = scale.moment(FAULT_BEGIN);
        match self {
            Self::Usual | Self::Overload => Vec::new(),
            Self::VmKilled => vec![
                (begin, Fault::KillVm),
                (begin + VM_DOWNTIME, Fault::RestartVm),
            ],
            Self::LogOutage => vec![
                (begin, Fault::LogDown),
                (begin + LOG_DOWNTIME, Fault::LogUp),
            ],
        }
    }
}

impl FromStr for Case {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut cases = Self::ALL.into_iter();
        let found = cases.find(|case| case.as_str() == text);
        found.ok_or_else(|| Error::failed(format!("unknown case {text}")))
    }
}
