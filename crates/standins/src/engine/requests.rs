//! Completion requests to the engine stand-in.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::BootId;
use apricotdale_core::serving::Clock;
use serde_json::json;

use crate::clock::after_ms;
use crate::engine::batch::Admission;
use crate::engine::batch::SequenceId;
use crate::engine::completion::Answer;
use crate::engine::completion::CompletionBody;
use crate::engine::completion::Format;
use crate::engine::completion::prefix_hash;
use crate::engine::effects::RequestState;
use crate::engine::sequence::Signal;
use crate::engine::server::ActiveSequence;
use crate::engine::server::EngineStandin;
use crate::http::Caller;
use crate::http::EventWriter;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stream;
use crate::http::StreamEnd;

const MS_PER_S: u64 = 1_000;

/// Request that was accepted. Dropping it frees its slot, and a sequence that is dropped before its
/// end counts as cancelled.
struct Sequence {
    engine: Arc<EngineStandin>,
    id: SequenceId,
    boot: BootId,
    request: RequestId,
    body: CompletionBody,
    signal: Arc<Signal>,
    cut_after: Option<u64>,
}

/// Schedule of a sequence's tokens.
struct Pace {
    due: Instant,
}

impl EngineStandin {
    pub(crate) fn complete(self: Arc<Self>, request: &Request, format: Format) -> Reply {
        let body: CompletionBody = match request.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let sequence = match self.accept(request, body) {
            Ok(sequence) => sequence,
            Err(reply) => return reply,
        };
        let mut pace = match sequence.start(&request.caller) {
            Ok(pace) => pace,
            Err(state) => return sequence.end_unanswered(state),
        };
        let answer = sequence.answer(format);
        let id = answer.id.clone();
        let reply = if sequence.body.stream {
            Reply::Stream(Stream {
                headers: Vec::new(),
                produce: Box::new(move |writer| sequence.stream(writer, &answer, pace)),
            })
        } else {
            sequence.unstreamed_answer(&request.caller, &answer, &mut pace)
        };
        reply.with_header("X-Request-Id", id.as_str())
    }

    /// Cancels the sequences of a request.
    pub(crate) fn cancel(&self, request: &RequestId) -> Reply {
        let state = self.state.lock();
        let sequences = state.sequences.values();
        for active in sequences.filter(|active| active.request == *request) {
            active.signal.end(RequestState::Cancelled);
        }
        Reply::ok()
    }

    fn accept(
        self: &Arc<Self>,
        request: &Request,
        body: CompletionBody,
    ) -> Result<Sequence, Reply> {
        let priority = request.header("X-Priority");
        let priority = priority.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock();
        if !state.models.begin_request(&body.model) {
            return Err(refused(404, "model_not_loaded"));
        }
        let (id, running) = match state.batch.enter(priority) {
            Admission::Running(id) => (id, true),
            Admission::Waiting(id) => (id, false),
            Admission::Full => {
                state.models.end_request(&body.model);
                return Err(refused(503, "queue_full"));
            }
        };
        let request = match request.header("X-Request-Id") {
            Some(text) => RequestId::new(text),
            None => RequestId::new(format!("{}-{id}", self.options.name)),
        };
        let signal = Arc::new(Signal::new(running));
        let active = ActiveSequence {
            request: request.clone(),
            signal: signal.clone(),
        };
        state.sequences.insert(id, active);
        state.effects.record_accepted(&request, &body.model);
        let mut cut_after = None;
        if body.stream {
            cut_after = state.faults.cut_stream_after.take();
        }
        self.record_load(&mut state);
        Ok(Sequence {
            engine: self.clone(),
            id,
            boot: state.models.boot(),
            request,
            body,
            signal,
            cut_after,
        })
    }

    /// Frees a sequence's slot and gives it to the next one that waits.
    fn release(&self, sequence: &Sequence) {
        let mut state = self.state.lock();
        state
            .effects
            .record_end(&sequence.request, RequestState::Cancelled);
        if state.models.boot() != sequence.boot {
            return;
        }
        state.sequences.remove(&sequence.id);
        state.models.end_request(&sequence.body.model);
        let next = state.batch.leave(sequence.id);
        if let Some(active) = next.and_then(|next| state.sequences.get(&next)) {
            active.signal.grant_slot();
        }
        self.record_load(&mut state);
        self.orders_changed.notify_all();
    }
}

