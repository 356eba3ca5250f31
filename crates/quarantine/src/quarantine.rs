//! Decision on which requests and prompt parts are blocked.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::blocks::Block;
use crate::blocks::BlockRow;
use crate::blocks::Blocks;
use crate::blocks::LiftedBlocks;
use crate::cases::CaseEvent;
use crate::cases::CrashCase;
use crate::crashes::Crash;
use crate::crashes::CrashLog;
use crate::features::RequestFeatures;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;
use crate::reports::AnsweredRow;
use crate::reports::CaseRow;
use crate::reports::CrashReport;

/// Maximum number of models and services whose answers are counted.
const MAX_SCOPES: usize = 1_024;

/// Maximum number of crashed upstreams that a block names.
const NAMED_UPSTREAMS: usize = 5;

/// Set of VMs on whose crash reports a decision is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Reports of all VMs, which this VM receives as a judge.
    Fleet,
    /// Reports of this VM alone. Another VM's request may explain the crashes, so that only
    /// [`Options::total_crashes`] or lost trial runs lead to a block.
    LocalVm,
}

/// Case that meets the limits for probation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbationCase {
    /// The request or part, and its crashes.
    pub row: CaseRow,
    /// Time since which a complete answer ends the probation.
    pub since_ms: u64,
    /// Whether it is a part with which only one request was lost. The case of that request tells
    /// all about it.
    pub is_of_one_request: bool,
}

/// Finds requests that crash the upstreams that run them, and prompt parts that do so in each
/// request, and decides until when they are refused.
///
/// All requests in progress at an upstream are lost when it crashes, so that a single crash says
/// little about any of them. A request is blocked in any of these cases:
///
/// - Three upstreams crashed under it, none of them in a group or under another request that
///   explains the crash, and no other request or part there was under two crashes.
/// - The same with four upstreams, and each other request or part there was under fewer crashes.
/// - Five upstreams crashed under it, whatever else explains the crashes.
/// - Two of its trial runs were lost, or one if a part of its prompt is under suspicion.
///
/// A part is under every crash if it is popular, so that crashes alone tell nothing about it. It is
/// blocked if, since a request with it was last answered,
///
/// - three upstreams crashed under it, none of them in a group, under a request or part that
///   explains the crash or under a rarer part on probation, and a trial run was lost of a request
///   that was not lost before and of which nothing else is under suspicion; three such runs if no
///   other request for the same model or service was answered since the first of these crashes; or
/// - at least two such trial runs were lost, in groups, too; or
/// - trial runs with it were lost with six upstreams that no known part, and no rarer one on probation, explains.
///
/// Parts that all lost requests have in common can't be distinguished by their crashes. Then
/// requests with all of these parts are refused, and those with some of them are trial runs. A
/// block ends for each part that is answered.
///
/// A request or part under which less was lost, but more than happens by chance, is on probation:
/// see [`Quarantine::cases`]. A complete answer clears the request and its parts of all earlier
/// crashes.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: Options,
    crashes: CrashLog,
    blocks: Blocks,
    /// Requests, parts and blocks that operators have exempted.
    exempt: HashSet<Fingerprint>,
    /// Last known answer to a request with any part, and that part, for each model and for each
    /// service.
    last_answers: BTreeMap<u64, (u64, Fingerprint)>,
}

