//! Crashes of upstreams, and the requests that were in progress there.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;

/// Reporter of the crashes that were read from the store.
const STORE_REPORTER: u64 = 0;

/// Suspect request: it was in progress at an upstream that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request, for the limits per caller.
    pub caller: CallerHash,
    /// Time from the last answer to the same request that a VM saw until the crash, or `None` if it
    /// saw none.
    pub answered_ago_ms: Option<u64>,
    /// Number of its copies that were in progress there.
    pub copies: u32,
    /// Number of these copies that were trial runs.
    pub trials: u32,
}

impl Suspect {
    /// Returns a suspect with one copy that was no trial run, and without an earlier answer.
    pub fn new(fingerprint: Fingerprint, caller: CallerHash) -> Self {
        Self {
            fingerprint,
            caller,
            answered_ago_ms: None,
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

/// Crash case: a request and the crashes under it, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseRow {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request.
    pub caller: CallerHash,
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
    /// Number of copies of the request that were lost.
    pub copies: u32,
    /// Number of these copies that were trial runs.
    pub trials: u32,
}

impl CaseRow {
    /// Returns the case as crash reports, `later_ms` after it was read.
    pub fn reports(&self, later_ms: u64) -> Vec<CrashReport> {
        let crashes = self.crashes.iter();
        crashes
            .map(|crash| CrashReport {
                upstream: crash.upstream.clone(),
                ago_ms: crash.ago_ms + later_ms,
                reporter: STORE_REPORTER,
                suspects: vec![Suspect {
                    copies: crash.copies,
                    trials: crash.trials,
                    ..Suspect::new(self.fingerprint, self.caller)
                }],
            })
            .collect()
    }

    /// Returns the number of copies that were lost in all crashes.
    pub fn copies(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.copies).sum()
    }
}

/// Copies of one request that were lost with one upstream.
#[derive(Clone, Debug)]
struct LostCopies {
    caller: CallerHash,
    /// Numbers of copies by reporter.
    reported: BTreeMap<u64, Copies>,
}

/// Number of lost copies, and of the trial runs among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Copies {
    all: u32,
    trials: u32,
}

impl LostCopies {
    /// Returns the number of lost copies over all reporters. The store's number may include what
    /// VMs report, too, so that the larger one counts.
    fn copies(&self) -> Copies {
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
struct Crash {
    at_ms: u64,
    /// Time of its first report.
    first_report_ms: u64,
    suspects: BTreeMap<Fingerprint, LostCopies>,
}

/// Crashes of the last minutes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    crashes: BTreeMap<UpstreamName, Crash>,
    suspects_by_caller: HashMap<CallerHash, usize>,
    suspects: usize,
    /// Times at which suspect requests were last answered.
    last_answers: HashMap<Fingerprint, u64>,
    /// Time at which the requests under a crash are to be judged next.
    pub due_ms: Option<u64>,
    /// Grows with each report that adds to a crash.
    pub changes: u64,
}

/// Crash that is held against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuspectCrash {
    pub upstream: UpstreamName,
    pub at_ms: u64,
    /// Whether the upstream crashed outside a group, and under no other request that is known to
    /// crash upstreams.
    pub is_unexplained: bool,
    /// Number of trial runs of the request that were lost.
    pub trials: u32,
}

/// All crashes that are held against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashCase {
    pub fingerprint: Fingerprint,
    pub caller: CallerHash,
    /// Crashes under it in order of time.
    pub crashes: Vec<SuspectCrash>,
}

impl CrashCase {
    /// Returns the crashes without another explanation.
    pub fn unexplained(&self) -> impl Iterator<Item = &SuspectCrash> {
        self.crashes.iter().filter(|crash| crash.is_unexplained)
    }

