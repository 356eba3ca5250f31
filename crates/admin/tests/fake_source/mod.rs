//! Source for the operators' interface that keeps its state in memory.

// Each test file is a crate of its own and uses only a part of this module.
#![allow(dead_code)]

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use apricotdale_admin::AdminServer;
use apricotdale_admin::AdminSource;
use apricotdale_admin::ConfigView;
use apricotdale_admin::DrainView;
use apricotdale_admin::EngineLine;
use apricotdale_admin::Error;
use apricotdale_admin::Explanation;
use apricotdale_admin::ExplanationStep;
use apricotdale_admin::MemberLine;
use apricotdale_admin::MemberState;
use apricotdale_admin::MembersView;
use apricotdale_admin::ModelLine;
use apricotdale_admin::ModelsView;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_admin::ReplicaLine;
use apricotdale_admin::ReplicaState;
use apricotdale_admin::Result;
use apricotdale_admin::ServerOptions;
use apricotdale_admin::Status;
use apricotdale_admin::UpstreamLine;
use apricotdale_admin::UpstreamsView;
use apricotdale_admin::serve;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;

/// ID of the only request that the fake can explain.
pub const KNOWN_REQUEST: &str = "entry-1.42";

/// Source with a configuration, which accepts a change if it is based on the version in force.
pub struct FakeSource {
    pub ready: AtomicBool,
    pub draining: AtomicBool,
    pub published: Mutex<Vec<PublishRequest>>,
    pub next_outcome: Mutex<Option<PublishOutcome>>,
    config: Mutex<ConfigView>,
    gate: Gate,
}

impl FakeSource {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            ready: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            published: Mutex::default(),
            next_outcome: Mutex::default(),
            config: Mutex::new(ConfigView {
                version: ConfigVersion(7),
                replayed: Offset(9),
                classes: vec![class("quick", 1_300)],
                models: vec![
                    model("planner", None),
                    model("planner-fyn", Some("planner")),
                ],
                services: Vec::new(),
            }),
            gate: Gate::default(),
        })
    }

    /// Starts a server for this source on a free port, with the default limits.
    pub fn serve(self: &Arc<Self>) -> AdminServer {
        self.serve_with(ServerOptions::default())
    }

    pub fn serve_with(self: &Arc<Self>, options: ServerOptions) -> AdminServer {
        let any_port = "127.0.0.1:0".parse().expect("the address is well-formed");
        let source: Arc<dyn AdminSource> = Arc::clone(self) as Arc<dyn AdminSource>;
        let metrics = Arc::new(|| "apricotdale_ready 1\n# EOF\n".to_owned());
        serve(any_port, source, metrics, options).expect("a free port can be listened on")
    }

    /// Makes every change wait in `publish` until the guard is dropped.
    pub fn close_gate(self: &Arc<Self>) -> ClosedGate {
        *self.gate.closed.lock().unwrap() = true;
        ClosedGate(Arc::clone(self))
    }

    /// Waits until at least `changes` changes wait at the gate.
    pub fn await_waiting(&self, changes: usize) {
        let waiting = self.gate.waiting.lock().unwrap();
        let reached = self
            .gate
            .changed
            .wait_while(waiting, |waiting| *waiting < changes);
        drop(reached.unwrap());
    }

    fn require_ready(&self) -> Result<()> {
        match self.ready.load(Ordering::SeqCst) {
            true => Ok(()),
            false => Err(Error::not_ready("the control stream is not replayed")),
        }
    }
}

/// Guard that keeps changes waiting until it is dropped. A failing test drops it as well: a server
/// that is dropped waits for its changes and would otherwise block forever.
pub struct ClosedGate(Arc<FakeSource>);

impl Drop for ClosedGate {
    fn drop(&mut self) {
        *self.0.gate.closed.lock().unwrap() = false;
        self.0.gate.changed.notify_all();
    }
}

#[derive(Default)]
struct Gate {
    closed: Mutex<bool>,
    waiting: Mutex<usize>,
    changed: Condvar,
}

impl Gate {
    fn wait_until_open(&self) {
        *self.waiting.lock().unwrap() += 1;
        self.changed.notify_all();
        let closed = self.closed.lock().unwrap();
        drop(self.changed.wait_while(closed, |closed| *closed).unwrap());
        *self.waiting.lock().unwrap() -= 1;
    }
}

impl AdminSource for FakeSource {
    fn status(&self) -> Status {
        let ready = self.ready.load(Ordering::SeqCst);
        Status {
            vm: "entry-1".into(),
            region: "dk-east".into(),
            zone: "hall-a".into(),
            program_version: "0.1.0".to_owned(),
            process_id: 77,
            uptime_ms: 5_000,
            ready,
            not_ready_because: (!ready).then(|| "the control stream is not replayed".to_owned()),
            draining: self.draining.load(Ordering::SeqCst),
            in_progress: 3,
            replayed: Offset(9),
            config_version: ConfigVersion(7),
            log_read_age_ms: Some(12),
        }
    }

