//! Relay of an engine's answer to the caller. Each piece is checked before it is sent on.

use std::time::Instant;

use apricotdale_core::engine::ServeHead;
use apricotdale_core::errors::Error;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ServingEvent;
use apricotdale_http::Response;
use serde::Deserialize;

use crate::admission;
use crate::answer::Answer;
use crate::answer::CallerLost;
use crate::context::Context;
use crate::events;
use crate::events::EventKind;
use crate::model_attempt::AttemptEnd;
use crate::model_attempt::UpstreamEvent;
use crate::model_flow::FailedAttempt;
use crate::send_gate::SendGate;
use crate::shared::Shared;
use crate::trace::Step;

const MODEL_NOT_LOADED: &str = "model_not_loaded";

/// Result of handling one event of the engine.
pub(crate) enum RelayProgress {
    /// The answer continues, and its idle timeout starts anew.
    Progress,
    /// The answer continues, and its idle timeout does not start anew.
    KeepAlive,
    /// The attempt has ended.
    End(AttemptEnd),
}

/// How an engine's answer is handled, by its status and content type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    /// Relayed event by event.
    Stream,
    /// Relayed as one body.
    Complete,
    /// Read for the reason why the engine did not run the request.
    NotRun,
}

/// Relays the answer of one attempt to the caller.
pub(crate) struct Relay<'a, 'b> {
    shared: &'a Shared,
    context: &'a Context,
    answer: &'a mut Answer<'b>,
    head: Option<(ServeHead, AnswerKind)>,
    first_byte_ms: Option<u64>,
    first_event_ms: Option<u64>,
    last_event: Option<Instant>,
}

impl<'a, 'b> Relay<'a, 'b> {
    pub(crate) fn new(
        shared: &'a Shared,
        context: &'a Context,
        answer: &'a mut Answer<'b>,
    ) -> Self {
        Self {
            shared,
            context,
            answer,
            head: None,
            first_byte_ms: None,
            first_event_ms: None,
            last_event: None,
        }
    }

