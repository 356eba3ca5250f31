//! Messages between VMs, and their encoding.

use std::net::SocketAddr;

use apricotdale_admission::RankShareRow;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::StatedLimit;
use apricotdale_dispatch::StatedRejectionLimit;
use apricotdale_fleet::Departure;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::append_versions;
use apricotdale_fleet::set_versions;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::DemandRow;
use apricotdale_holder::EngineSpeedRow;
use apricotdale_holder::ResidenceUpdate;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::StreamOrigin;
use apricotdale_paths::PathAnswer;
use apricotdale_quarantine::AnsweredRow;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::ProbationRow;
use apricotdale_quarantine::TrialAnswer;
use apricotdale_quarantine::TrialEnd;
use apricotdale_quarantine::TrialQuery;
use apricotdale_quota::Answer;
use apricotdale_quota::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::codec::DecodeError;

/// A VM's entry in the store, through which VMs discover each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VmRecord {
    pub vm: VmName,
    pub address: SocketAddr,
    pub incarnation: u64,
    /// How long a fixed amount of work took when the VM started: the measure of its speed.
    pub work_us: u32,
}

/// When a missing model is expected to be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForecastRow {
    pub model: ModelName,
    /// Time from now; none if no load of the model is expected to end.
    pub ready_in_ms: Option<u64>,
}

/// What the lease holder announces where VMs report details of their demand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeartbeatDetail {
    /// Lasting speeds of the engines whose speed differs, in some of the heartbeats. The others have the
    /// mean speed.
    pub speeds: Option<Vec<EngineSpeedRow>>,
    /// Shares of the ranks that are admitted, of the services where they bind.
    pub rank_shares: Vec<RankShareRow>,
}

/// A datagram from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Announces a VM that runs.
    Hello(VmRecord),
    /// Announces that a VM stops.
    Goodbye(VmName),
    /// A VM's demand, for the lease holder. Its details follow behind the message.
    Demand {
        from: VmRecord,
        rows: Vec<DemandRow>,
        #[serde(skip)]
        detail: Option<DemandDetail>,
    },
    /// Heartbeat of the lease holder. Its details follow behind the message.
    Heartbeat {
        from: VmRecord,
        lease_end: Position,
        forecasts: Vec<ForecastRow>,
        fresh: Freshness,
        #[serde(skip)]
        detail: Option<HeartbeatDetail>,
    },
    /// What a VM has read of the upstream list, sent while no lease holder announces it.
    ListRead { from: VmRecord, fresh: Freshness },
    /// Entries of new upstreams, and the position up to which the upstream list had been read then.
    /// The software versions follow behind the message.
    Entries {
        read_to: Position,
        entries: Vec<Upstream>,
    },
    /// Changes of what engines hold.
    ResidenceUpdates(Vec<ResidenceUpdate>),
    /// An engine rejected a request because it does not hold the model.
    ModelMissing {
        engine: UpstreamName,
        model: ModelName,
    },
    /// An upstream with requests in progress does not answer the sender. It may answer others.
    EngineUnresponsive(UpstreamName),
    /// An upstream that did not answer the sender does so again.
    EngineResponsive(UpstreamName),
    /// The lease holder has released the lease.
    Released {
        /// End of the lease's topic behind the record that releases the lease.
        lease_end: Position,
        /// How long before the release the holder sent its last order.
        quiet_ms: u64,
    },
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteCrashes,
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteBlocks,
    /// Asks the lease holder for the blocks in force, of which the sender may have missed some.
    BlocksRequested,
    /// A request or prompt part that was blocked or on probation was answered after all.
    Cleared(Fingerprint),
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteProbations,
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteTrialRequested,
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteTrialDecided,
    /// Placeholder for a variant of earlier versions, which is ignored.
    ObsoleteTrialOver,
    /// Units of organisations' limits that a VM has used and wants, for the quota owner.
    QuotaReport(Report),
    /// Quota owner's answer to a report: the units that it grants.
    QuotaAnswer(Answer),
    /// Limits that upstreams have stated. Those on rejections follow behind the message.
    StatedLimits {
        limits: Vec<StatedLimit>,
        #[serde(skip)]
        rejection_limits: Vec<StatedRejectionLimit>,
    },
    /// Requests that a VM has sent and wants to send to upstreams with rate limits, for the owner of
    /// the permits. The room of upstreams follows behind the message.
    PermitReport(Report),
    /// Owner's answer to a report: the permits that it grants.
    PermitAnswer(Answer),
    /// Asks which configuration is in force.
    ConfigurationQuery {
        from: VmRecord,
        /// Era of the store as the sender knows it.
        era: u64,
    },
    /// States which configuration is in force.
    ConfigurationInForce {
        /// Era of the store as the sender knows it.
        era: u64,
        version: u64,
        /// Age of the sender's evidence.
        age_ms: u64,
    },
    /// Asks which of these upstreams a VM reaches, since the sender does not.
    PathQuery {
        from: VmRecord,
        upstreams: Vec<UpstreamName>,
    },
    /// States which upstreams the sender reaches.
    PathAnswer { from: VmRecord, answer: PathAnswer },
    /// An upstream that states a limit on rejections has rejected a request of the sender.
    Rejected {
        upstream: UpstreamName,
        limit: RateLimit,
    },
    /// Requests that a VM had in progress at crashed upstreams, with their prompt parts.
    Crashes(Vec<CrashReport>),
    /// Requests and prompt parts that are refused because upstreams crash under them.
    Blocks(Vec<BlockRow>),
    /// Requests and prompt parts on probation, of which only one request at a time is sent.
    Probations(Vec<ProbationRow>),
    /// Answers to requests that are on probation, or to requests with such parts, for a judge.
    Answered(Vec<AnsweredRow>),
    /// Asks a judge whether the sender may send a request on probation.
    TrialRequested {
        /// Incarnation of the VM that asks.
        asker: u64,
        query: TrialQuery,
    },
    /// A judge's answer to the question whether a request may be sent.
    TrialDecided(TrialAnswer),
    /// A permitted send of a request on probation has ended.
    TrialOver {
        /// Incarnation of the VM that had asked.
        asker: u64,
        end: TrialEnd,
    },
    /// Origins of streams that the sender began.
    StreamOrigins(Vec<StreamOrigin>),
    /// Asks for the origin of a stream.
    OriginQuery(OriginQuery),
    /// What the sender knows of the origin of a stream.
    OriginAnswer(OriginAnswer),
    /// An upstream has stated to the sender that it leaves. The lease holder repeats it.
    LeaveStated(Departure),
    /// An upstream that the receiver relays connections to has asked for rest.
    RestStated {
        upstream: UpstreamName,
        rest_ms: u64,
    },
    /// A prompt part is no longer on probation although it was not answered: a block explains the
    /// crashes.
    ProbationEnded(Fingerprint),
    /// Asks what upstreams have stated, since the sender has started. Few VMs answer the first
    /// question, and all the next ones.
    StatedLimitsRequested { is_first: bool },
    /// Asks whether an upstream is responsive at which the sender's requests are silent.
    HealthCheckRequested {
        from: VmName,
        upstream: UpstreamName,
    },
}

