//! One VM's part in the detection of crashing requests: what it probes, sends and refuses, and
//! when.

mod answers;

use apricotdale_core::names::UpstreamName;

use crate::blocks::BlockRow;
use crate::features::RequestFeatures;
use crate::fingerprint::Fingerprint;
use crate::local_reports::LocalReports;
use crate::options::Options;
use crate::probation::Probations;
use crate::quarantine::Quarantine;
use crate::quarantine::Scope;
use crate::recent_answers::RecentAnswers;
use crate::reports::AnsweredRow;
use crate::reports::CaseRow;
use crate::reports::CrashReport;
use crate::reports::ProbationRow;
use crate::reports::Suspect;
use crate::reports::SuspectPart;
use crate::trials::Permit;
use crate::trials::TrialAnswer;
use crate::trials::TrialClient;
use crate::trials::TrialCoordinator;
use crate::trials::TrialEnd;
use crate::trials::TrialQuery;
use crate::unconfirmed_crashes::UnconfirmedCrashes;
use crate::vm_messages::Due;
use crate::vm_messages::LostRequest;
use crate::vm_messages::Role;

/// Delays after which the VM that found a block sends it again.
const BLOCK_RESEND_DELAYS_MS: [u64; 2] = [300, 1_500];

/// Interval at which the lease holder sends blocks in force.
const BLOCKS_INTERVAL_MS: u64 = 5_000;

/// Blocks that it sends at a time.
const BLOCKS_PER_INTERVAL: usize = 10;

/// Interval at which old records are removed.
const FORGET_INTERVAL_MS: u64 = 1_000;

/// Number of answered requests, and of their parts, that this VM remembers.
const MAX_RECENT_ANSWERS: usize = 2_048;

/// Detection of crashing requests at one VM. It sends states instead of changes, repeats them, and
/// may receive the same several times, so that nothing waits for an acknowledgement.
#[derive(Clone, Debug)]
pub struct CrashWatch {
    /// Incarnation of this VM's process.
    incarnation: u64,
    quarantine: Quarantine,
    probations: Probations,
    /// Value of [`Quarantine::changes`] when requests were last put on probation.
    seen_changes: u64,
    trial_client: TrialClient,
    trial_coordinator: TrialCoordinator,
    answered: RecentAnswers,
    /// Answers to requests with the same parts.
    answered_parts: RecentAnswers,
    unconfirmed: UnconfirmedCrashes,
    local_reports: LocalReports,
    /// Blocks that this VM found, and when it sends them again.
    announcements: Vec<(u64, Vec<BlockRow>)>,
    next_blocks_ms: u64,
    next_block: usize,
    next_forget_ms: u64,
    is_judge: bool,
}

impl CrashWatch {
    /// Returns the watch of one incarnation of a VM, without any records.
    pub fn new(incarnation: u64, options: Options) -> Self {
        Self {
            incarnation,
            probations: Probations::default(),
            seen_changes: 0,
            trial_client: TrialClient::default(),
            trial_coordinator: TrialCoordinator::default(),
            quarantine: Quarantine::new(options),
            answered: RecentAnswers::new(MAX_RECENT_ANSWERS),
            answered_parts: RecentAnswers::new(MAX_RECENT_ANSWERS),
            unconfirmed: UnconfirmedCrashes::default(),
            local_reports: LocalReports::new(incarnation),
            announcements: Vec::new(),
            next_blocks_ms: 0,
            next_block: 0,
            next_forget_ms: 0,
            is_judge: false,
        }
    }

    /// Replaces the set of requests that operators have exempted from blocks.
    pub fn exempt(&mut self, fingerprints: &[Fingerprint]) {
        self.quarantine
            .exempt(fingerprints.iter().copied().collect());
    }

    /// Returns the block due to which a request is refused, or `None` if it is not.
    pub fn block(&self, now_ms: u64, request: &RequestFeatures) -> Option<BlockRow> {
        self.quarantine.block(now_ms, request)
    }

