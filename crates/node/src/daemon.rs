//! Puts the daemon together, and takes it down gracefully.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use log::info;
use log::warn;
use parking_lot::Mutex;

use apricotdale_adapters::Adapters;
use apricotdale_admin::AdminServer;
use apricotdale_core::names::VmName;
use apricotdale_gateway::Gateway;
use apricotdale_http::Server;
use apricotdale_membership::Membership;
use apricotdale_membership::MembershipEvent;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;
use apricotdale_settings::Settings;
use apricotdale_state::view::IntentView;
use apricotdale_telemetry::Metrics;

use crate::appender::Appender;
use crate::appender::AppenderParts;
use crate::appender::EpochCell;
use crate::claims::ClaimParts;
use crate::claims::NodeClaimKeeper;
use crate::control_tail::CatchUpSource;
use crate::control_tail::ControlTail;
use crate::demand::DemandInbox;
use crate::demand::DemandTable;
use crate::directory::NodeDirectory;
use crate::engine_reports::ReportTable;
use crate::engine_watch::EngineWatch;
use crate::errors::Error;
use crate::errors::Result;
use crate::joining::Joining;
use crate::log_health::LogHealth;
use crate::membership_loop::MembershipLoop;
use crate::membership_view::SharedMembership;
use crate::operating::AdminParts;
use crate::operating::NodeAdmin;
use crate::operating::Publisher;
use crate::peer_answers::HeartbeatSource;
use crate::peer_answers::PeerAnswers;
use crate::placing::CapacityFeed;
use crate::placing::DemandReporter;
use crate::placing::FleetSource;
use crate::placing::PlacementLoop;
use crate::placing::PlacementParts;
use crate::policies;
use crate::replayed::Replayed;
use crate::settling::Freshness;
use crate::settling::IntentRunner;
use crate::settling::RunnerParts;

/// How long connections may take to close after the last request of a planned stop has ended.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// How often the waiting for a stop looks at the flag.
const STOP_POLL: Duration = Duration::from_millis(50);

/// `Daemon` is a running daemon.
pub struct Daemon {
    callers: Server,
    peers: PeerServer,
    admin: AdminServer,
    gateway: Arc<Gateway>,
    membership: Arc<SharedMembership>,
    draining: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    grace: Duration,
    threads: Vec<JoinHandle<()>>,
}

/// `Signal` wakes one loop; several wakes before it looks count as one.
#[derive(Clone)]
struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        Self { sender, receiver }
    }

    fn wake(&self) {
        // A full channel means that the loop is about to look anyway.
        let _ = self.sender.try_send(());
    }
}

/// `Common` is what nearly every part of the daemon works with.
#[derive(Clone)]
struct Common {
    settings: Arc<Settings>,
    adapters: Adapters,
    metrics: Arc<Metrics>,
    process_id: u64,
    seed: u64,
    replayed: Arc<Replayed>,
    membership: Arc<SharedMembership>,
    health: Arc<LogHealth>,
    demand: Arc<DemandTable>,
    reports: Arc<ReportTable>,
    epoch: Arc<EpochCell>,
    draining: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    placement_wake: Signal,
    report_wake: Signal,
    settle_wake: Signal,
}

