//! Lines of the operators' views.

use apricotdale_admin::EngineLine;
use apricotdale_admin::MemberLine;
use apricotdale_admin::MemberState;
use apricotdale_admin::ModelLine;
use apricotdale_admin::ReplicaLine;
use apricotdale_admin::ReplicaState;
use apricotdale_admin::UpstreamLine;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_membership::UpstreamView;
use apricotdale_membership::View;
use apricotdale_state::ControlState;
use apricotdale_state::members::Member;
use apricotdale_state::replicas::Replica;
use apricotdale_state::replicas::Stage;

use crate::demand::TotalDemand;
use crate::engine_reports::KnownReport;
use crate::peer_answers::KnownPeer;

/// Returns the line of a model with its replicas and demand.
pub fn model_line(state: &ControlState, spec: ModelSpec, demand: TotalDemand) -> ModelLine {
    let replicas = state.replicas_of(&spec.model).map(replica_line).collect();
    ModelLine {
        model: spec.model,
        base: spec.base,
        group: spec.group,
        bytes: spec.bytes,
        waiting: demand.waiting,
        running: demand.running,
        replicas,
    }
}

fn replica_line(replica: &Replica) -> ReplicaLine {
    let state = match replica.stage() {
        Stage::Loaded => ReplicaState::Loaded,
        Stage::Unloading => ReplicaState::Unloading,
        Stage::Reserved | Stage::Loading | Stage::Revoked | Stage::Lingering => {
            ReplicaState::Loading
        }
    };
    ReplicaLine {
        engine: replica.engine.clone(),
        state,
        fence: FencingToken::from(replica.load),
        owner: (state != ReplicaState::Loaded).then(|| replica.owner.vm.clone()),
        since_unix_ms: replica.since_ms,
    }
}

/// Returns the line of an upstream with its engine's memory and last load report.
pub fn upstream_line(
    state: &ControlState,
    view: &UpstreamView,
    report: Option<&KnownReport>,
    now_ms: u64,
) -> UpstreamLine {
    let name = UpstreamName::new(&view.entry.name);
    let engine = state.engine(&name).map(|engine| {
        let memory = state.memory(&name).unwrap_or_default();
        EngineLine {
            boot: engine.boot(),
            capacity_bytes: engine.capacity_bytes,
            used_bytes: memory.held_bytes,
            checks_fence: engine.checks_fence,
            highest_fence: engine.highest_fence,
            running: report.map_or(0, |known| known.report.running),
            waiting: report.map_or(0, |known| known.report.waiting),
            slots: report.map_or(0, |known| known.report.slots),
            report_age_ms: report.map(|known| now_ms.saturating_sub(known.at_ms)),
        }
    });
    UpstreamLine {
        upstream: name,
        role: view.entry.role,
        group: view.entry.group.clone(),
        zone: view.entry.zone.clone(),
        address: view.entry.address,
        state: view.entry.state,
        accepts: view.accepts,
        engine,
    }
}

/// Returns the line of a VM, or none if its availability zone is unknown.
pub fn member_line(
    vm: &VmName,
    own: (&VmName, &ZoneName, bool),
    member: Option<&Member>,
    view: &View,
    last_heartbeat: Option<&KnownPeer>,
    now_ms: u64,
) -> Option<MemberLine> {
    let (own_vm, own_zone, own_draining) = own;
    let is_own = vm == own_vm;
    let zone = match member {
        Some(member) => member.zone.clone(),
        None if is_own => own_zone.clone(),
        None => return None,
    };
    let seen = view.vms.get(vm);
    let state = match seen {
        _ if is_own && own_draining => MemberState::Draining,
        _ if is_own => MemberState::Alive,
        Some(_) if last_heartbeat.is_some_and(|last_heartbeat| last_heartbeat.draining) => {
            MemberState::Draining
        }
        Some(seen) if seen.live => MemberState::Alive,
        Some(_) => MemberState::Suspected,
        None => MemberState::Gone,
    };
    Some(MemberLine {
        vm: vm.clone(),
        zone,
        state,
        listed: None,
        epoch: member.map(|member| member.epoch),
        replayed: last_heartbeat.map(|last_heartbeat| last_heartbeat.replayed),
        heard_age_ms: last_heartbeat
            .map(|last_heartbeat| now_ms.saturating_sub(last_heartbeat.at_ms)),
        diverged: last_heartbeat.is_some_and(|last_heartbeat| last_heartbeat.diverged),
    })
}
