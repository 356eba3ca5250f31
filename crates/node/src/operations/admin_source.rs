//! The daemon's answers to its operators.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::Value;

use apricotdale_admin::AdminSource;
use apricotdale_admin::ConfigView;
use apricotdale_admin::DrainView;
use apricotdale_admin::Error;
use apricotdale_admin::Explanation;
use apricotdale_admin::ExplanationStep;
use apricotdale_admin::MembersView;
use apricotdale_admin::ModelsView;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_admin::Result;
use apricotdale_admin::Status;
use apricotdale_admin::UpstreamsView;
use apricotdale_core::names::RegionName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::Directory;
use apricotdale_gateway::Gateway;
use apricotdale_gateway::Step;
use apricotdale_gateway::TracedStep;

use super::publisher::Publisher;
use super::views;
use crate::demand::DemandTable;
use crate::directory::NodeDirectory;
use crate::engine_reports::ReportTable;
use crate::log_health::LogHealth;
use crate::membership_view::SharedMembership;
use crate::peer_answers::HeartbeatSource;
use crate::replayed::Replayed;

/// State and clients that the operators' views are built from.
pub struct AdminParts {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Start of this process, in milliseconds of the monotonic clock.
    pub started_ms: u64,
    /// Time that a planned stop waits for requests in progress, in milliseconds.
    pub grace_ms: u64,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Last load report of each engine.
    pub reports: Arc<ReportTable>,
    /// Demand for each model, at this VM and reported by peers.
    pub demand: Arc<DemandTable>,
    /// Directory from which the gateway resolves models and services.
    pub directory: Arc<NodeDirectory>,
    /// Gateway that serves callers.
    pub gateway: Arc<Gateway>,
    /// Source of the last heartbeat of each peer.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Outcomes of recent appends and reads, from which the log counts as up or down.
    pub health: Arc<LogHealth>,
    /// Publishes configuration changes.
    pub publisher: Publisher,
    /// Begins a planned stop when called.
    pub drain: Box<dyn Fn() + Send + Sync>,
    /// Set once a planned stop has begun.
    pub draining: Arc<AtomicBool>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
}

/// Answers operators' requests.
pub struct NodeAdmin {
    parts: AdminParts,
}

impl NodeAdmin {
    /// Returns a source of views over the given parts.
    pub fn new(parts: AdminParts) -> Self {
        Self { parts }
    }

    fn check_ready(&self) -> Result<()> {
        match self.parts.replayed.is_caught_up() {
            true => Ok(()),
            false => Err(Error::not_ready(
                "the control stream has not been replayed yet",
            )),
        }
    }

    fn list_age_ms(&self) -> Option<u64> {
        let as_of_ms = self.parts.membership.view().as_of_ms?;
        Some(self.parts.clock.unix_ms().saturating_sub(as_of_ms))
    }
}

impl AdminSource for NodeAdmin {
    fn status(&self) -> Status {
        let parts = &self.parts;
        let now_ms = parts.clock.monotonic_ms();
        let closed = parts.directory.closed();
        Status {
            vm: parts.vm.clone(),
            region: parts.region.clone(),
            zone: parts.zone.clone(),
            program_version: env!("CARGO_PKG_VERSION").into(),
            process_id: parts.process_id,
            uptime_ms: now_ms.saturating_sub(parts.started_ms),
            ready: closed.is_none(),
            not_ready_because: closed.map(|refusal| refusal.detail),
            draining: parts.draining.load(Ordering::Relaxed),
            in_progress: parts.gateway.in_progress() as u64,
            replayed: parts.replayed.next_offset(),
            config_version: parts.replayed.read(|state| state.config().version()),
            log_read_age_ms: parts
                .health
                .last_read_ms()
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
        }
    }

    fn config(&self) -> Result<ConfigView> {
        self.check_ready()?;
        let classes = self.parts.directory.classes();
        Ok(self.parts.replayed.read(|state| {
            let config = state.config();
            ConfigView {
                version: config.version(),
                replayed: state.next_offset(),
                classes,
                models: config
                    .models()
                    .filter_map(|(model, _)| config.model_spec(model))
                    .collect(),
                services: config.services().collect(),
            }
        }))
    }