impl Daemon {
    /// Starts a daemon with the given settings and adapters.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if an address is taken or not this VM's, `Error::UnknownPolicy` for a policy
    /// that is not there, `Error::System` if the system refuses a thread or a descriptor.
    pub fn start(settings: Settings, adapters: Adapters, metrics: Arc<Metrics>) -> Result<Self> {
        let common = Common::new(settings, adapters, metrics);
        let mut threads = Vec::new();
        let (appender, handle) = Appender::start(common.appender_parts());
        threads.push(handle);
        let (claims, handles) = NodeClaimKeeper::start(common.claim_parts())?;
        threads.extend(handles);
        let policy = Arc::new(Mutex::new(policies::placement(&common.settings)?));
        let directory = common.directory();
        let gateway = common.gateway(&directory, claims, &policy)?;
        let counters = Arc::new(PeerCounters::default());
        let heartbeats = common.heartbeats();
        let peers = common.peer_server(&heartbeats, &counters)?;
        let link = Arc::new(common.peer_link(&counters)?);
        let weights = Arc::new(Mutex::new(None));
        let fleet = Arc::new(FleetSource {
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            reports: Arc::clone(&common.reports),
            demand: Arc::clone(&common.demand),
            weights: Arc::clone(&weights),
        });

        let tail = common.tail();
        threads.push(spawn("control-tail", move || tail.run())?);
        let joining = common.joining(&appender);
        threads.push(spawn("joining", move || joining.run())?);
        let placement = PlacementLoop::new(PlacementParts {
            source: Arc::clone(&fleet),
            policy: Arc::clone(&policy),
            appender: appender.clone(),
            health: Arc::clone(&common.health),
            gateway: Arc::clone(&gateway),
            capacity: CapacityFeed::new(
                Arc::clone(&directory),
                Arc::clone(&common.reports),
                Arc::clone(&gateway),
            ),
            clock: Arc::clone(&common.adapters.clock),
            wake: common.placement_wake.receiver.clone(),
            stop: Arc::clone(&common.stop),
        });
        threads.push(spawn("placement", move || placement.run())?);
        let runner = common.runner(&appender, &fleet, &policy);
        threads.push(spawn("settling", move || runner.run())?);
        let reporter = DemandReporter {
            vm: common.vm(),
            demand: Arc::clone(&common.demand),
            membership: Arc::clone(&common.membership),
            link: link.clone(),
            timeout_ms: common.settings.peers.timeout_ms,
            clock: Arc::clone(&common.adapters.clock),
            wake: common.report_wake.receiver.clone(),
            stop: Arc::clone(&common.stop),
        };
        threads.push(spawn("demand-reporter", move || reporter.run())?);
        let watch = EngineWatch {
            vm: common.vm(),
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            reports: Arc::clone(&common.adapters.reports),
            weights: Arc::clone(&common.adapters.weights),
            table: Arc::clone(&common.reports),
            weights_status: weights,
            appender: appender.clone(),
            gateway: Arc::clone(&gateway),
            link: link.clone(),
            peer_timeout_ms: common.settings.peers.timeout_ms,
            clock: Arc::clone(&common.adapters.clock),
            interval: Duration::from_millis(common.settings.upstreams.report_interval_ms),
            stop: Arc::clone(&common.stop),
        };
        threads.push(spawn("engine-watch", move || watch.run())?);
        let draining = Arc::clone(&common.draining);
        let members = MembershipLoop {
            membership: Arc::clone(&common.membership),
            vm_list: Arc::clone(&common.adapters.vm_list),
            list_interval_ms: common.settings.platform.vm_list_interval_ms,
            link,
            peer_timeout_ms: common.settings.peers.timeout_ms,
            heartbeats: Arc::clone(&heartbeats),
            replayed: Arc::clone(&common.replayed),
            appender,
            gateway: Arc::clone(&gateway),
            leaving: Box::new(move || draining.store(true, Ordering::Release)),
            clock: Arc::clone(&common.adapters.clock),
            stop: Arc::clone(&common.stop),
        };
        threads.push(spawn("membership", move || members.run())?);

        let callers = common.caller_server(&gateway)?;
        let admin = common.admin_server(&directory, &gateway, &heartbeats, &counters)?;
        Ok(Self {
            callers,
            peers,
            admin,
            gateway,
            membership: Arc::clone(&common.membership),
            draining: Arc::clone(&common.draining),
            stop: Arc::clone(&common.stop),
            grace: Duration::from_millis(common.settings.drain.grace_ms),
            threads,
        })
    }

