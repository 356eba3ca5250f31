//! Runs the baseline and the default policies, and compares their results.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::case::Case;
use crate::deployment::Deployment;
use crate::errors::Result;
use crate::floors;
use crate::measures::Results;
use crate::policies::PolicySet;
use crate::trace::Trace;
use crate::trace::trace;
use crate::world::World;

const MINUTE_MS: u64 = 60_000;

/// Idle timeouts of the baseline in the case `usual`.
pub const TIMEOUTS_MS: [u64; 7] = [
    MINUTE_MS,
    5 * MINUTE_MS,
    10 * MINUTE_MS,
    20 * MINUTE_MS,
    30 * MINUTE_MS,
    60 * MINUTE_MS,
    180 * MINUTE_MS,
];

/// Idle timeouts of the baseline in all other cases.
pub const FAULT_TIMEOUTS_MS: [u64; 4] = [
    5 * MINUTE_MS,
    20 * MINUTE_MS,
    60 * MINUTE_MS,
    180 * MINUTE_MS,
];

/// Results of one case of one deployment.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: String,
    /// Case that was replayed.
    pub case: Case,
    /// Idle timeouts of the baseline, each with its results.
    pub baselines: Vec<(u64, Results)>,
    /// Results of the default policies.
    pub chosen: Results,
    /// Lower bound of the idle accelerator hours for a policy with which no request waits longer
    /// than for the fastest load.
    pub idle_floor_hours: f64,
}

/// Comparison of one measure.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the measure.
    pub measure: String,
    /// Idle timeout of the baseline run that serves for the comparison.
    pub timeout_ms: u64,
    /// Value of the baseline.
    pub baseline: f64,
    /// Value of the default policies.
    pub chosen: f64,
}

impl Line {
    /// Returns the default policies' value as a multiple of the baseline's, and 1 if both are zero.
    pub fn ratio(&self) -> f64 {
        match self.baseline {
            0.0 if self.chosen == 0.0 => 1.0,
            baseline => self.chosen / baseline,
        }
    }
}

/// Returns whether a higher value of a measure is better.
fn is_higher_better(measure: &str) -> bool {
    measure.starts_with("met_share") || measure == "goodput_share"
}

impl Comparison {
    /// Returns a line for each measure, with the idle timeout whose baseline is best in it.
    pub fn lines(&self) -> Vec<Line> {
        self.chosen
            .entries()
            .map(|(measure, chosen)| {
                let (timeout_ms, baseline) = self.strongest(measure);
                Line {
                    measure: measure.to_owned(),
                    timeout_ms,
                    baseline,
                    chosen,
                }
            })
            .collect()
    }

    /// Returns the idle timeout and value of the best baseline for a measure.
    ///
    /// For idle hours alone, the shortest timeout would always be best, although it misses the most
    /// targets. Candidates for that measure are therefore only the timeouts that meet as many
    /// targets as the default policies; if there is none, the one that meets the most targets.
    fn strongest(&self, measure: &str) -> (u64, f64) {
        let met = self.chosen.get("met_share");
        let meets_as_many = |results: &Results| results.get("met_share") >= met;
        let eligible: Vec<&(u64, Results)> = match measure {
            "idle_accelerator_hours" => self
                .baselines
                .iter()
                .filter(|(_, results)| meets_as_many(results))
                .collect(),
            _ => self.baselines.iter().collect(),
        };
        let best_by = |candidates: &[&(u64, Results)], measure: &str| {
            let sign = if is_higher_better(measure) { -1.0 } else { 1.0 };
            let best = candidates.iter().min_by(|left, right| {
                let (left, right) = (left.1.get(measure), right.1.get(measure));
                (sign * left).total_cmp(&(sign * right))
            });
            best.map(|(timeout_ms, _)| *timeout_ms)
        };
        let all: Vec<&(u64, Results)> = self.baselines.iter().collect();
        let timeout_ms = best_by(&eligible, measure)
            .or_else(|| best_by(&all, "met_share"))
            .unwrap_or(0);
        let results = self
            .baselines
            .iter()
            .find(|(tried_ms, _)| *tried_ms == timeout_ms);
        (
            timeout_ms,
            results.map_or(0.0, |(_, results)| results.get(measure)),
        )
    }
}

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether the baseline runs too.
    pub with_baseline: bool,
    /// Seed of the traces and of the randomized policies.
    pub seed: u64,
    /// Maximum number of simultaneous runs, each on one core.
    pub workers: usize,
    /// Whether the default routing is mild; see [`PolicySet::mild_routing`].
    pub mild_routing: bool,
}

