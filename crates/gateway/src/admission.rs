//! Waits for the admission policy's decision, and releases the slot of an admitted request.

use std::sync::Arc;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::ServingEvent;

use crate::context::Context;
use crate::context::Control;
use crate::shared::Shared;
use crate::trace::Step;

/// Target that a request asks admission for.
pub(crate) struct AdmissionRequest {
    /// Name under which capacity is counted: the model, or the service by `service_target`.
    pub(crate) target: ModelName,
    /// Whether the target is a model, for which replicas are loaded on demand. Instances of a
    /// service are never started by the gateway's demand.
    pub(crate) is_model: bool,
    /// Number of upstreams that could serve the request when it was queued; 0 for a cold start.
    pub(crate) upstreams: usize,
}

/// Capacity slot of a started request. Dropping it releases the slot.
pub(crate) struct Admitted {
    demand_guard: DemandGuard,
    started_ms: u64,
    answered: bool,
}

impl Admitted {
    /// Marks the request as answered, so that its run time enters the mean of its target.
    pub(crate) fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let shared = &self.demand_guard.shared;
        let ran_ms = shared.now_ms().saturating_sub(self.started_ms);
        if self.answered {
            shared.run_times.record(&self.demand_guard.target, ran_ms);
        }
        shared
            .admission_queue
            .record_end(self.demand_guard.ticket, ran_ms);
    }
}

/// Reports the end of a request to the demand sink when it is dropped.
struct DemandGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    target: ModelName,
    is_model: bool,
}

impl DemandGuard {
    fn report(&self, event: DemandEvent) {
        if self.is_model {
            self.shared.demand.note(self.shared.now_ms(), event);
        }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        self.report(DemandEvent::Ended {
            ticket: self.ticket,
        });
    }
}

/// Blocks until admission starts the request.
///
/// # Errors
///
/// The refusal, if admission refuses the request, its caller hangs up or its deadline passes.
pub(crate) fn admit(
    shared: &Arc<Shared>,
    context: &Context,
    admission_request: &AdmissionRequest,
) -> Result<Admitted, Refusal> {
    let ticket = shared.admission_queue.next_ticket();
    let queued_ms = shared.now_ms();
    let demand_guard = DemandGuard {
        shared: shared.clone(),
        ticket,
        target: admission_request.target.clone(),
        is_model: admission_request.is_model,
    };
    let step = Step::Queued {
        target: admission_request.target.to_string(),
        upstreams: admission_request.upstreams,
    };
    context.trace.record(queued_ms, step);
    // The demand is reported before the policy is asked: a model loaded for it may be ready sooner.
    demand_guard.report(DemandEvent::Arrived {
        ticket,
        model: admission_request.target.clone(),
        deadline_ms: context.deadline_ms,
    });
    let arrival = Arrival {
        ticket,
        target: admission_request.target.clone(),
        class: context.class.class.clone(),
        caller: context.caller.clone(),
        deadline_ms: context.deadline_ms,
        expected_run_ms: shared.run_times.expected_ms(&admission_request.target),
    };
    shared
        .admission_queue
        .enqueue(arrival, context.inbox.sender.clone());
    wait_for_decision(shared, context, ticket)?;
    let started_ms = shared.now_ms();
    let wait_ms = started_ms.saturating_sub(queued_ms);
    demand_guard.report(DemandEvent::Started { ticket });
    context.trace.record(started_ms, Step::Admitted { wait_ms });
    shared
        .observer
        .observe(&wait_event(context, admission_request, wait_ms));
    Ok(Admitted {
        demand_guard,
        started_ms,
        answered: false,
    })
}

fn wait_for_decision(shared: &Shared, context: &Context, ticket: Ticket) -> Result<(), Refusal> {
    let left = shared.time_left(context.deadline_ms);
    let refusal = match context.inbox.receiver.recv_timeout(left) {
        Ok(Control::Admitted) => return Ok(()),
        Ok(Control::Refused(refusal)) => return Err(refusal),
        Ok(Control::CallerGone) => caller_gone(),
        Err(_) => deadline_passed("the request was not started in time"),
    };
    if !shared.admission_queue.withdraw(ticket) {
        release_if_started(shared, context, ticket);
    }
    Err(refusal)
}

/// Releases the slot of a request that was started while it was being withdrawn. The decision is
/// already in the inbox, because it was sent under the lock that `withdraw` takes.
fn release_if_started(shared: &Shared, context: &Context, ticket: Ticket) {
    let decisions = context.inbox.receiver.try_iter();
    if decisions
        .into_iter()
        .any(|control| control == Control::Admitted)
    {
        shared.admission_queue.record_end(ticket, 0);
    }
}

fn wait_event(
    context: &Context,
    admission_request: &AdmissionRequest,
    wait_ms: u64,
) -> ServingEvent {
    let class = context.class.class.clone();
    match admission_request.is_model && admission_request.upstreams == 0 {
        true => ServingEvent::ColdStart { class, wait_ms },
        false => ServingEvent::QueueWait { class, wait_ms },
    }
}

/// Returns the refusal of a request whose caller has hung up.
pub(crate) fn caller_gone() -> Refusal {
    Refusal::not_run(
        RefusalReason::CallerGone,
        "the caller closed its connection",
    )
}

/// Returns the refusal of a request whose deadline has passed.
pub(crate) fn deadline_passed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::DeadlinePassed, detail)
}
