//! One request, the engines' answers to it, and what the caller receives.

use apricotdale_delivery::AnswerSource;
use apricotdale_delivery::Closing;
use apricotdale_delivery::ContinuationMismatch;
use apricotdale_delivery::Delivery;
use apricotdale_delivery::Options;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use proptest::prelude::*;

use crate::runs::Fault;
use crate::runs::Run;
use crate::runs::RunSpec;
use crate::runs::Writer;
use crate::runs::run_spec;
use crate::runs::writer;

const HEAD_LIMIT_BYTES: usize = 1024;

const FRESH_VERSION: u64 = 9;

pub const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno";

/// Request, and the runs of the engines to which it is sent in turn.
#[derive(Clone, Debug)]
pub struct Course {
    pub options: Options,
    /// What wrote the events that the caller has from an earlier answer, if that is known.
    pub earlier: Option<Writer>,
    /// Number of events of the complete answer.
    pub events: u64,
    pub runs: Vec<RunSpec>,
}

/// Sizes of the pieces in which bodies arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceSizes {
    Random,
    Single,
}

/// Outcome of a course.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Bytes that the caller received.
    pub out: Vec<u8>,
    /// Runs in order, also those whose answer was not used.
    pub runs: Vec<Run>,
    pub mismatches: Vec<Option<ContinuationMismatch>>,
    /// What wrote the first part that the caller has, of this or of an earlier answer.
    pub begun_by: Option<Writer>,
    /// Run whose answer ended the delivery as complete.
    pub ended_by: Option<usize>,
    pub is_refused: bool,
    pub is_aborted: bool,
    /// Whether there was a run that continues the answer and should have completed it.
    pub should_end: bool,
}

pub fn course() -> impl Strategy<Value = Course> {
    let options = (
        prop::bool::weighted(0.9),
        prop::bool::weighted(0.9),
        prop::bool::weighted(0.8),
        prop::option::weighted(0.2, 1_u64..4),
    );
    let runs = prop::collection::vec(run_spec(), 1..4);
    let earlier = prop::option::weighted(0.7, writer());
    (options, earlier, 1_u64..7, runs).prop_map(|(options, earlier, events, runs)| Course {
        earlier: earlier.filter(|_| options.3.is_some()),
        options: Options {
            is_stream: options.0,
            is_resumable: options.1,
            first_event: options.2.then_some(1),
            last_event: options.3,
            version_field: Some("weights"),
            ..Options::default()
        },
        events,
        runs,
    })
}

fn head(run: &Run) -> ResponseHead {
    let Run {
        status,
        content_type,
        ..
    } = run;
    let text = format!("HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n\r\n");
    let parsed = parse_response_head(text.as_bytes(), HEAD_LIMIT_BYTES, false);
    parsed.expect("a head").expect("a complete head").0
}

fn source(run: &Run) -> AnswerSource {
    AnswerSource {
        origin: run.writer.origin(),
        weights: run.version,
    }
}

/// Passes parts of an answer to a delivery that must send nothing of them.
fn push_after_end(delivery: &mut Delivery, run: &Run, out: &mut Vec<u8>) {
    let _ = delivery.body(b"id: 1\ndata: 9/1\n\n", false, out);
    let _ = delivery.end(false, out);
    let _ = delivery.head(head(run), &source(run));
    let _ = delivery.body(b"id: 2\ndata: 9/2\n\n", false, out);
    let _ = delivery.end(false, out);
}

