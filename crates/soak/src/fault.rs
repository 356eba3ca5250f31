//! What is done to the VMs.

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StoreFault;

use crate::proxy::LinkFault;
use crate::record::Place;
use crate::record::ROLLBACK;

/// `Trouble` is something that is done to the VMs from outside, or that their surroundings do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A VM's process is killed, and started again after a time.
    Kill {
        /// The VM.
        vm: usize,
        /// The time.
        down_ms: u64,
    },
    /// Every VM's process is killed, and started again after a time.
    KillAll {
        /// The time.
        down_ms: u64,
    },
    /// A VM's process stands still for a time.
    Pause {
        /// The VM.
        vm: usize,
        /// The time.
        for_ms: u64,
    },
    /// A VM is told to stop as planned, and is started again when it has ended.
    Stop {
        /// The VM.
        vm: usize,
    },
    /// A VM is told to read its settings again.
    Reload {
        /// The VM.
        vm: usize,
    },
    /// The store treats the calls of some VMs badly for a time.
    Store {
        /// The VM, or all.
        vm: Option<usize>,
        /// How.
        fault: StoreFault,
        /// The time.
        for_ms: u64,
    },
    /// The store deletes its history; the newest record of each key stays.
    Forget,
    /// The store is away for all, and comes back from an older copy. Operators and upstreams write
    /// theirs again.
    SetBack {
        /// How old the copy is when the store goes away.
        lost_ms: u64,
        /// How long it is away.
        away_ms: u64,
        /// How long after its return all is written again.
        again_ms: u64,
    },
    /// A VM's link to the store is spoiled for a time.
    StoreLink {
        /// The VM.
        vm: usize,
        /// How.
        fault: LinkFault,
        /// The time.
        for_ms: u64,
    },
    /// An upstream's link is spoiled for a time.
    UpstreamLink {
        /// The number of the upstream.
        upstream: usize,
        /// How.
        fault: LinkFault,
        /// The time.
        for_ms: u64,
    },
    /// The open connections to an upstream are reset.
    Reset {
        /// The number of the upstream.
        upstream: usize,
    },
    /// The open connections of a VM to the store fall silent for good.
    Silence {
        /// The VM.
        vm: usize,
    },
    /// An upstream spoils its next answers.
    Answers {
        /// The number of the upstream.
        upstream: usize,
        /// How.
        fault: AnswerFault,
        /// How many.
        count: u32,
    },
    /// Every engine spoils its next answers in the same way.
    EnginesAnswer {
        /// How.
        fault: AnswerFault,
        /// How many.
        count: u32,
    },
    /// An engine cuts its next streams, and the others spoil their answers in another way.
    CutBefore {
        /// The number of the engine.
        engine: usize,
        /// Whole events before the cut.
        events: u64,
        /// How the others spoil theirs.
        then: AnswerFault,
        /// How many of each.
        count: u32,
    },
    /// Every instance of the plain service breaks its next answers off after a large part.
    LargeCuts {
        /// How many.
        count: u32,
    },
    /// An engine carries its next orders out late, or loses the answers to them.
    Orders {
        /// The number of the engine.
        engine: usize,
        /// After how long it carries them out; at once with a lost answer if none.
        late_ms: Option<u64>,
        /// How many.
        count: u32,
    },
    /// An engine's process dies. Its entry goes later, and another run of it joins at the same
    /// address.
    EngineDies {
        /// The number of the engine.
        engine: usize,
    },
    /// An engine leaves as planned, and another joins.
    EngineLeaves {
        /// The number of the engine.
        engine: usize,
        /// Whether it gives notice. Otherwise its entry is removed, and it serves on for a while.
        notice: bool,
    },
    /// The operators write a configuration with another route in place of the one before.
    Configure,
    /// The operators give an organisation one more key.
    KeyAdded {
        /// The number of the organisation.
        organisation: usize,
    },
    /// The operators take the oldest key of an organisation away, unless it is the only one.
    KeyTaken {
        /// The number of the organisation.
        organisation: usize,
    },
    /// The operators set the limit of the organisation that has one.
    Limit {
        /// Requests a second, and the burst.
        rate_per_s: u32,
    },
}

impl Trouble {
    /// Returns the word for reports.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Kill { .. } => "kill",
            Self::KillAll { .. } => "kill all",
            Self::Pause { .. } => "pause",
            Self::Stop { .. } => "stop",
            Self::Reload { .. } => "reload",
            Self::Store { .. } => "store",
            Self::Forget => "forget",
            Self::SetBack { .. } => ROLLBACK,
            Self::StoreLink { .. } => "store link",
            Self::UpstreamLink { .. } => "upstream link",
            Self::Reset { .. } => "reset",
            Self::Silence { .. } => "silence",
            Self::Answers { .. } => "answers",
            Self::EnginesAnswer { .. } => "engines answer",
            Self::CutBefore { .. } => "cut before",
            Self::LargeCuts { .. } => "large cuts",
            Self::Orders { .. } => "orders",
            Self::EngineDies { .. } => "engine dies",
            Self::EngineLeaves { .. } => "engine leaves",
            Self::Configure => "configure",
            Self::KeyAdded { .. } => "key added",
            Self::KeyTaken { .. } => "key taken",
            Self::Limit { .. } => "limit",
        }
    }

    /// Returns what it disturbs; none where everything is still owed, or where it is told by itself
    /// for each VM.
    pub(crate) fn place(&self) -> Option<Place> {
        match self {
            Self::Kill { vm, .. } | Self::Pause { vm, .. } | Self::Stop { vm } => {
                Some(Place::Vm(*vm))
            }
            Self::KillAll { .. }
            | Self::Reload { .. }
            | Self::Configure
            | Self::KeyAdded { .. }
            | Self::KeyTaken { .. }
            | Self::Limit { .. } => None,
            Self::Store { .. }
            | Self::Forget
            | Self::SetBack { .. }
            | Self::StoreLink { .. }
            | Self::Silence { .. } => Some(Place::Store),
            Self::UpstreamLink { .. }
            | Self::Reset { .. }
            | Self::Answers { .. }
            | Self::EnginesAnswer { .. }
            | Self::CutBefore { .. }
            | Self::LargeCuts { .. }
            | Self::Orders { .. }
            | Self::EngineDies { .. }
            | Self::EngineLeaves { .. } => Some(Place::Upstreams),
        }
    }
}