    /// Returns whether a request is on probation itself, is blocked, or was blocked recently.
    pub fn knows(&self, request: &RequestFeatures) -> bool {
        self.quarantine.knows(request) || self.probations.contains(&request.request)
    }

    /// Returns what of a request is on probation: it has to be sent as a trial run.
    fn features_on_probation(&self, now_ms: u64, request: &RequestFeatures) -> Vec<Fingerprint> {
        let mut features = self.probations.features_of(request);
        features.extend(self.quarantine.features_after_block(now_ms, request));
        features.sort_unstable();
        features.dedup();
        features
    }

    /// Returns whether a request on probation has to wait for a judge or for a trial run in
    /// progress.
    pub fn must_wait(&self, now_ms: u64, request: &RequestFeatures) -> bool {
        let features = self.features_on_probation(now_ms, request);
        !features.is_empty() && self.trial_client.must_wait(&features)
    }

    /// Decides whether a request may be sent to an upstream, and schedules a question to a judge if
    /// it is on probation, or a part of it. `left_ms` is the time that its run may take.
    pub fn permit(
        &mut self,
        now_ms: u64,
        request: &RequestFeatures,
        upstream: &UpstreamName,
        left_ms: u64,
    ) -> Permit {
        let features = self.features_on_probation(now_ms, request);
        match features.is_empty() {
            true => Permit::Free,
            false => self
                .trial_client
                .permit(now_ms, features, upstream, left_ms),
        }
    }

    /// Records that a trial run of this VM has ended.
    pub fn record_trial_end(&mut self, now_ms: u64, number: u64, is_lost: bool) {
        self.trial_client.end_trial(now_ms, number, is_lost);
    }

    /// Decides, as a judge, whether another VM may send a trial run.
    pub fn decide_trial(
        &mut self,
        now_ms: u64,
        asker: u64,
        query: &TrialQuery,
        vms: usize,
    ) -> TrialAnswer {
        TrialAnswer {
            number: query.number,
            after_ms: self.trial_coordinator.decide(now_ms, asker, query, vms),
        }
    }

    /// Records a judge's answer. Returns whether requests that had to wait may be sent now.
    pub fn record_trial_answer(&mut self, now_ms: u64, answer: &TrialAnswer) -> bool {
        self.trial_client.record_answer(now_ms, answer)
    }

    /// Records, as a judge, that a trial run of another VM has ended.
    pub fn record_peer_trial_end(&mut self, now_ms: u64, asker: u64, end: &TrialEnd) {
        self.trial_coordinator.end_grant(now_ms, asker, end);
    }

    /// Records a request that was lost because an upstream broke its connection.
    pub fn record_lost(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        is_engine: bool,
        lost: LostRequest,
    ) {
        let parts = lost.features.parts.iter().map(|part| SuspectPart {
            fingerprint: *part,
            answered_ago_ms: self.answered_ago_ms(now_ms, part),
        });
        let suspect = Suspect {
            answered_ago_ms: self.answered_ago_ms(now_ms, &lost.features.request),
            parts: parts.collect(),
            trials: u32::from(lost.is_trial),
            ..Suspect::new(lost.features.request, lost.caller)
        };
        if !self.local_reports.add(now_ms, upstream, suspect.clone()) {
            self.unconfirmed
                .record(now_ms, upstream, is_engine, suspect);
        }
    }

    /// Records that an upstream answered a probe after it broke a connection.
    pub fn record_alive(&mut self, upstream: &UpstreamName) {
        self.unconfirmed.take(upstream);
    }

    /// Records that an upstream neither answered nor refused the connection of a probe.
    pub fn record_unanswered(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.unconfirmed.record_unanswered(now_ms, upstream);
    }

