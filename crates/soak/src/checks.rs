//! Invariants of a soak and the check of a record against them.

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
use crate::record::STOP;
use crate::streams::BodySeen;
use crate::streams::Flaw;

/// Time for which a VM must have been undisturbed before an invariant with a deadline applies to
/// it. The rules for users allow 3 to 4 s.
pub(crate) const UNDISTURBED_MS: u64 = 3_000;

/// Time after its leave notice within which an upstream may still get new requests.
pub(crate) const DRAIN_DEADLINE_MS: u64 = 2_000;

/// Time within which a configuration must be in force once the store has acknowledged it.
pub(crate) const CONFIGURATION_DEADLINE_MS: u64 = 2_000;

/// Time within which a VM must have exited after SIGTERM.
pub(crate) const STOP_DEADLINE_MS: u64 = 8_000;

/// Tolerance of every deadline: a machine that runs other programs too wakes processes late.
pub(crate) const SCHEDULING_SLACK_MS: u64 = 1_000;

/// HTTP statuses that state that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Property of the VMs that must hold whatever faults occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may run at most once does not run twice.
    RunsOnce,
    /// A request refused with a status of `NOT_RUN_STATUSES` has not run.
    TrueRefusal,
    /// An answer that looks complete belongs to the caller's request and has no flaw.
    OwnAnswer,
    /// Upstreams run only requests that callers sent, with method, target and body unchanged.
    OnlySentRequests,
    /// Engines obey one lease holder at a time, with fencing tokens that never decrease.
    OneLeaseHolder,
    /// No engine is ordered to load more than its memory holds.
    FitsMemory,
    /// A request that a VM has read whole ends with a complete answer or a refusal.
    NothingLost,
    /// Each request gets its final answer within the caller's timeout.
    InTime,
    /// An upstream that has left gets no new requests.
    Drained,
    /// An acknowledged configuration is in force within its deadline.
    ConfigurationInForce,
    /// A planned stop ends within its deadline and cuts off no request that runs.
    PlannedStop,
    /// After the last fault every VM serves every kind of request again.
    Recovers,
    /// No process of a VM exits unless it is killed or stopped.
    StaysUp,
    /// A request, or a part of prompts, under which some engines crashed is soon sent to no more.
    StopsCrashers,
    /// Only callers with one configured key are served, and none of them gets status 401.
    ValidKeyRequired,
    /// Upstreams receive the name of the caller's organisation and no key.
    OrganisationForwarded,
    /// Upstreams run no more requests of an organisation than its limit allows.
    WithinLimits,
    /// All VMs together send an upstream no more requests than the rate limit that it states allows.
    WithinStatedLimits,
    /// A VM that passed on that an engine leaves soon sends it nothing more.
    DrainedAsStated,
    /// An engine that asked a VM for rest gets two requests from it at most until the rest ends.
    RestKept,
    /// Engines that state how many requests they may reject do not fail under more.
    OutlastsRejections,
    /// A VM that is cut off from all upstreams serves through others.
    ServesThroughOthers,
    /// A stream holds events that one version of the engines' software wrote, over all attempts of
    /// its caller.
    OneSoftwareVersion,
    /// Streams that callers resume go on at least half as often as new ones begin.
    ResumedStreamsServed,
    /// No log line of a VM contains a key.
    KeysStaySecret,
    /// A loaded model of a ready engine gets requests again soon after the loss of a lease holder.
    EnginesReopen,
    /// No model is loaded, unloaded and loaded again at an engine within its turn.
    TurnsKept,
    /// No request is refused for want of room while a less urgent later one is sent.
    UrgentFirst,
}

impl Invariant {
    /// Returns the name of the invariant in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs once",
            Self::TrueRefusal => "true refusal",
            Self::OwnAnswer => "own answer",
            Self::OnlySentRequests => "asked for",
            Self::OneLeaseHolder => "one giver",
            Self::FitsMemory => "fits memory",
            Self::NothingLost => "nothing lost",
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
            Self::WithinStatedLimits => "within stated limits",
            Self::DrainedAsStated => "drained as stated",
            Self::RestKept => "rest kept",
            Self::OutlastsRejections => "outlasts rejections",
            Self::ServesThroughOthers => "serves through others",
            Self::OneSoftwareVersion => "one software version",
            Self::ResumedStreamsServed => "resumed streams served",
            Self::KeysStaySecret => "keys stay secret",
            Self::EnginesReopen => "engines reopen",
            Self::TurnsKept => "turns kept",
            Self::UrgentFirst => "urgent first",
        }
    }
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that does not hold.
    pub invariant: Invariant,
    /// Observation that contradicts it, for the report.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant.as_str(), self.detail)
    }
}

