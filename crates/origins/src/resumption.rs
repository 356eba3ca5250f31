//! Decision on a stream that its caller resumes.

use std::collections::BTreeMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use serde::Deserialize;
use serde::Serialize;

use crate::stream_id::StreamId;
use crate::versions::KnownVersions;

/// Time for which a VM waits for the answers of the holders, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Time after which the holders that have not answered are asked again, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 130;

/// Number of VMs, with the one that decides, whose records of a stream suffice to resume it while
/// others have not answered. One record may be that of another request with the same ID.
const CONFIRMING_RECORDS: usize = 2;

/// Question to a VM that may keep the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Stream whose origin is asked for.
    pub stream: StreamId,
    /// Services that can have begun it.
    pub services: Vec<GroupName>,
}

/// What one VM knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The origin of the stream.
    Origin(Origin),
    /// Origins that exclude each other were stated for the stream.
    Conflict,
    /// Not the stream, but that only this origin can have begun it.
    OnlyOrigin(Origin),
    /// Not the stream, but that more than one version can have begun it.
    SeveralVersions,
    /// Nothing.
    Nothing,
}

impl Evidence {
    /// Returns what the versions of the services that can have begun a stream tell about it.
    pub fn of_versions(versions: impl IntoIterator<Item = (GroupName, KnownVersions)>) -> Self {
        let mut versions = versions.into_iter();
        let first = match versions.next() {
            Some((service, KnownVersions::One(version))) => Self::OnlyOrigin(Origin {
                service,
                version: Some(version),
                upstream: None,
            }),
            Some((_, KnownVersions::Several)) => Self::SeveralVersions,
            Some((_, KnownVersions::Unknown)) | None => Self::Nothing,
        };
        match versions.next() {
            None => first,
            // Any of the services can have begun it.
            Some(_) => Self::SeveralVersions,
        }
    }
}

/// Answer to an [`OriginQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// VM that answers.
    pub from: VmName,
    /// Stream whose origin was asked for.
    pub stream: StreamId,
    /// What the VM knows.
    pub evidence: Evidence,
}

/// Reason why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginUnknown {
    /// No VM that was asked knows the stream, and several versions can have begun it.
    SeveralVersions,
    /// No VM that was asked knows the stream, and none has seen the service for long enough.
    NoEvidence,
    /// Origins that exclude each other are known.
    Conflict,
}

impl OriginUnknown {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SeveralVersions => "several_versions",
            Self::NoEvidence => "no_evidence",
            Self::Conflict => "conflict",
        }
    }
}

/// What follows for a stream that its caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumptionStep {
    /// Ask these VMs, and decide again at the time in milliseconds.
    Ask(Vec<VmName>, u64),
    /// Decide again at the time in milliseconds, or when an answer has arrived.
    Wait(u64),
    /// Resume it at upstreams that this origin accepts.
    Resume(Origin),
    /// Refuse it.
    Refuse(OriginUnknown),
}

/// Search for the origin of one stream that its caller resumes.
#[derive(Clone, Debug)]
pub struct Resumption {
    began_ms: u64,
    asked_ms: Option<u64>,
    own: Evidence,
    /// Evidence of each VM that is asked; `None` until its answer has arrived.
    answers: BTreeMap<VmName, Option<Evidence>>,
}

impl Resumption {
    /// Returns the search by a VM that knows `own` about the stream and can ask `holders`.
    pub fn new(now_ms: u64, own: Evidence, holders: Vec<VmName>) -> Self {
        Self {
            began_ms: now_ms,
            asked_ms: None,
            own,
            answers: holders.into_iter().map(|vm| (vm, None)).collect(),
        }
    }

    /// Returns whether a record of the stream is known.
    pub fn is_recorded(&self) -> bool {
        self.records() > 0
    }

    fn records(&self) -> usize {
        self.evidence()
            .filter(|evidence| matches!(evidence, Evidence::Origin(_)))
            .count()
    }

    /// Records the answer of a VM. Answers of VMs that were not asked are ignored.
    pub fn record_answer(&mut self, from: &VmName, evidence: Evidence) {
        if let Some(answer) = self.answers.get_mut(from) {
            *answer = Some(evidence);
        }
    }

    /// Decides what follows.
    pub fn decide(&mut self, now_ms: u64) -> ResumptionStep {
        let known = self.evidence().find_map(|evidence| match evidence {
            Evidence::Origin(origin) => Some(origin.clone()),
            _ => None,
        });
        let is_conflict = self.evidence().any(|evidence| match evidence {
            Evidence::Conflict => true,
            Evidence::Origin(origin) => known.as_ref().is_some_and(|known| !known.accepts(origin)),
            _ => false,
        });
        let until_ms = self.began_ms + ANSWER_TIMEOUT_MS;
        let is_open = self.answers.values().any(Option::is_none) && now_ms < until_ms;
        let is_confirmed = self.records() >= CONFIRMING_RECORDS;
        match known {
            _ if is_conflict => ResumptionStep::Refuse(OriginUnknown::Conflict),
            Some(origin) if is_confirmed || !is_open => ResumptionStep::Resume(origin),
            _ if is_open => self.ask(now_ms, until_ms),
            _ => self.decide_by_versions(),
        }
    }

    fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        let answers = self.answers.values().filter_map(Option::as_ref);
        [&self.own].into_iter().chain(answers)
    }

    fn ask(&mut self, now_ms: u64, until_ms: u64) -> ResumptionStep {
        let next_ms = self.asked_ms.map(|asked_ms| asked_ms + REPEAT_INTERVAL_MS);
        match next_ms {
            Some(next_ms) if now_ms < next_ms => ResumptionStep::Wait(next_ms.min(until_ms)),
            _ => {
                self.asked_ms = Some(now_ms);
                let silent = self.answers.iter().filter(|(_, answer)| answer.is_none());
                let silent = silent.map(|(vm, _)| vm.clone()).collect();
                ResumptionStep::Ask(silent, (now_ms + REPEAT_INTERVAL_MS).min(until_ms))
            }
        }
    }

    /// Decides on a stream that no VM knows, by the versions that can have begun it. A VM that is out
    /// of step does not know what those have begun that do not answer, so that another VM has to
    /// state the versions, too.
    fn decide_by_versions(&self) -> ResumptionStep {
        let is_any_silent = self.answers.values().any(Option::is_none);
        let mut answers = self.answers.values().flatten();
        let is_stated = answers.any(|answer| *answer != Evidence::Nothing);
        if is_any_silent && !is_stated {
            return ResumptionStep::Refuse(OriginUnknown::NoEvidence);
        }
        let mut only: Option<&Origin> = None;
        for evidence in self.evidence() {
            match (evidence, only) {
                (Evidence::SeveralVersions, _) => {
                    return ResumptionStep::Refuse(OriginUnknown::SeveralVersions);
                }
                (Evidence::OnlyOrigin(origin), Some(only)) if !only.accepts(origin) => {
                    return ResumptionStep::Refuse(OriginUnknown::SeveralVersions);
                }
                (Evidence::OnlyOrigin(origin), _) => only = Some(origin),
                (Evidence::Origin(_) | Evidence::Conflict | Evidence::Nothing, _) => {}
            }
        }
        match only {
            Some(origin) => ResumptionStep::Resume(origin.clone()),
            None => ResumptionStep::Refuse(OriginUnknown::NoEvidence),
        }
    }
}
