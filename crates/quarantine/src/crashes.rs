//! Crashes of upstreams, and the requests that were in progress there.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;
use crate::reports::CrashReport;
use crate::reports::STORE_REPORTER;
use crate::reports::Suspect;

/// Copies of one request that were lost with one upstream.
#[derive(Clone, Debug)]
pub(crate) struct LostCopies {
    pub caller: CallerHash,
    /// Prompt parts of the request that no later answer has cleared, sorted.
    pub parts: Vec<Fingerprint>,
    /// Numbers of copies by reporter.
    reported: BTreeMap<u64, Copies>,
}

/// Number of lost copies, and of the trial runs among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Copies {
    pub all: u32,
    pub trials: u32,
}

impl LostCopies {
    /// Returns the number of lost copies over all reporters. The store's number may include what
    /// VMs report, too, so that the larger one counts.
    pub fn copies(&self) -> Copies {
        let mut copies = Copies::default();
        for (_, of_vm) in self
            .reported
            .iter()
            .filter(|(it, _)| **it != STORE_REPORTER)
        {
            copies.all += of_vm.all;
            copies.trials += of_vm.trials;
        }
        let stored = self
            .reported
            .get(&STORE_REPORTER)
            .copied()
            .unwrap_or_default();
        Copies {
            all: copies.all.max(stored.all),
            trials: copies.trials.max(stored.trials),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub at_ms: u64,
    /// Time of its first report.
    pub first_report_ms: u64,
    /// Lost requests by their fingerprints.
    pub suspects: BTreeMap<Fingerprint, LostCopies>,
}

/// Crashes of the last minutes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    pub crashes: BTreeMap<UpstreamName, Crash>,
    suspects_by_caller: HashMap<CallerHash, usize>,
    suspects: usize,
    /// Times at which suspect requests, and requests with suspect parts, were last answered.
    last_answers: HashMap<Fingerprint, u64>,
    /// Time at which the requests under a crash are to be judged next.
    pub due_ms: Option<u64>,
    /// Grows with each report that adds to a crash.
    pub changes: u64,
}

impl CrashLog {
    /// Records a VM's crash report. The same report may be recorded several times.
    pub fn record(&mut self, now_ms: u64, report: &CrashReport, options: &Options) {
        let at_ms = now_ms.saturating_sub(report.ago_ms);
        if report.ago_ms >= options.crash_ttl_ms || report.suspects.is_empty() {
            return;
        }
        let crash = self
            .crashes
            .entry(report.upstream.clone())
            .or_insert_with(|| Crash {
                at_ms,
                first_report_ms: now_ms,
                suspects: BTreeMap::new(),
            });
        crash.at_ms = crash.at_ms.min(at_ms);
        let (at_ms, first_report_ms) = (crash.at_ms, crash.first_report_ms);
        let mut is_new = false;
        for suspect in &report.suspects {
            let parts = suspect.parts.iter();
            let answers = parts
                .map(|part| (part.fingerprint, part.answered_ago_ms))
                .chain([(suspect.fingerprint, suspect.answered_ago_ms)]);
            for (feature, ago_ms) in answers {
                if let Some(ago_ms) = ago_ms {
                    self.record_answered(feature, at_ms.saturating_sub(ago_ms), options);
                }
            }
            if !self.is_answered_after(&suspect.fingerprint, at_ms) {
                is_new |= self.add(&report.upstream, report.reporter, suspect);
            }
        }
        if is_new {
            self.changes += 1;
            let judge_ms = (first_report_ms + options.settle_ms).max(now_ms);
            self.due_ms = Some(self.due_ms.map_or(judge_ms, |due_ms| due_ms.min(judge_ms)));
            self.enforce_limits(options);
        }
    }

    /// Adds a suspect to a crash. Returns whether that changes the number of lost copies.
    fn add(&mut self, upstream: &UpstreamName, reporter: u64, suspect: &Suspect) -> bool {
        let Some(crash) = self.crashes.get_mut(upstream) else {
            return false;
        };
        let at_ms = crash.at_ms;
        let last_answers = &self.last_answers;
        let is_cleared = |part: &Fingerprint| last_answers.get(part).is_some_and(|it| *it > at_ms);
        let loss = crash
            .suspects
            .entry(suspect.fingerprint)
            .or_insert_with(|| {
                *self.suspects_by_caller.entry(suspect.caller).or_default() += 1;
                self.suspects += 1;
                LostCopies {
                    caller: suspect.caller,
                    parts: Vec::new(),
                    reported: BTreeMap::new(),
                }
            });
        let parts = suspect.parts.iter().map(|part| part.fingerprint);
        loss.parts.extend(parts.filter(|part| !is_cleared(part)));
        loss.parts.sort_unstable();
        loss.parts.dedup();
        let before = loss.copies();
        let reported = loss.reported.entry(reporter).or_default();
        reported.all = suspect.copies.max(reported.all);
        reported.trials = suspect.trials.max(reported.trials);
        before != loss.copies()
    }

