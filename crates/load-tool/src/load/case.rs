//! The cases of a load run: what goes wrong, and when.

use std::str::FromStr;
use std::time::Duration;

use apricotdale_policy_replay::case::OVERLOAD_FACTOR;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::Crowd;

use crate::errors::Error;
use crate::load::scale::Scale;

/// The part of the measured time in which callers ask for too much.
const CROWD_SHARES: (f64, f64) = (1.0 / 3.0, 2.0 / 3.0);

/// When the other faults come, as a share of the measured time.
const FAULT_SHARE: f64 = 0.4;

/// How long a killed VM is away.
pub const KILLED_FOR: Duration = Duration::from_secs(5);

/// How long the log is down.
pub const OUTAGE: Duration = Duration::from_secs(10);

/// `Case` is one case of a load run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Nothing goes wrong.
    Usual,
    /// For a third of the time callers ask for twice the work that the engines can do besides.
    Overload,
    /// One VM is killed, and started anew after a while.
    VmKilled,
    /// The log is down for a while.
    LogOutage,
}

/// `Fault` is what is done to the processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One VM is killed.
    KillVm,
    /// It is started anew.
    RestartVm,
    /// The log goes down.
    LogDown,
    /// The log is up again.
    LogUp,
}

impl Case {
    /// Lists the cases.
    pub const ALL: [Self; 4] = [Self::Usual, Self::Overload, Self::VmKilled, Self::LogOutage];

    /// Returns the case's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Overload => "overload",
            Self::VmKilled => "vm-killed",
            Self::LogOutage => "log-outage",
        }
    }

    /// Returns the crowd of the case, in the trace's time. The stand-in engines are not slower with
    /// a full batch, so that all their places count.
    pub fn crowd(self, deployment: &Deployment, scale: &Scale) -> Option<Crowd> {
        if self != Self::Overload {
            return None;
        }
        let places = deployment.engines.count as f64 * f64::from(deployment.engines.slots);
        Some(Crowd {
            from_ms: scale.trace_at_ms(CROWD_SHARES.0) as u64,
            to_ms: scale.trace_at_ms(CROWD_SHARES.1) as u64,
            work_rate: OVERLOAD_FACTOR * places / scale.compression(),
        })
    }

    /// Returns the faults of the case and when they come.
    pub fn faults(self, scale: &Scale) -> Vec<(Duration, Fault)> {
        let begin = scale.moment(FAULT_SHARE);
        match self {
            Self::Usual | Self::Overload => Vec::new(),
            Self::VmKilled => vec![
                (begin, Fault::KillVm),
                (begin + KILLED_FOR, Fault::RestartVm),
            ],
            Self::LogOutage => vec![(begin, Fault::LogDown), (begin + OUTAGE, Fault::LogUp)],
        }
    }
}

impl FromStr for Case {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut cases = Self::ALL.into_iter();
        let found = cases.find(|case| case.as_str() == text);
        found.ok_or_else(|| Error::failed(format!("there is no case {text}")))
    }
}
