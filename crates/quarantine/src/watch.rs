//! What one VM does about crashes: what it asks, tells and refuses, and when.

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
use crate::own_reports::OwnReports;
use crate::probation::Probations;
use crate::quarantine::Quarantine;
use crate::quarantine::Scope;
use crate::trials::Permit;
use crate::trials::Referee;
use crate::trials::TrialAnswer;
use crate::trials::TrialAsk;
use crate::trials::TrialDesk;
use crate::trials::TrialEnd;

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Role {
    /// Its place among the judges, whom the others tell what they had in progress at upstreams that
    /// crashed; none if it is no judge.
    pub judge: Option<usize>,
    /// How many judges there are.
    pub judges: usize,
    /// How many VMs there are.
    pub vms: usize,
    /// Whether it gives orders, and repeats the blocks for all.
    pub is_giver: bool,
}

/// `LostRequest` is a request that was lost because an upstream broke its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whose it is.
    pub caller: CallerHash,
    /// Whether it was sent as a trial.
    pub is_trial: bool,
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
    /// Requests on probation that all VMs are to be told.
    pub probations: Vec<Fingerprint>,
    /// What the judge is to be asked that decides on trials.
    pub asks: Vec<TrialAsk>,
    /// Trials that are over, for that judge.
    pub trial_ends: Vec<TrialEnd>,
    /// The place of that judge.
    pub asked_judge: usize,
    /// Whether requests that were held back are to be looked at again.
    pub may_continue: bool,
}

/// `CrashWatch` decides for one VM. It tells states and not changes, some times over, and the same
/// may come several times, so that nothing waits for an answer.
#[derive(Clone, Debug)]
pub struct CrashWatch {
    /// The run of this VM.
    run: u64,
    quarantine: Quarantine,
    probations: Probations,
    /// What had been heard of crashes when requests were last put on probation.
    seen_changes: u64,
    trials: TrialDesk,
    referee: Referee,
    answered: AnsweredLately,
    broken: BrokenUpstreams,
    own: OwnReports,
    /// Blocks that this VM found, and when it tells them again.
    telling: Vec<(u64, Vec<BlockRow>)>,
    next_rows_ms: u64,
    next_row: usize,
    next_forget_ms: u64,
}

