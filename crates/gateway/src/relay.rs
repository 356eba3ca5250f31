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
use crate::attempt::Attempt;
use crate::context::Context;
use crate::events;
use crate::events::EventKind;
use crate::model_flow::TryFailure;
use crate::model_try::TryEnd;
use crate::model_try::UpstreamEvent;
use crate::shared::Shared;
use crate::trace::Step;

const MODEL_NOT_LOADED: &str = "model_not_loaded";

/// Result of handling one event of the engine.
pub(crate) enum Relayed {
    /// The answer continues, and its idle timeout starts anew.
    More,
    /// The answer continues, and its idle timeout does not start anew.
    Nothing,
    /// The attempt has ended.
    End(TryEnd),
}

/// How an engine's answer is handled, by its status and content type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    /// Relayed event by event.
    Stream,
    /// Relayed as one body.
    Whole,
    /// Read for the reason why the engine did not run the request.
    NotRun,
}

/// Relays the answer of one attempt to the caller.
pub(crate) struct Relay<'a, 'b> {
    shared: &'a Shared,
    context: &'a Context,
    answer: &'a mut Answer<'b>,
    head: Option<(ServeHead, Shape)>,
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
    pub(crate) fn give_up(&self, attempt: &Attempt) -> Ran {
        match self.has_begun() {
            true => Ran::Ran,
            false => attempt.give_up(),
        }
    }

    /// Handles an event of the engine.
    pub(crate) fn take(&mut self, event: UpstreamEvent) -> Relayed {
        match event {
            UpstreamEvent::Begun(head) => self.begin(head),
            UpstreamEvent::Piece(piece) => self.piece(&piece),
            UpstreamEvent::Whole => self.cut("the answer ended before it was whole"),
            UpstreamEvent::Failed(error) => self.failed(&error),
        }
    }

    fn begin(&mut self, head: ServeHead) -> Relayed {
        self.first_byte_ms = Some(self.shared.now_ms());
        let is_stream = head.is_event_stream();
        let shape = match head.status {
            200 if is_stream => Shape::Stream,
            200 => Shape::Whole,
            503 => Shape::NotRun,
            404 if !is_stream => Shape::NotRun,
            400..=499 if !is_stream && !matches!(head.status, 408 | 429) => Shape::Whole,
            _ => {
                let detail = format!("the engine answered {}", head.status);
                return self.fail(RefusalReason::UpstreamBadAnswer, Ran::Unknown, detail);
            }
        };
        let is_own = match &head.id {
            Some(id) => *id == self.context.id,
            None => shape == Shape::NotRun,
        };
        if !is_own {
            return self.crossed();
        }
        self.head = Some((head, shape));
        Relayed::More
    }

    fn piece(&mut self, piece: &[u8]) -> Relayed {
        let Some((head, shape)) = self.head.clone() else {
            return self.cut("the answer has no beginning");
        };
        match shape {
            Shape::Stream => self.event(&head, piece),
            Shape::Whole => self.whole(&head, piece),
            Shape::NotRun => self.not_run(&head, piece),
        }
    }

    fn event(&mut self, head: &ServeHead, event: &[u8]) -> Relayed {
        let sent = match events::classify(event, &self.context.id) {
            EventKind::Comment => return Relayed::Nothing,
            EventKind::Foreign => return self.crossed(),
            EventKind::Fault => return self.cut("the engine told of a fault in its answer"),
            EventKind::Malformed => return self.cut("an event of the answer is malformed"),
            EventKind::Part => {
                let sent = self.answer.send_event(&head.content_type, event);
                self.note_event();
                sent.map(|()| Relayed::More)
            }
            EventKind::Done => self
                .answer
                .send_event(&head.content_type, event)
                .and_then(|()| self.answer.finish())
                .map(|()| self.answered(head.status)),
        };
        sent.unwrap_or_else(|lost| self.caller_lost(lost))
    }

    fn whole(&mut self, head: &ServeHead, body: &[u8]) -> Relayed {
        if events::is_foreign_body(body, &self.context.id) {
            return self.crossed();
        }
        let response = Response::new(head.status)
            .header("Content-Type", head.content_type.as_str())
            .body(body);
        match self.answer.send(response) {
            Ok(()) => self.answered(head.status),
            Err(lost) => self.caller_lost(lost),
        }
    }

    fn not_run(&mut self, head: &ServeHead, body: &[u8]) -> Relayed {
        let missing = head.status == 404 && says_not_loaded(body);
        let detail = match (head.status, missing) {
            (404, false) if head.id.is_none() => return self.crossed(),
            (404, false) => return self.whole(head, body),
            (_, true) => "the engine does not hold the model",
            (_, false) => "the engine takes no request now",
        };
        Relayed::End(TryEnd::Failed(TryFailure {
            reason: RefusalReason::UpstreamRefused,
            ran: Ran::NotRun,
            outcome: UpstreamOutcome::Refused,
            missing,
            detail: detail.to_owned(),
        }))
    }

    fn answered(&mut self, status: u16) -> Relayed {
        let first_ms = self.first_event_ms.unwrap_or_else(|| self.shared.now_ms());
        self.shared.note_answered(self.context, first_ms, status);
        Relayed::End(TryEnd::Answered)
    }

    fn note_event(&mut self) {
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
        self.context.trace.note(now_ms, Step::AnswerBegun);
    }

    fn failed(&mut self, error: &Error) -> Relayed {
        let detail = error.to_string();
        match error {
            Error::Unavailable(_) | Error::Expired { .. } => {
                Relayed::End(TryEnd::Failed(TryFailure {
                    reason: RefusalReason::UpstreamUnavailable,
                    ran: Ran::NotRun,
                    outcome: UpstreamOutcome::Unreachable,
                    missing: false,
                    detail,
                }))
            }
            Error::Rejected(_) | Error::StaleFence { .. } => {
                Relayed::End(TryEnd::Failed(TryFailure {
                    reason: RefusalReason::UpstreamRefused,
                    ran: Ran::NotRun,
                    outcome: UpstreamOutcome::Refused,
                    missing: false,
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
    fn crossed(&mut self) -> Relayed {
        let detail = "the engine's answer belongs to another request".to_owned();
        self.fail(RefusalReason::UpstreamBadAnswer, Ran::Unknown, detail)
    }

    fn cut(&mut self, detail: &str) -> Relayed {
        self.fail(
            RefusalReason::UpstreamBadAnswer,
            Ran::Unknown,
            detail.to_owned(),
        )
    }

    fn fail(&mut self, reason: RefusalReason, ran: Ran, detail: String) -> Relayed {
        // An answer that has partly reached the caller was run at least in part.
        let ran = match self.has_begun() {
            true => Ran::Ran,
            false => ran,
        };
        Relayed::End(TryEnd::Failed(TryFailure {
            reason,
            ran,
            outcome: UpstreamOutcome::Lost,
            missing: false,
            detail,
        }))
    }

    fn caller_lost(&mut self, _lost: CallerLost) -> Relayed {
        Relayed::End(TryEnd::Stopped(admission::caller_gone()))
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