impl Options {
    /// Returns the idle timeouts of the baseline in a case, none if it does not run.
    fn timeouts_ms(&self, case: Case) -> &'static [u64] {
        match case {
            _ if !self.with_baseline => &[],
            Case::Usual => &TIMEOUTS_MS,
            _ => &FAULT_TIMEOUTS_MS,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            with_baseline: true,
            seed: 1,
            workers: 1,
            mild_routing: false,
        }
    }
}

/// One run to be executed by a worker.
struct Job {
    scenario: usize,
    set: PolicySet,
}

/// Runs all cases of all deployments, with the baseline once for each idle timeout. Returns the
/// comparisons, ordered by deployment and case.
///
/// # Errors
///
/// [`Error::UnknownPolicy`](crate::Error::UnknownPolicy) if a policy is not registered.
pub fn compare(
    deployments: &[Deployment],
    cases: &[Case],
    options: &Options,
) -> Result<Vec<Comparison>> {
    let scenarios: Vec<(&Deployment, Case, Trace)> = deployments
        .iter()
        .flat_map(|deployment| cases.iter().map(move |case| (deployment, *case)))
        .map(|(deployment, case)| {
            let trace = trace(
                deployment,
                options.seed,
                case.until_ms(),
                case.surge(deployment),
            );
            (deployment, case, trace)
        })
        .collect();
    let jobs: Vec<Job> = scenarios
        .iter()
        .enumerate()
        .flat_map(|(scenario, (_, case, _))| {
            let chosen = std::iter::once(PolicySet::chosen(options.seed, options.mild_routing));
            let baselines = options
                .timeouts_ms(*case)
                .iter()
                .map(|timeout_ms| PolicySet::baseline(*timeout_ms, options.seed));
            let sets: Vec<PolicySet> = chosen.chain(baselines).collect();
            sets.into_iter().map(move |set| Job { scenario, set })
        })
        .collect();
    let results = run(&scenarios, &jobs, options.workers)?;
    let mut results = results.into_iter();
    let mut next_result = || results.next().expect("each job has one result");
    Ok(scenarios
        .iter()
        .map(|(deployment, case, trace)| Comparison {
            deployment: deployment.name.clone(),
            case: *case,
            chosen: next_result(),
            baselines: options
                .timeouts_ms(*case)
                .iter()
                .map(|timeout_ms| (*timeout_ms, next_result()))
                .collect(),
            idle_floor_hours: floors::idle_hours(deployment, trace, *case),
        })
        .collect())
}

fn run(
    scenarios: &[(&Deployment, Case, Trace)],
    jobs: &[Job],
    workers: usize,
) -> Result<Vec<Results>> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<Option<Result<Results>>>> = Mutex::new(jobs.iter().map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..workers.max(1) {
            scope.spawn(|| {
                while let Some((index, job)) = take_job(&next, jobs) {
                    let (deployment, case, trace) = &scenarios[job.scenario];
                    let world = World::new(deployment, trace, *case, job.set.clone());
                    let results = world.map(|world| world.run().results());
                    done.lock().expect("no worker panics with the lock")[index] = Some(results);
                }
            });
        }
    });
    done.into_inner()
        .expect("no worker panics with the lock")
        .into_iter()
        .map(|result| result.expect("each job has a result"))
        .collect()
}

fn take_job<'a>(next: &AtomicUsize, jobs: &'a [Job]) -> Option<(usize, &'a Job)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    jobs.get(index).map(|job| (index, job))
}
