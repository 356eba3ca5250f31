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
    /// How long work takes at the upstream at this moment, in percent of the usual time; 100 if it
    /// does not state that.
    pub work_percent: u32,
}

/// Share of the slots that requests may take at an upstream that fails if it rejects too many.
/// Requests that wait there are the first to be rejected when its room shrinks.
pub(crate) const LIMITED_FILL: f64 = 0.9;

impl LoadSample {
    /// Returns how many further requests an upstream with a limit on rejections is sent.
    pub fn limited_room(&self) -> u32 {
        let most = (f64::from(self.slots) * LIMITED_FILL) as u32;
        most.saturating_sub(self.requests())
    }

    /// Returns the number of requests at the upstream.
    fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
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

    /// Returns the estimated number of requests at the upstream, from all VMs.
    pub(crate) fn requests(&self, now_ms: u64) -> u32 {
        match self.report {
            Some((sample, local_then, at_ms)) if now_ms.saturating_sub(at_ms) < REPORT_TTL_MS => {
                let now = sample.requests().saturating_add(self.local_requests);
                now.saturating_sub(local_then).max(self.local_requests)
            }
            _ => self.local_requests,
        }
    }
}
