//! Detection of engines that stop sending data while requests are in progress.
//!
//! An engine that loses power or is cut off from the network sends nothing, and its connections
//! stay open. Only the time since the last data from it shows that something is wrong. An engine
//! that works on a request sends an event every few tens of milliseconds, so that a few hundred
//! milliseconds without data are a reason to probe it. [`LivenessMonitor`] says which engines to
//! probe, over a connection of the probe's own. An engine that does not answer the probe within a
//! few round trips counts as unresponsive. It is probed again until it answers, and the other VMs
//! are informed of both.
//!
//! Missing data alone proves nothing: a long prompt, a full batch or a lost packet also delay an
//! event. An engine that answers the probe is therefore not suspended, however long its requests
//! wait. Whether their connections are dead is judged for each connection, in `silence.rs`.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// Time without data after which an engine that was sending is probed. Events come every 20 to 40
/// ms.
const PROBE_AFTER_MS: u64 = 250;

/// Time without data after which an engine is probed that has sent nothing since its first request
/// in progress. It reads a prompt of 10,000 tokens in 260 ms, and in twice that behind others. With
/// 250 ms, 60 VMs sent 3,000 probes a day, which cost 0.0014 of the score and found nothing
/// earlier.
const FIRST_PROBE_AFTER_MS: u64 = 500;

/// Pause after an answered probe, even if no data comes for the engine's requests.
const ANSWERED_PAUSE_MS: u64 = 1_500;

/// Time between two probes of an unresponsive engine.
const REPROBE_PAUSE_MS: u64 = 300;

/// Share of the engines with requests in progress above which missing data is not held against
/// them. Above it this VM itself is probably cut off, and must neither move all its requests nor
/// report to other VMs that all engines are unresponsive.
const MAX_SILENT_SHARE: f64 = 0.6;

/// Number of engines with requests in progress up to which that share is not applied.
const FEW_ENGINES: usize = 2;

#[derive(Clone, Copy, Debug, Default)]
struct EngineState {
    in_progress: u32,
    /// Time of the last data, or of the send of the first request in progress if none came since.
    last_data_ms: u64,
    /// Whether data has come since the first request in progress was sent.
    has_sent_data: bool,
    /// Time of the last data on any connection; none if none ever came.
    heard_ms: Option<u64>,
    /// Time until which it is not probed.
    next_probe_ms: u64,
    probe_in_progress: bool,
    /// Whether data has come, or may have come unseen, since the last probe began.
    has_data_since_probe: bool,
    is_unresponsive: bool,
}

/// Change in the state of an engine that the outcome of a probe shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// No change: the engine answered, or this VM may itself be cut off.
    None,
    /// The engine is unresponsive: it gets no requests, and those at it will not be answered.
    Unresponsive,
    /// The engine was unresponsive and answers again.
    Responsive,
}

/// State of the engines at which this VM has requests in progress.
#[derive(Debug, Default)]
pub struct LivenessMonitor {
    by_name: HashMap<UpstreamName, EngineState>,
}

impl LivenessMonitor {
    /// Records that a request was sent to an engine.
    pub fn sent(&mut self, now_ms: u64, engine: &UpstreamName) {
        let state = self.by_name.entry(engine.clone()).or_default();
        if state.in_progress == 0 {
            state.last_data_ms = now_ms;
            state.has_sent_data = false;
        }
        state.in_progress += 1;
    }

    /// Has data from an engine recorded even if no request was sent to it.
    pub fn track(&mut self, engine: &UpstreamName) {
        if !self.by_name.contains_key(engine) {
            self.by_name.insert(engine.clone(), EngineState::default());
        }
    }

    /// Records that data came from an engine.
    pub fn heard(&mut self, now_ms: u64, engine: &UpstreamName) {
        if let Some(state) = self.by_name.get_mut(engine) {
            state.last_data_ms = now_ms;
            state.has_sent_data = true;
            state.has_data_since_probe = true;
            state.heard_ms = Some(now_ms);
        }
    }

    /// Returns when data last came from an engine on any connection, that of a probe included;
    /// `None` if none ever came.
    pub fn last_heard_ms(&self, engine: &UpstreamName) -> Option<u64> {
        self.by_name.get(engine)?.heard_ms
    }

    /// Records that a request at an engine is no longer in progress.
    pub fn ended(&mut self, engine: &UpstreamName) {
        if let Some(state) = self.by_name.get_mut(engine) {
            state.in_progress = state.in_progress.saturating_sub(1);
        }
    }

