//! What callers and upstreams saw during a soak.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::EngineEffects;

use crate::streams::BodySeen;

/// What a disturbance is called by which the store has an older configuration.
pub(crate) const ROLLBACK: &str = "set back";

/// `Kind` is what a request asks for, and so what may become of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// A call that may be repeated.
    Look,
    /// A call that may run once.
    Book,
    /// A stream that may be resumed.
    Quick,
    /// A stream that may run once.
    Patient,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Look, Self::Book, Self::Quick, Self::Patient];

    /// Returns whether a request may run more than once.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Look | Self::Quick)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Quick | Self::Patient)
    }

    /// Returns the word for reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Look => "look",
            Self::Book => "book",
            Self::Quick => "quick",
            Self::Patient => "patient",
        }
    }
}

/// `Ending` is how an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// An answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it came to its end as its head announced.
        whole: bool,
        /// The request that it names.
        id: Option<String>,
        /// Whether it carries an upstream's signature.
        signed: bool,
        /// The body, as far as it came.
        body: BodySeen,
    },
    /// The connection ended, or nothing came within the caller's patience.
    Unanswered,
    /// The connection could not be opened, or broke before the request was written.
    Unsent,
    /// The caller left before an answer.
    Left,
}

/// `Presented` is by which key a request says whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presented {
    /// It carries none.
    None,
    /// It carries one that no organisation ever held.
    Unknown,
    /// It carries two.
    Several,
    /// It carries the key with this index in [`Record::keys`].
    Key(usize),
}

/// `KeySeen` is a key that the operators gave to an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySeen {
    /// The key.
    pub secret: String,
    /// The organisation's name.
    pub organisation: String,
    /// When the configuration with it was acknowledged; 0 for the first one.
    pub acknowledged_ms: u64,
    /// When a configuration without it began to be written.
    pub leaving_ms: Option<u64>,
    /// When that was acknowledged.
    pub left_ms: Option<u64>,
}

/// `LimitSeen` is a limit that the operators gave to an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSeen {
    /// The organisation's name.
    pub organisation: String,
    /// When its configuration began to be written.
    pub written_ms: u64,
    /// When that was acknowledged.
    pub acknowledged_ms: u64,
    /// The most requests in any window, with what the users' bound adds to the limit.
    pub most_in_window: usize,
}

/// `Attempt` is one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its identity.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// The VM that it was sent to.
    pub vm: usize,
    /// By which key.
    pub presented: Presented,
    /// The last event that the caller had of an earlier attempt; 0 if it had none.
    pub after_event: u64,
    /// When it was sent.
    pub sent_ms: u64,
    /// When its ending was known.
    pub ended_ms: u64,
    /// How long the caller waits.
    pub patience_ms: u64,
    /// How it ended.
    pub ending: Ending,
}

impl Attempt {
    /// Returns the status of its answer; 0 if there was none.
    pub fn status(&self) -> u16 {
        match self.ending {
            Ending::Answered { status, .. } => status,
            _ => 0,
        }
    }
}

/// `Run` is a request as an upstream got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Its identity.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// When it came.
    pub at_ms: u64,
    /// Whether method, target and body are those of the request with this identity.
    pub unchanged: bool,
    /// The event behind which it was to go on; 0 if it was to send all.
    pub after_event: u64,
    /// How its answer was spoiled, unless by its engine's end.
    pub fault: Option<AnswerFault>,
    /// The organisations that the upstream was told.
    pub organisations: Vec<String>,
    /// Whether a key reached the upstream.
    pub shows_key: bool,
}

/// `Crash` is an engine that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request's body, by which it is the same request again.
    pub body: String,
    /// The engine.
    pub upstream: String,
    /// When it ended.
    pub at_ms: u64,
}

/// `Place` is what a disturbance concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// One VM's process, or its link to the store.
    Vm(usize),
    /// The store as all VMs see it.
    Store,
    /// Upstreams, their links and their answers.
    Upstreams,
}

/// `Disturbance` is a trouble as it was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What was done.
    pub what: String,
    /// What it concerns.
    pub place: Place,
    /// When it began.
    pub from_ms: u64,
    /// When it ended.
    pub until_ms: u64,
}

/// `Drain` is an upstream's leaving as the store has acknowledged it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The upstream.
    pub upstream: String,
    /// When.
    pub at_ms: u64,
}

/// `ConfigurationProbe` is a question about the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationProbe {
    /// The VM that was asked.
    pub vm: usize,
    /// When the configuration was acknowledged.
    pub acknowledged_ms: u64,
    /// When the VM was asked.
    pub sent_ms: u64,
    /// Whether the route is part of the configuration.
    pub exists: bool,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
}

/// `StopSeen` is a planned stop of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSeen {
    /// The VM.
    pub vm: usize,
    /// When it was told.
    pub at_ms: u64,
    /// When its process had ended by itself, with its code; none if it did not in time.
    pub ended: Option<(u64, Option<i32>)>,
}

/// `Record` is everything that was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The callers' attempts.
    pub attempts: Vec<Attempt>,
    /// The attempts after the last trouble, which every VM should serve.
    pub last_attempts: Vec<Attempt>,
    /// What upstreams ran.
    pub runs: Vec<Run>,
    /// Identities of questions that the soak asked besides the callers.
    pub other_ids: BTreeSet<String>,
    /// Requests with which engines ended, once for each copy.
    pub crashes: Vec<Crash>,
    /// Attempts of callers whose requests end engines, with the requests' bodies.
    pub crasher_ids: Vec<(String, String)>,
    /// What engines were told, by engine.
    pub engines: Vec<(String, EngineEffects)>,
    /// The troubles.
    pub disturbances: Vec<Disturbance>,
    /// Upstreams that left.
    pub drains: Vec<Drain>,
    /// Questions about configurations.
    pub probes: Vec<ConfigurationProbe>,
    /// Planned stops.
    pub stops: Vec<StopSeen>,
    /// Every key that was configured.
    pub keys: Vec<KeySeen>,
    /// Every limit that was configured, in order.
    pub limits: Vec<LimitSeen>,
    /// Log lines of VMs that hold a key.
    pub key_lines: Vec<String>,
    /// VMs whose process ended by itself, with what is known of it.
    pub unexpected_exits: Vec<String>,
}

/// `ContinuedStreams` counts streams that went on at another upstream behind events of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContinuedStreams {
    /// All of them.
    pub streams: usize,
    /// Those whose rest was spoiled.
    pub faulty: usize,
    /// Those that looked whole to their callers.
    pub whole: usize,
}

impl Record {
    /// Returns how many streams were played over several upstreams.
    pub fn continued(&self) -> ContinuedStreams {
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let mut counts = ContinuedStreams::default();
        for attempt in self.attempts.iter().chain(&self.last_attempts) {
            let runs = runs.get(attempt.id.as_str()).map_or(&[][..], Vec::as_slice);
            let rests: Vec<&&Run> = runs
                .iter()
                .filter(|run| run.after_event > attempt.after_event)
                .filter(|run| runs.iter().any(|other| other.upstream != run.upstream))
                .collect();
            let is_whole = matches!(attempt.ending, Ending::Answered { whole: true, .. });
            counts.streams += usize::from(!rests.is_empty());
            counts.faulty += usize::from(rests.iter().any(|run| run.fault.is_some()));
            counts.whole += usize::from(!rests.is_empty() && is_whole);
        }
        counts
    }
}