    /// Records that an upstream has ended. Returns the requests that were lost with it, or `None`
    /// if no connection had broken shortly before, so that it was no crash.
    pub fn record_ended(&mut self, now_ms: u64, upstream: &UpstreamName) -> Option<Vec<Suspect>> {
        let unconfirmed = self.unconfirmed.take(upstream)?;
        let lost = unconfirmed.suspects;
        self.local_reports
            .push(now_ms, upstream.clone(), unconfirmed.since_ms, lost.clone());
        Some(lost)
    }

    /// Records crash reports of another VM.
    pub fn record_reports(&mut self, now_ms: u64, reports: &[CrashReport]) {
        for report in reports {
            self.quarantine.record_crash(now_ms, report);
        }
    }

    /// Records a block that was received from another VM or read from the store. Returns whether it
    /// is new or longer than the known one.
    pub fn record_block(&mut self, now_ms: u64, row: &BlockRow) -> bool {
        self.quarantine.record_block(now_ms, row)
    }

    /// Returns the blocks in force.
    pub fn blocks(&self, now_ms: u64) -> Vec<BlockRow> {
        self.quarantine.rows(now_ms)
    }

    /// Returns the crash cases of requests and parts that meet the limits for probation and are not
    /// blocked, as they are to be stored.
    pub fn cases(&self, now_ms: u64) -> Vec<CaseRow> {
        let cases = self.quarantine.cases(now_ms).into_iter();
        let cases = cases.filter(|case| !case.is_of_one_request);
        cases.map(|case| case.row).collect()
    }

    /// Returns a number that grows with each report that adds to a crash.
    pub fn changes(&self) -> u64 {
        self.quarantine.changes()
    }

