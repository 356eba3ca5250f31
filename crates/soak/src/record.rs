//! Record of what callers and upstreams observed during a soak. All times are milliseconds since
//! the start of the soak.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::EngineEffects;

use crate::load_invariants::ResidenceSeen;
use crate::rest_invariants::RestSeen;
use crate::room_invariants::RoomFailureSeen;
use crate::streams::BodySeen;
use crate::streams::StreamSeen;

/// Name of the disturbance after which the store may hold an older configuration.
pub(crate) const ROLLBACK: &str = "set back";

/// Name of the disturbance in which a VM's process is killed.
pub(crate) const KILL: &str = "kill";

/// Name of the disturbance in which a VM's process is paused.
pub(crate) const PAUSE: &str = "pause";

/// Name of the disturbance in which a VM is stopped as planned.
pub(crate) const STOP: &str = "stop";

/// Name of the disturbance in which every VM's process is killed.
pub(crate) const KILL_ALL: &str = "kill all";

/// Name of the disturbance in which VMs are cut off from all upstreams.
pub(crate) const PATHS_CUT: &str = "paths cut";

/// Name of a disturbance of the link of all VMs to an upstream.
pub(crate) const UPSTREAM_LINK: &str = "upstream link";

/// Name of a reset of the open connections to an upstream.
pub(crate) const RESET: &str = "reset";

/// Kind of a request, which decides what may happen to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Call that may run more than once.
    Look,
    /// Call that may run at most once.
    Book,
    /// Stream that may be resumed and run more than once.
    Quick,
    /// Stream that may run at most once.
    Patient,
}

impl Kind {
    /// Every kind, in the order in which the recovery sends them.
    pub const ALL: [Self; 4] = [Self::Look, Self::Book, Self::Quick, Self::Patient];

    /// Returns whether a request of this kind may run more than once.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Look | Self::Quick)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Quick | Self::Patient)
    }

    /// Returns the name of the kind in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Look => "look",
            Self::Book => "book",
            Self::Quick => "quick",
            Self::Patient => "patient",
        }
    }
}

/// Outcome of an attempt for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// At least the head of an answer came.
    Answered {
        /// HTTP status; 200 for bytes that are no HTTP.
        status: u16,
        /// Whether the body came to the end that its head announced.
        whole: bool,
        /// Request ID that the answer names, if any.
        id: Option<String>,
        /// Whether the answer carries an upstream's signature.
        signed: bool,
        /// Body as far as it came.
        body: BodySeen,
    },
    /// The connection ended without an answer, or no head came before the caller stopped reading.
    Unanswered,
    /// The connection could not be opened, or failed before the request was written.
    Unsent,
    /// The caller closed the connection before an answer.
    Left,
}

/// Credentials that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presented {
    /// No key.
    None,
    /// A key that no organisation ever held.
    Unknown,
    /// Two keys.
    Several,
    /// The key with this index in [`Record::keys`].
    Key(usize),
}

/// Key that the operators configured for an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySeen {
    /// Key itself.
    pub secret: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Time when the store acknowledged the first configuration with the key; 0 for keys of the
    /// initial configuration.
    pub acknowledged_ms: u64,
    /// Time when the write of a configuration without the key began; none while it is configured.
    pub leaving_ms: Option<u64>,
    /// Time when the store acknowledged that configuration.
    pub left_ms: Option<u64>,
}

/// Limit that the operators configured for an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSeen {
    /// Name of the organisation.
    pub organisation: String,
    /// Time when the write of the configuration began.
    pub written_ms: u64,
    /// Time when the store acknowledged the configuration.
    pub acknowledged_ms: u64,
    /// Upper bound of requests in any window, with the overuse that users are promised at most.
    pub most_in_window: usize,
}

/// Rate limit that an engine stated in its answers for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatedLimitSeen {
    /// Name of the engine.
    pub upstream: String,
    /// Limit in thousandths of a request per second.
    pub milli_per_s: u32,
    /// Time of the first answer that may state it.
    pub from_ms: u64,
    /// Time of the last answer that may state it.
    pub until_ms: u64,
}

/// Engine that stated in its answers that it leaves, while its entry did not say so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatedLeaveSeen {
    /// Name of the engine.
    pub upstream: String,
    /// Time from which all its answers state it.
    pub from_ms: u64,
}

/// Request of a caller that reached an engine, whether or not it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalSeen {
    /// Request ID.
    pub id: String,
    /// Name of the engine.
    pub upstream: String,
    /// Number of the VM from whose address it came; none if the address is no VM's.
    pub vm: Option<usize>,
    /// Time when it reached the engine.
    pub at_ms: u64,
    /// Whether the engine answered that the request was not meant for it.
    pub is_misdirected: bool,
}