/// First byte of each message. It changes with the format of what follows, so that VMs of different
/// versions do not misread each other's messages.
const FORMAT: u8 = 0xa3;

/// Encodes a message; none if that fails, which is logged.
pub(crate) fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    let encoded = postcard::to_extend(message, vec![FORMAT]);
    let encoded = match message {
        PeerMessage::Entries { entries, .. } => {
            encoded.and_then(|bytes| append_versions(bytes, entries))
        }
        PeerMessage::Heartbeat { fresh, detail, .. } => encoded
            .and_then(|bytes| postcard::to_extend(&fresh.versions, bytes))
            .and_then(|bytes| append(detail.as_ref(), bytes)),
        PeerMessage::ListRead { fresh, .. } => {
            encoded.and_then(|bytes| postcard::to_extend(&fresh.versions, bytes))
        }
        PeerMessage::Demand { detail, .. } => {
            encoded.and_then(|bytes| append(detail.as_ref(), bytes))
        }
        PeerMessage::StatedLimits {
            rejection_limits, ..
        } => encoded.and_then(|bytes| postcard::to_extend(rejection_limits, bytes)),
        PeerMessage::PermitReport(report) | PeerMessage::QuotaReport(report) => {
            encoded.and_then(|bytes| postcard::to_extend(&report.extra, bytes))
        }
        _ => encoded,
    };
    match encoded {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!(reason = error.to_string(); "message to a VM can't be encoded");
            None
        }
    }
}

/// Appends what follows behind a message, if there is anything.
fn append<T: Serialize>(value: Option<&T>, bytes: Vec<u8>) -> postcard::Result<Vec<u8>> {
    match value {
        Some(value) => postcard::to_extend(value, bytes),
        None => Ok(bytes),
    }
}

/// Decodes a datagram; fails if its format is another version's or its content is malformed.
pub(crate) fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    match bytes.split_first() {
        Some((&FORMAT, content)) => {
            let (mut message, rest) = postcard::take_from_bytes(content)
                .map_err(|error| DecodeError::new(error.to_string()))?;
            match &mut message {
                PeerMessage::Entries { entries, .. } => {
                    set_versions(entries, rest);
                }
                PeerMessage::Heartbeat { fresh, detail, .. } => {
                    if let Ok((versions, rest)) = postcard::take_from_bytes(rest) {
                        fresh.versions = versions;
                        *detail = postcard::from_bytes(rest).ok();
                    }
                }
                PeerMessage::ListRead { fresh, .. } => {
                    fresh.versions = postcard::from_bytes(rest).unwrap_or_default();
                }
                PeerMessage::Demand { detail, .. } => *detail = postcard::from_bytes(rest).ok(),
                PeerMessage::StatedLimits {
                    rejection_limits, ..
                } => {
                    *rejection_limits = postcard::from_bytes(rest).unwrap_or_default();
                }
                PeerMessage::PermitReport(report) | PeerMessage::QuotaReport(report) => {
                    report.extra = postcard::from_bytes(rest).unwrap_or_default();
                }
                _ => {}
            }
            Ok(message)
        }
        _ => Err(DecodeError::new("another format")),
    }
}