impl Course {
    pub fn play(&self, sizing: PieceSizes) -> Outcome {
        let mut delivery = Delivery::new(self.options.clone());
        if let Some(earlier) = self.earlier {
            delivery.set_origin(earlier.origin());
        }
        let mut outcome = Outcome {
            begun_by: self.earlier,
            ..Outcome::default()
        };
        for (index, spec) in self.runs.iter().enumerate() {
            if outcome.ended_by.is_some() || !delivery.may_continue() {
                break;
            }
            if index > 0 {
                delivery.begin_next_answer();
            }
            self.play_run(&mut delivery, spec, sizing, &mut outcome);
        }
        let any_run = Run::of_body(&self.runs[0], 0);
        if outcome.ended_by.is_none() {
            match delivery.close(|| REFUSAL.to_vec()) {
                Closing::Answer(bytes) => {
                    outcome.is_refused = true;
                    outcome.out.extend_from_slice(&bytes);
                }
                Closing::Abort => outcome.is_aborted = true,
            }
            push_after_end(&mut delivery, &any_run, &mut outcome.out);
        } else if self.runs[0].has_extra {
            push_after_end(&mut delivery, &any_run, &mut outcome.out);
        }
        outcome
    }

    fn play_run(
        &self,
        delivery: &mut Delivery,
        spec: &RunSpec,
        sizing: PieceSizes,
        outcome: &mut Outcome,
    ) {
        let index = outcome.runs.len();
        let from = delivery.last_event().map_or(1, |id| id + 1);
        let mut run = match self.options.is_stream {
            true => Run::of_stream(spec, index, from, self.events),
            false => Run::of_body(spec, index),
        };
        let is_good = match spec.fault {
            Fault::Correct | Fault::Oversize => true,
            Fault::OversizeLateId => from == 1,
            _ => false,
        };
        let begun = delivery.has_begun();
        if is_good && index > 0 {
            // The weights of earlier runs don't matter if the caller has received nothing.
            run.version = (spec.names_version && !begun).then_some(FRESH_VERSION);
        }
        let same_status = outcome.runs.iter().all(|it| !begun || it.status == 200);
        let follows = |begun_by: Writer| begun_by.may_be_followed_by(spec.writer);
        let same_software = !self.options.is_stream || outcome.begun_by.is_none_or(follows);
        let fits = is_good && from <= self.events && same_status && same_software;
        outcome.should_end |= fits;
        outcome.runs.push(run.clone());
        let mismatch = self.deliver_run(delivery, spec, &run, sizing, outcome);
        outcome.mismatches.push(mismatch);
        if !begun && delivery.has_begun() {
            outcome.begun_by.get_or_insert(spec.writer);
        }
    }

    /// Passes an engine's answer to the delivery, as the delivery's owner does.
    fn deliver_run(
        &self,
        delivery: &mut Delivery,
        spec: &RunSpec,
        run: &Run,
        sizing: PieceSizes,
        outcome: &mut Outcome,
    ) -> Option<ContinuationMismatch> {
        let closes = spec.names_version;
        let out = &mut outcome.out;
        if spec.crossed_first {
            let body = delivery.body(b"id: 1\ndata: 8/1\n\n", closes, out);
            assert_eq!((body, delivery.status()), (Ok(()), None));
        }
        if spec.fault == Fault::NotRun {
            return None;
        }
        if let Err(mismatch) = delivery.head(head(run), &source(run)) {
            if spec.ignores_mismatch {
                let _ = delivery.body(&run.body, closes, out);
                let _ = delivery.end(closes, out);
            }
            return Some(mismatch);
        }
        let pieces = match sizing {
            PieceSizes::Random => run.pieces(&spec.piece_sizes),
            PieceSizes::Single => vec![run.body.as_slice()],
        };
        let mut first = None;
        for piece in pieces {
            if let Err(mismatch) = delivery.body(piece, closes, out) {
                first.get_or_insert(mismatch);
                if !spec.ignores_mismatch {
                    return first;
                }
            }
        }
        let is_repeated = run.status >= 500 && !delivery.has_begun() && !spec.forwards_failure;
        if !run.is_framed_complete || is_repeated {
            return first;
        }
        match delivery.end(closes, out) {
            Ok(()) => outcome.ended_by = Some(outcome.runs.len() - 1),
            Err(mismatch) => {
                first.get_or_insert(mismatch);
            }
        }
        first
    }
}
