//! Runs of a request on an engine, and their answers.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use proptest::prelude::*;

/// Above the largest event that is buffered.
const OVERSIZE_BYTES: usize = 265 * 1024;

/// Above the largest body that is buffered if it is no event stream.
const LARGE_BYTES: usize = 1025 * 1024;

pub const VERSION: u64 = 7;
const OTHER_VERSION: u64 = 8;

const EVENT_STREAM: &str = "text/event-stream";

/// Fault of a run, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Correct,
    /// The connection breaks between events or inside one.
    CutBetween,
    CutInside,
    /// The connection of an answer without a length is closed in order.
    ClosedBetween,
    ClosedInside,
    /// The body is framed as complete, and ends inside an event.
    Unfinished,
    FailedRun(u16),
    /// The engine refuses, and states that it has not run the request.
    NotRun,
    Gap,
    Repeated,
    Restarted,
    RestartedWithin,
    NoIds,
    InvalidId,
    MissingId,
    Empty,
    CommentsOnly,
    OtherType,
    OtherStatus(u16),
    OtherWeights,
    /// The weights change with an event, after which the connection breaks.
    WeightsWithin,
    Oversize,
    OversizeCut,
    /// The event ID comes after the buffered part of the event.
    OversizeLateId,
    /// The event ID comes after the buffered part of the event, and is too high.
    OversizeLateGap,
}

impl Fault {
    /// Returns whether an event ID comes after the buffered part of its event.
    pub fn id_is_late(self) -> bool {
        matches!(self, Self::OversizeLateId | Self::OversizeLateGap)
    }
}

/// Process that writes a run. Of several processes, each pair has a version of the software.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Writer {
    pub process: usize,
    /// Whether the version of the process is known.
    pub is_known: bool,
}

impl Writer {
    fn version(self) -> usize {
        self.process / 2
    }

    /// Returns whether a stream that this process began may go on at another one.
    pub fn may_be_followed_by(self, next: Self) -> bool {
        let is_known = self.is_known && next.is_known;
        self.process == next.process || (is_known && self.version() == next.version())
    }

    pub fn origin(self) -> Origin {
        let version = self.is_known.then(|| format!("v{}", self.version()));
        Origin {
            service: GroupName::from("llm"),
            version: version.map(SoftwareVersion::from),
            upstream: Some(UpstreamName::from(format!("i-{}", self.process))),
        }
    }
}

pub fn writer() -> impl Strategy<Value = Writer> {
    // Most processes are of one version, so that most answers can be continued.
    let process = prop_oneof![6 => Just(0_usize), 2 => Just(1), 1 => 2_usize..4];
    let writer = (process, prop::bool::weighted(0.8));
    writer.prop_map(|(process, is_known)| Writer { process, is_known })
}

/// Behaviour of one run, whatever event it has to resume after.
#[derive(Clone, Debug)]
pub struct RunSpec {
    pub writer: Writer,
    pub fault: Fault,
    /// Number of correct events before the fault.
    pub correct_events: usize,
    /// Bytes of an event before a cut inside it.
    pub inside: usize,
    pub line_end: &'static str,
    pub has_comments: bool,
    pub names_version: bool,
    /// Whether another request's answer comes first.
    pub crossed_first: bool,
    /// Whether another answer follows the end.
    pub has_extra: bool,
    /// Whether the delivery's owner passes on more of the run after a mismatch.
    pub ignores_mismatch: bool,
    /// Whether a failure is sent to the caller where the request could be retried.
    pub forwards_failure: bool,
    /// Sizes of the body's pieces, used in turn.
    pub piece_sizes: Vec<usize>,
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
    let piece_sizes = prop::collection::vec(1_usize..40, 1..5);
    (
        writer(),
        fault(),
        0_usize..5,
        1_usize..30,
        line_ends,
        flags,
        piece_sizes,
    )
        .prop_map(
            |(writer, fault, correct_events, inside, line_end, flags, piece_sizes)| RunSpec {
                writer,
                fault,
                correct_events,
                inside,
                line_end,
                has_comments: flags.0,
                names_version: flags.1,
                crossed_first: flags.2,
                has_extra: flags.3,
                ignores_mismatch: flags.4,
                forwards_failure: flags.5,
                piece_sizes,
            },
        )
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        20 => Just(Fault::Correct),
        40 => Just(Fault::CutBetween),
        40 => Just(Fault::CutInside),
        10 => Just(Fault::ClosedBetween),
        10 => Just(Fault::ClosedInside),
        10 => Just(Fault::Unfinished),
        10 => prop::sample::select(vec![400, 404, 429, 500, 503]).prop_map(Fault::FailedRun),
        10 => Just(Fault::NotRun),
        10 => Just(Fault::Gap),
        10 => Just(Fault::Repeated),
        10 => Just(Fault::Restarted),
        10 => Just(Fault::RestartedWithin),
        10 => Just(Fault::NoIds),
        10 => Just(Fault::InvalidId),
        10 => Just(Fault::MissingId),
        10 => Just(Fault::Empty),
        10 => Just(Fault::CommentsOnly),
        10 => Just(Fault::OtherType),
        10 => prop::sample::select(vec![201, 204, 206]).prop_map(Fault::OtherStatus),
        10 => Just(Fault::OtherWeights),
        20 => Just(Fault::WeightsWithin),
        3 => Just(Fault::Oversize),
        3 => Just(Fault::OversizeCut),
        3 => Just(Fault::OversizeLateId),
        3 => Just(Fault::OversizeLateGap),
    ]
}

