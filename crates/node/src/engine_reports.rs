//! Last load report of each engine, read by this VM or received from a peer.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::peer::ReplicaLoad;

/// Load report with the time at which this VM got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownReport {
    /// Load report of the engine, or the part of one that a peer sent.
    pub report: LoadReport,
    /// Time at which this VM got the report, on the monotonic clock.
    pub at_ms: u64,
    /// Whether this VM read the report from the engine; otherwise a peer sent it.
    pub is_local: bool,
}

/// Table of the last load report of each engine.
#[derive(Debug, Default)]
pub struct ReportTable {
    reports: Mutex<BTreeMap<UpstreamName, KnownReport>>,
}

impl ReportTable {
    /// Returns a table without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report that this VM read from the engine.
    pub fn record_read(&self, now_ms: u64, engine: &UpstreamName, report: LoadReport) {
        let known = KnownReport {
            report,
            at_ms: now_ms,
            is_local: true,
        };
        self.reports.lock().insert(engine.clone(), known);
    }

    /// Records a load that a peer sent, unless a newer report is in the table. Returns the recorded
    /// report.
    pub fn record_peer_load(
        &self,
        now_ms: u64,
        unix_ms: u64,
        load: &ReplicaLoad,
    ) -> Option<LoadReport> {
        let report = LoadReport {
            as_of_ms: unix_ms.saturating_sub(load.age_ms),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            checkpoints: Vec::new(),
        };
        let mut reports = self.reports.lock();
        let is_newer = reports
            .get(&load.engine)
            .is_none_or(|known| known.report.as_of_ms < report.as_of_ms);
        if !is_newer {
            return None;
        }
        let known = KnownReport {
            report: report.clone(),
            at_ms: now_ms,
            is_local: false,
        };
        reports.insert(load.engine.clone(), known);
        Some(report)
    }

    /// Returns the last report of an engine.
    pub fn report(&self, engine: &UpstreamName) -> Option<KnownReport> {
        self.reports.lock().get(engine).cloned()
    }

    /// Returns the loads of those given engines whose last report this VM read itself.
    pub fn loads(&self, unix_ms: u64, engines: &[UpstreamName]) -> Vec<ReplicaLoad> {
        let reports = self.reports.lock();
        let known = engines
            .iter()
            .filter_map(|engine| Some((engine, reports.get(engine)?)));
        known
            .filter(|(_, known)| known.is_local)
            .map(|(engine, known)| ReplicaLoad {
                engine: engine.clone(),
                running: known.report.running,
                waiting: known.report.waiting,
                slots: known.report.slots,
                age_ms: unix_ms.saturating_sub(known.report.as_of_ms),
            })
            .collect()
    }
}
