//! Direct probes: which paths are probed, and when.

use apricotdale_core::names::UpstreamName;
use rand::RngExt;

use super::Paths;
use crate::direct_path::DirectPath;

/// Number of turns in which all lost paths are probed.
const PROBE_TURNS: usize = 3;

impl Paths {
    /// Starts the probes that are requested, a batch at a time.
    pub(super) fn start_probes(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        if now_ms < self.next_batch_ms.max(self.next_wanted_ms) {
            return Vec::new();
        }
        let is_due = |path: &DirectPath| path.probe_wanted_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let due = self.by_name.iter().filter(|(_, path)| is_due(path));
        let mut due: Vec<UpstreamName> = due.map(|(name, _)| name.clone()).collect();
        due.sort_unstable();
        due.truncate(self.options.probe_batch);
        if !due.is_empty() {
            self.next_batch_ms = now_ms + self.options.probe_batch_interval_ms;
        }
        for name in &due {
            if let Some(path) = self.by_name.get_mut(name) {
                path.probe_wanted_ms = None;
                path.probe_in_progress = true;
                path.probed_ms = Some(now_ms);
            }
        }
        let wanted = self
            .by_name
            .values()
            .filter_map(|path| path.probe_wanted_ms);
        self.next_wanted_ms = wanted.min().unwrap_or(u64::MAX);
        due
    }

    /// Requests direct probes of some lost paths from time to time, so that each has its turn within
    /// a second unless there are many.
    pub(super) fn schedule_direct_probes(&mut self, now_ms: u64) {
        if now_ms < self.next_probe_ms {
            return;
        }
        self.next_probe_ms = now_ms + self.options.probe_interval_ms;
        let at_once = self.lost.div_ceil(PROBE_TURNS);
        self.request_lost_probes(now_ms, at_once.min(self.options.turn_probes));
    }

    /// Requests probes of lost paths: of those first whose last probe is longest ago.
    pub(super) fn request_lost_probes(&mut self, now_ms: u64, most: usize) {
        let lost = self
            .by_name
            .iter_mut()
            .filter(|(_, path)| path.lost.is_some() && now_ms >= path.next_probe_ms(&self.options));
        let mut lost: Vec<(&UpstreamName, &mut DirectPath)> = lost.collect();
        lost.sort_unstable_by_key(|(name, path)| (path.probed_ms, *name));
        for (_, path) in lost.into_iter().take(most) {
            path.want_probe(now_ms);
            self.next_wanted_ms = now_ms;
        }
    }

    /// Requests probes of other upstreams if this VM has lost paths that another has: of a few after
    /// the first such path, and of all after the second.
    pub(super) fn request_other_probes(&mut self, now_ms: u64, known: &[UpstreamName]) {
        let relayed = self
            .by_name
            .values()
            .filter(|path| path.is_relayed())
            .count();
        if relayed == 0 {
            return;
        }
        let mut unproved: Vec<(u64, &UpstreamName)> = Vec::new();
        for name in known {
            let path = self.by_name.entry(name.clone()).or_default();
            let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= self.options.steady_ms;
            let was_probed = path.probed_ms.is_some_and(is_recent);
            if path.lost.is_none() && !path.is_fresh(now_ms, &self.options) && !was_probed {
                unproved.push((self.random.random(), name));
            }
        }
        if relayed == 1 {
            unproved.sort_unstable();
            unproved.truncate(self.options.sample_probes);
        }
        for (_, name) in unproved {
            if let Some(path) = self.by_name.get_mut(name) {
                path.want_probe(now_ms);
                self.next_wanted_ms = now_ms;
            }
        }
    }
}