    /// Returns the number of trial runs of the request that were lost.
    pub fn trials(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.trials).sum()
    }
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
            let answered_ms = suspect
                .answered_ago_ms
                .map(|ago_ms| at_ms.saturating_sub(ago_ms));
            if let Some(answered_ms) = answered_ms {
                self.record_answered(suspect.fingerprint, answered_ms, options);
            }
            let answered_ms = self.last_answers.get(&suspect.fingerprint);
            if answered_ms.is_none_or(|answered_ms| *answered_ms <= at_ms) {
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
        let loss = crash
            .suspects
            .entry(suspect.fingerprint)
            .or_insert_with(|| {
                *self.suspects_by_caller.entry(suspect.caller).or_default() += 1;
                self.suspects += 1;
                LostCopies {
                    caller: suspect.caller,
                    reported: BTreeMap::new(),
                }
            });
        let before = loss.copies();
        let reported = loss.reported.entry(reporter).or_default();
        reported.all = suspect.copies.max(reported.all);
        reported.trials = suspect.trials.max(reported.trials);
        before != loss.copies()
    }

    /// Records that a request was answered, which clears it of earlier crashes.
    fn record_answered(&mut self, fingerprint: Fingerprint, answered_ms: u64, options: &Options) {
        if self.last_answers.len() >= options.max_answered {
            let oldest = self.last_answers.iter().min_by_key(|(_, at_ms)| **at_ms);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|oldest| self.last_answers.remove(&oldest));
        }
        let known_ms = self.last_answers.entry(fingerprint).or_insert(answered_ms);
        *known_ms = answered_ms.max(*known_ms);
        let answered_ms = *known_ms;
        self.clear_if(&fingerprint, |crash| crash.at_ms < answered_ms);
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

    /// Removes a request from all crashes.
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        self.clear_if(fingerprint, |_| true);
    }

    fn clear_if(&mut self, fingerprint: &Fingerprint, is_cleared: impl Fn(&Crash) -> bool) {
        for crash in self.crashes.values_mut().filter(|crash| is_cleared(crash)) {
            if let Some(loss) = crash.suspects.remove(fingerprint) {
                decrement(&mut self.suspects_by_caller, loss.caller);
                self.suspects -= 1;
            }
        }
    }

    /// Returns whether a request was answered at or after a time, according to crash reports.
    pub fn is_answered_since(&self, fingerprint: &Fingerprint, from_ms: u64) -> bool {
        let answered_ms = self.last_answers.get(fingerprint);
        answered_ms.is_some_and(|answered_ms| *answered_ms >= from_ms)
    }

    /// Returns the crash cases that meet the limits for probation.
    pub fn rows(&self, now_ms: u64, options: &Options) -> Vec<CaseRow> {
        let mut rows: BTreeMap<Fingerprint, CaseRow> = BTreeMap::new();
        for (upstream, crash) in &self.crashes {
            for (fingerprint, loss) in &crash.suspects {
                let row = rows.entry(*fingerprint).or_insert_with(|| CaseRow {
                    fingerprint: *fingerprint,
                    caller: loss.caller,
                    crashes: Vec::new(),
                });
                row.crashes.push(CaseCrash {
                    upstream: upstream.clone(),
                    ago_ms: now_ms.saturating_sub(crash.at_ms),
                    copies: loss.copies().all,
                    trials: loss.copies().trials,
                });
            }
        }
        let is_case = |row: &CaseRow| {
            row.crashes.len() >= options.probation_crashes
                || row.copies() >= options.probation_copies
        };
        rows.into_values().filter(is_case).collect()
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

    /// Returns the case of each request under a crash that has settled, the one with most crashes
    /// first. Requests that are `is_known_crasher` explain the crashes under them.
    pub fn cases(
        &self,
        now_ms: u64,
        options: &Options,
        is_known_crasher: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<CrashCase> {
        let settled: Vec<(&UpstreamName, &Crash)> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.first_report_ms + options.settle_ms <= now_ms)
            .collect();
        let mut cases: HashMap<Fingerprint, CrashCase> = HashMap::new();
        for (name, crash) in &settled {
            let is_in_group = self.is_in_group(crash, options);
            for (suspect, loss) in &crash.suspects {
                let case = cases.entry(*suspect).or_insert_with(|| CrashCase {
                    fingerprint: *suspect,
                    caller: loss.caller,
                    crashes: Vec::new(),
                });
                let mut others = crash.suspects.keys().filter(|other| *other != suspect);
                case.crashes.push(SuspectCrash {
                    upstream: (*name).clone(),
                    at_ms: crash.at_ms,
                    is_unexplained: !is_in_group && !others.any(&is_known_crasher),
                    trials: loss.copies().trials,
                });
            }
        }
        let mut cases: Vec<CrashCase> = cases.into_values().collect();
        for case in &mut cases {
            case.crashes.sort_by_key(|crash| crash.at_ms);
        }
        cases.sort_by_key(|case| {
            let counts = (case.unexplained().count(), case.crashes.len());
            (Reverse(counts), case.fingerprint)
        });
        cases
    }

    /// Returns the largest number of crashes of any other request that was at one of the case's
    /// unexplained crashes.
    pub fn max_beside(&self, case: &CrashCase) -> usize {
        let crashes = case.unexplained();
        let crashes = crashes.filter_map(|crash| self.crashes.get(&crash.upstream));
        let beside: BTreeSet<&Fingerprint> = crashes
            .flat_map(|crash| crash.suspects.keys())
            .filter(|it| **it != case.fingerprint)
            .collect();
        let mut most = 0;
        for other in beside {
            let crashes = self.crashes.values();
            let crashes = crashes.filter(|crash| crash.suspects.contains_key(other));
            most = most.max(crashes.count());
        }
        most
    }

    /// Returns whether other upstreams crashed at the same time, as those of one rack do.
    fn is_in_group(&self, crash: &Crash, options: &Options) -> bool {
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
