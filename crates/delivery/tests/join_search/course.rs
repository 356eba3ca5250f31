//! Runs of several engines for one request, and what the caller gets.

use apricotdale_delivery::Closing;
use apricotdale_delivery::Delivery;
use apricotdale_delivery::Misfit;
use apricotdale_delivery::Options;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use proptest::prelude::*;

use crate::runs::Run;
use crate::runs::RunSpec;
use crate::runs::Way;
use crate::runs::run_spec;

const HEAD_LIMIT_BYTES: usize = 1024;

const FRESH_VERSION: u64 = 9;

pub const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno";

/// `Course` is a request, and what the engines do that are asked in turn.
#[derive(Clone, Debug)]
pub struct Course {
    pub options: Options,
    /// How many events the answer has.
    pub events: u64,
    pub runs: Vec<RunSpec>,
}

/// `Parts` is how bodies arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parts {
    AsDrawn,
    InOne,
}

/// `Played` is what came of a course.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// What the caller was given.
    pub out: Vec<u8>,
    /// The runs, also those whose answer was not taken.
    pub runs: Vec<Run>,
    pub misfits: Vec<Option<Misfit>>,
    /// The run that ended the answer.
    pub ended_by: Option<usize>,
    pub is_refused: bool,
    pub is_aborted: bool,
    /// Whether a run was asked that fits, and should have ended the answer.
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
    (options, 1_u64..7, runs).prop_map(|(options, events, runs)| Course {
        options: Options {
            is_stream: options.0,
            is_resumable: options.1,
            first_event: options.2.then_some(1),
            last_event: options.3,
            version_field: Some("weights"),
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
    parsed.expect("a head").expect("a whole head").0
}

/// Hands parts of an answer to a delivery that has to take nothing of them.
fn push_anyway(delivery: &mut Delivery, run: &Run, out: &mut Vec<u8>) {
    let _ = delivery.body(b"id: 1\ndata: 9/1\n\n", false, out);
    let _ = delivery.end(false, out);
    let _ = delivery.head(head(run), run.version);
    let _ = delivery.body(b"id: 2\ndata: 9/2\n\n", false, out);
    let _ = delivery.end(false, out);
}

impl Course {
    pub fn play(&self, parts: Parts) -> Played {
        let mut delivery = Delivery::new(self.options.clone());
        let mut played = Played::default();
        for (index, spec) in self.runs.iter().enumerate() {
            if played.ended_by.is_some() || !delivery.may_go_on() {
                break;
            }
            if index > 0 {
                delivery.begin_run();
            }
            self.play_run(&mut delivery, spec, parts, &mut played);
        }
        let any_run = Run::of_body(&self.runs[0], 0);
        if played.ended_by.is_none() {
            match delivery.close(|| REFUSAL.to_vec()) {
                Closing::Answer(bytes) => {
                    played.is_refused = true;
                    played.out.extend_from_slice(&bytes);
                }
                Closing::Abort => played.is_aborted = true,
            }
            push_anyway(&mut delivery, &any_run, &mut played.out);
        } else if self.runs[0].has_extra {
            push_anyway(&mut delivery, &any_run, &mut played.out);
        }
        played
    }

    fn play_run(&self, delivery: &mut Delivery, spec: &RunSpec, parts: Parts, played: &mut Played) {
        let index = played.runs.len();
        let from = delivery.last_event().map_or(1, |id| id + 1);
        let mut run = match self.options.is_stream {
            true => Run::of_stream(spec, index, from, self.events),
            false => Run::of_body(spec, index),
        };
        let is_good = match spec.way {
            Way::Good | Way::Oversize => true,
            Way::OversizeLateNumber => from == 1,
            _ => false,
        };
        let begun = delivery.has_begun();
        if is_good && index > 0 {
            // Where nothing was given, the weights of runs before do not matter.
            run.version = (spec.names_version && !begun).then_some(FRESH_VERSION);
        }
        let is_like_begun = played.runs.iter().all(|it| !begun || it.status == 200);
        let fits = is_good && from <= self.events && is_like_begun;
        played.should_end |= fits;
        played.runs.push(run.clone());
        let misfit = self.hand_over(delivery, spec, &run, parts, played);
        played.misfits.push(misfit);
    }

    /// Hands an engine's answer to the delivery, as the owner of both does.
    fn hand_over(
        &self,
        delivery: &mut Delivery,
        spec: &RunSpec,
        run: &Run,
        parts: Parts,
        played: &mut Played,
    ) -> Option<Misfit> {
        let closes = spec.names_version;
        let out = &mut played.out;
        if spec.is_crossed {
            let body = delivery.body(b"id: 1\ndata: 8/1\n\n", closes, out);
            assert_eq!((body, delivery.status()), (Ok(()), None));
        }
        if spec.way == Way::NotRun {
            return None;
        }
        if let Err(misfit) = delivery.head(head(run), run.version) {
            if spec.is_careless {
                let _ = delivery.body(&run.body, closes, out);
                let _ = delivery.end(closes, out);
            }
            return Some(misfit);
        }
        let pieces = match parts {
            Parts::AsDrawn => run.pieces(&spec.sizes),
            Parts::InOne => vec![run.body.as_slice()],
        };
        let mut first = None;
        for piece in pieces {
            if let Err(misfit) = delivery.body(piece, closes, out) {
                first.get_or_insert(misfit);
                if !spec.is_careless {
                    return first;
                }
            }
        }
        let is_repeated = run.status >= 500 && !delivery.has_begun() && !spec.passes_failure_on;
        if !run.is_framed_whole || is_repeated {
            return first;
        }
        match delivery.end(closes, out) {
            Ok(()) => played.ended_by = Some(played.runs.len() - 1),
            Err(misfit) => {
                first.get_or_insert(misfit);
            }
        }
        first
    }
}
