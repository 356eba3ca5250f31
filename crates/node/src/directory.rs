//! What the gateway may know: classes, models, services and where they are.

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

/// When a caller that came too early or too late should try another VM.
const RETRY_ELSEWHERE_MS: u64 = 1_000;

/// `NodeDirectory` answers from the replayed state and the membership view.
pub struct NodeDirectory {
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// The claim streams.
    pub claim_streams: Vec<Arc<ClaimStream>>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Whether the log works.
    pub health: Arc<LogHealth>,
    /// The epoch of this process.
    pub epoch: Arc<EpochCell>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Set once the daemon is stopping.
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
            // A call under a known key would be refused although its answer is kept.
            true if !self.claim_streams.iter().all(|it| it.is_caught_up()) => {
                "this VM has not yet learned which keys are taken"
            }
            // While the log is down a VM serves what is loaded, though it has not joined. Else it
            // is about to join, and could decide on no load before that.
            true if self.epoch.get().is_none() && !self.is_log_down() => {
                "this VM has not yet joined"
            }
            // Every request would be refused for want of an upstream.
            true if self.membership.view().upstreams.is_empty() => {
                "this VM has not yet seen an upstream on the list of VMs"
            }
            true => return None,
        };
        let refusal = Refusal::not_run(RefusalReason::NotReady, missing);
        Some(refusal.retry_after(RETRY_ELSEWHERE_MS))
    }
}
