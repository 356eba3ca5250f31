//! Answers that end probations and lift blocks, at this VM and at others.

use crate::blocks::LiftedBlocks;
use crate::crash_watch::CrashWatch;
use crate::features::RequestFeatures;
use crate::fingerprint::Fingerprint;
use crate::reports::AnsweredRow;
use crate::reports::ProbationRow;
use crate::vm_messages::Cleared;

impl CrashWatch {
    /// Records requests and parts that another VM has put on probation. Returns when this VM last saw
    /// them answered, to report to that VM. Those that were answered since are not put on probation.
    pub fn record_probations(&mut self, now_ms: u64, rows: &[ProbationRow]) -> Vec<AnsweredRow> {
        let mut answered = Vec::new();
        for row in rows {
            let ago_ms = self.answered_ago_ms(now_ms, &row.fingerprint);
            answered.extend(ago_ms.map(|ago_ms| AnsweredRow {
                fingerprint: row.fingerprint,
                ago_ms,
            }));
            if ago_ms.is_none_or(|ago_ms| ago_ms >= row.ago_ms) {
                // That others were answered meanwhile tells against the part.
                answered.extend(self.quarantine.last_answer(now_ms, &row.fingerprint));
                let since_ms = now_ms.saturating_sub(row.ago_ms);
                self.probations.add(now_ms, row.fingerprint, since_ms);
            }
        }
        answered
    }

    /// Records, as a judge, answers that another VM has seen. Returns what is cleared by them, to
    /// announce to all VMs.
    pub fn record_peer_answers(&mut self, now_ms: u64, rows: &[AnsweredRow]) -> Cleared {
        let mut cleared = Cleared::default();
        for row in rows {
            let is_later = self.quarantine.record_answered(now_ms, row);
            if is_later
                && self.is_suspect(&row.fingerprint)
                && !self.is_case(now_ms, &row.fingerprint)
            {
                self.clear(now_ms, &row.fingerprint, &mut cleared.lifted);
                cleared.announced.push(row.fingerprint);
            }
        }
        cleared
    }

    fn is_case(&self, now_ms: u64, feature: &Fingerprint) -> bool {
        let cases = self.quarantine.cases(now_ms);
        cases.iter().any(|case| case.row.fingerprint == *feature)
    }

    /// Returns whether a request or part is on probation or blocked, also recently.
    fn is_suspect(&self, feature: &Fingerprint) -> bool {
        self.probations.contains(feature) || self.quarantine.has_blocked(feature)
    }

    pub(super) fn answered_ago_ms(&self, now_ms: u64, feature: &Fingerprint) -> Option<u64> {
        let ago_ms = [&self.answered_parts, &self.answered].map(|it| it.ago_ms(now_ms, feature));
        ago_ms.into_iter().flatten().min()
    }

    /// Returns the requests and parts on probation.
    pub fn probations(&self, now_ms: u64) -> Vec<ProbationRow> {
        self.probations.rows(now_ms)
    }

    /// Records that the answer to a request was completed at this VM.
    pub fn record_answered(&mut self, now_ms: u64, request: &RequestFeatures) -> Cleared {
        self.answered.record(now_ms, request.request);
        for part in request.parts.iter() {
            self.answered_parts.record(now_ms, *part);
            self.quarantine.record_part_answer(now_ms, part);
        }
        let mut cleared = Cleared::default();
        for feature in request.all().filter(|it| self.is_suspect(it)) {
            match self.is_judge || *feature == request.request {
                true => cleared.announced.push(*feature),
                false => cleared.reported.push(AnsweredRow {
                    fingerprint: *feature,
                    ago_ms: 0,
                }),
            }
        }
        let features: Vec<Fingerprint> = request.all().copied().collect();
        for feature in features {
            if self.is_suspect(&feature) {
                self.clear(now_ms, &feature, &mut cleared.lifted);
            }
        }
        cleared
    }

    /// Records that a request or part was answered at another VM. Later crash reports of this VM
    /// pass the answer on to judges that have not received it.
    pub fn record_cleared(&mut self, now_ms: u64, feature: &Fingerprint) -> Cleared {
        self.answered.record(now_ms, *feature);
        let mut cleared = Cleared::default();
        if self.is_suspect(feature) {
            cleared.announced.push(*feature);
        }
        self.clear(now_ms, feature, &mut cleared.lifted);
        cleared
    }

    pub(super) fn clear(&mut self, now_ms: u64, feature: &Fingerprint, lifted: &mut LiftedBlocks) {
        for (_, rows) in &mut self.announcements {
            rows.retain(|row| !row.features.contains(feature));
        }
        self.trial_client.forget(now_ms, feature);
        self.probations.remove(feature);
        let changed = self.quarantine.clear(now_ms, feature);
        lifted.ended.extend(changed.ended);
        lifted.remaining.extend(changed.remaining);
    }
}