/// One request as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request ID, unique to the attempt.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of the VM that it was sent to.
    pub vm: usize,
    /// Credentials that it carried.
    pub presented: Presented,
    /// Last event ID that the caller had from an earlier attempt; 0 if it had none.
    pub after_event: u64,
    /// Request ID of the attempt that brought the first event of the stream; none for an attempt
    /// that resumes no stream.
    pub resumes: Option<String>,
    /// Event after which the caller closed the connection; none if the caller read on.
    pub left_after_event: Option<u64>,
    /// Time when it was sent.
    pub sent_ms: u64,
    /// Time when its outcome was known.
    pub ended_ms: u64,
    /// Timeout that the caller names in the request, in milliseconds.
    pub patience_ms: u64,
    /// Model that the request names, or an adapter after a slash; none for calls.
    pub model: Option<Arc<str>>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Whether no other request has the same body, except resumptions of the same stream.
    pub has_own_body: bool,
    /// Reason that a refusal of the VM states; none for other answers.
    pub refusal: Option<String>,
    /// Outcome for the caller.
    pub ending: Ending,
}

impl Attempt {
    /// Returns the HTTP status of the answer; 0 if there was none.
    pub fn status(&self) -> u16 {
        match self.ending {
            Ending::Answered { status, .. } => status,
            _ => 0,
        }
    }

    /// Returns the stream that the attempt is part of: the request ID of its first attempt.
    pub fn stream(&self) -> &str {
        self.resumes.as_deref().unwrap_or(&self.id)
    }

    /// Returns the events that a success brought, as far as they came; none if it brought none.
    pub fn events(&self) -> Option<&StreamSeen> {
        match &self.ending {
            Ending::Answered {
                status: 200,
                body: BodySeen::Stream(stream),
                ..
            } => Some(stream).filter(|stream| stream.last_id().is_some()),
            _ => None,
        }
    }
}

/// Time for which an engine served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTime {
    /// Name of the engine.
    pub upstream: String,
    /// Version of its software.
    pub software: String,
    /// Time when it wrote its first entry.
    pub from_ms: u64,
    /// Time when it began to leave, or ended; none if it serves to the end.
    pub until_ms: Option<u64>,
}

/// One execution of a request, as the upstream received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Request ID.
    pub id: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Time when the request reached the upstream.
    pub at_ms: u64,
    /// Whether method, target and body are those that the caller sent under this ID.
    pub unchanged: bool,
    /// Event ID after which the upstream was to resume; 0 if it was to send all events.
    pub after_event: u64,
    /// Injected fault of the answer, if any. A crash of the engine is not recorded here.
    pub fault: Option<AnswerFault>,
    /// Organisations that the request named to the upstream.
    pub organisations: Vec<String>,
    /// Whether a caller's key reached the upstream.
    pub shows_key: bool,
}

/// Crash of an engine while it ran a request that crashes engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Body of the request, which identifies the same request across sends, or the part of its
    /// prompt that crashes engines.
    pub body: String,
    /// Name of the engine.
    pub upstream: String,
    /// Time of the crash.
    pub at_ms: u64,
}

/// Part of the system that a disturbance concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Process of the VM with this number.
    Vm(usize),
    /// Store or the links to it.
    Store,
    /// Upstreams, the links to them and their answers.
    Upstreams,
}

/// Fault as it was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Name of the fault.
    pub what: String,
    /// Part of the system that it concerns.
    pub place: Place,
    /// Time when the fault began.
    pub from_ms: u64,
    /// Time when the fault ended.
    pub until_ms: u64,
}

/// Cut of some VMs from all upstreams, while callers, the store and the other VMs reach them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathCutSeen {
    /// Numbers of the VMs that were cut off.
    pub vms: Vec<usize>,
    /// Number of all VMs.
    pub of_vms: usize,
    /// Time when the cut began.
    pub from_ms: u64,
    /// Time when the cut ended.
    pub until_ms: u64,
}

/// Time for which the link of all VMs to an upstream was disturbed, or at which its connections
/// were reset or the upstream itself ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkBreak {
    /// Name of the upstream.
    pub upstream: String,
    /// Time when it began.
    pub from_ms: u64,
    /// Time when it ended.
    pub until_ms: u64,
}

/// Time for which a sound upstream sent nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceSeen {
    /// Name of the upstream.
    pub upstream: String,
    /// Time when it began.
    pub from_ms: u64,
    /// Time when the upstream went on.
    pub until_ms: u64,
}

