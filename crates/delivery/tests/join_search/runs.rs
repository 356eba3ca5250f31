//! What an engine does with a request.

use proptest::prelude::*;

/// Above what is held back of an event.
const OVERSIZE_BYTES: usize = 265 * 1024;

/// Above what is held back of a body that is no stream.
const LARGE_BYTES: usize = 1025 * 1024;

pub const VERSION: u64 = 7;
const OTHER_VERSION: u64 = 8;

const EVENT_STREAM: &str = "text/event-stream";

/// `Way` is in which way a run goes wrong, if at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Good,
    /// The connection breaks.
    CutBetween,
    CutInside,
    /// The connection of an answer without a length ends in order.
    ClosedBetween,
    ClosedInside,
    /// The body is framed as whole, and ends inside an event.
    Unfinished,
    OwnFailure(u16),
    /// It refuses, and says that it has not run the request.
    NotRun,
    Gap,
    Repeated,
    Anew,
    Back,
    NoNumbers,
    NotANumber,
    MissingNumber,
    Empty,
    CommentsOnly,
    OtherType,
    OtherStatus(u16),
    OtherWeights,
    /// The weights change with an event, and the run is cut behind it.
    WeightsWithin,
    Oversize,
    OversizeCut,
    /// The number comes behind what is held back.
    OversizeLateNumber,
    /// And the number is too high.
    OversizeLateGap,
}

impl Way {
    /// Returns whether a number comes behind what is held back.
    pub fn is_late(self) -> bool {
        matches!(self, Self::OversizeLateNumber | Self::OversizeLateGap)
    }
}

/// `RunSpec` is what one run does, whatever it is asked for.
#[derive(Clone, Debug)]
pub struct RunSpec {
    pub way: Way,
    /// How many events go well before.
    pub well: usize,
    /// How much of an event comes before a cut in it.
    pub inside: usize,
    pub line_end: &'static str,
    pub has_comments: bool,
    pub names_version: bool,
    /// Whether another request's answer comes first.
    pub is_crossed: bool,
    /// Whether another answer comes behind the end.
    pub has_extra: bool,
    /// Whether the owner of the delivery goes on with the run after a misfit.
    pub is_careless: bool,
    /// Whether a failure is passed on where it could be repeated.
    pub passes_failure_on: bool,
    /// The sizes of the body's parts, in turn.
    pub sizes: Vec<usize>,
}

pub fn run_spec() -> impl Strategy<Value = RunSpec> {
    let line_ends = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let flags = (
        any::<bool>(),
        any::<bool>(),
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.2),
        any::<bool>(),
        any::<bool>(),
    );
    let sizes = prop::collection::vec(1_usize..40, 1..5);
    (way(), 0_usize..5, 1_usize..30, line_ends, flags, sizes).prop_map(
        |(way, well, inside, line_end, flags, sizes)| RunSpec {
            way,
            well,
            inside,
            line_end,
            has_comments: flags.0,
            names_version: flags.1,
            is_crossed: flags.2,
            has_extra: flags.3,
            is_careless: flags.4,
            passes_failure_on: flags.5,
            sizes,
        },
    )
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        20 => Just(Way::Good),
        40 => Just(Way::CutBetween),
        40 => Just(Way::CutInside),
        10 => Just(Way::ClosedBetween),
        10 => Just(Way::ClosedInside),
        10 => Just(Way::Unfinished),
        10 => prop::sample::select(vec![400, 404, 429, 500, 503]).prop_map(Way::OwnFailure),
        10 => Just(Way::NotRun),
        10 => Just(Way::Gap),
        10 => Just(Way::Repeated),
        10 => Just(Way::Anew),
        10 => Just(Way::Back),
        10 => Just(Way::NoNumbers),
        10 => Just(Way::NotANumber),
        10 => Just(Way::MissingNumber),
        10 => Just(Way::Empty),
        10 => Just(Way::CommentsOnly),
        10 => Just(Way::OtherType),
        10 => prop::sample::select(vec![201, 204, 206]).prop_map(Way::OtherStatus),
        10 => Just(Way::OtherWeights),
        20 => Just(Way::WeightsWithin),
        3 => Just(Way::Oversize),
        3 => Just(Way::OversizeCut),
        3 => Just(Way::OversizeLateNumber),
        3 => Just(Way::OversizeLateGap),
    ]
}

/// `Run` is one engine's answer.
#[derive(Clone, Debug)]
pub struct Run {
    pub status: u16,
    pub content_type: &'static str,
    pub version: Option<u64>,
    pub body: Vec<u8>,
    /// Whether its connection tells that the body is whole.
    pub is_framed_whole: bool,
}