/// Checks a record against every invariant and returns the violations found.
pub fn check(record: &Record) -> Vec<Violation> {
    let checker = Checker::new(record);
    let mut found = Vec::new();
    checker.check_runs(&mut found);
    checker.check_answers(&mut found);
    checker.check_orders(&mut found);
    checker.check_lost_requests(&mut found);
    checker.check_deadlines(&mut found);
    checker.check_drains(&mut found);
    checker.check_configurations(&mut found);
    checker.check_stops(&mut found);
    checker.check_recovery(&mut found);
    checker.check_crashers(&mut found);
    checker.check_keys(&mut found);
    checker.check_organisations(&mut found);
    checker.check_limits(&mut found);
    checker.check_stated_limits(&mut found);
    checker.check_stated_leaves(&mut found);
    checker.check_rests(&mut found);
    checker.check_room_failures(&mut found);
    checker.check_path_cuts(&mut found);
    checker.check_software_versions(&mut found);
    checker.check_secrets(&mut found);
    checker.check_reopenings(&mut found);
    checker.check_turns(&mut found);
    checker.check_urgency(&mut found);
    found
}

/// Record with indices of its attempts and runs by request ID.
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

    pub fn run_count(&self, id: &str) -> usize {
        self.run_counts.get(id).copied().unwrap_or_default()
    }

    fn check_runs(&self, found: &mut Vec<Violation>) {
        for run in &self.record.runs {
            let known = self.attempts.contains_key(run.id.as_str())
                || self.record.other_ids.contains(&run.id);
            if !known || !run.unchanged {
                let detail = format!("{} at {}: known {known}", run.id, run.upstream);
                found.push(violation(Invariant::OnlySentRequests, detail));
            }
        }
        for attempt in self.attempts.values().filter(|it| !it.kind.may_run_again()) {
            let ran = self.run_count(&attempt.id);
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

    fn check_answers(&self, found: &mut Vec<Violation>) {
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

    /// Returns whether a flaw comes from a single upstream that sent no events to a caller that
    /// resumed the stream by itself. No entry VM can tell that from the end of the stream.
    fn is_empty_resumption(&self, attempt: &Attempt, body: &BodySeen, flaw: Flaw) -> bool {
        let has_events = match body {
            BodySeen::Plain { .. } => true,
            BodySeen::Stream(stream) => !stream.pieces.is_empty(),
        };
        let runs = self.record.runs.iter().filter(|it| it.id == attempt.id);
        let mut resumptions = runs.filter(|run| run.after_event == attempt.after_event);
        attempt.after_event > 0
            && !has_events
            && resumptions.any(|run| match run.fault {
                Some(AnswerFault::CutThen { then, .. }) => match then {
                    StreamFault::Empty | StreamFault::NoContent => flaw == Flaw::Short,
                    StreamFault::OtherContent => flaw == Flaw::Foreign,
                    _ => false,
                },
                _ => false,
            })
    }

    /// Returns whether an upstream broke off a large answer to a request.
    fn is_large_cut(&self, id: &str) -> bool {
        let mut runs = self.record.runs.iter().filter(|run| run.id == id);
        runs.any(|run| run.fault == Some(AnswerFault::LargeCut))
    }

    fn check_orders(&self, found: &mut Vec<Violation>) {
        let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for (engine, effects) in &self.record.engines {
            if effects.overcommitted > 0 {
                let detail = format!("{engine} was overcommitted {} times", effects.overcommitted);
                found.push(violation(Invariant::FitsMemory, detail));
            }
            if !effects.holders.is_sorted_by_key(|(fence, _)| *fence) {
                let detail = format!("{engine} obeyed the holders {:?}", effects.holders);
                found.push(violation(Invariant::OneLeaseHolder, detail));
            }
            for (fence, holder) in &effects.holders {
                holders.entry(*fence).or_default().insert(holder);
            }
        }
        for (fence, names) in holders.iter().filter(|(_, names)| names.len() > 1) {
            let detail = format!("fencing token {fence} was used by {names:?}");
            found.push(violation(Invariant::OneLeaseHolder, detail));
        }
    }

    fn check_deadlines(&self, found: &mut Vec<Violation>) {
        for attempt in &self.record.attempts {
            let undisturbed_from_ms = attempt.sent_ms.saturating_sub(UNDISTURBED_MS);
            if self.disturbs_vm(attempt.vm, undisturbed_from_ms, attempt.ended_ms) {
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

    fn check_drains(&self, found: &mut Vec<Violation>) {
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
                let undisturbed_from_ms = drain.at_ms.saturating_sub(UNDISTURBED_MS);
                let is_sent_later = attempt.sent_ms > from_ms;
                if is_sent_later
                    && !self.disturbs_vm(attempt.vm, undisturbed_from_ms, run.at_ms)
                    && !self.disturbs_store(undisturbed_from_ms, drain.at_ms + DRAIN_DEADLINE_MS)
                {
                    let detail = format!(
                        "{} reached {} {} ms after its departure",
                        run.id,
                        run.upstream,
                        run.at_ms - drain.at_ms
                    );
                    found.push(violation(Invariant::Drained, detail));
                }
            }
        }
    }

    fn check_configurations(&self, found: &mut Vec<Violation>) {
        for probe in &self.record.probes {
            let undisturbed_from_ms = probe.acknowledged_ms.saturating_sub(UNDISTURBED_MS);
            let is_due = probe.sent_ms > probe.acknowledged_ms + CONFIGURATION_DEADLINE_MS;
            if !is_due
                || self.disturbs_vm(probe.vm, undisturbed_from_ms, probe.sent_ms)
                || self.disturbs_store(undisturbed_from_ms, probe.sent_ms)
            {
                continue;
            }
            // A call on a new route may still fail because of an upstream.
            let is_right = match probe.exists {
                true => probe.status != 404,
                false => probe.status == 404,
            };
            if !is_right {
                let detail = format!(
                    "vm{} answered {} {} ms after the change, route configured: {}",
                    probe.vm,
                    probe.status,
                    probe.sent_ms - probe.acknowledged_ms,
                    probe.exists
                );
                found.push(violation(Invariant::ConfigurationInForce, detail));
            }
        }
    }

    fn check_stops(&self, found: &mut Vec<Violation>) {
        for stop in &self.record.stops {
            let until_ms = stop.at_ms + STOP_DEADLINE_MS + SCHEDULING_SLACK_MS;
            let is_disturbed = self.record.disturbances.iter().any(|it| {
                it.place == Place::Vm(stop.vm)
                    && it.what != STOP
                    && it.from_ms <= until_ms
                    && it.until_ms + UNDISTURBED_MS >= stop.at_ms
            });
            if is_disturbed {
                continue;
            }
            match stop.ended {
                Some((ended_ms, Some(0))) if ended_ms <= until_ms => {}
                ended => {
                    let detail =
                        format!("vm{} stopped at {} ms: exit {ended:?}", stop.vm, stop.at_ms);
                    found.push(violation(Invariant::PlannedStop, detail));
                }
            }
            let ended_ms = stop.ended.map_or(until_ms, |(at_ms, _)| at_ms);
            for attempt in self.record.attempts.iter().filter(|it| it.vm == stop.vm) {
                let overlaps_stop = attempt.sent_ms <= ended_ms && attempt.ended_ms >= stop.at_ms;
                let is_complete = attempt.left_after_event.is_some()
                    || !matches!(
                        attempt.ending,
                        Ending::Unanswered | Ending::Answered { whole: false, .. }
                    );
                // A stream may also break off because of its engine, and a large answer because of
                // its upstream.
                let is_excused = match attempt.kind.is_stream() {
                    true => self.disturbs(&Place::Upstreams, 0, attempt.ended_ms),
                    false => self.is_large_cut(&attempt.id),
                };
                if overlaps_stop && !is_complete && self.run_count(&attempt.id) > 0 && !is_excused {
                    let detail = format!("{} ran and was cut off", attempt.id);
                    found.push(violation(Invariant::PlannedStop, detail));
                }
            }
        }
        for end in &self.record.unexpected_exits {
            found.push(violation(Invariant::StaysUp, end.clone()));
        }
    }

    fn check_recovery(&self, found: &mut Vec<Violation>) {
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

    pub fn disturbs_vm(&self, vm: usize, from_ms: u64, until_ms: u64) -> bool {
        self.disturbs(&Place::Vm(vm), from_ms, until_ms)
    }

    pub fn disturbs_store(&self, from_ms: u64, until_ms: u64) -> bool {
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