/// Timeout of all routes that the operators configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeoutSeen {
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
    /// Time when the write of the configuration began; 0 for the initial one.
    pub written_ms: u64,
    /// Time when the store acknowledged it.
    pub acknowledged_ms: u64,
}

/// Planned departure of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Name of the upstream.
    pub upstream: String,
    /// Time when the store acknowledged the departure.
    pub at_ms: u64,
}

/// Request that shows whether a VM applies the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationProbe {
    /// Number of the VM that was asked.
    pub vm: usize,
    /// Time when the store acknowledged the configuration.
    pub acknowledged_ms: u64,
    /// Time when the request was sent.
    pub sent_ms: u64,
    /// Whether the route of the request is part of the configuration.
    pub exists: bool,
    /// HTTP status of the answer; 0 if there was none.
    pub status: u16,
}

/// Planned stop of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSeen {
    /// Number of the VM.
    pub vm: usize,
    /// Time when the VM got SIGTERM.
    pub at_ms: u64,
    /// Time when the process had exited, with its exit code (none if a signal ended it). None if it
    /// did not exit in time.
    pub ended: Option<(u64, Option<i32>)>,
}

/// Everything that was observed in a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Attempts of the callers while faults were injected.
    pub attempts: Vec<Attempt>,
    /// Attempts after the last fault: each kind of request to each VM until it is served.
    pub last_attempts: Vec<Attempt>,
    /// Executions of requests at upstreams.
    pub runs: Vec<Run>,
    /// Request IDs of configuration probes.
    pub other_ids: BTreeSet<String>,
    /// Requests that were running when an engine crashed, one for each concurrent copy.
    pub crashes: Vec<Crash>,
    /// Request IDs and bodies, or parts of prompts, of the requests that crash engines.
    pub crasher_ids: Vec<(String, String)>,
    /// Effects of orders on each engine, by the engine's name.
    pub engines: Vec<(String, EngineEffects)>,
    /// Faults as they were carried out.
    pub disturbances: Vec<Disturbance>,
    /// Times for which engines served.
    pub engine_times: Vec<EngineTime>,
    /// Planned departures of upstreams.
    pub drains: Vec<Drain>,
    /// Probes of configurations.
    pub probes: Vec<ConfigurationProbe>,
    /// Planned stops of VMs.
    pub stops: Vec<StopSeen>,
    /// Every key that was configured, in order of its configuration.
    pub keys: Vec<KeySeen>,
    /// Every limit that was configured, in order of its configuration.
    pub limits: Vec<LimitSeen>,
    /// Rate limits that engines stated.
    pub stated_limits: Vec<StatedLimitSeen>,
    /// Engines that stated in their answers that they leave.
    pub stated_leaves: Vec<StatedLeaveSeen>,
    /// Answers by which engines asked for rest.
    pub rests: Vec<RestSeen>,
    /// Failures of engines under the requests that they had to reject.
    pub room_failures: Vec<RoomFailureSeen>,
    /// Requests of callers that reached engines.
    pub arrivals: Vec<ArrivalSeen>,
    /// Times for which engines listed models as loaded.
    pub residences: Vec<ResidenceSeen>,
    /// When engines accepted orders, and the name of the lease holder, in order.
    pub order_times: Vec<(u64, String)>,
    /// Cuts of VMs from all upstreams.
    pub path_cuts: Vec<PathCutSeen>,
    /// Disturbances of the links to single upstreams, and ends of upstreams.
    pub link_breaks: Vec<LinkBreak>,
    /// Silences of sound upstreams.
    pub silences: Vec<SilenceSeen>,
    /// Timeouts of the routes, in order of their configuration.
    pub timeouts: Vec<TimeoutSeen>,
    /// Log lines of VMs that contain a caller's key.
    pub key_lines: Vec<String>,
    /// One line for each VM whose process exited or failed to start unexpectedly, with the reason.
    pub unexpected_exits: Vec<String>,
}

impl Record {
    /// Returns the time from which an upstream that has something to send at `at_ms` can send it:
    /// then, or when its silence ends.
    pub(crate) fn sends_from_ms(&self, upstream: &str, at_ms: u64) -> u64 {
        let of_upstream = |it: &&SilenceSeen| it.upstream == upstream;
        let mut sends_ms = at_ms;
        loop {
            let mut silences = self.silences.iter().filter(of_upstream);
            match silences.find(|it| it.from_ms <= sends_ms && it.until_ms > sends_ms) {
                Some(silence) => sends_ms = silence.until_ms,
                None => return sends_ms,
            }
        }
    }
}
