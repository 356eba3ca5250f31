//! Decisions on requests that no upstream can take now.

use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::Directory;
use apricotdale_fleet::Upstream;

use crate::dispatcher::Dispatcher;
use crate::eligibility::continuation_refusal;
use crate::job::DispatchDecision;
use crate::job::Job;
use crate::job::WaitReason;
use crate::job::refusal_of;

/// `Retry-After` of a request that found no free upstream before its deadline. Upstreams are full
/// only for moments.
const LATE_RETRY_AFTER_MS: u64 = 300;

/// How long a request waits for a load to be planned if all engines with its model are used up.
const LOAD_PLANNING_MS: u64 = 500;

/// `Retry-After` of a request to a service of which all upstreams leave. Others have to start
/// first.
const LEAVING_RETRY_AFTER_MS: u64 = 1_000;

impl Dispatcher {
    /// Decides on a request for which every upstream states a rate limit that is used up. It waits
    /// for another engine to load its model if that is expected in time, and is refused otherwise.
    pub(crate) fn decide_used_up(
        &self,
        now_ms: u64,
        directory: &Directory,
        job: &Job,
        capable: &[&Upstream],
    ) -> DispatchDecision {
        let without_upstream = match &job.wanted {
            Some(_) => self.decide_without_upstream(now_ms, directory, job),
            None => DispatchDecision::Wait(WaitReason::Full),
        };
        let is_planned = self.forecast_in_ms(now_ms, job).is_some();
        let may_be_planned = job.wanted.is_some() && now_ms < job.arrived_ms + LOAD_PLANNING_MS;
        match without_upstream {
            DispatchDecision::Wait(reason) if is_planned || may_be_planned => {
                DispatchDecision::Wait(reason)
            }
            _ => {
                let limits = capable.iter().map(|upstream| &upstream.name);
                let retry_after_ms = limits
                    .map(|name| self.stated_limits.retry_after_ms(name))
                    .min();
                let detail = "all upstreams for the request state a rate limit that is used up";
                let refusal = refusal_of(job, RefusalReason::UpstreamLimited, detail.to_owned());
                let retry_after_ms = retry_after_ms.unwrap_or_default();
                DispatchDecision::Refuse(retry_after(refusal, retry_after_ms))
            }
        }
    }

    /// Decides on a request for which every upstream is at rest. It waits for the end of the first
    /// rest, or for a load on another engine, if it can then be answered in time; a retry would not
    /// come earlier. It is refused otherwise.
    pub(crate) fn decide_at_rest(
        &self,
        now_ms: u64,
        job: &Job,
        capable: &[&Upstream],
    ) -> DispatchDecision {
        let ends = capable
            .iter()
            .filter_map(|upstream| self.availability.rest_end_ms(now_ms, &upstream.name));
        let end_ms = ends.min().unwrap_or(now_ms);
        let load_ms = self.forecast_in_ms(now_ms, job).map(|in_ms| now_ms + in_ms);
        let start_ms = load_ms.map_or(end_ms, |load_ms| load_ms.min(end_ms));
        if start_ms + job.expected_run_ms <= job.deadline_ms {
            return DispatchDecision::Wait(WaitReason::Full);
        }
        let detail = "all upstreams for the request have asked for rest".to_owned();
        let refusal = refusal_of(job, RefusalReason::UpstreamResting, detail);
        DispatchDecision::Refuse(retry_after(refusal, start_ms - now_ms))
    }

    pub(crate) fn decide_without_upstream(
        &self,
        now_ms: u64,
        directory: &Directory,
        job: &Job,
    ) -> DispatchDecision {
        if let Some(refusal) = continuation_refusal(directory, job) {
            return DispatchDecision::Refuse(refusal);
        }
        if directory.is_leaving(&job.service) {
            return DispatchDecision::Refuse(leaving_refusal(job));
        }
        let Some(wanted) = &job.wanted else {
            return DispatchDecision::Wait(WaitReason::Full);
        };
        let known = directory
            .service(&job.service)
            .and_then(|service| service.engine.as_ref())
            .is_some_and(|engine| engine.models.contains_key(&wanted.model));
        if !known {
            let detail = format!("no model {} is configured", wanted.model);
            return DispatchDecision::Refuse(refusal_of(job, RefusalReason::NoCapacity, detail));
        }
        let start_by_ms = job.deadline_ms.saturating_sub(job.expected_run_ms);
        match self
            .forecasts
            .get(now_ms, &wanted.model)
            .and_then(|forecast| forecast.ready_ms)
        {
            Some(ready_ms) if ready_ms > start_by_ms => {
                DispatchDecision::Refuse(self.load_too_late_refusal(job))
            }
            _ if now_ms > start_by_ms => DispatchDecision::Refuse(self.load_too_late_refusal(job)),
            _ => DispatchDecision::Wait(WaitReason::Missing),
        }
    }

    fn load_too_late_refusal(&self, job: &Job) -> Refusal {
        let model = job
            .wanted
            .as_ref()
            .map_or("", |wanted| wanted.model.as_str());
        let detail = format!("{model} can't be loaded in time");
        refusal_of(job, RefusalReason::DeadlineTooShort, detail)
    }

    pub(crate) fn deadline_refusal(&self, job: &Job) -> Refusal {
        let detail = "no upstream was free in time".to_owned();
        let refusal = refusal_of(job, RefusalReason::DeadlineTooShort, detail);
        retry_after(refusal, LATE_RETRY_AFTER_MS)
    }
}

fn leaving_refusal(job: &Job) -> Refusal {
    let detail = "all upstreams of the service leave".to_owned();
    let refusal = refusal_of(job, RefusalReason::UpstreamLeaving, detail);
    retry_after(refusal, LEAVING_RETRY_AFTER_MS)
}

/// States when the caller may retry, unless the request may have run.
fn retry_after(refusal: Refusal, retry_after_ms: u64) -> Refusal {
    match refusal.ran {
        Ran::NotRun => refusal.retry_after(retry_after_ms),
        Ran::Ran | Ran::Unknown => refusal,
    }
}
