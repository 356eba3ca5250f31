//! Outcome of an intent as shown by an engine's status, and the records that report it.

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Observation;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::Residency;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;

/// Returns the residency of an intent's replica in a status, or none if the engine lacks it.
pub fn residency(status: &EngineStatus, intent: &IntentView) -> Option<Residency> {
    let fence = FencingToken::from(intent.load);
    let mut residents = status.residents.iter();
    let resident = residents.find(|one| one.fence == fence && one.model == intent.model);
    resident.map(|resident| resident.residency)
}

/// Returns the record that settles an intent.
pub fn settlement(
    kind: IntentKind,
    intent: Offset,
    outcome: SettledAs,
    status: Option<&EngineStatus>,
) -> impl Fn(Proposer) -> ControlRecord + Send + 'static {
    let boot = status.map(|status| status.boot);
    let sequence = status.map(|status| status.sequence);
    move |proposer| {
        let settlement = Settlement {
            proposer,
            intent,
            outcome: outcome.clone(),
            boot,
            sequence,
        };
        match kind {
            IntentKind::Load => ControlRecord::LoadSettled(settlement),
            IntentKind::Unload => ControlRecord::UnloadSettled(settlement),
        }
    }
}

/// Group and availability zone of an engine, by the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLocation {
    /// Name of the engine.
    pub engine: UpstreamName,
    /// Group of engines that the engine belongs to.
    pub group: GroupName,
    /// Availability zone of the engine.
    pub zone: ZoneName,
}

/// Returns the record that reports an engine's status.
pub fn observation(
    location: EngineLocation,
    status: EngineStatus,
) -> impl Fn(Proposer) -> ControlRecord + Send + 'static {
    move |proposer| {
        ControlRecord::Observed(Observation {
            proposer,
            engine: location.engine.clone(),
            group: location.group.clone(),
            zone: location.zone.clone(),
            boot: status.boot,
            sequence: status.sequence,
            capacity_bytes: status.capacity_bytes,
            checks_fence: status.checks_fence,
            highest_fence: status.highest_fence,
            residents: status.residents.clone(),
        })
    }
}
