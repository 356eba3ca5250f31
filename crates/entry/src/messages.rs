//! What VMs tell each other.

use std::net::SocketAddr;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::Upstream;
use apricotdale_holder::DemandRow;
use apricotdale_holder::ResidenceUpdate;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::TrialAnswer;
use apricotdale_quarantine::TrialEnd;
use apricotdale_quarantine::TrialQuery;
use apricotdale_quota::Answer;
use apricotdale_quota::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::codec::DecodeError;

/// `VmRecord` is a VM's entry in the store, by which VMs find each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VmRecord {
    pub vm: VmName,
    pub address: SocketAddr,
    pub run: u64,
    /// How long a fixed piece of work took at its start.
    pub work_us: u32,
}

/// `Forecast` is when a missing model is expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForecastRow {
    pub model: ModelName,
    /// From now, or none if its load has no date.
    pub ready_in_ms: Option<u64>,
}

/// `PeerMessage` is a message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A VM is there.
    Greeting(VmRecord),
    /// A VM stops.
    Goodbye(VmName),
    /// A VM's demand.
    Demand {
        from: VmRecord,
        rows: Vec<DemandRow>,
    },
    /// The giver of orders is there.
    Beat {
        from: VmRecord,
        lease_end: Position,
        forecasts: Vec<ForecastRow>,
        fresh: Freshness,
    },
    /// What a VM has read of the list, where no giver of orders tells it.
    ListRead { from: VmRecord, fresh: Freshness },
    /// Entries of upstreams that came, and how far the list had been read then.
    Entries {
        read_to: Position,
        entries: Vec<Upstream>,
    },
    /// What engines hold.
    News(Vec<ResidenceUpdate>),
    /// An engine turned a request away because it does not hold the model.
    Rejected {
        engine: UpstreamName,
        model: ModelName,
    },
    /// An engine with requests in progress does not answer.
    Unresponsive(UpstreamName),
    /// Such an engine answers again.
    Lit(UpstreamName),
    /// The giver of orders has given the lease back.
    Released {
        /// The end of the lease's topic behind the record that does so.
        lease_end: Position,
        /// How long before that it had given its last order.
        quiet_ms: u64,
    },
    /// What a VM had in progress at upstreams that crashed.
    Crashes(Vec<CrashReport>),
    /// Requests that are refused because upstreams crash under them.
    Blocks(Vec<BlockRow>),
    /// A VM that may have missed some asks for them.
    BlocksWanted,
    /// Such a request, or one on probation, was answered all the same.
    Cleared(Fingerprint),
    /// Requests that are sent one at a time.
    Probations(Vec<Fingerprint>),
    /// A VM asks a judge whether it may send such a request.
    TrialWanted {
        /// The run of the VM that asks.
        asker: u64,
        ask: TrialQuery,
    },
    /// The judge's answer.
    TrialDecided(TrialAnswer),
    /// Such a send is over.
    TrialOver {
        /// The run of the VM that had asked.
        asker: u64,
        end: TrialEnd,
    },
    /// What a VM has spent of the limits of organisations.
    Spent(Report),
    /// What the keeper of the accounts allows it.
    Allowed(Answer),
}

/// The first byte of each message. It changes when what follows does, so that VMs of different
/// versions do not take each other's words for something else.
const FORMAT: u8 = 0xa3;

/// Returns the bytes of a message.
pub(crate) fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match postcard::to_extend(message, vec![FORMAT]) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!(reason = error.to_string(); "message to a VM not encoded");
            None
        }
    }
}

/// Returns the message that the bytes are.
pub(crate) fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => {
            postcard::from_bytes(rest).map_err(|error| DecodeError::new(error.to_string()))
        }
        _ => Err(DecodeError::new("another format")),
    }
}