impl Run {
    /// Makes the run of an engine that is asked for the events from one to another.
    pub fn of_stream(spec: &RunSpec, index: usize, from: u64, to: u64) -> Self {
        let way = spec.way;
        let version = match way {
            Way::OtherWeights => Some(OTHER_VERSION),
            _ => spec.names_version.then_some(VERSION),
        };
        let run = Self {
            status: 200,
            content_type: EVENT_STREAM,
            version,
            body: Vec::new(),
            is_framed_whole: true,
        };
        let whole_text = || format!("{{\"run\":{index}}}").into_bytes();
        match way {
            Way::OwnFailure(status) => Self {
                status,
                content_type: "application/json",
                body: whole_text(),
                ..run
            },
            Way::OtherType => Self {
                content_type: "application/json",
                body: whole_text(),
                ..run
            },
            Way::OtherStatus(204) => Self { status: 204, ..run },
            Way::OtherStatus(status) => Self {
                status,
                body: spec.events(index, from, to).concat(),
                ..run
            },
            Way::Empty => run,
            Way::CommentsOnly => Self {
                body: spec.comment(),
                ..run
            },
            Way::CutBetween | Way::CutInside | Way::WeightsWithin | Way::OversizeCut => Self {
                body: spec.events(index, from, to).concat(),
                is_framed_whole: false,
                ..run
            },
            _ => Self {
                body: spec.events(index, from, to).concat(),
                ..run
            },
        }
    }

    /// Makes a run whose answer is no stream.
    pub fn of_body(spec: &RunSpec, index: usize) -> Self {
        let length = match spec.way {
            Way::Oversize | Way::OversizeCut => LARGE_BYTES,
            _ => 100,
        };
        let mut body = format!("{index}/").repeat(length / 2).into_bytes();
        let is_cut = matches!(
            spec.way,
            Way::CutBetween | Way::CutInside | Way::OversizeCut | Way::WeightsWithin
        );
        if is_cut {
            body.truncate(body.len() - spec.inside);
        }
        let status = match spec.way {
            Way::OwnFailure(status) | Way::OtherStatus(status) => status,
            _ => 200,
        };
        Self {
            status,
            content_type: "text/plain",
            version: spec.names_version.then_some(VERSION),
            body,
            is_framed_whole: !is_cut,
        }
    }

    pub fn pieces(&self, sizes: &[usize]) -> Vec<&[u8]> {
        let factor = if self.body.len() > 64 * 1024 {
            2_000
        } else {
            1
        };
        let mut rest = self.body.as_slice();
        let mut pieces = Vec::new();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                return pieces;
            }
            let (piece, later) = rest.split_at((size * factor).min(rest.len()));
            pieces.push(piece);
            rest = later;
        }
        pieces
    }
}

impl RunSpec {
    fn comment(&self) -> Vec<u8> {
        format!(": still here{0}{0}", self.line_end).into_bytes()
    }

    /// Returns the events of a run, up to where it ends.
    fn events(&self, index: usize, from: u64, to: u64) -> Vec<Vec<u8>> {
        let from = if self.way == Way::Anew { 1 } else { from };
        let mut events = Vec::new();
        for (turn, place) in (from..=to).enumerate() {
            let is_wrong = turn >= self.well;
            let is_here = turn == self.well;
            let number = match self.way {
                Way::OversizeLateGap if is_here => (place + 1).to_string(),
                Way::Gap if is_wrong => (place + 1).to_string(),
                Way::Repeated if is_wrong => place.saturating_sub(1).to_string(),
                Way::Back if is_wrong => (turn - self.well + 1).to_string(),
                Way::NotANumber if is_here => "three".to_owned(),
                Way::NoNumbers => String::new(),
                Way::MissingNumber if is_here => String::new(),
                _ => place.to_string(),
            };
            if self.has_comments && turn % 2 == 1 {
                events.push(self.comment());
            }
            let event = self.event(index, place, &number, is_here);
            match self.way {
                Way::CutBetween | Way::ClosedBetween if is_here => return events,
                Way::CutInside | Way::ClosedInside | Way::Unfinished if is_here => {
                    let length = self.inside.min(event.len() - 1);
                    events.push(event[..length].to_vec());
                    return events;
                }
                Way::OversizeCut if is_here => {
                    events.push(event[..event.len() - self.inside].to_vec());
                    return events;
                }
                Way::WeightsWithin if is_here => {
                    events.push(event);
                    return events;
                }
                _ => events.push(event),
            }
        }
        events
    }

    fn event(&self, index: usize, place: u64, number: &str, is_here: bool) -> Vec<u8> {
        let is_oversize =
            matches!(self.way, Way::Oversize | Way::OversizeCut) || self.way.is_late();
        let padding = "x".repeat(if is_oversize && is_here {
            OVERSIZE_BYTES
        } else {
            0
        });
        let mut lines = vec![format!("data: {index}/{place}{padding}")];
        if !number.is_empty() {
            let at = usize::from(self.way.is_late() && is_here);
            lines.insert(at, format!("id: {number}"));
        }
        if self.way == Way::WeightsWithin && is_here {
            lines.push(format!("weights: {OTHER_VERSION}"));
        }
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push_str(self.line_end);
        }
        text.push_str(self.line_end);
        text.into_bytes()
    }
}