    /// Records that an engine has left the fleet.
    pub fn removed(&mut self, engine: &UpstreamName) {
        self.by_name.remove(engine);
    }

    /// Records that this VM's process was paused: data may have come meanwhile without being read.
    pub fn process_paused(&mut self, now_ms: u64) {
        for state in self.by_name.values_mut() {
            state.last_data_ms = now_ms;
            state.has_data_since_probe = true;
        }
    }

    /// Returns whether an engine is unresponsive according to this VM's probes.
    pub fn is_unresponsive(&self, engine: &UpstreamName) -> bool {
        self.by_name
            .get(engine)
            .is_some_and(|it| it.is_unresponsive)
    }

    /// Returns whether an engine with requests in progress has sent nothing since a time.
    pub fn is_silent_since(&self, engine: &UpstreamName, since_ms: u64) -> bool {
        let state = self.by_name.get(engine);
        let is_heard = |state: &EngineState| state.heard_ms.is_some_and(|it| it >= since_ms);
        state.is_some_and(|state| state.in_progress > 0 && !is_heard(state))
    }

    /// Returns the engines to probe now. Each is returned once until its probe is reported to
    /// [`LivenessMonitor::record_probe`].
    pub fn due(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        let mut due: Vec<UpstreamName> = self
            .by_name
            .iter_mut()
            .filter(|(_, state)| state.due_ms().is_some_and(|due_ms| due_ms <= now_ms))
            .map(|(name, state)| {
                state.probe_in_progress = true;
                state.has_data_since_probe = false;
                name.clone()
            })
            .collect();
        due.sort_unstable();
        due
    }

    /// Returns when the next engine is to be probed, or `u64::MAX` if none is.
    pub fn next_ms(&self) -> u64 {
        let due = self.by_name.values().filter_map(EngineState::due_ms);
        due.min().unwrap_or(u64::MAX)
    }

    /// Records whether an engine answered its probe, and returns what that shows.
    pub fn record_probe(
        &mut self,
        now_ms: u64,
        engine: &UpstreamName,
        answered: bool,
    ) -> ProbeOutcome {
        let vm_is_cut_off = !answered && self.is_cut_off(now_ms);
        let Some(state) = self.by_name.get_mut(engine) else {
            return ProbeOutcome::None;
        };
        state.probe_in_progress = false;
        if answered {
            state.next_probe_ms = now_ms + ANSWERED_PAUSE_MS;
            return match std::mem::take(&mut state.is_unresponsive) {
                true => ProbeOutcome::Responsive,
                false => ProbeOutcome::None,
            };
        }
        state.next_probe_ms = now_ms + REPROBE_PAUSE_MS;
        // Data came while the probe was in progress: a packet was lost, the engine is responsive.
        let has_just_sent = state.has_data_since_probe && !state.is_silent(now_ms);
        if vm_is_cut_off || has_just_sent {
            return ProbeOutcome::None;
        }
        state.is_unresponsive = true;
        ProbeOutcome::Unresponsive
    }

    /// Records that a probe has shown nothing, or that what it would show is already known. The engine
    /// is not probed again before a time.
    pub fn defer_probe(&mut self, engine: &UpstreamName, until_ms: u64) {
        if let Some(state) = self.by_name.get_mut(engine) {
            state.probe_in_progress = false;
            state.next_probe_ms = until_ms;
        }
    }

    /// Returns whether no data comes from most engines at which this VM has requests.
    fn is_cut_off(&self, now_ms: u64) -> bool {
        let busy = self.by_name.values().filter(|it| it.in_progress > 0);
        let busy: Vec<&EngineState> = busy.collect();
        let silent_engines = busy.iter().filter(|it| it.is_silent(now_ms)).count();
        busy.len() > FEW_ENGINES && silent_engines as f64 > MAX_SILENT_SHARE * busy.len() as f64
    }
}

impl EngineState {
    fn probe_after_ms(&self) -> u64 {
        match self.has_sent_data {
            true => PROBE_AFTER_MS,
            false => FIRST_PROBE_AFTER_MS,
        }
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        self.is_unresponsive || now_ms.saturating_sub(self.last_data_ms) >= self.probe_after_ms()
    }

    fn due_ms(&self) -> Option<u64> {
        match () {
            _ if self.probe_in_progress => None,
            _ if self.is_unresponsive => Some(self.next_probe_ms),
            _ if self.in_progress > 0 => {
                let silent_ms = self.last_data_ms + self.probe_after_ms();
                Some(self.next_probe_ms.max(silent_ms))
            }
            _ => None,
        }
    }
}
