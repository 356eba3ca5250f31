//! Estimate of how many requests an upstream has between its own load reports.

/// Age from which a load report is ignored. After that, requests of other VMs that it counted may
/// have ended, and only this VM's own requests are counted.
const REPORT_TTL_MS: u64 = 1_500;

/// Load that an upstream states in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued at the upstream.
    pub waiting: u32,
    /// Requests that the upstream can run at once.
    pub slots: u32,
}

/// Share of the slots that requests may take at an upstream that fails if it rejects too many.
/// Requests that wait there are the first to be rejected when its room shrinks.
pub(crate) const LIMITED_FILL: f64 = 0.9;

impl LoadSample {
    /// Returns how many further requests an upstream with a limit on rejections is sent.
    pub fn limited_room(&self) -> u32 {
        let most = (f64::from(self.slots) * LIMITED_FILL) as u32;
        most.saturating_sub(self.running + self.waiting)
    }
}

/// Estimated load of one upstream: its last report, corrected by what this VM has sent there and
/// seen end since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamLoad {
    /// This VM's own requests in progress there.
    local_requests: u32,
    /// Last report, with the value of `local_requests` and the time when it arrived.
    report: Option<(LoadSample, u32, u64)>,
    /// Requests of all VMs as the lease holder last announced them, with the value of
    /// `local_requests` and the time when that arrived.
    shared: Option<(u32, u32, u64)>,
}

impl UpstreamLoad {
    pub(crate) fn sent(&mut self) {
        self.local_requests += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    pub(crate) fn local_requests(&self) -> u32 {
        self.local_requests
    }

    pub(crate) fn reported(&mut self, now_ms: u64, sample: LoadSample) {
        self.report = Some((sample, self.local_requests, now_ms));
    }

    /// Records the requests of all VMs that the lease holder announces.
    pub(crate) fn record_shared(&mut self, now_ms: u64, requests: u32) {
        self.shared = Some((requests, self.local_requests, now_ms));
    }

    /// Forgets the announced requests. An engine that is not announced is not busy.
    pub(crate) fn forget_shared(&mut self) {
        self.shared = None;
    }

    /// Returns the estimated number of requests at the upstream, from all VMs.
    pub(crate) fn requests(&self, now_ms: u64) -> u32 {
        let report = self
            .report
            .map(|(sample, local, at_ms)| (sample.running + sample.waiting, local, at_ms));
        let newest = report.into_iter().chain(self.shared);
        let newest = newest.max_by_key(|(.., at_ms)| *at_ms);
        match newest {
            Some((requests, local_then, at_ms)) if now_ms.saturating_sub(at_ms) < REPORT_TTL_MS => {
                (requests + self.local_requests)
                    .saturating_sub(local_then)
                    .max(self.local_requests)
            }
            _ => self.local_requests,
        }
    }
}
