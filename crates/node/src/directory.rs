//! Directory for the gateway: classes, models, services and their upstreams.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::Directory;
use apricotdale_membership::UpstreamView;
use apricotdale_state::replicas::Stage;

use crate::appender::EpochCell;
use crate::claims::ClaimStream;
use crate::log_health::LogHealth;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;

/// Retry-after time of refusals while this VM is starting or stopping.
const RETRY_ELSEWHERE_MS: u64 = 1_000;

/// Directory over the replayed state and the membership view.
pub struct NodeDirectory {
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Claim streams, in the order of the settings.
    pub claim_streams: Vec<Arc<ClaimStream>>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Outcomes of recent appends and reads, from which the log counts as up or down.
    pub health: Arc<LogHealth>,
    /// Epoch of this process; empty before it has joined.
    pub epoch: Arc<EpochCell>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Set once a planned stop has begun.
    pub draining: Arc<AtomicBool>,
}

impl NodeDirectory {
    fn is_log_down(&self) -> bool {
        self.health.is_down(self.clock.monotonic_ms())
    }
}

impl Directory for NodeDirectory {
    fn class(&self, class: &ClassName) -> Option<ClassTarget> {
        self.replayed.read(|state| state.config().class(class))
    }

    fn classes(&self) -> Vec<ClassTarget> {
        self.replayed.read(|state| {
            let classes = state.config().classes();
            classes
                .map(|(class, configured)| ClassTarget {
                    class: class.clone(),
                    answer_within_ms: configured.answer_within_ms,
                })
                .collect()
        })
    }

    fn models(&self) -> Vec<ModelSpec> {
        self.replayed.read(|state| {
            let config = state.config();
            config
                .models()
                .filter_map(|(model, _)| config.model_spec(model))
                .collect()
        })
    }

    fn model(&self, model: &ModelName) -> Option<ModelSpec> {
        self.replayed.read(|state| state.config().model_spec(model))
    }

    fn service(&self, service: &GroupName) -> Option<ServiceSpec> {
        self.replayed.read(|state| state.config().service(service))
    }

    fn replicas(&self, model: &ModelName) -> Vec<Candidate> {
        let view = self.membership.view();
        let engines: Vec<_> = self.replayed.read(|state| {
            let loaded = state
                .replicas_of(model)
                .filter(|one| one.stage() == Stage::Loaded);
            loaded.map(|replica| replica.engine.clone()).collect()
        });
        engines
            .iter()
            .filter_map(|engine| view.upstreams.get(engine))
            .filter(|upstream| upstream.accepts)
            .map(UpstreamView::candidate)
            .collect()
    }

    fn instances(&self, service: &GroupName) -> Vec<Candidate> {
        self.membership.view().candidates(service)
    }

    fn closed(&self) -> Option<Refusal> {
        if self.draining.load(Ordering::Relaxed) {
            let detail = "this VM is stopping and takes no new work";
            let refusal = Refusal::not_run(RefusalReason::Draining, detail);
            return Some(refusal.retry_after(RETRY_ELSEWHERE_MS));
        }
        let missing = match self.replayed.is_caught_up() {
            false => "this VM has not yet learned the configuration",
            // A call under a finished key would be refused although its answer is kept.
            true if !self.claim_streams.iter().all(|it| it.is_caught_up()) => {
                "this VM has not yet learned which keys are taken"
            }
            // While the log is down, a VM serves the loaded models although it has not joined.
            // While the log is up, it is about to join, and no load could be decided before that.
            true if self.epoch.get().is_none() && !self.is_log_down() => {
                "this VM has not yet joined"
            }
            // Without an upstream every request would be refused.
            true if self.membership.view().upstreams.is_empty() => {
                "this VM has not yet seen an upstream on the list of VMs"
            }
            true => return None,
        };
        let refusal = Refusal::not_run(RefusalReason::NotReady, missing);
        Some(refusal.retry_after(RETRY_ELSEWHERE_MS))
    }
}
