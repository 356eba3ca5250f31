//! Details of demand by engine, which VMs report to the lease holder, and the load of engines, which
//! the holder announces.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Number of announcements of a model's answer counts after each change. Datagrams may be lost.
const ANNOUNCEMENTS_PER_CHANGE: u8 = 2;

/// Maximum number of engines whose load is announced. A row takes about nine bytes, and all rows have
/// to fit into one datagram.
const MAX_LOAD_ROWS: usize = 80;

/// Identity of an engine in messages: a hash of its name. Two engines with the same hash share their
/// counts, which are hints.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineKey(u32);

impl EngineKey {
    /// Returns the identity of the engine of this name.
    pub fn of(engine: &UpstreamName) -> Self {
        Self(xxh3_64(engine.as_str().as_bytes()) as u32)
    }
}

impl fmt::Debug for EngineKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EngineKey({:x})", self.0)
    }
}

/// Identity of a model in messages: a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelKey(u32);

impl ModelKey {
    /// Returns the identity of the model of this name.
    pub fn of(model: &ModelName) -> Self {
        Self(xxh3_64(model.as_str().as_bytes()) as u32)
    }
}

impl fmt::Debug for ModelKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ModelKey({:x})", self.0)
    }
}

/// Requests of one VM in progress at one engine for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// Engine that runs the requests.
    pub engine: EngineKey,
    /// Model that they need, or the base model of their adapter.
    pub model: ModelKey,
    /// Number of requests.
    pub requests: u16,
}

/// Requests of one VM that wait for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWait {
    /// Model that they need, or the base model of their adapter.
    pub model: ModelKey,
    /// Time in milliseconds in which the earliest of them has to start to be answered by its target.
    pub start_in_ms: u32,
    /// Number of requests that can still be answered by their target if the model is loaded at once.
    pub on_time: u16,
    /// Number of requests by rank, in order of rank.
    pub by_rank: Vec<(u8, u16)>,
}

/// Answers of one model that one VM has delivered since its process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelAnswers {
    /// Model, or the base model of the adapter.
    pub model: ModelKey,
    /// Number of answers that have begun.
    pub answered: u32,
    /// Number of answers that began after their target.
    pub late: u32,
}

/// Pace at which one engine has written streams of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePace {
    /// Engine that wrote the streams.
    pub engine: EngineKey,
    /// Model, or the base model of the adapter.
    pub model: ModelKey,
    /// Number of events after the first one of each stream.
    pub events: u32,
    /// Time in milliseconds from the first to the last event, summed over the streams.
    pub took_ms: u32,
}

/// Details of one VM's demand. Those of earlier releases have none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandDetail {
    /// All requests in progress, by engine and model.
    pub uses: Vec<EngineUse>,
    /// All waiting requests, by model.
    pub waits: Vec<ModelWait>,
    /// Answers of the models whose counts have changed.
    pub answers: Vec<ModelAnswers>,
    /// Paces of the streams that have ended since the last report.
    pub paces: Vec<EnginePace>,
}

/// Load of one engine over all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Engine.
    pub engine: EngineKey,
    /// Requests in progress there, as all VMs have reported them.
    pub requests: u16,
    /// Lasting speed in percent of the mean of the engines.
    pub speed_percent: u16,
}

/// Loads of the engines that are busy or whose speed differs, as the lease holder announces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoads {
    /// Loads by engine. An engine that is not listed is less than half full and of usual speed.
    pub rows: Vec<EngineLoad>,
}

impl EngineLoads {
    /// Returns the loads to announce, the busiest engines first if there are too many.
    pub fn new(mut rows: Vec<EngineLoad>) -> Self {
        rows.sort_unstable_by_key(|row| (Reverse(row.requests), row.engine));
        rows.truncate(MAX_LOAD_ROWS);
        Self { rows }
    }
}

/// Counts of a model's answers on one VM, with the number of announcements that are still due.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCounts {
    answered: u32,
    late: u32,
    announcements_left: u8,
}

/// Collects the answers and paces of one VM for its next report.
#[derive(Debug, Default)]
pub struct LocalAnswers {
    counts: BTreeMap<ModelKey, AnswerCounts>,
    paces: BTreeMap<(EngineKey, ModelKey), (u32, u32)>,
}

impl LocalAnswers {
    /// Records that an answer has begun.
    pub fn record_answer(&mut self, model: &ModelName, is_late: bool) {
        let counts = self.counts.entry(ModelKey::of(model)).or_default();
        counts.answered = counts.answered.wrapping_add(1);
        counts.late = counts.late.wrapping_add(u32::from(is_late));
        counts.announcements_left = ANNOUNCEMENTS_PER_CHANGE;
    }

    /// Records a stream that has ended: its events after the first one, and the time that they took.
    pub fn record_stream(
        &mut self,
        engine: &UpstreamName,
        model: &ModelName,
        events: u32,
        took_ms: u64,
    ) {
        let key = (EngineKey::of(engine), ModelKey::of(model));
        let (all_events, all_ms) = self.paces.entry(key).or_default();
        *all_events = all_events.saturating_add(events);
        *all_ms = all_ms.saturating_add(u32::try_from(took_ms).unwrap_or(u32::MAX));
    }

    /// Returns the answers whose counts have changed, and the paces since the last call.
    pub fn take(&mut self) -> (Vec<ModelAnswers>, Vec<EnginePace>) {
        let mut answers = Vec::new();
        for (model, counts) in &mut self.counts {
            if counts.announcements_left > 0 {
                counts.announcements_left -= 1;
                answers.push(ModelAnswers {
                    model: *model,
                    answered: counts.answered,
                    late: counts.late,
                });
            }
        }
        let paces = std::mem::take(&mut self.paces);
        let paces = paces
            .into_iter()
            .map(|((engine, model), (events, took_ms))| EnginePace {
                engine,
                model,
                events,
                took_ms,
            });
        (answers, paces.collect())
    }
}
