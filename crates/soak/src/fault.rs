//! Faults that a soak injects.

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StoreFault;
use apricotdale_standins::proxy::LinkFault;

use crate::record::KILL;
use crate::record::KILL_ALL;
use crate::record::PATHS_CUT;
use crate::record::PAUSE;
use crate::record::Place;
use crate::record::RESET;
use crate::record::ROLLBACK;
use crate::record::STOP;
use crate::record::UPSTREAM_LINK;

/// How a cut between a VM and an upstream shows at the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCut {
    /// Nothing arrives any more, and no connection is closed.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
    /// New connections are reset, and open ones go on.
    NewRefused,
}

/// Setting of the configuration that the operators change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adjustment {
    /// Timeout of all routes, in milliseconds.
    Timeout(u64),
    /// Attempts of the routes whose requests may run again.
    Attempts(u32),
    /// Time after which an idle connection of a caller is closed, in milliseconds.
    IdleTimeout(u64),
    /// Percentage of the calls that the first of two plain services gets.
    PlainPercent(u32),
}

/// Fault or planned operation to which the VMs or their surroundings are exposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Kills a VM's process and restarts it later.
    Kill {
        /// Number of the VM.
        vm: usize,
        /// Time from the kill to the restart.
        down_ms: u64,
    },
    /// Kills every VM's process and restarts them later.
    KillAll {
        /// Time from the kill to the restart.
        down_ms: u64,
    },
    /// Pauses a VM's process for a time.
    Pause {
        /// Number of the VM.
        vm: usize,
        /// Duration of the fault.
        for_ms: u64,
    },
    /// Stops a VM as planned, with SIGTERM, and restarts it once its process has ended.
    Stop {
        /// Number of the VM.
        vm: usize,
    },
    /// Has a VM reload its settings.
    Reload {
        /// Number of the VM.
        vm: usize,
    },
    /// Has the store mistreat the calls of one VM or of all for a time.
    Store {
        /// Number of the VM; none for all VMs.
        vm: Option<usize>,
        /// How the store treats the calls.
        fault: StoreFault,
        /// Duration of the fault.
        for_ms: u64,
    },
    /// Has the store delete its history except the newest record of each key.
    Forget,
    /// Rolls the store back: it is unavailable for all VMs, then comes back from an older copy, and
    /// later operators and upstreams write their records again.
    SetBack {
        /// Age of the copy when the store becomes unavailable.
        lost_ms: u64,
        /// Time for which the store is unavailable.
        away_ms: u64,
        /// Time from the store's return until operators and upstreams write again.
        again_ms: u64,
    },
    /// Disturbs the link of a VM to the store for a time.
    StoreLink {
        /// Number of the VM.
        vm: usize,
        /// What happens to the bytes on the link.
        fault: LinkFault,
        /// Duration of the fault.
        for_ms: u64,
    },
    /// Disturbs the link of all VMs to an upstream for a time.
    UpstreamLink {
        /// Index of the upstream: engines first, then instances of the plain service.
        upstream: usize,
        /// What happens to the bytes on the link.
        fault: LinkFault,
        /// Duration of the fault.
        for_ms: u64,
    },
    /// Cuts some VMs off from all upstreams for a time.
    PathsCut {
        /// Number of the first of these VMs; the others follow it.
        first_vm: usize,
        /// Number of VMs.
        vms: usize,
        /// How the cut shows at them.
        way: PathCut,
        /// Duration of the fault.
        for_ms: u64,
    },
    /// Resets the open connections to an upstream.
    Reset {
        /// Index of the upstream: engines first, then instances of the plain service.
        upstream: usize,
    },
    /// Has the open connections of a VM to the store carry no bytes any more, without closing them.
    Silence {
        /// Number of the VM.
        vm: usize,
    },
    /// Has an upstream send its next answers with a fault.
    Answers {
        /// Index of the upstream: engines first, then instances of the plain service.
        upstream: usize,
        /// Fault of the answers.
        fault: AnswerFault,
        /// Number of answers that are affected.
        count: u32,
    },
    /// Has every engine send its next answers with the same fault. A fault that spoils continued
    /// streams is also kept until it has spoiled as many of them at whichever engines serve.
    EnginesAnswer {
        /// Fault of the answers.
        fault: AnswerFault,
        /// Number of answers of each engine that are affected.
        count: u32,
    },
    /// Has one engine cut its next streams, and the others send their next answers with another
    /// fault.
    CutBefore {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Number of complete events before the cut.
        events: u64,
        /// Fault of the other engines' answers.
        then: AnswerFault,
        /// Number of answers of each engine that are affected.
        count: u32,
    },
    /// Has every instance of the plain service break its next answers off after a large part.
    LargeCuts {
        /// Number of answers that are affected.
        count: u32,
    },
    /// Has an engine execute its next orders late, or lose the answers to them.
    Orders {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Delay before the execution of each order; if none, it is executed at once and its answer
        /// is lost.
        late_ms: Option<u64>,
        /// Number of orders that are affected.
        count: u32,
    },
    /// Ends an engine's process. Its entry is removed later, and a new incarnation joins at the
    /// same address.
    EngineDies {
        /// Index of the engine in the soak's list.
        engine: usize,
    },
    /// Has an engine leave as planned and another join.
    EngineLeaves {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Whether the engine sends a leave notice. Otherwise its entry is removed, and it goes on
        /// serving for a while.
        notice: bool,
    },
    /// Ends the engines one after another, and starts new incarnations at their addresses with a
    /// version of their software.
    Release {
        /// Index in the soak's list of the engine with which it begins; the others follow.
        first_engine: usize,
        /// Version of the software.
        software: &'static str,
        /// Whether engines send leave notices. Otherwise their entries are removed.
        notice: bool,
        /// Time from there to an engine's end.
        drain_ms: u64,
        /// Time from the end of an engine to its restart.
        down_ms: u64,
        /// Time from the restart of an engine to the leave notice or the end of the next.
        interval_ms: u64,
    },
    /// Has an engine state a rate limit in its answers for a time.
    StatedLimit {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Limit in thousandths of a request per second.
        milli_per_s: u32,
        /// Duration of the statement.
        for_ms: u64,
    },
    /// Has an engine state in all its answers that it leaves, while its entry stays as it is, and
    /// another join. The engine ends later.
    StatedLeave {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Whether the answers to reports and orders state it, too.
        calls: bool,
        /// Time from the first statement to the engine's end.
        for_ms: u64,
    },
    /// Has an engine reject all requests for a time, and state for how long it wants none.
    Rest {
        /// Index of the engine in the soak's list.
        engine: usize,
        /// Seconds that each rejection states.
        seconds: u64,
        /// Time for which requests are rejected.
        for_ms: u64,
    },
    /// Has all engines state how many requests a second they may reject, and lose room later.
    SmallRoom {
        /// Number of requests that each engine runs at once from then on.
        slots: usize,
        /// Rejections in a second above which an engine fails.
        max_rejections: usize,
        /// Duration of the statement.
        for_ms: u64,
    },
    /// Has sound upstreams send nothing for a time and then go on where they stopped.
    SilentUpstreams {
        /// Indices of the upstreams: engines first, then instances of the plain service.
        upstreams: Vec<usize>,
        /// Duration of the silence.
        for_ms: u64,
    },
    /// Has the operators change one setting of the configuration.
    Adjust(Adjustment),
    /// Has the operators write a configuration with a new route in place of the previous one.
    Configure,
    /// Has the operators add a key to an organisation.
    KeyAdded {
        /// Index of the organisation in the soak's list.
        organisation: usize,
    },
    /// Has the operators revoke the oldest key of an organisation, unless it is the only one.
    KeyTaken {
        /// Index of the organisation in the soak's list.
        organisation: usize,
    },
    /// Has the operators change the limit of the organisation that has one.
    Limit {
        /// Rate in requests per second; the allowed burst is the same number of requests.
        rate_per_s: u32,
    },
    /// Has callers of the organisation with a limit send several times its first limit, all kinds of
    /// requests.
    OverLimit {
        /// Multiple of the limit.
        times: u32,
        /// Number of additional callers.
        callers: usize,
        /// Duration of the load.
        for_ms: u64,
    },
    /// Has callers ask for more models than the engines hold, one after another.
    ModelsInTurn {
        /// Number of additional callers.
        callers: usize,
        /// Duration of the load.
        for_ms: u64,
    },
}

