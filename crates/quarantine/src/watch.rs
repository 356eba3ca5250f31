//! What one VM does about crashes: what it asks, tells and refuses, and when.

use std::collections::VecDeque;

use apricotdale_core::names::UpstreamName;

use crate::answered::AnsweredLately;
use crate::blocks::BlockRow;
use crate::broken::BrokenUpstreams;
use crate::broken::Recheck;
use crate::crashes::CaseRow;
use crate::crashes::CrashReport;
use crate::crashes::Suspect;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;
use crate::quarantine::Quarantine;
use crate::quarantine::Scope;

/// When a report is told after it is due first, since a datagram may be lost.
const TELL_AGAIN_MS: [u64; 2] = [300, 1_000];

/// How long the requests lost with an upstream are gathered before they are told.
const GATHER_MS: u64 = 5;

/// How long this VM's own reports are kept for judges that start again.
const OWN_REPORTS_MS: u64 = 600_000;

/// Own reports that are kept.
const OWN_REPORTS: usize = 64;

/// Suspects in one report.
const SUSPECTS_A_REPORT: usize = 10;

/// When a block is told again by the VM that found it.
const BLOCK_AGAIN_MS: [u64; 2] = [300, 1_500];

/// The time between two tellings of the blocks in force by the giver of orders.
const BLOCKS_EVERY_MS: u64 = 5_000;

/// Blocks that it tells at a time.
const BLOCKS_AT_A_TIME: usize = 10;

/// The time between two looks for what is too old.
const FORGET_EVERY_MS: u64 = 1_000;

/// Requests of which this VM remembers that they were answered.
const ANSWERED: usize = 2_048;

/// `Role` is what a VM is to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// Whether the others tell it what they had in progress at upstreams that crashed.
    pub is_judge: bool,
    /// Whether it gives orders, and repeats the blocks for all.
    pub is_giver: bool,
}

/// `Due` is what is to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Upstreams to ask whether they are still there.
    pub rechecks: Vec<Recheck>,
    /// What the judges are to be told.
    pub reports: Vec<CrashReport>,
    /// What all VMs are to be told.
    pub blocks: Vec<BlockRow>,
    /// Blocks that begin, found by this VM.
    pub begun: Vec<BlockRow>,
    /// Requests whose blocks are over and forgotten.
    pub ended: Vec<Fingerprint>,
}

/// What this VM had in progress at an upstream that crashed.
#[derive(Clone, Debug)]
struct OwnReport {
    upstream: UpstreamName,
    at_ms: u64,
    suspects: Vec<Suspect>,
    told: usize,
    tell_ms: u64,
}

impl OwnReport {
    /// Returns reports that each fit into a datagram with some others.
    fn parts(&self, now_ms: u64) -> impl Iterator<Item = CrashReport> {
        self.suspects
            .chunks(SUSPECTS_A_REPORT)
            .map(move |suspects| CrashReport {
                upstream: self.upstream.clone(),
                ago_ms: now_ms.saturating_sub(self.at_ms),
                suspects: suspects.to_vec(),
            })
    }
}

/// `CrashWatch` decides for one VM. It tells states and not changes, some times over, and the same
/// may come several times, so that nothing waits for an answer.
#[derive(Clone, Debug)]
pub struct CrashWatch {
    quarantine: Quarantine,
    answered: AnsweredLately,
    broken: BrokenUpstreams,
    own: VecDeque<OwnReport>,
    /// Blocks that this VM found, and when it tells them again.
    telling: Vec<(u64, Vec<BlockRow>)>,
    next_rows_ms: u64,
    next_row: usize,
    next_forget_ms: u64,
}