    /// Returns this VM's crash reports, for a judge that starts.
    pub fn local_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        self.local_reports.parts(now_ms)
    }

    /// Returns how many suspect requests are remembered, counted once per crash.
    pub fn suspects(&self) -> usize {
        self.quarantine.suspects()
    }

    /// Returns when something is due. Repetitions and the removal of old records don't count: they
    /// are left to the next call of [`CrashWatch::due`].
    pub fn next_ms(&self) -> u64 {
        if self.seen_changes != self.quarantine.changes() {
            return 0;
        }
        let announcements = self.announcements.iter().map(|(at_ms, _)| *at_ms);
        [
            announcements.min().unwrap_or(u64::MAX),
            self.local_reports.next_ms(),
            self.probations.next_ms(),
            self.quarantine.next_ms(),
            self.unconfirmed.next_ms(),
            self.trial_client.next_ms(),
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
    }

    /// Returns whether [`CrashWatch::due`] may return anything.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_forget_ms || now_ms >= self.next_ms()
    }

    /// Returns what is due, and makes the decisions that are.
    pub fn due(&mut self, now_ms: u64, role: Role) -> Due {
        let mut due = Due {
            probes: self.unconfirmed.due(now_ms),
            reports: self.due_reports(now_ms),
            ..Due::default()
        };
        let scope = match role.judge {
            Some(_) => Scope::Fleet,
            None => Scope::LocalVm,
        };
        self.is_judge = role.judge.is_some();
        if self.is_judge {
            self.trial_coordinator.become_judge(now_ms);
        }
        self.begin_probations(now_ms);
        due.probations = self.due_probations(now_ms, role);
        self.add_due_trials(now_ms, role, &mut due);
        due.new_blocks = self.quarantine.judge(now_ms, scope);
        due.blocks.extend(due.new_blocks.iter().cloned());
        if !due.new_blocks.is_empty() {
            due.released = self.release_explained_parts(now_ms);
            let again =
                BLOCK_RESEND_DELAYS_MS.map(|after_ms| (now_ms + after_ms, due.new_blocks.clone()));
            self.announcements.extend(again);
        }
        let announcements = self
            .announcements
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.blocks.extend(announcements.flat_map(|(_, rows)| rows));
        if role.is_lease_holder && now_ms >= self.next_blocks_ms {
            self.next_blocks_ms = now_ms + BLOCKS_INTERVAL_MS;
            due.blocks.extend(self.next_rows(now_ms));
        }
        if now_ms >= self.next_forget_ms {
            self.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
            due.ended = self.forget(now_ms);
        }
        due
    }

    /// Puts requests and parts on probation of which enough was lost.
    fn begin_probations(&mut self, now_ms: u64) {
        if self.seen_changes == self.quarantine.changes() {
            return;
        }
        self.seen_changes = self.quarantine.changes();
        for case in self.quarantine.cases(now_ms) {
            let feature = case.row.fingerprint;
            self.probations
                .begin_probation(now_ms, feature, case.since_ms);
            if let Some(ago_ms) = self.answered_ago_ms(now_ms, &feature) {
                self.quarantine.record_answered(
                    now_ms,
                    &AnsweredRow {
                        fingerprint: feature,
                        ago_ms,
                    },
                );
            }
        }
    }

    /// Ends the probation of parts whose crashes a new block explains. Those among the features of
    /// a block remain on probation.
    fn release_explained_parts(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let mut released = self.quarantine.explained_parts();
        released.retain(|it| self.probations.contains(it) && !self.quarantine.has_blocked(it));
        for feature in &released {
            self.release(now_ms, feature);
        }
        released
    }

    fn release(&mut self, now_ms: u64, feature: &Fingerprint) {
        self.trial_client.forget(now_ms, feature);
        self.probations.remove(feature);
    }

    /// Records that another VM has ended the probation of a part whose crashes a block explains. That
    /// is no answer to the part.
    pub fn record_released(&mut self, now_ms: u64, part: &Fingerprint) {
        self.release(now_ms, part);
    }

    /// Returns what a judge has to announce now to be on probation.
    fn due_probations(&mut self, now_ms: u64, role: Role) -> Vec<ProbationRow> {
        let due = self.probations.due(now_ms);
        match role.judge.is_some() {
            true => due,
            false => Vec::new(),
        }
    }

    fn add_due_trials(&mut self, now_ms: u64, role: Role, due: &mut Due) {
        let trials = self.trial_client.due(now_ms, role.judges);
        due.may_continue |= trials.may_continue;
        due.trial_judge = self.trial_client.judge();
        let is_own_judge = role.judge == Some(due.trial_judge);
        // A VM that no judge answers is cut off, and decides by itself.
        for query in trials.unanswered {
            due.may_continue |= self.decide_own_trial(now_ms, &query, 1);
        }
        for query in trials.trial_queries {
            match is_own_judge {
                true => due.may_continue |= self.decide_own_trial(now_ms, &query, role.vms),
                false => due.trial_queries.push(query),
            }
        }
        for end in trials.ends {
            self.trial_coordinator
                .end_grant(now_ms, self.incarnation, &end);
            due.trial_ends.push(end);
        }
    }

    fn decide_own_trial(&mut self, now_ms: u64, query: &TrialQuery, vms: usize) -> bool {
        let answer = self.decide_trial(now_ms, self.incarnation, query, vms);
        self.trial_client.record_answer(now_ms, &answer)
    }

    fn due_reports(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let parts = self.local_reports.due(now_ms);
        for part in &parts {
            self.quarantine.record_crash(now_ms, part);
        }
        parts
    }

    /// Returns some of the blocks in force, others each time.
    fn next_rows(&mut self, now_ms: u64) -> Vec<BlockRow> {
        let rows = self.quarantine.rows(now_ms);
        let first = match rows.len() {
            0 => return rows,
            count => self.next_block % count,
        };
        self.next_block = first + BLOCKS_PER_INTERVAL;
        rows.into_iter()
            .skip(first)
            .take(BLOCKS_PER_INTERVAL)
            .collect()
    }

    fn forget(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        self.unconfirmed.forget(now_ms);
        self.probations.forget(now_ms);
        self.local_reports.forget(now_ms);
        self.quarantine.forget(now_ms)
    }
}