/// One engine's answer.
#[derive(Clone, Debug)]
pub struct Run {
    pub writer: Writer,
    pub status: u16,
    pub content_type: &'static str,
    pub version: Option<u64>,
    pub body: Vec<u8>,
    /// Whether its framing says that the body is complete.
    pub is_framed_complete: bool,
}

impl Run {
    /// Returns the run of an engine that has to send the events `from..=to`.
    pub fn of_stream(spec: &RunSpec, index: usize, from: u64, to: u64) -> Self {
        let fault = spec.fault;
        let version = match fault {
            Fault::OtherWeights => Some(OTHER_VERSION),
            _ => spec.names_version.then_some(VERSION),
        };
        let run = Self {
            writer: spec.writer,
            status: 200,
            content_type: EVENT_STREAM,
            version,
            body: Vec::new(),
            is_framed_complete: true,
        };
        let json_body = || format!("{{\"run\":{index}}}").into_bytes();
        match fault {
            Fault::FailedRun(status) => Self {
                status,
                content_type: "application/json",
                body: json_body(),
                ..run
            },
            Fault::OtherType => Self {
                content_type: "application/json",
                body: json_body(),
                ..run
            },
            Fault::OtherStatus(204) => Self { status: 204, ..run },
            Fault::OtherStatus(status) => Self {
                status,
                body: spec.events(index, from, to).concat(),
                ..run
            },
            Fault::Empty => run,
            Fault::CommentsOnly => Self {
                body: spec.comment(),
                ..run
            },
            Fault::CutBetween | Fault::CutInside | Fault::WeightsWithin | Fault::OversizeCut => {
                Self {
                    body: spec.events(index, from, to).concat(),
                    is_framed_complete: false,
                    ..run
                }
            }
            _ => Self {
                body: spec.events(index, from, to).concat(),
                ..run
            },
        }
    }

    /// Returns a run whose answer is no event stream.
    pub fn of_body(spec: &RunSpec, index: usize) -> Self {
        let length = match spec.fault {
            Fault::Oversize | Fault::OversizeCut => LARGE_BYTES,
            _ => 100,
        };
        let mut body = format!("{index}/").repeat(length / 2).into_bytes();
        let is_cut = matches!(
            spec.fault,
            Fault::CutBetween | Fault::CutInside | Fault::OversizeCut | Fault::WeightsWithin
        );
        if is_cut {
            body.truncate(body.len() - spec.inside);
        }
        let status = match spec.fault {
            Fault::FailedRun(status) | Fault::OtherStatus(status) => status,
            _ => 200,
        };
        Self {
            writer: spec.writer,
            status,
            content_type: "text/plain",
            version: spec.names_version.then_some(VERSION),
            body,
            is_framed_complete: !is_cut,
        }
    }

    pub fn pieces(&self, piece_sizes: &[usize]) -> Vec<&[u8]> {
        let factor = if self.body.len() > 64 * 1024 {
            2_000
        } else {
            1
        };
        let mut remaining = self.body.as_slice();
        let mut pieces = Vec::new();
        for size in piece_sizes.iter().cycle() {
            if remaining.is_empty() {
                return pieces;
            }
            let (piece, after_piece) = remaining.split_at((size * factor).min(remaining.len()));
            pieces.push(piece);
            remaining = after_piece;
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
        let from = if self.fault == Fault::Restarted {
            1
        } else {
            from
        };
        let mut events = Vec::new();
        for (position, id) in (from..=to).enumerate() {
            let after_fault = position >= self.correct_events;
            let at_fault = position == self.correct_events;
            let event_id = match self.fault {
                Fault::OversizeLateGap if at_fault => (id + 1).to_string(),
                Fault::Gap if after_fault => (id + 1).to_string(),
                Fault::Repeated if after_fault => id.saturating_sub(1).to_string(),
                Fault::RestartedWithin if after_fault => {
                    (position - self.correct_events + 1).to_string()
                }
                Fault::InvalidId if at_fault => "three".to_owned(),
                Fault::NoIds => String::new(),
                Fault::MissingId if at_fault => String::new(),
                _ => id.to_string(),
            };
            if self.has_comments && position % 2 == 1 {
                events.push(self.comment());
            }
            let event = self.event(index, id, &event_id, at_fault);
            match self.fault {
                Fault::CutBetween | Fault::ClosedBetween if at_fault => return events,
                Fault::CutInside | Fault::ClosedInside | Fault::Unfinished if at_fault => {
                    let length = self.inside.min(event.len() - 1);
                    events.push(event[..length].to_vec());
                    return events;
                }
                Fault::OversizeCut if at_fault => {
                    events.push(event[..event.len() - self.inside].to_vec());
                    return events;
                }
                Fault::WeightsWithin if at_fault => {
                    events.push(event);
                    return events;
                }
                _ => events.push(event),
            }
        }
        events
    }

    fn event(&self, index: usize, id: u64, event_id: &str, at_fault: bool) -> Vec<u8> {
        let is_oversize =
            matches!(self.fault, Fault::Oversize | Fault::OversizeCut) || self.fault.id_is_late();
        let padding = "x".repeat(if is_oversize && at_fault {
            OVERSIZE_BYTES
        } else {
            0
        });
        let mut lines = vec![format!("data: {index}/{id}{padding}")];
        if !event_id.is_empty() {
            let at = usize::from(self.fault.id_is_late() && at_fault);
            lines.insert(at, format!("id: {event_id}"));
        }
        if self.fault == Fault::WeightsWithin && at_fault {
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
