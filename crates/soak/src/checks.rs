//! Which promises were broken, from what callers and upstreams saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StreamFault;

use crate::record::Attempt;
use crate::record::Ending;
use crate::record::Kind;
use crate::record::Place;
use crate::record::Record;
use crate::record::Run;
use crate::streams::BodySeen;
use crate::streams::Flaw;

/// How long before a moment a VM must have been undisturbed for a promise with a time to hold. The
/// users' rules give 3 to 4 s.
pub(crate) const UNDISTURBED_MS: u64 = 3_000;

/// How long a leaving upstream may still get requests.
const DRAIN_DEADLINE_MS: u64 = 2_000;

/// How long a configuration may take to be in force.
pub(crate) const CONFIGURATION_DEADLINE_MS: u64 = 2_000;

/// How long a planned stop may take.
const STOP_DEADLINE_MS: u64 = 8_000;

/// How far a promise with a time may be missed here: a machine that also runs other things wakes
/// processes late.
pub(crate) const SCHEDULING_SLACK_MS: u64 = 1_000;

/// Engines that may end under a request before it is stopped.
const CRASHES_BEFORE_BLOCK: usize = 3;

/// How long after the last of these a VM may still send it, and how often it may be sent later.
const BLOCK_DEADLINE_MS: u64 = 3_000;
const MAX_LATE_SENDS: usize = 3;

/// Statuses that promise that the request has not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// `Invariant` is what the soak checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may run once runs at most once.
    RunsOnce,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A caller gets its own whole answer.
    OwnAnswer,
    /// Upstreams run only what callers sent, as they sent it.
    OnlySentRequests,
    /// One VM at a time gives orders.
    OneLeaseHolder,
    /// No engine is told to hold more than it can.
    FitsMemory,
    /// Each request has its final answer in time.
    InTime,
    /// A leaving upstream gets no new requests.
    Drained,
    /// A configuration is in force in time.
    ConfigurationInForce,
    /// A planned stop ends in time and cuts nothing.
    PlannedStop,
    /// After the last trouble every VM serves every kind of request.
    Recovers,
    /// No process ends by itself.
    StaysUp,
    /// A request under which three engines ended soon reaches no more.
    StopsCrashers,
    /// Only callers with a key that an organisation holds are served, and none of them is refused
    /// as unknown.
    ValidKeyRequired,
    /// Upstreams are told the caller's organisation and no key.
    OrganisationForwarded,
    /// Upstreams run no more for an organisation than its limit allows.
    WithinLimits,
    /// No log line holds a key.
    KeysStaySecret,
}

impl Invariant {
    /// Returns the word for reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs once",
            Self::TrueRefusal => "true refusal",
            Self::OwnAnswer => "own answer",
            Self::OnlySentRequests => "asked for",
            Self::OneLeaseHolder => "one giver",
            Self::FitsMemory => "fits memory",
            Self::InTime => "in time",
            Self::Drained => "drained",
            Self::ConfigurationInForce => "in force",
            Self::PlannedStop => "planned stop",
            Self::Recovers => "recovers",
            Self::StaysUp => "stays up",
            Self::StopsCrashers => "stops crashers",
            Self::ValidKeyRequired => "who may ask",
            Self::OrganisationForwarded => "organisation told",
            Self::WithinLimits => "within limits",
            Self::KeysStaySecret => "keys stay secret",
        }
    }
}

/// `Violation` is a broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant.as_str(), self.detail)
    }
}

/// Returns the promises that were broken.
pub fn check(record: &Record) -> Vec<Violation> {
    let checker = Checker::new(record);
    let mut found = Vec::new();
    checker.runs(&mut found);
    checker.answers(&mut found);
    checker.orders(&mut found);
    checker.times(&mut found);
    checker.drains(&mut found);
    checker.configurations(&mut found);
    checker.stops(&mut found);
    checker.recovery(&mut found);
    checker.crashers(&mut found);
    checker.keys(&mut found);
    checker.organisations(&mut found);
    checker.limits(&mut found);
    checker.secrets(&mut found);
    found
}

/// `Checker` holds a record with its requests by identity.
pub(crate) struct Checker<'a> {
    pub record: &'a Record,
    pub attempts: BTreeMap<&'a str, &'a Attempt>,
    run_counts: BTreeMap<&'a str, usize>,
    first_runs: BTreeMap<&'a str, &'a Run>,
}

