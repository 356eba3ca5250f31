//! A gateway with fakes for all its dependencies, and a client.

#![allow(dead_code)]

pub mod caller;
pub mod engine;
pub mod policies;
pub mod recorders;
pub mod service;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::Directory;
use apricotdale_gateway::Gateway;
use apricotdale_gateway::Options;
use apricotdale_gateway::Parts;
use apricotdale_gateway::service_target;
use apricotdale_http::Server;
use parking_lot::Mutex;

use caller::Caller;
use engine::FakeEngine;
use policies::CapacityAdmission;
use policies::FirstUntried;
use policies::LimitedRetries;
use recorders::Claims;
use recorders::Demand;
use recorders::Observer;
use service::FakeService;

/// Bounds the waits of a failing test. No assertion depends on its length.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const MODEL: &str = "slot-lm";
pub const SERVICE: &str = "booking-app";

pub struct SystemClock(Instant);

impl Clock for SystemClock {
    fn monotonic_ms(&self) -> u64 {
        u64::try_from(self.0.elapsed().as_millis()).expect("a short test")
    }

    fn unix_ms(&self) -> u64 {
        1_790_000_000_000
    }
}

#[derive(Default)]
pub struct FakeDirectory {
    pub replicas: Mutex<Vec<Candidate>>,
    pub instances: Mutex<Vec<Candidate>>,
    pub is_closed: AtomicBool,
}

pub fn candidate(name: &str, port: u16) -> Candidate {
    Candidate {
        upstream: UpstreamName::new(name),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: ZoneName::new("hall-a"),
    }
}

fn target(class: &str, answer_within_ms: u64) -> ClassTarget {
    ClassTarget {
        class: ClassName::new(class),
        answer_within_ms,
    }
}

impl Directory for FakeDirectory {
    fn class(&self, class: &ClassName) -> Option<ClassTarget> {
        let classes = self.classes();
        classes.into_iter().find(|known| known.class == *class)
    }

    fn classes(&self) -> Vec<ClassTarget> {
        vec![target("review", 60_000), target("quick", 20_000)]
    }

    fn models(&self) -> Vec<ModelSpec> {
        vec![ModelSpec {
            model: ModelName::new(MODEL),
            base: None,
            group: GroupName::new("planner-lm"),
            bytes: 1,
        }]
    }

    fn model(&self, model: &ModelName) -> Option<ModelSpec> {
        let models = self.models();
        models.into_iter().find(|known| known.model == *model)
    }

    fn service(&self, service: &GroupName) -> Option<ServiceSpec> {
        (service.as_str() == SERVICE).then(|| ServiceSpec {
            service: service.clone(),
            idempotent_paths: vec!["/stock".to_owned()],
        })
    }

    fn replicas(&self, _model: &ModelName) -> Vec<Candidate> {
        self.replicas.lock().clone()
    }

    fn instances(&self, _service: &GroupName) -> Vec<Candidate> {
        self.instances.lock().clone()
    }

    fn closed(&self) -> Option<Refusal> {
        let refusal = Refusal::not_run(RefusalReason::NotReady, "replaying");
        self.is_closed
            .load(Ordering::Acquire)
            .then(|| refusal.retry_after(1_500))
    }
}

/// Gateway behind a real HTTP server, with fakes for all its dependencies.
pub struct Fixture {
    pub gateway: Arc<Gateway>,
    pub server: Server,
    pub directory: Arc<FakeDirectory>,
    pub engine: Arc<FakeEngine>,
    pub service: Arc<FakeService>,
    pub claims: Arc<Claims>,
    pub demand: Arc<Demand>,
    pub observer: Arc<Observer>,
}

impl Fixture {
    /// Returns a gateway with one engine, one service instance, and free slots at both.
    pub fn warm() -> Self {
        let fixture = Self::cold();
        fixture.load("engine-1", 1);
        fixture
    }

    /// Returns a gateway whose model is not loaded.
    pub fn cold() -> Self {
        Self::with(Options::default(), apricotdale_http::Options::default())
    }

    pub fn with(options: Options, http: apricotdale_http::Options) -> Self {
        Self::with_admission(options, http, Box::<CapacityAdmission>::default())
    }

    pub fn with_admission(
        options: Options,
        http: apricotdale_http::Options,
        admission: Box<dyn AdmissionPolicy>,
    ) -> Self {
        let retry = Box::new(LimitedRetries { max_attempts: 3 });
        Self::with_policies(options, http, admission, retry)
    }

    pub fn with_policies(
        options: Options,
        http: apricotdale_http::Options,
        admission: Box<dyn AdmissionPolicy>,
        retry: Box<dyn RetryPolicy>,
    ) -> Self {
        let directory = Arc::new(FakeDirectory::default());
        let engine = Arc::new(FakeEngine::default());
        let service = Arc::new(FakeService::default());
        let claims = Arc::new(Claims::default());
        let demand = Arc::new(Demand::default());
        let observer = Arc::new(Observer::default());
        let parts = Parts {
            process_id: 0xa9,
            directory: directory.clone(),
            demand: demand.clone(),
            claims: claims.clone(),
            observer: observer.clone(),
            clock: Arc::new(SystemClock(Instant::now())),
            serving: engine.clone(),
            service: service.clone(),
            routing: Box::new(FirstUntried),
            admission,
            retry,
        };
        let gateway = Arc::new(Gateway::new(options, parts).expect("a gateway"));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server::start(listener, http, gateway.clone(), gateway.clone());
        directory.instances.lock().push(candidate("booking-1", 9));
        gateway.set_capacity(service_target(&GroupName::new(SERVICE)), 100, None);
        Self {
            gateway,
            server: server.expect("a server"),
            directory,
            engine,
            service,
            claims,
            demand,
            observer,
        }
    }

    /// Lists one more engine that holds the model, with 100 slots for the model in total.
    pub fn load(&self, engine: &str, port: u16) {
        self.load_with(engine, port, 100);
    }

    /// Lists one more engine that holds the model, and sets the model's total number of slots.
    pub fn load_with(&self, engine: &str, port: u16, slots: u32) {
        self.directory.replicas.lock().push(candidate(engine, port));
        self.gateway
            .set_capacity(ModelName::new(MODEL), slots, None);
    }

    pub fn caller(&self) -> Caller {
        Caller::connect(self.server.address())
    }

    /// Waits until no request is in progress.
    pub fn wait_idle(&self) {
        assert!(self.gateway.wait_idle(TEST_TIMEOUT), "a request is stuck");
    }
}