    fn models(&self) -> Result<ModelsView> {
        self.check_ready()?;
        let totals = self.parts.demand.totals(self.parts.clock.monotonic_ms());
        let specs = self.parts.directory.models();
        Ok(self.parts.replayed.read(|state| {
            let lines = specs.into_iter().map(|spec| {
                let demand = totals.get(&spec.model).copied().unwrap_or_default();
                views::model_line(state, spec, demand)
            });
            ModelsView {
                replayed: state.next_offset(),
                models: lines.collect(),
            }
        }))
    }

    fn upstreams(&self) -> Result<UpstreamsView> {
        self.check_ready()?;
        let view = self.parts.membership.view();
        let now_ms = self.parts.clock.monotonic_ms();
        let lines = self.parts.replayed.read(|state| {
            let upstreams = view.upstreams.iter();
            upstreams
                .map(|(name, upstream)| {
                    let report = self.parts.reports.report(name);
                    views::upstream_line(state, upstream, report.as_ref(), now_ms)
                })
                .collect()
        });
        Ok(UpstreamsView {
            list_age_ms: self.list_age_ms(),
            upstreams: lines,
        })
    }

    fn members(&self) -> Result<MembersView> {
        self.check_ready()?;
        let parts = &self.parts;
        let view = parts.membership.view();
        let now_ms = parts.clock.monotonic_ms();
        let draining = parts.draining.load(Ordering::Relaxed);
        let own = (&parts.vm, &parts.zone, draining);
        let members = parts.replayed.read(|state| {
            let newest: Vec<_> = state.members().newest().collect();
            let joined = newest.iter().map(|(vm, _)| (*vm).clone());
            let names: BTreeSet<VmName> = joined.chain([parts.vm.clone()]).collect();
            let lines = names.iter().filter_map(|vm| {
                let member = newest
                    .iter()
                    .find(|(name, _)| *name == vm)
                    .map(|(_, one)| *one);
                let last_heartbeat = parts.heartbeats.peer(vm);
                views::member_line(vm, own, member, &view, last_heartbeat.as_ref(), now_ms)
            });
            lines.collect()
        });
        Ok(MembersView {
            list_age_ms: self.list_age_ms(),
            members,
        })
    }

    fn explain(&self, request: &RequestId) -> Result<Explanation> {
        let trace = self.parts.gateway.explain(request);
        let trace = trace.ok_or_else(|| {
            Error::not_found(format!("{request} was not served here, or is forgotten"))
        })?;
        let class = trace.steps.iter().find_map(|traced| match &traced.step {
            Step::Classified { class, .. } => Some(class.as_str().into()),
            _ => None,
        });
        Ok(Explanation {
            request: trace.request_id,
            vm: self.parts.vm.clone(),
            class,
            arrived_unix_ms: trace.arrived_unix_ms,
            steps: trace.steps.iter().map(explained).collect(),
        })
    }

    fn publish(&self, request: &PublishRequest) -> PublishOutcome {
        self.parts.publisher.publish(request)
    }

    fn drain(&self) -> DrainView {
        let was_draining = self.parts.draining.load(Ordering::Relaxed);
        (self.parts.drain)();
        DrainView {
            was_draining,
            in_progress: self.parts.gateway.in_progress() as u64,
            grace_ms: self.parts.grace_ms,
        }
    }
}

/// Converts a trace step to the operators' form: its fields become one text of `name=value` pairs.
fn explained(traced: &TracedStep) -> ExplanationStep {
    let fields = serde_json::to_value(&traced.step).unwrap_or(Value::Null);
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    let details = fields.as_object().into_iter().flatten();
    let details = details.filter(|(name, value)| name.as_str() != "step" && !value.is_null());
    let details: Vec<String> = details
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    ExplanationStep {
        after_ms: traced.after_ms,
        step: text("step").unwrap_or_default(),
        upstream: text("upstream").map(UpstreamName::from),
        detail: details.join(" "),
    }
}