impl CrashWatch {
    /// Returns the watch of a run of a VM, which knows nothing yet.
    pub fn new(run: u64, options: Options) -> Self {
        Self {
            run,
            probations: Probations::default(),
            seen_changes: 0,
            trials: TrialDesk::default(),
            referee: Referee::default(),
            quarantine: Quarantine::new(options),
            answered: AnsweredLately::new(ANSWERED),
            broken: BrokenUpstreams::default(),
            own: OwnReports::new(run),
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

    /// Returns whether a request is on probation, or is or lately was blocked.
    pub fn knows(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.knows(fingerprint) || self.probations.contains(fingerprint)
    }

    fn is_on_probation(&self, now_ms: u64, fingerprint: &Fingerprint) -> bool {
        self.probations.contains(fingerprint) || self.quarantine.is_after_block(now_ms, fingerprint)
    }

    /// Returns whether a request on probation has to wait for another copy or for a judge.
    pub fn holds_back(&self, now_ms: u64, fingerprint: &Fingerprint) -> bool {
        self.trials.holds_back(fingerprint) && self.is_on_probation(now_ms, fingerprint)
    }

    /// Decides whether a request may be sent to an upstream; `left_ms` is how long it may take. Has
    /// a judge asked where it is on probation.
    pub fn permit(
        &mut self,
        now_ms: u64,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        left_ms: u64,
    ) -> Permit {
        match self.is_on_probation(now_ms, &fingerprint) {
            true => self.trials.permit(now_ms, fingerprint, upstream, left_ms),
            false => Permit::Free,
        }
    }

    /// Takes in that a trial is over.
    pub fn note_trial_over(&mut self, now_ms: u64, fingerprint: Fingerprint, is_lost: bool) {
        self.trials.over(now_ms, fingerprint, is_lost);
    }

    /// Decides for another VM whether it may send a trial.
    pub fn take_ask(&mut self, now_ms: u64, asker: u64, ask: &TrialAsk, vms: usize) -> TrialAnswer {
        TrialAnswer {
            fingerprint: ask.fingerprint,
            number: ask.number,
            after_ms: self.referee.decide(now_ms, asker, ask, vms),
        }
    }

    /// Takes in a judge's answer. Returns whether requests are to be looked at again.
    pub fn take_trial_answer(&mut self, now_ms: u64, answer: &TrialAnswer) -> bool {
        self.trials.take_answer(now_ms, answer)
    }

    /// Takes in that the trial of another VM is over.
    pub fn take_trial_end(&mut self, now_ms: u64, asker: u64, end: &TrialEnd) {
        self.referee.ended(now_ms, asker, end);
    }

    /// Takes in requests that another VM knows to be on probation.
    pub fn take_probations(&mut self, now_ms: u64, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.probations.add(now_ms, *fingerprint);
        }
    }

    /// Returns the requests on probation.
    pub fn probations(&self) -> Vec<Fingerprint> {
        self.probations.all().copied().collect()
    }

    /// Notes a request that was answered. Returns whether it was blocked or lately had been, and
    /// the other VMs are to be told.
    pub fn note_answered(&mut self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        self.answered.note(now_ms, fingerprint);
        self.knows(&fingerprint) && self.take_cleared(now_ms, &fingerprint)
    }

    /// Takes in that a request was answered at another VM. Returns whether that is news. Later
    /// reports of this VM tell it to judges that have not heard of it.
    pub fn take_cleared(&mut self, now_ms: u64, fingerprint: &Fingerprint) -> bool {
        self.answered.note(now_ms, *fingerprint);
        for (_, rows) in &mut self.telling {
            rows.retain(|row| row.fingerprint != *fingerprint);
        }
        self.trials.forget(fingerprint);
        let was_on_probation = self.probations.remove(fingerprint);
        self.quarantine.clear(fingerprint) || was_on_probation
    }

    /// Notes a request that was lost because an upstream broke its connection.
    pub fn note_lost(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        is_engine: bool,
        lost: LostRequest,
    ) {
        let suspect = Suspect {
            served_ago_ms: self.answered.ago_ms(now_ms, &lost.fingerprint),
            trials: u32::from(lost.is_trial),
            ..Suspect::new(lost.fingerprint, lost.caller)
        };
        if !self.own.add(now_ms, upstream, suspect) {
            self.broken.note(now_ms, upstream, is_engine, suspect);
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
    pub fn note_ended(&mut self, now_ms: u64, upstream: &UpstreamName) -> Option<Vec<Suspect>> {
        let broken = self.broken.take(upstream)?;
        let lost = broken.suspects;
        self.own
            .push(now_ms, upstream.clone(), broken.since_ms, lost.clone());
        Some(lost)
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
        self.own.parts(now_ms)
    }

    /// Returns how many requests are remembered under crashes, counted once for each crash.
    pub fn suspects(&self) -> usize {
        self.quarantine.suspects()
    }

    /// Returns when something is due. What is only repeated or forgotten is left to the next look
    /// at any time.
    pub fn next_ms(&self) -> u64 {
        if self.seen_changes != self.quarantine.changes() {
            return 0;
        }
        let tellings = self.telling.iter().map(|(at_ms, _)| *at_ms);
        [
            tellings.min().unwrap_or(u64::MAX),
            self.own.next_ms(),
            self.probations.next_ms(),
            self.quarantine.next_ms(),
            self.broken.next_ms(),
            self.trials.next_ms(),
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
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
        let scope = match role.judge {
            Some(_) => Scope::Fleet,
            None => Scope::OwnRequests,
        };
        if role.judge.is_some() {
            self.referee.begin(now_ms);
        }
        self.find_probations(now_ms);
        due.probations = self.due_probations(now_ms, role);
        self.add_due_trials(now_ms, role, &mut due);
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

    /// Puts requests on probation of which enough was lost.
    fn find_probations(&mut self, now_ms: u64) {
        if self.seen_changes == self.quarantine.changes() {
            return;
        }
        self.seen_changes = self.quarantine.changes();
        for case in self.quarantine.cases(now_ms) {
            self.probations.find(now_ms, case.fingerprint);
        }
    }

    /// Returns the requests on probation that are to be told, by a judge.
    fn due_probations(&mut self, now_ms: u64, role: Role) -> Vec<Fingerprint> {
        let due = self.probations.due(now_ms);
        match role.judge.is_some() {
            true => due,
            false => Vec::new(),
        }
    }

    fn add_due_trials(&mut self, now_ms: u64, role: Role, due: &mut Due) {
        let trials = self.trials.due(now_ms, role.judges);
        due.may_continue |= trials.may_continue;
        due.asked_judge = self.trials.judge();
        let decides_itself = role.judge == Some(due.asked_judge);
        // A VM that no judge answers is cut off, and decides by itself.
        for ask in trials.unanswered {
            due.may_continue |= self.ask_itself(now_ms, &ask, 1);
        }
        for ask in trials.asks {
            match decides_itself {
                true => due.may_continue |= self.ask_itself(now_ms, &ask, role.vms),
                false => due.asks.push(ask),
            }
        }
        for end in trials.ends {
            self.referee.ended(now_ms, self.run, &end);
            due.trial_ends.push(end);
        }
    }

    fn ask_itself(&mut self, now_ms: u64, ask: &TrialAsk, vms: usize) -> bool {
        let answer = self.take_ask(now_ms, self.run, ask, vms);
        self.trials.take_answer(now_ms, &answer)
    }

    fn due_reports(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let parts = self.own.due(now_ms);
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
        self.probations.forget(now_ms);
        self.own.forget(now_ms);
        self.quarantine.forget(now_ms)
    }
}