    fn config(&self) -> Result<ConfigView> {
        self.require_ready()?;
        Ok(self.config.lock().unwrap().clone())
    }

    fn models(&self) -> Result<ModelsView> {
        self.require_ready()?;
        let replica = ReplicaLine {
            engine: "planner-lm-3".into(),
            state: ReplicaState::Loading,
            fence: FencingToken(8),
            owner: Some("entry-2".into()),
            since_unix_ms: 1_790_000_000_000,
        };
        let line = |name: &str, replicas| ModelLine {
            model: name.into(),
            base: None,
            group: "planner-lm".into(),
            bytes: 1_000,
            waiting: 2,
            running: 0,
            replicas,
        };
        Ok(ModelsView {
            replayed: Offset(9),
            models: vec![line("planner", vec![replica]), line("review", Vec::new())],
        })
    }

    fn upstreams(&self) -> Result<UpstreamsView> {
        self.require_ready()?;
        let engine = EngineLine {
            boot: BootId(4),
            capacity_bytes: 8_000,
            used_bytes: 1_000,
            checks_fence: true,
            highest_fence: FencingToken(8),
            running: 1,
            waiting: 0,
            slots: 16,
            report_age_ms: None,
        };
        Ok(UpstreamsView {
            list_age_ms: Some(800),
            upstreams: vec![UpstreamLine {
                upstream: "planner-lm-3".into(),
                role: VmRole::Engine,
                group: "planner-lm".into(),
                zone: "hall-b".into(),
                address: "127.0.0.1:9".parse().expect("the address is well-formed"),
                state: VmState::Leaving,
                accepts: false,
                engine: Some(engine),
            }],
        })
    }

    fn members(&self) -> Result<MembersView> {
        self.require_ready()?;
        Ok(MembersView {
            list_age_ms: None,
            members: vec![MemberLine {
                vm: "entry-2".into(),
                zone: "hall-b".into(),
                state: MemberState::Suspected,
                listed: Some(VmState::Live),
                epoch: Some(Epoch(3)),
                replayed: Some(Offset(8)),
                heard_age_ms: Some(4_000),
                diverged: false,
            }],
        })
    }

    fn explain(&self, request: &RequestId) -> Result<Explanation> {
        if request.as_str() != KNOWN_REQUEST {
            return Err(Error::not_found(format!("request {request}")));
        }
        let step = |after_ms, step: &str, detail: &str| ExplanationStep {
            after_ms,
            step: step.to_owned(),
            upstream: None,
            detail: detail.to_owned(),
        };
        Ok(Explanation {
            request: request.clone(),
            vm: "entry-1".into(),
            class: Some("quick".into()),
            arrived_unix_ms: 1_790_000_000_000,
            steps: vec![
                step(0, "arrived", "class quick, 1300 ms left"),
                step(40, "refused", "overloaded: 9 requests wait"),
            ],
        })
    }

    fn publish(&self, request: &PublishRequest) -> PublishOutcome {
        self.published.lock().unwrap().push(request.clone());
        self.gate.wait_until_open();
        if let Some(outcome) = self.next_outcome.lock().unwrap().take() {
            return outcome;
        }
        let mut config = self.config.lock().unwrap();
        if request.base_version != config.version {
            return PublishOutcome::Rejected {
                reason: "version_conflict".to_owned(),
                detail: format!("version {} is in force", config.version),
            };
        }
        config.version = ConfigVersion(config.version.0 + 1);
        for edit in &request.edits {
            apply(&mut config, edit);
        }
        PublishOutcome::Accepted {
            version: config.version,
        }
    }

    fn drain(&self) -> DrainView {
        DrainView {
            was_draining: self.draining.swap(true, Ordering::SeqCst),
            in_progress: 3,
            grace_ms: 660_000,
        }
    }
}

fn apply(config: &mut ConfigView, edit: &ConfigEdit) {
    match edit {
        ConfigEdit::PutClass(target) => {
            config.classes.retain(|other| other.class != target.class);
            config.classes.push(target.clone());
        }
        ConfigEdit::RemoveClass(class) => config.classes.retain(|other| other.class != *class),
        ConfigEdit::PutModel(spec) => {
            config.models.retain(|other| other.model != spec.model);
            config.models.push(spec.clone());
        }
        ConfigEdit::RemoveModel(model) => config.models.retain(|other| other.model != *model),
        ConfigEdit::PutService(spec) => {
            config
                .services
                .retain(|other| other.service != spec.service);
            config.services.push(spec.clone());
        }
        ConfigEdit::RemoveService(service) => {
            config.services.retain(|other| other.service != *service);
        }
    }
}

/// Returns a class with a latency target.
pub fn class(name: &str, answer_within_ms: u64) -> ClassTarget {
    ClassTarget {
        class: name.into(),
        answer_within_ms,
    }
}

/// Returns a model, or an adapter if it has a base.
pub fn model(name: &str, base: Option<&str>) -> ModelSpec {
    ModelSpec {
        model: name.into(),
        base: base.map(Into::into),
        group: "planner-lm".into(),
        bytes: 1_000,
    }
}