impl CrashWatch {
    /// Returns a watch that knows nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            quarantine: Quarantine::new(options),
            answered: AnsweredLately::new(ANSWERED),
            broken: BrokenUpstreams::default(),
            own: VecDeque::new(),
            telling: Vec::new(),
            next_rows_ms: 0,
            next_row: 0,
            next_forget_ms: 0,
        }
    }

    /// Takes in which requests the operators let pass.
    pub fn exempt(&mut self, fingerprints: &[Fingerprint]) {
        self.quarantine
            .exempt(fingerprints.iter().copied().collect());
    }

    /// Returns how much longer a request is refused, if it is.
    pub fn blocked_ms(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<u64> {
        self.quarantine.blocked_ms(now_ms, fingerprint)
    }

    /// Returns whether a request is or lately was blocked.
    pub fn knows(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.knows(fingerprint)
    }

    /// Notes a request that was answered. Returns whether it was blocked or lately had been, and
    /// the other VMs are to be told.
    pub fn note_answered(&mut self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        self.answered.note(now_ms, fingerprint);
        self.knows(&fingerprint) && self.take_cleared(&fingerprint)
    }

    /// Takes in that a request was answered at another VM. Returns whether that is news.
    pub fn take_cleared(&mut self, fingerprint: &Fingerprint) -> bool {
        for (_, rows) in &mut self.telling {
            rows.retain(|row| row.fingerprint != *fingerprint);
        }
        self.quarantine.clear(fingerprint)
    }

    /// Notes a request that was lost because an upstream broke its connection.
    pub fn note_lost(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        is_engine: bool,
        fingerprint: Fingerprint,
        caller: CallerHash,
    ) {
        let suspect = Suspect {
            fingerprint,
            caller,
            served_ago_ms: self.answered.ago_ms(now_ms, &fingerprint),
        };
        let mut own = self.own.iter_mut();
        match own.find(|report| report.upstream == *upstream) {
            Some(report) if report.suspects.contains(&suspect) => {}
            Some(report) => {
                report.suspects.push(suspect);
                report.told = 0;
                report.tell_ms = now_ms + GATHER_MS;
            }
            None => self.broken.note(now_ms, upstream, is_engine, suspect),
        }
    }

    /// Takes in that an upstream answered after it broke a connection.
    pub fn note_alive(&mut self, upstream: &UpstreamName) {
        self.broken.take(upstream);
    }

    /// Takes in that an upstream neither answered nor refused the connection.
    pub fn note_unanswered(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.broken.unanswered(now_ms, upstream);
    }

    /// Takes in that an upstream has ended. Returns the requests that were lost with it; none where
    /// no connection had broken shortly before, and it was no crash.
    pub fn note_ended(&mut self, now_ms: u64, upstream: &UpstreamName) -> Option<Vec<Fingerprint>> {
        let broken = self.broken.take(upstream)?;
        let fingerprints = broken.suspects.iter().map(|it| it.fingerprint).collect();
        self.own.push_back(OwnReport {
            upstream: upstream.clone(),
            at_ms: broken.since_ms,
            suspects: broken.suspects,
            told: 0,
            tell_ms: now_ms + GATHER_MS,
        });
        if self.own.len() > OWN_REPORTS {
            self.own.pop_front();
        }
        Some(fingerprints)
    }

    /// Takes in what another VM had in progress at upstreams that crashed.
    pub fn take_reports(&mut self, now_ms: u64, reports: &[CrashReport]) {
        for report in reports {
            self.quarantine.note_crash(now_ms, report);
        }
    }

    /// Takes in a block that another VM tells or the store keeps. Returns whether it is news.
    pub fn take_block(&mut self, now_ms: u64, row: &BlockRow) -> bool {
        self.quarantine.note_block(now_ms, row)
    }

    /// Returns the blocks in force.
    pub fn blocks(&self, now_ms: u64) -> Vec<BlockRow> {
        self.quarantine.rows(now_ms)
    }

    /// Returns the requests under which several upstreams crashed and that are not blocked.
    pub fn cases(&self, now_ms: u64) -> Vec<CaseRow> {
        self.quarantine.cases(now_ms)
    }

    /// Returns a number that grows with each crash that is heard of.
    pub fn changes(&self) -> u64 {
        self.quarantine.changes()
    }

    /// Returns what this VM had in progress at upstreams that crashed, for a judge that starts.
    pub fn own_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        self.own.iter().flat_map(|it| it.parts(now_ms)).collect()
    }

    /// Returns how many requests are remembered under crashes, counted once for each crash.
    pub fn suspects(&self) -> usize {
        self.quarantine.suspects()
    }

    /// Returns when something is due. What is only repeated or forgotten is left to the next look
    /// at any time.
    pub fn next_ms(&self) -> u64 {
        let reports = self.own.iter().map(|report| report.tell_ms);
        let tellings = self.telling.iter().map(|(at_ms, _)| *at_ms);
        let first = reports.chain(tellings).min().unwrap_or(u64::MAX);
        first
            .min(self.quarantine.next_ms())
            .min(self.broken.next_ms())
    }

    /// Returns whether [`CrashWatch::due`] may return anything.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_forget_ms || now_ms >= self.next_ms()
    }

    /// Returns what is due.
    pub fn due(&mut self, now_ms: u64, role: Role) -> Due {
        let mut due = Due {
            rechecks: self.broken.due(now_ms),
            reports: self.due_reports(now_ms),
            ..Due::default()
        };
        let scope = match role.is_judge {
            true => Scope::Fleet,
            false => Scope::OwnRequests,
        };
        due.begun = self.quarantine.judge(now_ms, scope);
        due.blocks.extend(due.begun.iter().cloned());
        if !due.begun.is_empty() {
            let again = BLOCK_AGAIN_MS.map(|after_ms| (now_ms + after_ms, due.begun.clone()));
            self.telling.extend(again);
        }
        let tellings = self.telling.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.blocks.extend(tellings.flat_map(|(_, rows)| rows));
        if role.is_giver && now_ms >= self.next_rows_ms {
            self.next_rows_ms = now_ms + BLOCKS_EVERY_MS;
            due.blocks.extend(self.next_rows(now_ms));
        }
        if now_ms >= self.next_forget_ms {
            self.next_forget_ms = now_ms + FORGET_EVERY_MS;
            due.ended = self.forget(now_ms);
        }
        due
    }

    fn due_reports(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let mut parts = Vec::new();
        for report in self.own.iter_mut().filter(|it| it.tell_ms <= now_ms) {
            parts.extend(report.parts(now_ms));
            let again_ms = TELL_AGAIN_MS.get(report.told);
            report.tell_ms = again_ms.map_or(u64::MAX, |again_ms| now_ms + again_ms);
            report.told += 1;
        }
        for part in &parts {
            self.quarantine.note_crash(now_ms, part);
        }
        parts
    }

    /// Returns some of the blocks in force, others each time.
    fn next_rows(&mut self, now_ms: u64) -> Vec<BlockRow> {
        let rows = self.quarantine.rows(now_ms);
        let first = match rows.len() {
            0 => return rows,
            count => self.next_row % count,
        };
        self.next_row = first + BLOCKS_AT_A_TIME;
        rows.into_iter()
            .skip(first)
            .take(BLOCKS_AT_A_TIME)
            .collect()
    }

    fn forget(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        self.broken.forget(now_ms);
        self.own.retain(|it| now_ms < it.at_ms + OWN_REPORTS_MS);
        self.quarantine.forget(now_ms)
    }
}