    /// Records that a request, or one with a part, was answered, which clears it of earlier crashes.
    /// Returns whether the answer is later than the known one.
    pub fn record_answered(
        &mut self,
        feature: Fingerprint,
        answered_ms: u64,
        options: &Options,
    ) -> bool {
        let known_ms = self.last_answers.get(&feature).copied().unwrap_or(0);
        if answered_ms <= known_ms {
            return false;
        }
        if known_ms == 0 && self.last_answers.len() >= options.max_answered {
            let oldest = self.last_answers.iter().min_by_key(|(_, at_ms)| **at_ms);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|oldest| self.last_answers.remove(&oldest));
        }
        self.last_answers.insert(feature, answered_ms);
        // The known answer has cleared it of the crashes before.
        self.clear_if(&feature, |crash| {
            (known_ms..answered_ms).contains(&crash.at_ms)
        });
        true
    }

    /// Removes crashes and answers from before a time.
    pub fn forget_before(&mut self, at_ms: u64) {
        let old: Vec<UpstreamName> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.at_ms < at_ms)
            .map(|(name, _)| name.clone())
            .collect();
        old.iter().for_each(|name| self.remove(name));
        self.last_answers
            .retain(|_, answered_ms| *answered_ms >= at_ms);
    }

    /// Removes a request or a part from all crashes.
    pub fn clear(&mut self, feature: &Fingerprint) {
        self.clear_if(feature, |_| true);
    }

    fn clear_if(&mut self, feature: &Fingerprint, is_cleared: impl Fn(&Crash) -> bool) {
        for crash in self.crashes.values_mut().filter(|crash| is_cleared(crash)) {
            if let Some(loss) = crash.suspects.remove(feature) {
                decrement(&mut self.suspects_by_caller, loss.caller);
                self.suspects -= 1;
            }
            for loss in crash.suspects.values_mut() {
                loss.parts.retain(|part| part != feature);
            }
        }
    }

    fn is_answered_after(&self, feature: &Fingerprint, at_ms: u64) -> bool {
        let answered_ms = self.last_answers.get(feature);
        answered_ms.is_some_and(|answered_ms| *answered_ms > at_ms)
    }

    /// Returns whether a request or a part was answered at or after a time, according to other VMs.
    pub fn is_answered_since(&self, feature: &Fingerprint, from_ms: u64) -> bool {
        let answered_ms = self.last_answers.get(feature);
        answered_ms.is_some_and(|answered_ms| *answered_ms >= from_ms)
    }

    /// Returns when the next crash has settled, if one has not yet.
    pub fn next_settled_ms(&self, now_ms: u64, options: &Options) -> Option<u64> {
        let settle = self.crashes.values();
        let settle = settle.map(|crash| crash.first_report_ms + options.settle_ms);
        settle.filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Returns how many suspect requests are remembered, counted once per crash.
    pub fn suspects(&self) -> usize {
        self.suspects
    }

    /// Returns whether other upstreams crashed at the same time, as those of one rack do.
    pub fn is_in_group(&self, crash: &Crash, options: &Options) -> bool {
        let within = |most_ms: u64| {
            let near = |other: &&Crash| other.at_ms.abs_diff(crash.at_ms) <= most_ms;
            self.crashes.values().filter(near).count()
        };
        within(options.group_ms) >= options.group_upstreams || within(options.pair_ms) >= 2
    }

    fn enforce_limits(&mut self, options: &Options) {
        while self.crashes.len() > options.max_crashes {
            self.remove_oldest();
        }
        while self.suspects > options.max_suspects {
            let most = self
                .suspects_by_caller
                .iter()
                .max_by_key(|(_, count)| **count);
            match most.map(|(caller, _)| *caller) {
                Some(caller) => self.remove_oldest_of_caller(caller),
                None => return,
            }
        }
        let callers_over_limit: Vec<CallerHash> = self
            .suspects_by_caller
            .iter()
            .filter(|(_, count)| **count > options.max_suspects_per_caller)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in callers_over_limit {
            while self.suspects_by_caller.get(&caller).copied()
                > Some(options.max_suspects_per_caller)
            {
                self.remove_oldest_of_caller(caller);
            }
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at_ms);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.remove(&name);
        }
    }

    /// Removes the requests of a caller from the oldest crash that has any.
    fn remove_oldest_of_caller(&mut self, caller: CallerHash) {
        let has = |crash: &Crash| crash.suspects.values().any(|it| it.caller == caller);
        let oldest = self
            .crashes
            .values_mut()
            .filter(|crash| has(crash))
            .min_by_key(|crash| crash.at_ms);
        let Some(crash) = oldest else {
            self.suspects_by_caller.remove(&caller);
            return;
        };
        let before = crash.suspects.len();
        crash.suspects.retain(|_, it| it.caller != caller);
        let removed = before - crash.suspects.len();
        self.suspects -= removed;
        for _ in 0..removed {
            decrement(&mut self.suspects_by_caller, caller);
        }
    }

    fn remove(&mut self, name: &UpstreamName) {
        let Some(crash) = self.crashes.remove(name) else {
            return;
        };
        self.suspects -= crash.suspects.len();
        for loss in crash.suspects.into_values() {
            decrement(&mut self.suspects_by_caller, loss.caller);
        }
    }
}

fn decrement(counts: &mut HashMap<CallerHash, usize>, caller: CallerHash) {
    if let Some(count) = counts.get_mut(&caller) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&caller);
        }
    }
}
