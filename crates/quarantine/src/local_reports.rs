//! Crash reports of this VM: its requests that were in progress at upstreams that crashed.

use std::collections::VecDeque;

use apricotdale_core::names::UpstreamName;

use crate::reports::CrashReport;
use crate::reports::Suspect;

/// Delays after which a report is sent again, since a datagram may be lost.
const RESEND_DELAYS_MS: [u64; 2] = [300, 1_000];

/// Time for which the requests lost with an upstream are collected before they are sent.
const COLLECT_MS: u64 = 5;

/// Time for which reports are kept for judges that restart.
const REPORT_TTL_MS: u64 = 600_000;

/// Number of reports that are kept.
const MAX_REPORTS: usize = 64;

/// Maximum number of suspect requests in one part of a report.
const SUSPECTS_PER_PART: usize = 4;

/// This VM's requests that were in progress at one upstream.
#[derive(Clone, Debug)]
struct LocalReport {
    upstream: UpstreamName,
    at_ms: u64,
    suspects: Vec<Suspect>,
    sends: usize,
    next_send_ms: u64,
}

/// Crash reports of one VM.
#[derive(Clone, Debug)]
pub(crate) struct LocalReports {
    /// Incarnation of the VM's process.
    incarnation: u64,
    reports: VecDeque<LocalReport>,
}

impl LocalReports {
    /// Returns an empty list of reports.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            reports: VecDeque::new(),
        }
    }

    /// Adds the report of an upstream that has ended. `at_ms` is the time of its end.
    pub fn push(&mut self, now_ms: u64, upstream: UpstreamName, at_ms: u64, lost: Vec<Suspect>) {
        self.reports.push_back(LocalReport {
            upstream,
            at_ms,
            suspects: lost,
            sends: 0,
            next_send_ms: now_ms + COLLECT_MS,
        });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Adds a request to the report of an upstream. Returns whether there is such a report.
    pub fn add(&mut self, now_ms: u64, upstream: &UpstreamName, suspect: Suspect) -> bool {
        let mut reports = self.reports.iter_mut();
        let Some(report) = reports.find(|it| it.upstream == *upstream) else {
            return false;
        };
        suspect.add_to(&mut report.suspects);
        report.sends = 0;
        report.next_send_ms = now_ms + COLLECT_MS;
        true
    }

    /// Returns all reports, in parts of which several fit into a datagram.
    pub fn parts(&self, now_ms: u64) -> Vec<CrashReport> {
        let reports = self.reports.iter();
        reports
            .flat_map(|it| it.parts(self.incarnation, now_ms))
            .collect()
    }

    /// Returns the parts that are to be sent now.
    pub fn due(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let mut parts = Vec::new();
        for report in self
            .reports
            .iter_mut()
            .filter(|it| it.next_send_ms <= now_ms)
        {
            parts.extend(report.parts(self.incarnation, now_ms));
            let again_ms = RESEND_DELAYS_MS.get(report.sends);
            report.next_send_ms = again_ms.map_or(u64::MAX, |again_ms| now_ms + again_ms);
            report.sends += 1;
        }
        parts
    }

    /// Returns when the next report is to be sent, or `u64::MAX` if none is.
    pub fn next_ms(&self) -> u64 {
        let reports = self.reports.iter().map(|report| report.next_send_ms);
        reports.min().unwrap_or(u64::MAX)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.reports.retain(|it| now_ms < it.at_ms + REPORT_TTL_MS);
    }
}

impl LocalReport {
    fn parts(&self, reporter: u64, now_ms: u64) -> impl Iterator<Item = CrashReport> {
        self.suspects
            .chunks(SUSPECTS_PER_PART)
            .map(move |suspects| CrashReport {
                upstream: self.upstream.clone(),
                ago_ms: now_ms.saturating_sub(self.at_ms),
                reporter,
                suspects: suspects.to_vec(),
            })
    }
}