impl Trouble {
    /// Returns the name of the fault in reports.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Kill { .. } => KILL,
            Self::KillAll { .. } => KILL_ALL,
            Self::Pause { .. } => PAUSE,
            Self::Stop { .. } => STOP,
            Self::Reload { .. } => "reload",
            Self::Store { .. } => "store",
            Self::Forget => "forget",
            Self::SetBack { .. } => ROLLBACK,
            Self::StoreLink { .. } => "store link",
            Self::UpstreamLink { .. } => UPSTREAM_LINK,
            Self::PathsCut { .. } => PATHS_CUT,
            Self::Reset { .. } => RESET,
            Self::Silence { .. } => "silence",
            Self::Answers { .. } => "answers",
            Self::EnginesAnswer { .. } => "engines answer",
            Self::CutBefore { .. } => "cut before",
            Self::LargeCuts { .. } => "large cuts",
            Self::Orders { .. } => "orders",
            Self::EngineDies { .. } => "engine dies",
            Self::EngineLeaves { .. } => "engine leaves",
            Self::Release { .. } => "release",
            Self::StatedLimit { .. } => "stated limit",
            Self::StatedLeave { .. } => "stated leave",
            Self::Rest { .. } => "rest",
            Self::SmallRoom { .. } => "small room",
            Self::SilentUpstreams { .. } => "silent upstreams",
            Self::Adjust(_) => "adjust",
            Self::Configure => "configure",
            Self::KeyAdded { .. } => "key added",
            Self::KeyTaken { .. } => "key taken",
            Self::Limit { .. } => "limit",
            Self::OverLimit { .. } => "over limit",
            Self::ModelsInTurn { .. } => "models in turn",
        }
    }

    /// Returns what the fault disturbs; none if all invariants must hold in spite of it, or if it
    /// is recorded for each VM separately.
    pub(crate) fn place(&self) -> Option<Place> {
        match self {
            Self::Kill { vm, .. } | Self::Pause { vm, .. } | Self::Stop { vm } => {
                Some(Place::Vm(*vm))
            }
            Self::KillAll { .. }
            | Self::Reload { .. }
            | Self::StatedLimit { .. }
            | Self::SmallRoom { .. }
            | Self::SilentUpstreams { .. }
            | Self::Adjust(_)
            | Self::Configure
            | Self::KeyAdded { .. }
            | Self::KeyTaken { .. }
            | Self::Limit { .. }
            | Self::OverLimit { .. }
            | Self::ModelsInTurn { .. } => None,
            Self::Store { .. }
            | Self::Forget
            | Self::SetBack { .. }
            | Self::StoreLink { .. }
            | Self::Silence { .. } => Some(Place::Store),
            Self::UpstreamLink { .. }
            | Self::PathsCut { .. }
            | Self::Reset { .. }
            | Self::Answers { .. }
            | Self::EnginesAnswer { .. }
            | Self::CutBefore { .. }
            | Self::LargeCuts { .. }
            | Self::Orders { .. }
            | Self::EngineDies { .. }
            | Self::EngineLeaves { .. }
            | Self::Release { .. }
            | Self::StatedLeave { .. }
            | Self::Rest { .. } => Some(Place::Upstreams),
        }
    }
}