impl Quarantine {
    /// Returns a quarantine without any crashes or blocks.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            crashes: CrashLog::default(),
            blocks: Blocks::default(),
            exempt: HashSet::new(),
            last_answers: BTreeMap::new(),
        }
    }

    /// Records a VM's crash report. The same report may be recorded several times.
    pub fn record_crash(&mut self, now_ms: u64, report: &CrashReport) {
        let mut report = report.clone();
        report
            .suspects
            .retain(|it| !self.exempt.contains(&it.fingerprint));
        for suspect in &mut report.suspects {
            suspect
                .parts
                .retain(|it| !self.exempt.contains(&it.fingerprint));
        }
        self.crashes.record(now_ms, &report, &self.options);
    }

    /// Records a block that was received from another VM or read from the store. Returns whether it
    /// is new or longer than the known one.
    pub fn record_block(&mut self, now_ms: u64, row: &BlockRow) -> bool {
        let is_exempt = |it: &Fingerprint| self.exempt.contains(it);
        !is_exempt(&row.fingerprint)
            && !row.features.iter().any(is_exempt)
            && self.blocks.record(now_ms, row, &self.options)
    }

    /// Returns when [`Quarantine::judge`] is due, or `u64::MAX` if it is not.
    pub fn next_ms(&self) -> u64 {
        self.crashes.due_ms.unwrap_or(u64::MAX)
    }

    /// Decides on new blocks once the reports of a crash have arrived, and returns them.
    pub fn judge(&mut self, now_ms: u64, scope: Scope) -> Vec<BlockRow> {
        if now_ms < self.next_ms() {
            return Vec::new();
        }
        // Crashes that have not settled yet are judged later, together with the earlier ones.
        self.crashes.due_ms = None;
        let mut new_blocks = Vec::new();
        while let Some(row) = self.next_block(now_ms, scope) {
            if !self.blocks.record(now_ms, &row, &self.options) {
                break;
            }
            new_blocks.push(row);
        }
        self.crashes.due_ms = self.crashes.next_settled_ms(now_ms, &self.options);
        new_blocks
    }

    /// Returns the block due to which a request is refused, or `None` if it is not.
    pub fn block(&self, now_ms: u64, request: &RequestFeatures) -> Option<BlockRow> {
        match self.exempt.contains(&request.request) {
            true => None,
            false => self.blocks.in_force(now_ms, request),
        }
    }

    /// Returns the blocks in force.
    pub fn rows(&self, now_ms: u64) -> Vec<BlockRow> {
        self.blocks.rows(now_ms)
    }

    /// Returns whether a request is blocked or was blocked recently.
    pub fn knows(&self, request: &RequestFeatures) -> bool {
        self.blocks.matching(request).next().is_some()
    }

    /// Returns whether a request or part is among the features of a block, in force or recent.
    pub fn has_blocked(&self, feature: &Fingerprint) -> bool {
        self.blocks.contains(feature)
    }

    /// Removes the crashes and the blocks of a request or part because it was answered. Returns the
    /// blocks that have changed.
    pub fn clear(&mut self, now_ms: u64, feature: &Fingerprint) -> LiftedBlocks {
        self.crashes
            .record_answered(*feature, now_ms, &self.options);
        self.crashes.clear(feature);
        self.blocks.lift(now_ms, feature)
    }

    /// Records that a request with a part was answered. Returns whether it is the last known answer
    /// for its model or service.
    pub fn record_part_answer(&mut self, answered_ms: u64, part: &Fingerprint) -> bool {
        if self.last_answers.len() >= MAX_SCOPES {
            self.last_answers.clear();
        }
        let last = self.last_answers.entry(part.scope());
        let last = last.or_insert((0, *part));
        let is_last = answered_ms > last.0;
        if is_last {
            *last = (answered_ms, *part);
        }
        is_last
    }

    /// Returns the last known answer to a request for the same model or service as a part.
    pub fn last_answer(&self, now_ms: u64, part: &Fingerprint) -> Option<AnsweredRow> {
        let (answered_ms, fingerprint) = self.last_answers.get(&part.scope())?;
        Some(AnsweredRow {
            fingerprint: *fingerprint,
            ago_ms: now_ms.saturating_sub(*answered_ms),
        })
    }

    /// Records an answer that another VM has seen. It clears the request or part of crashes before.
    /// Returns whether it is later than the known one.
    pub fn record_answered(&mut self, now_ms: u64, row: &AnsweredRow) -> bool {
        let answered_ms = now_ms.saturating_sub(row.ago_ms);
        let is_later = self
            .crashes
            .record_answered(row.fingerprint, answered_ms, &self.options);
        if self.record_part_answer(answered_ms, &row.fingerprint) {
            // The answer may tell against a part that is under suspicion.
            self.crashes.due_ms = Some(self.crashes.due_ms.unwrap_or(now_ms).min(now_ms));
        }
        is_later
    }

    /// Replaces the set of exempt requests, parts and blocks, and removes their crashes and blocks.
    pub fn exempt(&mut self, fingerprints: HashSet<Fingerprint>) {
        for fingerprint in &fingerprints {
            self.blocks.lift(u64::MAX, fingerprint);
            self.crashes.clear(fingerprint);
        }
        self.exempt = fingerprints;
    }

    /// Removes crashes and blocks that are too old. Returns the identities of the removed blocks.
    pub fn forget(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let from_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        self.crashes.forget_before(from_ms);
        self.blocks.forget(now_ms, &self.options)
    }

    /// Returns the features of blocks that have ended recently and that a request matches. It may be
    /// sent again, as a trial run.
    pub fn features_after_block(&self, now_ms: u64, request: &RequestFeatures) -> Vec<Fingerprint> {
        let blocks = self.blocks.matching(request);
        let ended = blocks.filter(|block| block.until_ms <= now_ms);
        ended.flat_map(|block| block.features.clone()).collect()
    }

    /// Returns the cases of requests and parts that meet the limits for probation and were not
    /// blocked recently.
    pub fn cases(&self, now_ms: u64) -> Vec<ProbationCase> {
        let cases = self.crashes.cases(|_| true, &self.options, &self.blocks);
        let requests: HashSet<Fingerprint> = cases
            .iter()
            .filter(|case| !case.is_part)
            .map(|case| case.feature)
            .collect();
        cases
            .iter()
            .filter(|case| !self.blocks.covers(&[case.feature]))
            .filter_map(|case| {
                let since_ms = case.probation_since_ms(&self.options)?;
                let mut common = case.common.iter();
                Some(ProbationCase {
                    row: case.row(now_ms),
                    since_ms,
                    is_of_one_request: case.is_part && common.any(|it| requests.contains(it)),
                })
            })
            .collect()
    }

    /// Returns the parts whose crashes are all explained by requests or parts that are blocked, or
    /// were recently.
    pub fn explained_parts(&self) -> Vec<Fingerprint> {
        let cases = self.crashes.cases(|_| true, &self.options, &self.blocks);
        cases
            .into_iter()
            .filter(|case| case.is_part && case.crashes.iter().all(|it| it.is_explained))
            .map(|case| case.feature)
            .collect()
    }

    /// Returns a number that grows with each report that adds to a crash.
    pub fn changes(&self) -> u64 {
        self.crashes.changes
    }

    /// Returns how many suspect requests are remembered, counted once per crash.
    pub fn suspects(&self) -> usize {
        self.crashes.suspects()
    }

    /// Returns the next block that the settled crashes lead to.
    fn next_block(&self, now_ms: u64, scope: Scope) -> Option<BlockRow> {
        let is_settled = |crash: &Crash| crash.first_report_ms + self.options.settle_ms <= now_ms;
        let cases = self.crashes.cases(is_settled, &self.options, &self.blocks);
        if let Some(block) = self
            .blocks
            .ended(now_ms)
            .find(|it| self.is_confirmed(it, is_settled))
        {
            return Some(self.new_block(block.features.clone(), block.caller, &cases));
        }
        let suspect_parts: HashSet<Fingerprint> = cases
            .iter()
            .filter(|case| case.is_part && case.probation_since_ms(&self.options).is_some())
            .map(|case| case.feature)
            .collect();
        let counts: HashMap<Fingerprint, usize> = cases
            .iter()
            .map(|case| (case.feature, case.crashes.len()))
            .collect();
        let requests: HashSet<Fingerprint> = cases
            .iter()
            .filter(|case| !case.is_part)
            .map(|case| case.feature)
            .collect();
        let (case, features) = cases
            .iter()
            .map(|case| (case, case.blocked_features(&requests)))
            .filter(|(_, features)| !features.is_empty() && !self.blocks.covers(features))
            .find(|(case, _)| match case.is_part {
                true => self.should_block_part(case, &cases),
                false => self.should_block(case, scope, &counts, &suspect_parts),
            })?;
        Some(self.new_block(features, case.caller, &cases))
    }

    /// Returns whether an upstream crashed under a block's request after the block had ended. One
    /// such crash is enough, unless the request was answered.
    fn is_confirmed(&self, block: &Block, is_settled: impl Fn(&Crash) -> bool) -> bool {
        let is_answered = |it: &Fingerprint| self.crashes.is_answered_since(it, block.until_ms);
        let crashes = self.crashes.crashes.values();
        let mut crashes = crashes
            .filter(|crash| crash.at_ms >= block.until_ms && is_settled(crash))
            .filter(|crash| !self.crashes.is_in_group(crash, &self.options));
        !block.features.iter().any(is_answered)
            && crashes.any(|crash| {
                let requests = crash.suspects.iter().map(|(it, loss)| loss.features(*it));
                let (own, others): (Vec<_>, Vec<_>) = requests.partition(|it| block.matches(it));
                !own.is_empty() && !others.iter().any(|it| self.knows(it))
            })
    }

    fn should_block(
        &self,
        case: &CrashCase,
        scope: Scope,
        crash_counts: &HashMap<Fingerprint, usize>,
        suspect_parts: &HashSet<Fingerprint>,
    ) -> bool {
        let unexplained = case.unexplained().count();
        let beside = || self.crashes.max_beside(case, crash_counts);
        let options = &self.options;
        match scope {
            _ if case.trials() >= options.lost_trials => true,
            // The request or the part is the cause. If it is the part, the request must not crash
            // another upstream.
            _ if case.trials() > 0 && case.common.iter().any(|it| suspect_parts.contains(it)) => {
                true
            }
            _ if case.crashes.len() >= options.total_crashes => true,
            Scope::LocalVm => false,
            Scope::Fleet if unexplained < options.unexplained_crashes => false,
            // Another request that was in progress at two of the three crashes may be in progress
            // at a third one later. One more crash distinguishes the two requests.
            Scope::Fleet if unexplained == options.unexplained_crashes => {
                beside() + 1 < unexplained
            }
            Scope::Fleet => beside() < unexplained,
        }
    }

    fn should_block_part(&self, case: &CrashCase, cases: &[CrashCase]) -> bool {
        let options = &self.options;
        let first_ms = case.crashes.first().map_or(0, |crash| crash.at_ms);
        // While nothing else is answered, the lack of answers tells nothing about the part.
        let last = self.last_answers.get(&case.feature.scope());
        let needed = match last.is_some_and(|(answered_ms, _)| *answered_ms > first_ms) {
            true => 1,
            false => options.indecisive_trials,
        };
        let distinct = case.distinct_trials;
        if distinct >= needed && distinct >= options.lost_trials {
            return true;
        }
        let telling: Vec<&CaseEvent> = case.telling_crashes(cases, options).collect();
        let unexplained = telling.iter().filter(|crash| crash.is_unexplained());
        let trials = telling.iter().filter(|crash| crash.unmatched_trials > 0);
        distinct >= needed && unexplained.count() >= options.unexplained_crashes
            || trials.count() >= options.ambiguous_trials
    }

    fn new_block(
        &self,
        mut features: Vec<Fingerprint>,
        caller: CallerHash,
        cases: &[CrashCase],
    ) -> BlockRow {
        features.sort_unstable();
        let times = self.blocks.times(&features) + 1;
        let crashes = cases.iter().find(|case| case.feature == features[0]);
        let crashes = crashes.map_or(&[][..], |case| &case.crashes);
        let last = crashes.iter().rev().take(NAMED_UPSTREAMS);
        BlockRow {
            fingerprint: Fingerprint::of_all(&features),
            features,
            caller,
            times,
            left_ms: Block::length_ms(times, &self.options),
            upstreams: last.map(|crash| crash.upstream.clone()).collect(),
        }
    }
}
