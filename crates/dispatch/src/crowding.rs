//! How full an upstream is, between its own reports.

/// How long a report is believed. Later only this VM's own requests are known, and the other VMs'
/// may have ended.
const REPORT_GOOD_MS: u64 = 1_500;

/// `LoadSample` is what an upstream says of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// `Crowding` estimates how many requests an upstream has: its last report, corrected by what this
/// VM has sent and seen end since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crowding {
    own: u32,
    report: Option<(LoadSample, u32, u64)>,
}

impl Crowding {
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    pub(crate) fn reported(&mut self, now_ms: u64, sample: LoadSample) {
        self.report = Some((sample, self.own, now_ms));
    }

    /// Returns the requests that the upstream has now, as far as this VM can tell.
    pub(crate) fn requests(&self, now_ms: u64) -> u32 {
        match self.report {
            Some((sample, own_then, at_ms)) if now_ms.saturating_sub(at_ms) < REPORT_GOOD_MS => {
                (sample.running + sample.waiting + self.own)
                    .saturating_sub(own_then)
                    .max(self.own)
            }
            _ => self.own,
        }
    }
}
