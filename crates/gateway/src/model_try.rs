//! One attempt at one engine: the thread that reads the engine's answer, and its relay.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::engine::ServeHead;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::errors::Error;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::select;

use crate::admission;
use crate::answer::Answer;
use crate::attempt::Attempt;
use crate::context::Context;
use crate::model_flow::ModelCall;
use crate::model_flow::TryFailure;
use crate::relay::Relay;
use crate::relay::Relayed;
use crate::shared::Shared;

/// Time by which the adapter's timeouts exceed the gateway's. The gateway ends a request at its
/// deadline; the adapter's timeout only frees the thread.
const ADAPTER_MARGIN_MS: u64 = 500;

/// How an attempt ended.
pub(crate) enum TryEnd {
    /// The caller has its complete answer.
    Answered,
    /// The attempt failed, and the request may be retried.
    Failed(TryFailure),
    /// The request ends without a retry.
    Stopped(Refusal),
}

/// Message from the thread that reads the engine's answer.
pub(crate) enum UpstreamEvent {
    /// Head of the answer.
    Begun(ServeHead),
    /// One event of a stream, or a complete body.
    Piece(Vec<u8>),
    /// End of the answer.
    Whole,
    /// Failure of the call, before or within the answer.
    Failed(Error),
}

/// Makes one attempt at an engine and relays its answer.
pub(crate) fn run(
    shared: &Arc<Shared>,
    context: &Context,
    call: &ModelCall,
    candidate: &Candidate,
    attempt: &Arc<Attempt>,
    answer: &mut Answer<'_>,
) -> TryEnd {
    let sent_ms = shared.now_ms();
    let events = match start_reading(shared, context, call, candidate, attempt) {
        Ok(events) => events,
        Err(error) => {
            let detail = format!("no thread for the request: {error}");
            return TryEnd::Stopped(Refusal::not_run(RefusalReason::Internal, detail));
        }
    };
    shared.learn_routing(RoutingEvent::Sent {
        upstream: candidate.upstream.clone(),
        prefix_hash: call.parsed.prefix_hash,
    });
    let mut relay = Relay::new(shared, context, answer);
    let end = follow(shared, context, &events, &mut relay);
    let first_byte_ms = relay
        .first_byte_ms()
        .map(|first| first.saturating_sub(sent_ms));
    let (ran, outcome) = match &end {
        TryEnd::Answered => (Ran::Ran, UpstreamOutcome::Answered),
        TryEnd::Failed(failure) => (failure.ran, failure.outcome),
        TryEnd::Stopped(refusal) => (relay.give_up(attempt), stopped_outcome(refusal)),
    };
    if matches!(end, TryEnd::Stopped(_)) && ran != Ran::NotRun {
        shared.cancels.send(candidate.address, &context.id);
    }
    attempt.settle(ran);
    shared.learn_routing(RoutingEvent::Ended {
        upstream: candidate.upstream.clone(),
        outcome,
        first_byte_ms,
    });
    end
}

fn stopped_outcome(refusal: &Refusal) -> UpstreamOutcome {
    match refusal.reason {
        RefusalReason::CallerGone => UpstreamOutcome::Cancelled,
        _ => UpstreamOutcome::Lost,
    }
}

/// Relays the engine's answer until it is complete, the attempt fails, or the request is stopped.
fn follow(
    shared: &Shared,
    context: &Context,
    events: &Receiver<UpstreamEvent>,
    relay: &mut Relay<'_, '_>,
) -> TryEnd {
    let idle = Duration::from_millis(shared.options.stream_idle_timeout_ms);
    let mut idle_deadline = Instant::now() + idle;
    loop {
        let wait = match relay.has_begun() {
            true => idle_deadline.saturating_duration_since(Instant::now()),
            false => shared.left(context.deadline_ms),
        };
        select! {
            recv(events) -> event => {
                let event = event.unwrap_or_else(|_| UpstreamEvent::Failed(thread_ended()));
                match relay.take(event) {
                    Relayed::More => idle_deadline = Instant::now() + idle,
                    Relayed::Nothing => {}
                    Relayed::End(end) => return end,
                }
            }
            recv(context.inbox.receiver) -> _ => return TryEnd::Stopped(admission::caller_gone()),
            default(wait) => return TryEnd::Stopped(out_of_time(relay.has_begun())),
        }
    }
}

fn thread_ended() -> Error {
    Error::unknown("the thread that read the answer ended")
}

fn out_of_time(has_begun: bool) -> Refusal {
    match has_begun {
        true => Refusal::ran(
            RefusalReason::UpstreamTimeout,
            "the engine stopped sending in the middle of its answer",
        ),
        false => admission::deadline_passed("the answer did not begin in time"),
    }
}

/// Starts the thread that sends the request and reads the answer.
fn start_reading(
    shared: &Arc<Shared>,
    context: &Context,
    call: &ModelCall,
    candidate: &Candidate,
    attempt: &Arc<Attempt>,
) -> std::io::Result<Receiver<UpstreamEvent>> {
    let left = shared.left(context.deadline_ms);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let request = ServeRequest {
        id: context.id.clone(),
        path: call.path.to_owned(),
        body: call.body.clone(),
        stream: call.parsed.stream,
        first_byte_timeout_ms: left_ms.saturating_add(ADAPTER_MARGIN_MS),
        idle_timeout_ms: shared.options.stream_idle_timeout_ms + ADAPTER_MARGIN_MS,
        priority: u32::try_from(context.class.answer_within_ms).unwrap_or(u32::MAX),
    };
    let (sender, receiver) = crossbeam_channel::bounded(shared.options.piece_queue);
    let reading = Reading {
        shared: shared.clone(),
        engine: candidate.address,
        request,
        attempt: attempt.clone(),
        events: sender,
    };
    shared.workers.run(move || reading.run())?;
    Ok(receiver)
}

/// Thread that sends the request and reads the engine's answer. It ends with the answer or once
/// the receiver is dropped, and closes its connection to the engine then.
struct Reading {
    shared: Arc<Shared>,
    engine: std::net::SocketAddr,
    request: ServeRequest,
    attempt: Arc<Attempt>,
    events: Sender<UpstreamEvent>,
}

impl Reading {
    fn run(self) {
        if !self.attempt.begin_send() {
            return;
        }
        let mut answer = match self.shared.serving.serve(self.engine, &self.request) {
            Ok(answer) => answer,
            Err(error) => {
                let _ = self.events.send(UpstreamEvent::Failed(error));
                return;
            }
        };
        let mut event = UpstreamEvent::Begun(answer.head().clone());
        while self.events.send(event).is_ok() {
            event = match answer.next_piece() {
                Ok(Some(piece)) => UpstreamEvent::Piece(piece),
                Ok(None) => UpstreamEvent::Whole,
                Err(error) => UpstreamEvent::Failed(error),
            };
            if let UpstreamEvent::Whole | UpstreamEvent::Failed(_) = event {
                let _ = self.events.send(event);
                return;
            }
        }
    }
}
