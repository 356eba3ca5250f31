//! Invariants of streams while engines run several versions of their software.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::Attempt;
use crate::record::Ending;
use crate::record::Kind;
use crate::record::Presented;
use crate::record::Record;

/// Time for which an engine must have served for it to count.
const SERVING_MS: u64 = 1_000;

/// Number of engines of one version while which streams count.
const MIN_ENGINES: usize = 2;

/// Number of resumed streams from which their share is judged.
const MIN_JUDGED: usize = 12;

/// Counts of streams at undisturbed VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResumedShare {
    /// Attempts to resume a stream while two engines of its software version served.
    pub resumed: usize,
    /// Those of them that brought an event.
    pub went_on: usize,
    /// New streams while two engines of some software version served.
    pub new: usize,
    /// Those of them that brought an event.
    pub begun: usize,
}

impl ResumedShare {
    /// Returns whether resumed streams go on at least half as often as new ones begin.
    fn suffices(&self) -> bool {
        self.resumed < MIN_JUDGED || 2 * self.went_on * self.new >= self.begun * self.resumed
    }
}

/// Returns how many streams went on when their callers resumed them, and how many new ones began.
pub fn resumed_share(record: &Record) -> ResumedShare {
    Checker::new(record).resumed_share()
}

impl<'a> Checker<'a> {
    pub(crate) fn check_software_versions(&self, found: &mut Vec<Violation>) {
        for (stream, attempts) in self.streams() {
            let versions = software_versions(&attempts);
            if versions.len() > 1 {
                let parts = attempts.iter().map(|it| {
                    let events = it.events().map(|events| (&events.pieces, it.sent_ms));
                    format!("{} at vm{}: {events:?}", it.id, it.vm)
                });
                let parts: Vec<String> = parts.collect();
                let detail = format!("{stream} holds events of {versions:?}: {parts:?}");
                found.push(violation(Invariant::OneSoftwareVersion, detail));
            }
        }
        let share = self.resumed_share();
        if !share.suffices() {
            let detail = format!("{share:?}");
            found.push(violation(Invariant::ResumedStreamsServed, detail));
        }
    }

    /// Returns the attempts of each stream in the order of sending.
    fn streams(&self) -> BTreeMap<&'a str, Vec<&'a Attempt>> {
        let mut streams: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|it| it.kind.is_stream()) {
            streams.entry(attempt.stream()).or_default().push(attempt);
        }
        for attempts in streams.values_mut() {
            attempts.sort_by_key(|it| it.sent_ms);
        }
        streams
    }

    fn resumed_share(&self) -> ResumedShare {
        let crashers = self.record.crasher_ids.iter();
        let crashers: BTreeSet<&str> = crashers.map(|(id, _)| id.as_str()).collect();
        let mut share = ResumedShare::default();
        for (_, attempts) in self.streams() {
            for (index, attempt) in attempts.iter().enumerate() {
                if crashers.contains(attempt.id.as_str()) || !self.is_judged(attempt) {
                    continue;
                }
                let versions = software_versions(&attempts[..index]);
                let brought = usize::from(attempt.events().is_some());
                match (&attempt.resumes, versions.first()) {
                    (None, _) if self.has_engines(None, attempt) => {
                        share.new += 1;
                        share.begun += brought;
                    }
                    (Some(_), version @ Some(_)) if self.has_engines(version, attempt) => {
                        share.resumed += 1;
                        share.went_on += brought;
                    }
                    _ => {}
                }
            }
        }
        share
    }

    /// Returns whether an attempt of a resumable stream was sent with a key to an undisturbed VM,
    /// whose answer its caller awaited.
    fn is_judged(&self, attempt: &Attempt) -> bool {
        let from_ms = attempt.sent_ms.saturating_sub(UNDISTURBED_MS);
        let is_cut = self.record.path_cuts.iter().any(|cut| {
            cut.vms.contains(&attempt.vm)
                && cut.from_ms <= attempt.ended_ms
                && cut.until_ms >= from_ms
        });
        let is_awaited = !matches!(attempt.ending, Ending::Unsent | Ending::Left);
        let has_key = matches!(attempt.presented, Presented::Key(_)) && attempt.status() != 401;
        attempt.kind == Kind::Quick
            && is_awaited
            && has_key
            && !is_cut
            && !self.disturbs_vm(attempt.vm, from_ms, attempt.ended_ms)
            && !self.disturbs_store(from_ms, attempt.ended_ms)
    }

    /// Returns whether several engines of a version, or of any, served while an attempt lasted.
    fn has_engines(&self, software: Option<&&str>, attempt: &Attempt) -> bool {
        let times = self.record.engine_times.iter();
        let serving = times.filter(|it| {
            it.from_ms + SERVING_MS <= attempt.sent_ms
                && it
                    .until_ms
                    .is_none_or(|until_ms| until_ms > attempt.ended_ms)
        });
        let mut engines: BTreeMap<&str, usize> = BTreeMap::new();
        for time in serving {
            *engines.entry(&time.software).or_default() += 1;
        }
        let mut engines = engines.into_iter();
        engines.any(|(version, count)| {
            software.is_none_or(|wanted| *wanted == version) && count >= MIN_ENGINES
        })
    }
}

fn software_versions(attempts: &[&Attempt]) -> BTreeSet<&'static str> {
    let events = attempts.iter().filter_map(|it| it.events());
    events.flat_map(|it| it.software_versions()).collect()
}
