//! Waiting for admission, and the place of an admitted request.

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

/// `Queue` is what a request queues for.
pub(crate) struct Queue {
    /// The name under which capacity is counted.
    pub(crate) target: ModelName,
    /// Whether models are loaded for the demand; a service's instances are there or not.
    pub(crate) is_model: bool,
    /// Upstreams that could take the request now.
    pub(crate) upstreams: usize,
}

/// `Admitted` is the place of a started request. It is given back when dropped.
pub(crate) struct Admitted {
    place: Place,
    started_ms: u64,
    answered: bool,
}

impl Admitted {
    /// Notes that the request was answered, so that its run time counts.
    pub(crate) fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let shared = &self.place.shared;
        let ran_ms = shared.now_ms().saturating_sub(self.started_ms);
        if self.answered {
            shared.run_times.note(&self.place.target, ran_ms);
        }
        shared.desk.ended(self.place.ticket, ran_ms);
    }
}

/// `Place` tells the demand sink of a request's end, when dropped.
struct Place {
    shared: Arc<Shared>,
    ticket: Ticket,
    target: ModelName,
    is_model: bool,
}

impl Place {
    fn note(&self, event: DemandEvent) {
        if self.is_model {
            self.shared.demand.note(self.shared.now_ms(), event);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.note(DemandEvent::Ended {
            ticket: self.ticket,
        });
    }
}

/// Waits until a request is started, or returns why it is not.
pub(crate) fn admit(
    shared: &Arc<Shared>,
    context: &Context,
    queue: &Queue,
) -> Result<Admitted, Refusal> {
    let ticket = shared.desk.next_ticket();
    let queued_ms = shared.now_ms();
    let place = Place {
        shared: shared.clone(),
        ticket,
        target: queue.target.clone(),
        is_model: queue.is_model,
    };
    let step = Step::Queued {
        target: queue.target.to_string(),
        upstreams: queue.upstreams,
    };
    context.trace.note(queued_ms, step);
    // The demand goes first: a model that is loaded for it may be ready before the policy answers.
    place.note(DemandEvent::Arrived {
        ticket,
        model: queue.target.clone(),
        deadline_ms: context.deadline_ms,
    });
    let arrival = Arrival {
        ticket,
        target: queue.target.clone(),
        class: context.class.class.clone(),
        caller: context.caller.clone(),
        deadline_ms: context.deadline_ms,
        expected_run_ms: shared.run_times.expected_ms(&queue.target),
    };
    shared.desk.arrive(arrival, context.inbox.sender.clone());
    wait(shared, context, ticket)?;
    let started_ms = shared.now_ms();
    let wait_ms = started_ms.saturating_sub(queued_ms);
    place.note(DemandEvent::Started { ticket });
    context.trace.note(started_ms, Step::Admitted { wait_ms });
    shared.observer.observe(&waited(context, queue, wait_ms));
    Ok(Admitted {
        place,
        started_ms,
        answered: false,
    })
}

fn wait(shared: &Shared, context: &Context, ticket: Ticket) -> Result<(), Refusal> {
    let left = shared.left(context.deadline_ms);
    let refusal = match context.inbox.receiver.recv_timeout(left) {
        Ok(Control::Admitted) => return Ok(()),
        Ok(Control::Refused(refusal)) => return Err(refusal),
        Ok(Control::CallerGone) => caller_gone(),
        Err(_) => deadline_passed("the request was not started in time"),
    };
    if !shared.desk.withdraw(ticket) {
        give_back(shared, context, ticket);
    }
    Err(refusal)
}

/// Gives back the place of a request that was started while it was being withdrawn. The decision
/// is in the inbox already, because it was sent under the lock that the withdrawal took.
fn give_back(shared: &Shared, context: &Context, ticket: Ticket) {
    let decisions = context.inbox.receiver.try_iter();
    if decisions
        .into_iter()
        .any(|control| control == Control::Admitted)
    {
        shared.desk.ended(ticket, 0);
    }
}

fn waited(context: &Context, queue: &Queue, wait_ms: u64) -> ServingEvent {
    let class = context.class.class.clone();
    match queue.is_model && queue.upstreams == 0 {
        true => ServingEvent::ColdStart { class, wait_ms },
        false => ServingEvent::QueueWait { class, wait_ms },
    }
}

/// Returns the refusal of a request whose caller has gone.
pub(crate) fn caller_gone() -> Refusal {
    Refusal::not_run(
        RefusalReason::CallerGone,
        "the caller closed its connection",
    )
}

/// Returns the refusal of a request whose time is up.
pub(crate) fn deadline_passed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::DeadlinePassed, detail)
}