    /// Returns where callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where peers are answered.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns where operators are answered.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns a flag that begins a planned stop once it is set.
    pub fn drain_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.draining)
    }

    /// Waits for a planned stop, carries it out, and returns once everything has ended.
    ///
    /// New requests are refused at once; those in progress go on for the grace time. The decision
    /// threads end last, so that the outcomes of orders on their way are still told.
    pub fn wait(self) {
        while !self.draining.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL);
        }
        info!("stopping: no new work is taken");
        self.membership.handle(MembershipEvent::DrainBegun);
        self.gateway.drain();
        if !self.gateway.wait_idle(self.grace) {
            warn!(
                "the grace time is over with {} requests in progress",
                self.gateway.in_progress()
            );
        }
        self.callers.stop();
        self.callers.wait_idle(CLOSE_WAIT);
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            // A panic of a thread has already been reported by the panic hook.
            let _ = thread.join();
        }
        self.admin.stop();
        info!("stopped");
    }
}

impl Common {
    fn new(settings: Settings, adapters: Adapters, metrics: Arc<Metrics>) -> Self {
        let seed = settings.policies.seed.unwrap_or_else(rand::random);
        let options = apricotdale_membership::Options {
            seed,
            round_ms: settings.peers.heartbeat_interval_ms,
            ..Default::default()
        };
        let membership = Membership::new(settings.vm.name.clone(), options);
        let membership = SharedMembership::new(membership, Arc::clone(&adapters.clock));
        Self {
            settings: Arc::new(settings),
            adapters,
            metrics,
            process_id: rand::random(),
            seed,
            replayed: Arc::new(Replayed::new()),
            membership: Arc::new(membership),
            health: Arc::default(),
            demand: Arc::new(DemandTable::new()),
            reports: Arc::new(ReportTable::new()),
            epoch: Arc::default(),
            draining: Arc::default(),
            stop: Arc::default(),
            placement_wake: Signal::new(),
            report_wake: Signal::new(),
            settle_wake: Signal::new(),
        }
    }

    fn vm(&self) -> VmName {
        self.settings.vm.name.clone()
    }

    fn appender_parts(&self) -> AppenderParts {
        AppenderParts {
            vm: self.vm(),
            stream: self.settings.platform.control_stream.clone(),
            log: Arc::clone(&self.adapters.log),
            health: Arc::clone(&self.health),
            clock: Arc::clone(&self.adapters.clock),
            stop: Arc::clone(&self.stop),
            epoch: Arc::clone(&self.epoch),
        }
    }

    fn claim_parts(&self) -> ClaimParts {
        ClaimParts {
            vm: self.vm(),
            process_id: self.process_id,
            streams: self.settings.platform.claim_streams.clone(),
            wait_ms: self.settings.platform.log_wait_ms,
            log: Arc::clone(&self.adapters.log),
            clock: Arc::clone(&self.adapters.clock),
            replayed: Arc::clone(&self.replayed),
            metrics: Arc::clone(&self.metrics),
            stop: Arc::clone(&self.stop),
        }
    }

    fn directory(&self) -> Arc<NodeDirectory> {
        Arc::new(NodeDirectory {
            replayed: Arc::clone(&self.replayed),
            membership: Arc::clone(&self.membership),
            draining: Arc::clone(&self.draining),
        })
    }

    fn gateway(
        &self,
        directory: &Arc<NodeDirectory>,
        claims: NodeClaimKeeper,
        policy: &Arc<Mutex<Box<dyn apricotdale_core::policy::PlacementPolicy>>>,
    ) -> Result<Arc<Gateway>> {
        let settings = &self.settings;
        let options = apricotdale_gateway::Options {
            default_class: Some(settings.callers.default_class.clone()),
            max_timeout_ms: settings.callers.max_timeout_ms,
            stream_idle_timeout_ms: settings.upstreams.idle_timeout_ms,
            ..Default::default()
        };
        let policy = Arc::clone(policy);
        let (placement_wake, report_wake) = (self.placement_wake.clone(), self.report_wake.clone());
        let demand = DemandInbox {
            table: Arc::clone(&self.demand),
            wake: Box::new(move || {
                placement_wake.wake();
                report_wake.wake();
            }),
            arrived: Box::new(move |now_ms, model| policy.lock().arrived(now_ms, model)),
        };
        let parts = apricotdale_gateway::Parts {
            process_id: self.process_id,
            directory: directory.clone(),
            demand: Arc::new(demand),
            claims: Arc::new(claims),
            observer: self.metrics.clone(),
            clock: Arc::clone(&self.adapters.clock),
            serving: Arc::clone(&self.adapters.serving),
            service: Arc::clone(&self.adapters.service),
            routing: policies::routing(settings, self.seed, Arc::clone(&self.membership))?,
            admission: policies::admission(settings)?,
            retry: policies::retry(settings, self.seed)?,
        };
        let gateway = Gateway::new(options, parts).map_err(Error::system)?;
        Ok(Arc::new(gateway))
    }

