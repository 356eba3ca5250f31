//! Streams that a VM resumed at another upstream.

use std::collections::BTreeMap;

use crate::record::Ending;
use crate::record::Record;
use crate::record::Run;

/// Counts of streams that a VM resumed at another upstream after events of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContinuedStreams {
    /// Number of such streams.
    pub streams: usize,
    /// Streams whose remainder was sent with a fault.
    pub faulty: usize,
    /// Streams that looked complete to their callers.
    pub whole: usize,
}

impl Record {
    /// Counts the streams that were assembled from several upstreams.
    pub fn continued(&self) -> ContinuedStreams {
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let mut counts = ContinuedStreams::default();
        for attempt in self.attempts.iter().chain(&self.last_attempts) {
            let runs = runs.get(attempt.id.as_str()).map_or(&[][..], Vec::as_slice);
            let resumed_runs: Vec<&&Run> = runs
                .iter()
                .filter(|run| run.after_event > attempt.after_event)
                .filter(|run| runs.iter().any(|other| other.upstream != run.upstream))
                .collect();
            let is_whole = matches!(attempt.ending, Ending::Answered { whole: true, .. });
            counts.streams += usize::from(!resumed_runs.is_empty());
            counts.faulty += usize::from(resumed_runs.iter().any(|run| run.fault.is_some()));
            counts.whole += usize::from(!resumed_runs.is_empty() && is_whole);
        }
        counts
    }
}
