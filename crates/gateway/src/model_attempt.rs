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
use crate::context::Context;
use crate::model_flow::FailedAttempt;
use crate::model_flow::ModelCall;
use crate::relay::Relay;
use crate::relay::RelayProgress;
use crate::send_gate::SendGate;
use crate::shared::Shared;

/// Time by which the adapter's timeouts exceed the gateway's. The gateway ends a request at its
/// deadline; the adapter's timeout only frees the thread.
const ADAPTER_TIMEOUT_MARGIN_MS: u64 = 500;

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The caller has its complete answer.
    Answered,
    /// The attempt failed, and the request may be retried.
    Failed(FailedAttempt),
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
    Complete,
    /// Failure of the call, before or within the answer.
    Failed(Error),
}

/// Makes one attempt at an engine and relays its answer.
pub(crate) fn run(
    shared: &Arc<Shared>,
    context: &Context,
    call: &ModelCall,
    candidate: &Candidate,
    send_gate: &Arc<SendGate>,
    answer: &mut Answer<'_>,
) -> AttemptEnd {
    let sent_ms = shared.now_ms();
    let events = match start_reading(shared, context, call, candidate, send_gate) {
        Ok(events) => events,
        Err(error) => {
            let detail = format!("no thread for the request: {error}");
            return AttemptEnd::Stopped(Refusal::not_run(RefusalReason::Internal, detail));
        }
    };
    shared.learn_routing(RoutingEvent::Sent {
        upstream: candidate.upstream.clone(),
        prefix_hash: call.parsed.prefix_hash,
    });
    let mut relay = Relay::new(shared, context, answer);
    let end = relay_answer(shared, context, &events, &mut relay);
    let first_byte_ms = relay
        .first_byte_ms()
        .map(|first| first.saturating_sub(sent_ms));
    let (ran, outcome) = match &end {
        AttemptEnd::Answered => (Ran::Ran, UpstreamOutcome::Answered),
        AttemptEnd::Failed(failure) => (failure.ran, failure.outcome),
        AttemptEnd::Stopped(refusal) => (relay.give_up(send_gate), stopped_outcome(refusal)),
    };
    if matches!(end, AttemptEnd::Stopped(_)) && ran != Ran::NotRun {
        shared.cancel_sender.send(candidate.address, &context.id);
    }
    send_gate.record_outcome(ran);
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
fn relay_answer(
    shared: &Shared,
    context: &Context,
    events: &Receiver<UpstreamEvent>,
    relay: &mut Relay<'_, '_>,
) -> AttemptEnd {
    let idle = Duration::from_millis(shared.options.stream_idle_timeout_ms);
    let mut idle_deadline = Instant::now() + idle;
    loop {
        let wait = match relay.has_begun() {
            true => idle_deadline.saturating_duration_since(Instant::now()),
            false => shared.time_left(context.deadline_ms),
        };
        select! {
            recv(events) -> event => {
                let event = event.unwrap_or_else(|_| UpstreamEvent::Failed(reader_ended()));
                match relay.handle_event(event) {
                    RelayProgress::Progress => idle_deadline = Instant::now() + idle,
                    RelayProgress::KeepAlive => {}
                    RelayProgress::End(end) => return end,
                }
            }
            recv(context.inbox.receiver) -> _ => return AttemptEnd::Stopped(admission::caller_gone()),
            default(wait) => return AttemptEnd::Stopped(timeout_refusal(relay.has_begun())),
        }
    }
}

fn reader_ended() -> Error {
    Error::unknown("the thread that read the answer ended")
}

fn timeout_refusal(has_begun: bool) -> Refusal {
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
    send_gate: &Arc<SendGate>,
) -> std::io::Result<Receiver<UpstreamEvent>> {
    let left = shared.time_left(context.deadline_ms);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let request = ServeRequest {
        id: context.id.clone(),
        path: call.path.to_owned(),
        body: call.body.clone(),
        stream: call.parsed.stream,
        first_byte_timeout_ms: left_ms.saturating_add(ADAPTER_TIMEOUT_MARGIN_MS),
        idle_timeout_ms: shared.options.stream_idle_timeout_ms + ADAPTER_TIMEOUT_MARGIN_MS,
        priority: u32::try_from(context.class.answer_within_ms).unwrap_or(u32::MAX),
    };
    let (sender, receiver) = crossbeam_channel::bounded(shared.options.max_queued_pieces);
    let reader = AnswerReader {
        shared: shared.clone(),
        engine: candidate.address,
        request,
        send_gate: send_gate.clone(),
        events: sender,
    };
    shared.workers.run(move || reader.run())?;
    Ok(receiver)
}

/// Thread that sends the request and reads the engine's answer. It ends with the answer or once
/// the receiver is dropped, and closes its connection to the engine then.
struct AnswerReader {
    shared: Arc<Shared>,
    engine: std::net::SocketAddr,
    request: ServeRequest,
    send_gate: Arc<SendGate>,
    events: Sender<UpstreamEvent>,
}

impl AnswerReader {
    fn run(self) {
        if !self.send_gate.begin_send() {
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
                Ok(None) => UpstreamEvent::Complete,
                Err(error) => UpstreamEvent::Failed(error),
            };
            if let UpstreamEvent::Complete | UpstreamEvent::Failed(_) = event {
                let _ = self.events.send(event);
                return;
            }
        }
    }
}