    fn heartbeats(&self) -> Arc<HeartbeatSource> {
        Arc::new(HeartbeatSource::new(
            self.vm(),
            self.process_id,
            Arc::clone(&self.draining),
            Arc::clone(&self.replayed),
            Arc::clone(&self.adapters.clock),
        ))
    }

    fn cluster_key(&self) -> Result<ClusterKey> {
        ClusterKey::new(self.settings.peers.cluster_key.as_bytes()).map_err(Error::system)
    }

    fn peer_server(
        &self,
        heartbeats: &Arc<HeartbeatSource>,
        counters: &Arc<PeerCounters>,
    ) -> Result<PeerServer> {
        let placement_wake = self.placement_wake.clone();
        let answers = PeerAnswers {
            heartbeats: Arc::clone(heartbeats),
            membership: Arc::clone(&self.membership),
            demand: Arc::clone(&self.demand),
            wake: Box::new(move || placement_wake.wake()),
            reports: Arc::clone(&self.reports),
            clock: Arc::clone(&self.adapters.clock),
        };
        let address = self.settings.listen.peers;
        let options = ServerOptions {
            listen: address,
            ..Default::default()
        };
        let key = self.cluster_key()?;
        PeerServer::start(&options, key, Arc::new(answers), Arc::clone(counters))
            .map_err(|error| Error::listen(address, error))
    }

    fn peer_link(&self, counters: &Arc<PeerCounters>) -> Result<NngLink> {
        Ok(NngLink::new(
            self.vm(),
            self.process_id,
            self.cluster_key()?,
            LinkOptions::default(),
            Arc::clone(counters),
        ))
    }

    fn tail(&self) -> ControlTail {
        let (placement_wake, settle_wake) = (self.placement_wake.clone(), self.settle_wake.clone());
        ControlTail {
            stream: self.settings.platform.control_stream.clone(),
            wait_ms: self.settings.platform.log_wait_ms,
            log: Arc::clone(&self.adapters.log),
            replayed: Arc::clone(&self.replayed),
            health: Arc::clone(&self.health),
            clock: Arc::clone(&self.adapters.clock),
            metrics: Arc::clone(&self.metrics),
            source: Arc::new(NoSnapshots),
            moved: Box::new(move || {
                placement_wake.wake();
                settle_wake.wake();
            }),
            stop: Arc::clone(&self.stop),
        }
    }

    fn joining(&self, appender: &Appender) -> Joining {
        Joining {
            vm: self.vm(),
            zone: self.settings.vm.zone.clone(),
            process_id: self.process_id,
            stream: self.settings.platform.control_stream.clone(),
            log: Arc::clone(&self.adapters.log),
            replayed: Arc::clone(&self.replayed),
            epoch: Arc::clone(&self.epoch),
            appender: appender.clone(),
            stop: Arc::clone(&self.stop),
        }
    }