    /// Returns whether part of the answer has been sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.answer.has_begun()
    }

    /// Returns when the head of the engine's answer arrived, on the gateway's clock.
    pub(crate) fn first_byte_ms(&self) -> Option<u64> {
        self.first_byte_ms
    }

    /// Gives up a request that is being stopped, and returns whether it ran.
    pub(crate) fn give_up(&self, send_gate: &SendGate) -> Ran {
        match self.has_begun() {
            true => Ran::Ran,
            false => send_gate.give_up(),
        }
    }

    /// Handles an event of the engine.
    pub(crate) fn handle_event(&mut self, event: UpstreamEvent) -> RelayProgress {
        match event {
            UpstreamEvent::Begun(head) => self.handle_head(head),
            UpstreamEvent::Piece(piece) => self.relay_piece(&piece),
            UpstreamEvent::Complete => self.fail_cut("the answer ended before it was whole"),
            UpstreamEvent::Failed(error) => self.handle_failure(&error),
        }
    }

    fn handle_head(&mut self, head: ServeHead) -> RelayProgress {
        self.first_byte_ms = Some(self.shared.now_ms());
        let is_stream = head.is_event_stream();
        let kind = match head.status {
            200 if is_stream => AnswerKind::Stream,
            200 => AnswerKind::Complete,
            503 => AnswerKind::NotRun,
            404 if !is_stream => AnswerKind::NotRun,
            400..=499 if !is_stream && !matches!(head.status, 408 | 429) => AnswerKind::Complete,
            _ => {
                let detail = format!("the engine answered {}", head.status);
                return self.fail(RefusalReason::UpstreamBadAnswer, Ran::Unknown, detail);
            }
        };
        let is_own = match &head.id {
            Some(id) => *id == self.context.id,
            None => kind == AnswerKind::NotRun,
        };
        if !is_own {
            return self.fail_crossed();
        }
        self.head = Some((head, kind));
        RelayProgress::Progress
    }

    fn relay_piece(&mut self, piece: &[u8]) -> RelayProgress {
        let Some((head, kind)) = self.head.clone() else {
            return self.fail_cut("the answer has no beginning");
        };
        match kind {
            AnswerKind::Stream => self.relay_event(&head, piece),
            AnswerKind::Complete => self.relay_body(&head, piece),
            AnswerKind::NotRun => self.handle_not_run(&head, piece),
        }
    }

    fn relay_event(&mut self, head: &ServeHead, event: &[u8]) -> RelayProgress {
        let sent = match events::classify(event, &self.context.id) {
            EventKind::Comment => return RelayProgress::KeepAlive,
            EventKind::Foreign => return self.fail_crossed(),
            EventKind::Fault => return self.fail_cut("the engine told of a fault in its answer"),
            EventKind::Malformed => return self.fail_cut("an event of the answer is malformed"),
            EventKind::Part => {
                let sent = self.answer.send_event(&head.content_type, event);
                self.record_event();
                sent.map(|()| RelayProgress::Progress)
            }
            EventKind::Done => self
                .answer
                .send_event(&head.content_type, event)
                .and_then(|()| self.answer.finish())
                .map(|()| self.end_answered(head.status)),
        };
        sent.unwrap_or_else(|lost| self.caller_lost(lost))
    }

    fn relay_body(&mut self, head: &ServeHead, body: &[u8]) -> RelayProgress {
        if events::is_foreign_body(body, &self.context.id) {
            return self.fail_crossed();
        }
        let response = Response::new(head.status)
            .header("Content-Type", head.content_type.as_str())
            .body(body);
        match self.answer.send(response) {
            Ok(()) => self.end_answered(head.status),
            Err(lost) => self.caller_lost(lost),
        }
    }

    fn handle_not_run(&mut self, head: &ServeHead, body: &[u8]) -> RelayProgress {
        let not_loaded = head.status == 404 && says_not_loaded(body);
        let detail = match (head.status, not_loaded) {
            (404, false) if head.id.is_none() => return self.fail_crossed(),
            (404, false) => return self.relay_body(head, body),
            (_, true) => "the engine does not hold the model",
            (_, false) => "the engine takes no request now",
        };
        RelayProgress::End(AttemptEnd::Failed(FailedAttempt {
            reason: RefusalReason::UpstreamRefused,
            ran: Ran::NotRun,
            outcome: UpstreamOutcome::Refused,
            not_loaded,
            detail: detail.to_owned(),
        }))
    }

    fn end_answered(&mut self, status: u16) -> RelayProgress {
        let first_ms = self.first_event_ms.unwrap_or_else(|| self.shared.now_ms());
        self.shared.record_answer(self.context, first_ms, status);
        RelayProgress::End(AttemptEnd::Answered)
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            let gap_us = u64::try_from((now - last).as_micros()).unwrap_or(u64::MAX);
            self.shared
                .observer
                .observe(&ServingEvent::InterToken { gap_us });
            return;
        }
        let now_ms = self.shared.now_ms();
        self.first_event_ms = Some(now_ms);
        self.context.trace.record(now_ms, Step::AnswerBegun);
    }

    fn handle_failure(&mut self, error: &Error) -> RelayProgress {
        let detail = error.to_string();
        match error {
            Error::Unavailable(_) | Error::Expired { .. } => {
                RelayProgress::End(AttemptEnd::Failed(FailedAttempt {
                    reason: RefusalReason::UpstreamUnavailable,
                    ran: Ran::NotRun,
                    outcome: UpstreamOutcome::Unreachable,
                    not_loaded: false,
                    detail,
                }))
            }
            Error::Rejected(_) | Error::StaleFence { .. } => {
                RelayProgress::End(AttemptEnd::Failed(FailedAttempt {
                    reason: RefusalReason::UpstreamRefused,
                    ran: Ran::NotRun,
                    outcome: UpstreamOutcome::Refused,
                    not_loaded: false,
                    detail,
                }))
            }
            Error::Unknown(_) => self.fail(RefusalReason::UpstreamLost, Ran::Unknown, detail),
            Error::Malformed(_) => {
                self.fail(RefusalReason::UpstreamBadAnswer, Ran::Unknown, detail)
            }
        }
    }

    /// Ends an attempt whose answer belongs to another request. Nothing of that answer was relayed.
    fn fail_crossed(&mut self) -> RelayProgress {
        let detail = "the engine's answer belongs to another request".to_owned();
        self.fail(RefusalReason::UpstreamBadAnswer, Ran::Unknown, detail)
    }

    fn fail_cut(&mut self, detail: &str) -> RelayProgress {
        self.fail(
            RefusalReason::UpstreamBadAnswer,
            Ran::Unknown,
            detail.to_owned(),
        )
    }

    fn fail(&mut self, reason: RefusalReason, ran: Ran, detail: String) -> RelayProgress {
        // An answer that has partly reached the caller was run at least in part.
        let ran = match self.has_begun() {
            true => Ran::Ran,
            false => ran,
        };
        RelayProgress::End(AttemptEnd::Failed(FailedAttempt {
            reason,
            ran,
            outcome: UpstreamOutcome::Lost,
            not_loaded: false,
            detail,
        }))
    }

    fn caller_lost(&mut self, _lost: CallerLost) -> RelayProgress {
        RelayProgress::End(AttemptEnd::Stopped(admission::caller_gone()))
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorCode,
}

#[derive(Deserialize)]
struct ErrorCode {
    code: String,
}

fn says_not_loaded(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorBody>(body)
        .is_ok_and(|answer| answer.error.code == MODEL_NOT_LOADED)
}
