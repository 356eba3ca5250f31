//! Engines that have fallen silent with work in progress.
//!
//! An engine that loses power, or is cut off, sends nothing at all: its connections stay open, and
//! only the time since anything came from it shows that something is wrong. While a request is in
//! progress, an engine that works sends an event every few tens of milliseconds, so a silence of a
//! few hundred is a reason to ask. [`SilenceWatch`] says which engines to ask, over a connection of
//! their own; an engine that does not answer such a question within a few round trips is taken for
//! dark. It is asked again until it answers, and the other VMs are told of both.
//!
//! Silence alone proves nothing: a long prompt, a full batch, or a lost packet delay an event, too.
//! An engine that answers the question is therefore not suspected, however long its requests wait.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// How long nothing comes from an engine that was answering until it is asked. Events come each 20
/// to 40 ms.
const SILENT_MS: u64 = 250;

/// The same for an engine of which nothing has come since requests were sent to it. A prompt of
/// 10,000 tokens is read in 260 ms, and behind others in twice that. With 250 ms 60 VMs asked 3,000
/// times a day, which costs 0.0014 of the worth; nothing was found earlier by it.
const FIRST_SILENT_MS: u64 = 500;

/// How long an engine that answered is left alone though its requests stay silent.
const ANSWERED_PAUSE_MS: u64 = 1_500;

/// The time between two questions to an engine that is dark.
const DARK_PAUSE_MS: u64 = 300;

/// How many engines with requests in progress may be dark at once, as a share of these, for the
/// silence to count as theirs. Beyond it this VM itself is probably cut off, and must neither move
/// all its requests nor tell others that all engines are dark.
const MOST_DARK_SHARE: f64 = 0.6;

/// Engines in progress up to which that share says nothing.
const FEW_ENGINES: usize = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    in_progress: u32,
    /// When something last came, or the first request in progress was sent.
    heard_ms: u64,
    /// Whether something has come since then.
    has_spoken: bool,
    /// Until when it is not asked.
    rests_until_ms: u64,
    asking: bool,
    dark: bool,
}

/// `Silence` is what the answer to a question, or its absence, shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Nothing: the engine answered, or this VM may itself be cut off.
    None,
    /// The engine is dark: it gets no requests, and those at it are in vain.
    Dark,
    /// The engine was dark and answers again.
    Over,
}

/// `SilenceWatch` watches the engines at which this VM has requests in progress.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    by_name: HashMap<UpstreamName, Watched>,
}

impl SilenceWatch {
    /// Notes that a request was sent.
    pub fn sent(&mut self, now_ms: u64, engine: &UpstreamName) {
        let watched = self.by_name.entry(engine.clone()).or_default();
        if watched.in_progress == 0 {
            watched.heard_ms = now_ms;
            watched.has_spoken = false;
        }
        watched.in_progress += 1;
    }

    /// Notes that something came from an engine.
    pub fn heard(&mut self, now_ms: u64, engine: &UpstreamName) {
        if let Some(watched) = self.by_name.get_mut(engine) {
            watched.heard_ms = now_ms;
            watched.has_spoken = true;
        }
    }

    /// Notes that a request is no longer in progress.
    pub fn ended(&mut self, engine: &UpstreamName) {
        if let Some(watched) = self.by_name.get_mut(engine) {
            watched.in_progress = watched.in_progress.saturating_sub(1);
        }
    }

    /// Notes that an engine is gone.
    pub fn removed(&mut self, engine: &UpstreamName) {
        self.by_name.remove(engine);
    }

    /// Notes that this VM stood still: whatever was silent meanwhile may not have been.
    pub fn stood_still(&mut self, now_ms: u64) {
        for watched in self.by_name.values_mut() {
            watched.heard_ms = now_ms;
        }
    }

    /// Returns when something came from an engine, if requests are in progress there.
    pub fn heard_ms(&self, engine: &UpstreamName) -> Option<u64> {
        let watched = self.by_name.get(engine)?;
        (watched.in_progress > 0).then_some(watched.heard_ms)
    }

    /// Returns whether an engine is dark as far as this VM has asked.
    pub fn is_dark(&self, engine: &UpstreamName) -> bool {
        self.by_name.get(engine).is_some_and(|it| it.dark)
    }

    /// Returns the engines to ask now. Each is asked once until [`SilenceWatch::asked`].
    pub fn due(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        self.by_name
            .iter_mut()
            .filter(|(_, watched)| watched.due_ms().is_some_and(|due_ms| due_ms <= now_ms))
            .map(|(name, watched)| {
                watched.asking = true;
                name.clone()
            })
            .collect()
    }

    /// Returns when the next engine is to be asked.
    pub fn next_ms(&self) -> u64 {
        let due = self.by_name.values().filter_map(Watched::due_ms);
        due.min().unwrap_or(u64::MAX)
    }

    /// Takes in whether an engine answered the question.
    pub fn asked(&mut self, now_ms: u64, engine: &UpstreamName, answered: bool) -> Silence {
        let is_own_fault = !answered && self.is_cut_off(now_ms);
        let Some(watched) = self.by_name.get_mut(engine) else {
            return Silence::None;
        };
        watched.asking = false;
        if answered {
            watched.rests_until_ms = now_ms + ANSWERED_PAUSE_MS;
            return match std::mem::take(&mut watched.dark) {
                true => Silence::Over,
                false => Silence::None,
            };
        }
        watched.rests_until_ms = now_ms + DARK_PAUSE_MS;
        // Something came while the question was under way: a lost packet, not a dark engine.
        if is_own_fault || !watched.is_silent(now_ms) {
            return Silence::None;
        }
        watched.dark = true;
        Silence::Dark
    }

    /// Returns whether most engines at which this VM has requests are silent.
    fn is_cut_off(&self, now_ms: u64) -> bool {
        let busy = self.by_name.values().filter(|it| it.in_progress > 0);
        let busy: Vec<&Watched> = busy.collect();
        let silent = busy.iter().filter(|it| it.is_silent(now_ms)).count();
        busy.len() > FEW_ENGINES && silent as f64 > MOST_DARK_SHARE * busy.len() as f64
    }
}

impl Watched {
    fn patience_ms(&self) -> u64 {
        match self.has_spoken {
            true => SILENT_MS,
            false => FIRST_SILENT_MS,
        }
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        self.dark || now_ms.saturating_sub(self.heard_ms) >= self.patience_ms()
    }

    fn due_ms(&self) -> Option<u64> {
        match () {
            _ if self.asking => None,
            _ if self.dark => Some(self.rests_until_ms),
            _ if self.in_progress > 0 => {
                let silent_ms = self.heard_ms + self.patience_ms();
                Some(self.rests_until_ms.max(silent_ms))
            }
            _ => None,
        }
    }
}