impl Sequence {
    /// Waits for a slot and for the prompt to be processed. The first token is then due.
    fn start(&self, caller: &Caller) -> Result<Pace, RequestState> {
        self.signal.wait_for_slot(caller)?;
        let prefix_hash = prefix_hash(self.body.prompt_json());
        let prefill_ms = {
            let now_ms = self.engine.clock.monotonic_ms();
            let mut state = self.engine.state.lock();
            let cached = state.prefixes.touch(now_ms, &self.body.model, prefix_hash);
            let factor = state.faults.slow_factor;
            if cached {
                0.0
            } else {
                self.engine.options.prefill_ms as f64 * factor
            }
        };
        let pace = Pace {
            due: after_ms(prefill_ms as u64),
        };
        self.signal.wait_until(pace.due, caller)?;
        Ok(pace)
    }

    /// Returns the writer of the answer. With an armed fault it carries another request's identity.
    fn answer(&self, format: Format) -> Answer {
        let mut state = self.engine.state.lock();
        let crossed = std::mem::take(&mut state.faults.crossed);
        let id = if crossed {
            state.effects.other_request(&self.request)
        } else {
            self.request.clone()
        };
        Answer {
            id,
            format,
            model: self.body.model.clone(),
            engine: self.engine.options.name.clone(),
            created_s: self.engine.clock.unix_ms() / MS_PER_S,
        }
    }

    fn unstreamed_answer(&self, caller: &Caller, answer: &Answer, pace: &mut Pace) -> Reply {
        let tokens = self.body.max_tokens();
        for _ in 0..tokens {
            if let Err(state) = self.wait_for_token(caller, pace) {
                return self.end_unanswered(state);
            }
        }
        self.end(RequestState::Whole);
        Reply::json(
            200,
            &answer.unstreamed_answer(tokens, self.body.usage(tokens)),
        )
    }

    fn stream(self, writer: &mut EventWriter, answer: &Answer, mut pace: Pace) -> StreamEnd {
        match self.send_events(writer, answer, &mut pace) {
            Ok(()) => StreamEnd::Closed,
            Err(state) => {
                self.end(state);
                // A cancelled answer ends properly, but without its last event. A cut one breaks.
                match state {
                    RequestState::Cut => StreamEnd::Broken,
                    _ => StreamEnd::Closed,
                }
            }
        }
    }

    fn send_events(
        &self,
        writer: &mut EventWriter,
        answer: &Answer,
        pace: &mut Pace,
    ) -> Result<(), RequestState> {
        let tokens = self.body.max_tokens();
        for number in 0..tokens {
            if self.cut_after == Some(u64::from(number)) {
                return Err(RequestState::Cut);
            }
            self.wait_for_token(writer.caller(), pace)?;
            send(writer, &answer.token_event(number, number + 1 == tokens))?;
        }
        if self
            .cut_after
            .is_some_and(|cut_after| cut_after <= u64::from(tokens))
        {
            return Err(RequestState::Cut);
        }
        if self.body.includes_usage() {
            send(writer, &answer.usage_event(self.body.usage(tokens)))?;
        }
        // Recorded before it is sent, so that a reader of the complete answer finds it recorded.
        self.end(RequestState::Whole);
        send(writer, "[DONE]")
    }

    /// Waits until the next token is due.
    fn wait_for_token(&self, caller: &Caller, pace: &mut Pace) -> Result<(), RequestState> {
        self.signal.wait_until(pace.due, caller)?;
        let factor = self.engine.state.lock().faults.slow_factor;
        let tokens_per_s = self.engine.options.tokens_per_s;
        if tokens_per_s > 0 {
            pace.due += Duration::from_secs_f64(factor / f64::from(tokens_per_s));
        }
        Ok(())
    }

    /// Ends a request whose answer has not begun, by closing its connection.
    fn end_unanswered(&self, state: RequestState) -> Reply {
        self.end(state);
        Reply::Lost
    }

    fn end(&self, state: RequestState) {
        self.engine
            .state
            .lock()
            .effects
            .record_end(&self.request, state);
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        self.engine.release(self);
    }
}

fn send(writer: &mut EventWriter, data: &str) -> Result<(), RequestState> {
    writer.send(data).map_err(|_| RequestState::Cancelled)
}

fn refused(status: u16, code: &str) -> Reply {
    Reply::json(status, &json!({"error": {"code": code}}))
}
