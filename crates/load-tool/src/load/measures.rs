//! Results of a run, under the names that the policy replay prints.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::Trace;

use crate::load::daemon_counts::DaemonCounts;
use crate::load::effects::Effects;
use crate::load::effects::KilledVm;
use crate::load::effects::Violations;
use crate::load::effects::is_lost_with_vm;
use crate::load::record::Record;
use crate::load::scale::Scale;
use crate::load::schedule::PlannedRequest;
use crate::load::schedule::Work;
use crate::load::timeline::Occupancy;
use crate::load::timeline::Timeline;

const SECONDS_PER_HOUR: f64 = 3_600.0;
const MS_PER_S: f64 = 1_000.0;
const US_PER_MS: f64 = 1_000.0;

/// Upper bound of the histograms; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Delay after the class target from which an answer or refusal counts as overdue. It allows for
/// the transfer of the answer and for scheduling delays of the machine.
const OVERDUE_TOLERANCE: Duration = Duration::from_millis(250);

/// Data collected during a run.
#[derive(Clone, Debug)]
pub struct RunData {
    /// Requests of the schedule.
    pub schedule: Vec<PlannedRequest>,
    /// Records of the requests that were sent, retries by callers included.
    pub records: Vec<Record>,
    /// Models held by the engines.
    pub timeline: Timeline,
    /// Effects counted by the stand-ins.
    pub effects: Effects,
    /// Counters of the daemons, as increases during the measured time.
    pub counts: DaemonCounts,
    /// VM killed during the run, or none.
    pub killed: Option<KilledVm>,
}

/// Values of a run with their names, in the order in which they are printed.
pub type Results = Vec<(String, f64)>;

/// Evaluation of a run's data.
pub struct Evaluation<'a> {
    deployment: &'a Deployment,
    trace: &'a Trace,
    scale: &'a Scale,
    data: &'a RunData,
}

impl<'a> Evaluation<'a> {
    /// Returns the evaluation of a run's data.
    pub fn new(
        deployment: &'a Deployment,
        trace: &'a Trace,
        scale: &'a Scale,
        data: &'a RunData,
    ) -> Self {
        Self {
            deployment,
            trace,
            scale,
            data,
        }
    }

    /// Counts the violations during the run, its warm-up included.
    pub fn violations(&self) -> Violations {
        let data = self.data;
        Violations::count(&data.effects, &data.schedule, &data.records, data.killed)
    }

    /// Returns the values measured without the warm-up, but for `loads_decided` and `loads_done`,
    /// which count the whole run.
    pub fn results(&self) -> Results {
        let mut results = Vec::new();
        self.add_cold_starts(&mut results);
        self.add_times(&mut results);
        self.add_idle(&mut results);
        self.add_shares(&mut results);
        let requests = self.measured().count();
        let retries = self.data.counts.retries as f64;
        add(
            &mut results,
            "retries_per_request",
            retries / requests.max(1) as f64,
        );
        add(
            &mut results,
            "loads_decided",
            self.data.effects.decided_loads() as f64,
        );
        let done = self.data.effects.loads_done();
        add(&mut results, "loads_done", done as f64);
        add(&mut results, "requests", requests as f64);
        results
    }

    /// Returns the measured requests: no warm-up, no duplicates, no retries after a refusal.
    fn measured(&self) -> impl Iterator<Item = (&PlannedRequest, &Record)> {
        let from = self.scale.moment(0.0);
        let records = self.data.records.iter();
        records
            .map(|record| (&self.data.schedule[record.planned], record))
            .filter(move |(planned, record)| {
                planned.at >= from && !planned.is_duplicate && !record.is_caller_retry
            })
    }

    /// Returns the models that were requested but not loaded before the end, with the number of
    /// measured requests that found them not loaded.
    pub fn never_loaded(&self) -> BTreeMap<&str, u32> {
        let mut models = BTreeMap::new();
        for (model, _, loaded) in self.cold_starts() {
            if loaded.is_none() {
                *models.entry(model).or_default() += 1;
            }
        }
        models
    }

    /// Returns the requests for models that no engine could serve on arrival: the model, the time
    /// of arrival, and the time from which an engine could serve it (none: not before the end).
    fn cold_starts(&self) -> impl Iterator<Item = (&str, Duration, Option<Duration>)> {
        let asked = self
            .measured()
            .filter_map(|(planned, _)| match planned.work {
                Work::Completion { model, .. } => {
                    Some((self.trace.models[model].model.as_str(), planned.at))
                }
                Work::ShelfLookup { .. } | Work::CutOrder { .. } => None,
            });
        asked
            .map(|(model, at)| (model, at, self.data.timeline.first_loaded(model, at)))
            .filter(|(_, at, loaded)| *loaded != Some(*at))
    }