impl<'a> Checker<'a> {
    pub fn new(record: &'a Record) -> Self {
        let all = record.attempts.iter().chain(&record.last_attempts);
        let attempts = all.map(|attempt| (attempt.id.as_str(), attempt)).collect();
        let mut run_counts = BTreeMap::new();
        let mut first_runs: BTreeMap<&str, &Run> = BTreeMap::new();
        for run in &record.runs {
            *run_counts.entry(run.id.as_str()).or_default() += 1;
            let first = first_runs.entry(run.id.as_str()).or_insert(run);
            if run.at_ms < first.at_ms {
                *first = run;
            }
        }
        Self {
            record,
            attempts,
            run_counts,
            first_runs,
        }
    }

    pub fn first_run(&self, id: &str) -> Option<&'a Run> {
        self.first_runs.get(id).copied()
    }

    fn ran(&self, id: &str) -> usize {
        self.run_counts.get(id).copied().unwrap_or_default()
    }

    fn runs(&self, found: &mut Vec<Violation>) {
        for run in &self.record.runs {
            let known = self.attempts.contains_key(run.id.as_str())
                || self.record.other_ids.contains(&run.id);
            if !known || !run.unchanged {
                let detail = format!("{} at {}: known {known}", run.id, run.upstream);
                found.push(violation(Invariant::OnlySentRequests, detail));
            }
        }
        for attempt in self.attempts.values().filter(|it| !it.kind.may_run_again()) {
            let ran = self.ran(&attempt.id);
            if ran > 1 {
                let detail = format!("{} ran {ran} times", attempt.id);
                found.push(violation(Invariant::RunsOnce, detail));
            }
            if ran > 0 && NOT_RUN_STATUSES.contains(&attempt.status()) {
                let detail = format!("{} got {} and ran", attempt.id, attempt.status());
                found.push(violation(Invariant::TrueRefusal, detail));
            }
        }
    }

    fn answers(&self, found: &mut Vec<Violation>) {
        for attempt in self.attempts.values() {
            let Ending::Answered {
                status,
                whole,
                id,
                signed,
                body,
            } = &attempt.ending
            else {
                continue;
            };
            let is_success = (200..300).contains(status);
            let is_own = id.as_ref().is_none_or(|id| *id == attempt.id);
            let is_named = !is_success || (id.is_some() && *signed);
            let flaw = body.flaw(*whole).filter(|flaw| {
                is_success && !(*whole && self.is_empty_resumption(attempt, body, *flaw))
            });
            if !is_own || !is_named || flaw.is_some() {
                let detail = format!(
                    "{} got {status}, whole {whole}, id {id:?}, signed {signed}, flaw {flaw:?} in \
                     {body:?}",
                    attempt.id
                );
                found.push(violation(Invariant::OwnAnswer, detail));
            }
        }
    }

    /// Returns whether an upstream alone gave no events to a caller that resumed by itself, which no
    /// entry VM can tell from the end of the stream.
    fn is_empty_resumption(&self, attempt: &Attempt, body: &BodySeen, flaw: Flaw) -> bool {
        let has_events = match body {
            BodySeen::Plain { .. } => true,
            BodySeen::Stream(stream) => !stream.pieces.is_empty(),
        };
        let runs = self.record.runs.iter().filter(|it| it.id == attempt.id);
        let mut given = runs.filter(|run| run.after_event == attempt.after_event);
        attempt.after_event > 0
            && !has_events
            && given.any(|run| match run.fault {
                Some(AnswerFault::CutThen { then, .. }) => match then {
                    StreamFault::Empty | StreamFault::NoContent => flaw == Flaw::Short,
                    StreamFault::OtherContent => flaw == Flaw::Foreign,
                    _ => false,
                },
                _ => false,
            })
    }

    /// Returns whether an upstream broke its large answer to an attempt off.
    fn is_large_cut(&self, id: &str) -> bool {
        let mut runs = self.record.runs.iter().filter(|run| run.id == id);
        runs.any(|run| run.fault == Some(AnswerFault::LargeCut))
    }

    fn orders(&self, found: &mut Vec<Violation>) {
        let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for (engine, effects) in &self.record.engines {
            if effects.overcommitted > 0 {
                let detail = format!("{engine}: {} times", effects.overcommitted);
                found.push(violation(Invariant::FitsMemory, detail));
            }
            if !effects.holders.is_sorted_by_key(|(fence, _)| *fence) {
                let detail = format!("{engine} obeyed {:?}", effects.holders);
                found.push(violation(Invariant::OneLeaseHolder, detail));
            }
            for (fence, holder) in &effects.holders {
                holders.entry(*fence).or_default().insert(holder);
            }
        }
        for (fence, names) in holders.iter().filter(|(_, names)| names.len() > 1) {
            let detail = format!("fence {fence} was used by {names:?}");
            found.push(violation(Invariant::OneLeaseHolder, detail));
        }
    }

    fn times(&self, found: &mut Vec<Violation>) {
        for attempt in &self.record.attempts {
            let calm_from_ms = attempt.sent_ms.saturating_sub(UNDISTURBED_MS);
            if self.disturbs_vm(attempt.vm, calm_from_ms, attempt.ended_ms) {
                continue;
            }
            let took_ms = attempt.ended_ms - attempt.sent_ms;
            let is_late = took_ms > attempt.patience_ms + SCHEDULING_SLACK_MS;
            let is_lost = attempt.ending == Ending::Unanswered && !attempt.kind.is_stream();
            if is_late || is_lost {
                let detail = format!(
                    "{} at vm{}, sent at {} ms: {:?} after {took_ms} ms of {}",
                    attempt.id, attempt.vm, attempt.sent_ms, attempt.ending, attempt.patience_ms
                );
                found.push(violation(Invariant::InTime, detail));
            }
        }
    }

    fn drains(&self, found: &mut Vec<Violation>) {
        for drain in &self.record.drains {
            let from_ms = drain.at_ms + DRAIN_DEADLINE_MS + SCHEDULING_SLACK_MS;
            let late = self
                .record
                .runs
                .iter()
                .filter(|run| run.upstream == drain.upstream && run.at_ms > from_ms);
            for run in late {
                let Some(attempt) = self.attempts.get(run.id.as_str()) else {
                    continue;
                };
                let calm_from_ms = drain.at_ms.saturating_sub(UNDISTURBED_MS);
                let is_sent_later = attempt.sent_ms > from_ms;
                if is_sent_later
                    && !self.disturbs_vm(attempt.vm, calm_from_ms, run.at_ms)
                    && !self.disturbs_store(calm_from_ms, drain.at_ms + DRAIN_DEADLINE_MS)
                {
                    let detail = format!(
                        "{} reached {} {} ms after its leaving",
                        run.id,
                        run.upstream,
                        run.at_ms - drain.at_ms
                    );
                    found.push(violation(Invariant::Drained, detail));
                }
            }
        }
    }

    fn configurations(&self, found: &mut Vec<Violation>) {
        for probe in &self.record.probes {
            let calm_from_ms = probe.acknowledged_ms.saturating_sub(UNDISTURBED_MS);
            let is_due = probe.sent_ms > probe.acknowledged_ms + CONFIGURATION_DEADLINE_MS;
            if !is_due
                || self.disturbs_vm(probe.vm, calm_from_ms, probe.sent_ms)
                || self.disturbs_store(calm_from_ms, probe.sent_ms)
            {
                continue;
            }
            // A call on a new route may still fail for an upstream's sake.
            let is_right = match probe.exists {
                true => probe.status != 404,
                false => probe.status == 404,
            };
            if !is_right {
                let detail = format!(
                    "vm{} answered {} {} ms after the change, route there: {}",
                    probe.vm,
                    probe.status,
                    probe.sent_ms - probe.acknowledged_ms,
                    probe.exists
                );
                found.push(violation(Invariant::ConfigurationInForce, detail));
            }
        }
    }

    fn stops(&self, found: &mut Vec<Violation>) {
        for stop in &self.record.stops {
            let until_ms = stop.at_ms + STOP_DEADLINE_MS + SCHEDULING_SLACK_MS;
            let is_disturbed = self.record.disturbances.iter().any(|it| {
                it.place == Place::Vm(stop.vm)
                    && it.what != "stop"
                    && it.from_ms <= until_ms
                    && it.until_ms + UNDISTURBED_MS >= stop.at_ms
            });
            if is_disturbed {
                continue;
            }
            match stop.ended {
                Some((ended_ms, Some(0))) if ended_ms <= until_ms => {}
                ended => {
                    let detail = format!("vm{} told at {} ms: {ended:?}", stop.vm, stop.at_ms);
                    found.push(violation(Invariant::PlannedStop, detail));
                }
            }
            let ended_ms = stop.ended.map_or(until_ms, |(at_ms, _)| at_ms);
            for attempt in self.record.attempts.iter().filter(|it| it.vm == stop.vm) {
                let around = attempt.sent_ms <= ended_ms && attempt.ended_ms >= stop.at_ms;
                let has_end = !matches!(
                    attempt.ending,
                    Ending::Unanswered | Ending::Answered { whole: false, .. }
                );
                // A stream may also break off because its engine did, a large call because its
                // upstream did.
                let is_excused = match attempt.kind.is_stream() {
                    true => self.disturbs(&Place::Upstreams, 0, attempt.ended_ms),
                    false => self.is_large_cut(&attempt.id),
                };
                if around && !has_end && self.ran(&attempt.id) > 0 && !is_excused {
                    let detail = format!("{} ran and was cut", attempt.id);
                    found.push(violation(Invariant::PlannedStop, detail));
                }
            }
        }
        for end in &self.record.unexpected_exits {
            found.push(violation(Invariant::StaysUp, end.clone()));
        }
    }

    fn recovery(&self, found: &mut Vec<Violation>) {
        let mut served: BTreeMap<(usize, Kind), bool> = BTreeMap::new();
        for attempt in &self.record.last_attempts {
            let is_served = matches!(
                attempt.ending,
                Ending::Answered {
                    status: 200,
                    whole: true,
                    ..
                }
            );
            *served.entry((attempt.vm, attempt.kind)).or_default() |= is_served;
        }
        for ((vm, kind), _) in served.iter().filter(|(_, served)| !**served) {
            let detail = format!("vm{vm} serves no {}", kind.as_str());
            found.push(violation(Invariant::Recovers, detail));
        }
    }

    fn crashers(&self, found: &mut Vec<Violation>) {
        let mut crashes: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for crash in &self.record.crashes {
            crashes.entry(&crash.body).or_default().push(crash.at_ms);
        }
        let bodies = self.record.crasher_ids.iter();
        let bodies: BTreeMap<&str, &str> = bodies
            .map(|(id, body)| (id.as_str(), body.as_str()))
            .collect();
        for (body, times) in &mut crashes {
            times.sort_unstable();
            let Some(third_ms) = times.get(CRASHES_BEFORE_BLOCK - 1) else {
                continue;
            };
            let late_ms = third_ms + BLOCK_DEADLINE_MS;
            let late = self.record.runs.iter().filter(|run| {
                let vm = self.attempts.get(run.id.as_str()).map(|it| it.vm);
                let calm_from_ms = run.at_ms.saturating_sub(UNDISTURBED_MS);
                bodies.get(run.id.as_str()) == Some(body)
                    && run.at_ms > late_ms
                    && vm.is_some_and(|vm| !self.disturbs_vm(vm, calm_from_ms, run.at_ms))
            });
            let late = late.count();
            if late > MAX_LATE_SENDS {
                let detail = format!(
                    "{body} reached engines {late} times later than {late_ms} ms; {} ended",
                    times.len()
                );
                found.push(violation(Invariant::StopsCrashers, detail));
            }
        }
    }

    fn disturbs_vm(&self, vm: usize, from_ms: u64, until_ms: u64) -> bool {
        self.disturbs(&Place::Vm(vm), from_ms, until_ms)
    }

    fn disturbs_store(&self, from_ms: u64, until_ms: u64) -> bool {
        self.disturbs(&Place::Store, from_ms, until_ms)
    }

    fn disturbs(&self, place: &Place, from_ms: u64, until_ms: u64) -> bool {
        self.record
            .disturbances
            .iter()
            .any(|it| it.place == *place && it.from_ms <= until_ms && it.until_ms >= from_ms)
    }
}

pub(crate) fn violation(invariant: Invariant, detail: String) -> Violation {
    Violation { invariant, detail }
}