    fn runner(
        &self,
        appender: &Appender,
        fleet: &Arc<FleetSource>,
        policy: &Arc<Mutex<Box<dyn apricotdale_core::policy::PlacementPolicy>>>,
    ) -> IntentRunner {
        let (fleet, policy) = (Arc::clone(fleet), Arc::clone(policy));
        let clock = Arc::clone(&self.adapters.clock);
        let metrics = Arc::clone(&self.metrics);
        let loaded = move |intent: &IntentView, took_ms: u64| {
            let tier = fleet.tier(&intent.engine, &intent.model);
            metrics.node().loaded(tier, took_ms);
            policy
                .lock()
                .loaded(clock.monotonic_ms(), &intent.model, tier, took_ms);
        };
        let parts = RunnerParts {
            replayed: Arc::clone(&self.replayed),
            membership: Arc::clone(&self.membership),
            orders: Arc::clone(&self.adapters.orders),
            reports: Arc::clone(&self.adapters.reports),
            appender: appender.clone(),
            epoch: Arc::clone(&self.epoch),
            freshness: Freshness::new(
                Arc::clone(&self.adapters.log),
                self.settings.platform.control_stream.clone(),
                Arc::clone(&self.replayed),
                Arc::clone(&self.adapters.clock),
            ),
            clock: Arc::clone(&self.adapters.clock),
            metrics: Arc::clone(&self.metrics),
            loaded: Box::new(loaded),
            load_timeout_ms: self.settings.upstreams.load_timeout_ms,
            stop: Arc::clone(&self.stop),
        };
        IntentRunner::new(parts, self.settle_wake.receiver.clone())
    }

    fn caller_server(&self, gateway: &Arc<Gateway>) -> Result<Server> {
        let callers = &self.settings.callers;
        let options = apricotdale_http::Options {
            max_head_bytes: callers.max_head_bytes,
            max_header_count: callers.max_headers,
            max_body_bytes: callers.max_body_bytes,
            head_timeout: Duration::from_millis(callers.head_timeout_ms),
            body_timeout: Duration::from_millis(callers.body_timeout_ms),
            idle_timeout: Duration::from_millis(callers.idle_timeout_ms),
            write_timeout: Duration::from_millis(callers.write_timeout_ms),
            max_connections: callers.max_connections,
            ..Default::default()
        };
        let address = self.settings.listen.callers;
        let listener = TcpListener::bind(address).map_err(|error| Error::listen(address, error))?;
        Server::start(listener, options, gateway.clone(), gateway.clone())
            .map_err(|error| Error::listen(address, error))
    }

    fn admin_server(
        &self,
        directory: &Arc<NodeDirectory>,
        gateway: &Arc<Gateway>,
        heartbeats: &Arc<HeartbeatSource>,
        counters: &Arc<PeerCounters>,
    ) -> Result<AdminServer> {
        let draining = Arc::clone(&self.draining);
        let source = NodeAdmin::new(AdminParts {
            vm: self.vm(),
            region: self.settings.vm.region.clone(),
            zone: self.settings.vm.zone.clone(),
            process_id: self.process_id,
            started_ms: self.adapters.clock.monotonic_ms(),
            grace_ms: self.settings.drain.grace_ms,
            replayed: Arc::clone(&self.replayed),
            membership: Arc::clone(&self.membership),
            reports: Arc::clone(&self.reports),
            demand: Arc::clone(&self.demand),
            directory: Arc::clone(directory),
            gateway: Arc::clone(gateway),
            heartbeats: Arc::clone(heartbeats),
            health: Arc::clone(&self.health),
            publisher: Publisher {
                stream: self.settings.platform.control_stream.clone(),
                log: Arc::clone(&self.adapters.log),
                replayed: Arc::clone(&self.replayed),
            },
            drain: Box::new(move || draining.store(true, Ordering::Release)),
            draining: Arc::clone(&self.draining),
            clock: Arc::clone(&self.adapters.clock),
        });
        let metrics = Arc::clone(&self.metrics);
        let (gateway, draining) = (Arc::clone(gateway), Arc::clone(&self.draining));
        let _ = counters;
        let render = move || {
            metrics.node().set_in_progress(gateway.in_progress() as u64);
            metrics
                .node()
                .set_draining(draining.load(Ordering::Relaxed));
            metrics.render()
        };
        let address = self.settings.listen.admin;
        apricotdale_admin::serve(
            address,
            Arc::new(source),
            Arc::new(render),
            Default::default(),
        )
        .map_err(|error| Error::listen(address, error))
    }
}

/// `NoSnapshots` knows no state but the stream's own records.
struct NoSnapshots;

impl CatchUpSource for NoSnapshots {
    fn catch_up(&self, _: &Replayed, _: apricotdale_core::numbers::Offset) -> bool {
        false
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .map_err(Error::system)
}