    /// Adds the waits of requests for the load of their model, whether or not they were refused. A
    /// wait that lasts beyond the end of the run counts up to the end.
    fn add_cold_starts(&self, results: &mut Results) {
        let end = self.data.timeline.end();
        let mut waits = histogram();
        for (_, at, loaded) in self.cold_starts() {
            record(&mut waits, loaded.unwrap_or(end).saturating_sub(at));
        }
        let never: u32 = self.never_loaded().values().sum();
        let requests = self.measured().count().max(1) as f64;
        add(results, "cold_start_p99_ms", percentile_ms(&waits, 0.99));
        add(results, "cold_start_p50_ms", percentile_ms(&waits, 0.5));
        add(results, "cold_start_share", waits.len() as f64 / requests);
        add(results, "cold_starts_never_loaded", f64::from(never));
    }

    fn add_times(&self, results: &mut Results) {
        let mut first = histogram();
        let mut gaps = histogram();
        for (planned, one) in self.measured() {
            if !matches!(planned.work, Work::Completion { stream: true, .. }) {
                continue;
            }
            if let Some(at) = one.first {
                record(&mut first, at.saturating_sub(planned.at));
            }
            for gap_us in &one.gaps_us {
                gaps.saturating_record(u64::from(*gap_us));
            }
        }
        add(results, "first_token_p95_ms", percentile_ms(&first, 0.95));
        add(results, "first_token_p50_ms", percentile_ms(&first, 0.5));
        add(results, "inter_token_p95_ms", percentile_ms(&gaps, 0.95));
    }

    fn add_idle(&self, results: &mut Results) {
        let idle = self.data.timeline.idle(
            &self.occupancies(),
            self.deployment.engines.capacity_bytes,
            self.scale.moment(0.0),
            self.scale.moment(1.0),
        );
        let hours = |seconds: f64| seconds / SECONDS_PER_HOUR;
        add(results, "idle_accelerator_hours", hours(idle.as_secs_f64()));
        let counted = self.data.counts.idle_engine_s as f64;
        add(results, "idle_engine_hours_by_daemons", hours(counted));
    }

    /// Returns the intervals in which requests occupied engines. The interval of a stream begins
    /// with the prefill, as estimated from the first token.
    fn occupancies(&self) -> Vec<Occupancy> {
        let first_token_ms = self.deployment.classes[0].first_token_ms;
        let prefill = Duration::from_millis(self.scale.time_ms(first_token_ms));
        let used = self.data.records.iter().filter_map(|record| {
            let Work::Completion { model, stream, .. } = self.data.schedule[record.planned].work
            else {
                return None;
            };
            let engine = record.engine.clone()?;
            let from = match record.first {
                Some(first) if stream => first.saturating_sub(prefill).max(record.sent),
                _ => record.sent,
            };
            let model = &self.trace.models[model];
            let base = model.base.map(|base| &self.trace.models[base].model);
            let models = std::iter::once(&model.model).chain(base);
            Some(Occupancy {
                engine,
                models: models.map(ToString::to_string).collect(),
                from,
                to: record.ended,
            })
        });
        used.collect()
    }

    fn add_shares(&self, results: &mut Results) {
        let classes = &self.deployment.classes;
        let mut arrived = vec![0_u32; classes.len()];
        let mut met = vec![0_u32; classes.len()];
        let mut refused: BTreeMap<&str, u32> = BTreeMap::new();
        let (mut overdue, mut lost) = (0, 0);
        for (planned, one) in self.measured() {
            let target =
                Duration::from_millis(self.scale.time_ms(classes[planned.class].answer_within_ms));
            let due = planned.at + target;
            arrived[planned.class] += 1;
            met[planned.class] += u32::from(one.first.is_some_and(|first| first <= due));
            if let Some(refusal) = one.ending.refusal() {
                *refused.entry(refusal.reason.as_str()).or_default() += 1;
            }
            overdue += u32::from(one.first.unwrap_or(one.ended) > due + OVERDUE_TOLERANCE);
            lost += u32::from(is_lost_with_vm(one, self.data.killed));
        }
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        for (index, class) in classes.iter().enumerate() {
            let name = format!("met_share.{}", class.class);
            add(results, name, share(met[index], arrived[index]));
        }
        let all = arrived.iter().sum();
        add(results, "met_share", share(met.iter().sum(), all));
        add(results, "refused_share", share(refused.values().sum(), all));
        for (reason, count) in refused {
            add(
                results,
                format!("refused_share.{reason}"),
                share(count, all),
            );
        }
        add(results, "overdue_share", share(overdue, all));
        add(results, "lost_with_vm", f64::from(lost));
    }
}

fn add(results: &mut Results, name: impl Into<String>, value: f64) {
    results.push((name.into(), value));
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_US, 3).expect("three digits up to ten minutes are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let us = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US);
    histogram.saturating_record(us);
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / US_PER_MS
}

/// Converts a duration to milliseconds.
pub fn in_ms(time: Duration) -> f64 {
    time.as_secs_f64() * MS_PER_S
}
