//! Reports of crashes, as VMs send them to each other and as the store keeps them.

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::features::RequestFeatures;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;

/// Reporter of the crashes that were read from the store.
pub(crate) const STORE_REPORTER: u64 = 0;

/// Suspect request: it was in progress at an upstream that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request, for the limits per caller.
    pub caller: CallerHash,
    /// Time from the last answer to the same request that a VM saw until the crash, or `None` if it
    /// saw none.
    pub answered_ago_ms: Option<u64>,
    /// Parts of its prompt that other requests share.
    pub parts: Vec<SuspectPart>,
    /// Number of its copies that were in progress there.
    pub copies: u32,
    /// Number of these copies that were trial runs.
    pub trials: u32,
}

/// Prompt part of a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// Fingerprint of the part.
    pub fingerprint: Fingerprint,
    /// Time from the last answer to a request with this part that a VM saw until the crash, or
    /// `None` if it saw none.
    pub answered_ago_ms: Option<u64>,
}

impl Suspect {
    /// Returns a suspect with one copy that was no trial run, and without an earlier answer.
    pub fn new(features: impl Into<RequestFeatures>, caller: CallerHash) -> Self {
        let features = features.into();
        let parts = features.parts.iter().map(|fingerprint| SuspectPart {
            fingerprint: *fingerprint,
            answered_ago_ms: None,
        });
        Self {
            fingerprint: features.request,
            caller,
            answered_ago_ms: None,
            parts: parts.collect(),
            copies: 1,
            trials: 0,
        }
    }

    /// Adds the suspect to those of one upstream. If it is among them already, the numbers of
    /// copies are added.
    pub(crate) fn add_to(self, suspects: &mut Vec<Self>) {
        let known = suspects
            .iter_mut()
            .find(|it| it.fingerprint == self.fingerprint);
        match known {
            Some(known) => {
                known.copies += self.copies;
                known.trials += self.trials;
            }
            None => suspects.push(self),
        }
    }
}

/// One VM's requests that were in progress at an upstream that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Incarnation of the upstream.
    pub upstream: UpstreamName,
    /// Time since the crash.
    pub ago_ms: u64,
    /// Incarnation of the VM that reports. A later report of the same one replaces its earlier one.
    pub reporter: u64,
    /// Requests that were in progress there.
    pub suspects: Vec<Suspect>,
}

/// Crash case: a request or a prompt part, and the crashes under it, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseRow {
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Caller of the request, or of the first request with the part.
    pub caller: CallerHash,
    /// Prompt parts of the request. For a part: those that all lost requests with it have, itself
    /// included.
    pub parts: Vec<Fingerprint>,
    /// Crashes of upstreams at which it was in progress.
    pub crashes: Vec<CaseCrash>,
}

/// One crash of a crash case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseCrash {
    /// Incarnation of the upstream.
    pub upstream: UpstreamName,
    /// Time since the crash.
    pub ago_ms: u64,
    /// Number of lost copies of the request, or of requests with the part.
    pub copies: u32,
    /// Number of these copies that were trial runs.
    pub trials: u32,
}

impl CaseRow {
    /// Returns the case as crash reports, `later_ms` after it was read.
    pub fn reports(&self, later_ms: u64) -> Vec<CrashReport> {
        let features = RequestFeatures {
            request: self.fingerprint,
            parts: self.parts.as_slice().into(),
        };
        let crashes = self.crashes.iter();
        crashes
            .map(|crash| CrashReport {
                upstream: crash.upstream.clone(),
                ago_ms: crash.ago_ms + later_ms,
                reporter: STORE_REPORTER,
                suspects: vec![Suspect {
                    copies: crash.copies,
                    trials: crash.trials,
                    ..Suspect::new(features.clone(), self.caller)
                }],
            })
            .collect()
    }

    /// Returns the number of copies that were lost in all crashes.
    pub fn copies(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.copies).sum()
    }
}

/// Request or prompt part on probation, as a judge announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbationRow {
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Time within which a complete answer to it ends the probation.
    pub ago_ms: u64,
}

/// Complete answer to a request or to one with a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredRow {
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Time since the answer was complete.
    pub ago_ms: u64,
}
