//! Decision on which requests are blocked.

use std::collections::HashSet;

use crate::blocks::Block;
use crate::blocks::BlockRow;
use crate::blocks::Blocks;
use crate::crashes::CaseRow;
use crate::crashes::CrashCase;
use crate::crashes::CrashLog;
use crate::crashes::CrashReport;
use crate::fingerprint::Fingerprint;
use crate::options::Options;

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

/// Finds requests that crash the upstreams that run them, and decides until when they are refused.
///
/// All requests in progress at an upstream are lost when it crashes, so that a single crash says
/// little about any of them. A request is blocked in any of these cases:
///
/// - Three upstreams crashed under it, none of them in a group or under another request that
///   explains the crash, and no other request there was under two crashes.
/// - The same with four upstreams, and each other request there was under fewer crashes.
/// - Five upstreams crashed under it, whatever else explains the crashes.
/// - Two of its trial runs were lost.
///
/// A request under which less was lost, but more than happens by chance, is on probation: see
/// [`Quarantine::cases`]. An answered run clears a request of all earlier crashes.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: Options,
    crashes: CrashLog,
    blocks: Blocks,
    /// Requests that operators have exempted from blocks.
    exempt: HashSet<Fingerprint>,
}

impl Quarantine {
    /// Returns a quarantine without any crashes or blocks.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            crashes: CrashLog::default(),
            blocks: Blocks::default(),
            exempt: HashSet::new(),
        }
    }

    /// Records a VM's crash report. The same report may be recorded several times.
    pub fn record_crash(&mut self, now_ms: u64, report: &CrashReport) {
        let mut report = report.clone();
        report
            .suspects
            .retain(|it| !self.exempt.contains(&it.fingerprint));
        self.crashes.record(now_ms, &report, &self.options);
    }

    /// Records a block that was received from another VM or read from the store. Returns whether it
    /// is new or longer than the known one.
    pub fn record_block(&mut self, now_ms: u64, row: &BlockRow) -> bool {
        !self.exempt.contains(&row.fingerprint) && self.blocks.record(now_ms, row, &self.options)
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
        while let Some(case) = self.next_case_to_block(now_ms, scope) {
            let row = self.new_block(&case);
            self.blocks.record(now_ms, &row, &self.options);
            new_blocks.push(row);
        }
        self.crashes.due_ms = self.crashes.next_settled_ms(now_ms, &self.options);
        new_blocks
    }

    /// Returns for how long a request is still refused, or `None` if it is not blocked.
    pub fn blocked_ms(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let block = self.blocks.in_force(now_ms, fingerprint)?;
        Some(block.until_ms - now_ms)
    }

    /// Returns the blocks in force.
    pub fn rows(&self, now_ms: u64) -> Vec<BlockRow> {
        self.blocks.rows(now_ms)
    }

    /// Returns whether a request is blocked or was blocked recently.
    pub fn knows(&self, fingerprint: &Fingerprint) -> bool {
        self.blocks.get(fingerprint).is_some()
    }

    /// Removes the crashes and the block of a request because it was answered. Returns whether
    /// there was a block, in force or recent.
    pub fn clear(&mut self, fingerprint: &Fingerprint) -> bool {
        self.crashes.clear(fingerprint);
        self.blocks.remove(fingerprint)
    }

    /// Replaces the set of exempt requests, and removes their crashes and blocks.
    pub fn exempt(&mut self, fingerprints: HashSet<Fingerprint>) {
        for fingerprint in &fingerprints {
            self.blocks.remove(fingerprint);
            self.crashes.clear(fingerprint);
        }
        self.exempt = fingerprints;
    }

    /// Removes crashes and blocks that are too old. Returns the requests whose blocks were removed.
    pub fn forget(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let from_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        self.crashes.forget_before(from_ms);
        self.blocks.forget(now_ms, &self.options)
    }

    /// Returns whether a request was blocked recently and its block has ended, so that it may be
    /// sent again.
    pub fn is_after_block(&self, now_ms: u64, fingerprint: &Fingerprint) -> bool {
        let block = self.blocks.get(fingerprint);
        block.is_some_and(|block| block.until_ms <= now_ms)
    }

    /// Returns the crash cases of requests that meet the limits for probation and were not blocked
    /// recently.
    pub fn cases(&self, now_ms: u64) -> Vec<CaseRow> {
        let mut rows = self.crashes.rows(now_ms, &self.options);
        rows.retain(|row| self.blocks.get(&row.fingerprint).is_none());
        rows
    }

    /// Returns a number that grows with each report that adds to a crash.
    pub fn changes(&self) -> u64 {
        self.crashes.changes
    }

    /// Returns how many suspect requests are remembered, counted once per crash.
    pub fn suspects(&self) -> usize {
        self.crashes.suspects()
    }

    fn next_case_to_block(&self, now_ms: u64, scope: Scope) -> Option<CrashCase> {
        let explains_crash = |it: &Fingerprint| self.blocks.get(it).is_some();
        let cases = self.crashes.cases(now_ms, &self.options, explains_crash);
        cases
            .into_iter()
            .filter(|case| self.blocks.in_force(now_ms, &case.fingerprint).is_none())
            .find(|case| self.should_block(case, scope))
    }

    fn should_block(&self, case: &CrashCase, scope: Scope) -> bool {
        // After a block has ended, one more crash is enough, unless the request was answered.
        if let Some(block) = self.blocks.get(&case.fingerprint)
            && !self
                .crashes
                .is_answered_since(&case.fingerprint, block.until_ms)
        {
            return case.unexplained().any(|it| it.at_ms >= block.until_ms);
        }
        let unexplained = case.unexplained().count();
        match scope {
            _ if case.trials() >= self.options.lost_trials => true,
            _ if case.crashes.len() >= self.options.total_crashes => true,
            Scope::LocalVm => false,
            Scope::Fleet if unexplained < self.options.unexplained_crashes => false,
            // Another request that was in progress at two of the three crashes may be in progress
            // at a third one later. One more crash distinguishes the two requests.
            Scope::Fleet if unexplained == self.options.unexplained_crashes => {
                self.crashes.max_beside(case) + 1 < unexplained
            }
            Scope::Fleet => self.crashes.max_beside(case) < unexplained,
        }
    }

    fn new_block(&self, case: &CrashCase) -> BlockRow {
        let previous = self.blocks.get(&case.fingerprint);
        let times = previous.map_or(0, |block| block.times) + 1;
        let last = case.crashes.iter().rev().take(NAMED_UPSTREAMS);
        BlockRow {
            fingerprint: case.fingerprint,
            caller: case.caller,
            times,
            left_ms: Block::length_ms(times, &self.options),
            upstreams: last.map(|crash| crash.upstream.clone()).collect(),
        }
    }
}
