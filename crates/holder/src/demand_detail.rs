//! Details of demand, which VMs report to the lease holder, and speeds of engines, which the holder
//! announces.

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

/// Maximum number of engines whose speed is announced. A row takes about seven bytes, and all rows have
/// to fit into one datagram.
const MAX_SPEED_ROWS: usize = 100;

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

/// Answers of one model that one VM has delivered since its process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelAnswers {
    /// Model, or the base model of the adapter.
    pub model: ModelKey,
    /// Number of answers that have begun.
    pub answered: u32,
    /// Number of answers that began after their target.
    pub late: u32,
    /// Most urgent rank of the requests that were answered.
    pub rank: u8,
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

/// Requests of one rank that one VM has received for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankUse {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Number of requests that have arrived since the VM's process started, including refused ones.
    pub arrived: u32,
    /// Number of requests that wait to be sent.
    pub waiting: u16,
}

/// Requests of one VM for one service with engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Key of the service.
    pub service: u32,
    /// Number of requests that engines are working on.
    pub in_progress: u16,
    /// Number of requests that have ended at engines since the VM's process started.
    pub ended: u32,
    /// Time in milliseconds that these have taken.
    pub ended_ms: u64,
    /// Requests by rank, in order of rank.
    pub ranks: Vec<RankUse>,
}

/// Details of one VM's demand. Those of earlier releases have none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandDetail {
    /// All requests in progress, by engine and model.
    pub uses: Vec<EngineUse>,
    /// Answers of the models whose counts have changed.
    pub answers: Vec<ModelAnswers>,
    /// Paces of the streams that have ended since the last report.
    pub paces: Vec<EnginePace>,
    /// All services that have been requested.
    pub services: Vec<ServiceUse>,
}

/// Lasting speed of one engine, as the lease holder announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpeedRow {
    /// Engine.
    pub engine: EngineKey,
    /// Lasting speed in percent of the mean of the engines.
    pub percent: u16,
}

impl EngineSpeedRow {
    /// Returns the speeds to announce: those that differ most, if there are too many.
    pub fn most_uneven(mut rows: Vec<Self>) -> Vec<Self> {
        let evenness = |row: &Self| Reverse(row.percent.abs_diff(100));
        rows.sort_unstable_by_key(|row| (evenness(row), row.engine));
        rows.truncate(MAX_SPEED_ROWS);
        rows
    }
}

/// Counts of a model's answers on one VM, with the number of announcements that are still due.
#[derive(Clone, Copy, Debug)]
struct AnswerCounts {
    answered: u32,
    late: u32,
    rank: u8,
    announcements_left: u8,
}

/// Counts of one service's requests on one VM.
#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    arrived: BTreeMap<u8, u32>,
    ended: u32,
    ended_ms: u64,
}

/// Collects the arrivals, answers and paces of one VM for its next report.
#[derive(Debug, Default)]
pub struct LocalDetail {
    answers: BTreeMap<ModelKey, AnswerCounts>,
    paces: BTreeMap<(EngineKey, ModelKey), (u32, u32)>,
    services: BTreeMap<u32, ServiceCounts>,
}

impl LocalDetail {
    /// Records that a request for a service has arrived.
    pub fn record_arrival(&mut self, service: u32, rank: u8) {
        let counts = self.services.entry(service).or_default();
        let arrived = counts.arrived.entry(rank).or_default();
        *arrived = arrived.wrapping_add(1);
    }

    /// Records that a request has ended at an engine after this time.
    pub fn record_end(&mut self, service: u32, took_ms: u64) {
        let counts = self.services.entry(service).or_default();
        counts.ended = counts.ended.wrapping_add(1);
        counts.ended_ms += took_ms;
    }

    /// Records that an answer has begun.
    pub fn record_answer(&mut self, model: &ModelName, rank: u8, is_late: bool) {
        let counts = self.answers.entry(ModelKey::of(model));
        let counts = counts.or_insert(AnswerCounts {
            answered: 0,
            late: 0,
            rank,
            announcements_left: 0,
        });
        counts.answered = counts.answered.wrapping_add(1);
        counts.late = counts.late.wrapping_add(u32::from(is_late));
        counts.rank = counts.rank.min(rank);
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

    /// Returns the details to report, with the requests that the caller has counted: those in progress
    /// by engine and model, those in progress by service, and those that wait by service and rank. The
    /// paces are returned once.
    pub fn take(
        &mut self,
        uses: Vec<EngineUse>,
        in_progress: &BTreeMap<u32, u16>,
        waiting: &BTreeMap<(u32, u8), u16>,
    ) -> DemandDetail {
        let mut answers = Vec::new();
        for (model, counts) in &mut self.answers {
            if counts.announcements_left > 0 {
                counts.announcements_left -= 1;
                answers.push(ModelAnswers {
                    model: *model,
                    answered: counts.answered,
                    late: counts.late,
                    rank: counts.rank,
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
        let services = self.services.iter().map(|(service, counts)| {
            let ranks = counts.arrived.iter().map(|(rank, arrived)| RankUse {
                rank: *rank,
                arrived: *arrived,
                waiting: waiting.get(&(*service, *rank)).copied().unwrap_or_default(),
            });
            ServiceUse {
                service: *service,
                in_progress: in_progress.get(service).copied().unwrap_or_default(),
                ended: counts.ended,
                ended_ms: counts.ended_ms,
                ranks: ranks.collect(),
            }
        });
        DemandDetail {
            uses,
            answers,
            paces: paces.collect(),
            services: services.collect(),
        }
    }
}
