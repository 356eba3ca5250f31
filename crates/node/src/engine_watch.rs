//! Reads the engines for which this VM is preferred, and asks peers about the others it uses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::warn;
use parking_lot::Mutex;

use apricotdale_core::engine::EngineReports;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::Residency;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::peer::ReplicasQuery;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::serving::Clock;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::weights::WeightStore;
use apricotdale_core::weights::WeightsStatus;
use apricotdale_gateway::Gateway;
use apricotdale_membership::UpstreamView;
use apricotdale_membership::View;
use apricotdale_state::ControlState;
use apricotdale_state::replicas::Replica;
use apricotdale_state::replicas::Stage;

use crate::appender::Appender;
use crate::appender::Persistence;
use crate::demand::DemandTable;
use crate::engine_reports::ReportTable;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;
use crate::settling::EnginePlace;
use crate::settling::observation;

/// Engines that are read at once. One that does not answer delays no other by more than its own
/// timeout.
const READ_AT_ONCE: usize = 8;

/// Peers asked in one round.
const PEERS_A_ROUND: usize = 8;

/// Rounds between two readings of the weight store.
const WEIGHTS_ROUNDS: usize = 5;

/// How often engines are read until replay knows them.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);

/// How long an intent may stay unsettled before an observation of its effect is appended. Its owner
/// settles it before that, with one record less.
const SETTLING_TIME_MS: u64 = 5_000;

/// `EngineWatch` is what the watch works with.
pub struct EngineWatch {
    /// This VM.
    pub vm: VmName,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// What engines report.
    pub reports: Arc<dyn EngineReports>,
    /// The weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Takes the reports.
    pub table: Arc<ReportTable>,
    /// Takes the weight store's status.
    pub weights_status: Arc<Mutex<Option<WeightsStatus>>>,
    /// Tells which replicas engines said they lack.
    pub demand: Arc<DemandTable>,
    /// Appends observations.
    pub appender: Appender,
    /// Lets routing learn of reports.
    pub gateway: Arc<Gateway>,
    /// The way to peers.
    pub link: Arc<dyn PeerLink>,
    /// How long a peer may take to answer.
    pub peer_timeout_ms: u64,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// How often engines are read.
    pub interval: Duration,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl EngineWatch {
    /// Watches until the daemon stops.
    pub fn run(self) {
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            let due = self.due(&view);
            for some in due.chunks(READ_AT_ONCE) {
                thread::scope(|scope| {
                    for engine in some {
                        scope.spawn(|| self.read(engine));
                    }
                });
            }
            self.ask_peers(&view, round);
            round += 1;
            if (round - 1) % WEIGHTS_ROUNDS == 0 {
                self.read_weights();
            }
            thread::sleep(self.pause(&view));
        }
    }

    fn read_weights(&self) {
        match self.weights.status() {
            Ok(status) => *self.weights_status.lock() = Some(status),
            Err(error) => warn!("status of the weight store: {error}"),
        }
    }

    /// Returns how long to wait for the next reading. An engine that replay does not know can take
    /// no model, so new ones are read at once.
    fn pause(&self, view: &View) -> Duration {
        let unknown = self.replayed.read(|state| {
            let mut names = engines(view).map(|engine| engine.entry.name.as_str());
            names.any(|name| view.is_preferred(name) && state.engine(&name.into()).is_none())
        });
        match unknown || view.upstreams.is_empty() {
            true => self.interval.min(FIRST_INTERVAL),
            false => self.interval,
        }
    }

    /// Returns the engines to read now: those for which this VM is preferred, and those that told a
    /// request they lack a model which replay shows there.
    fn due<'a>(&self, view: &'a View) -> Vec<&'a UpstreamView> {
        let missing: BTreeSet<UpstreamName> = self
            .demand
            .take_missing()
            .into_iter()
            .map(|(_, engine)| engine)
            .collect();
        engines(view)
            .filter(|engine| {
                let name = engine.entry.name.as_str();
                view.is_preferred(name) || missing.contains(&UpstreamName::new(name))
            })
            .collect()
    }

    fn read(&self, engine: &UpstreamView) {
        let name = UpstreamName::new(&engine.entry.name);
        let address = engine.entry.address;
        match self.reports.load_report(address) {
            Ok(report) => {
                let event = RoutingEvent::Reported {
                    upstream: name.clone(),
                    report: report.clone(),
                };
                self.table
                    .note_read(self.clock.monotonic_ms(), &name, report);
                self.gateway.learn_routing(event);
            }
            Err(error) => warn!("load report of {name}: {error}"),
        }
        match self.reports.status(address) {
            Ok(status) => self.compare(engine, &name, status),
            Err(error) => warn!("status of {name}: {error}"),
        }
    }

    /// Appends an observation if the status says something that replay does not know.
    fn compare(&self, engine: &UpstreamView, name: &UpstreamName, status: EngineStatus) {
        let unix_ms = self.clock.unix_ms();
        let is_new = self
            .replayed
            .read(|state| says_something_new(state, name, &status, unix_ms));
        if !is_new {
            return;
        }
        let place = EnginePlace {
            engine: name.clone(),
            group: engine.entry.group.clone(),
            zone: engine.entry.zone.clone(),
        };
        self.appender
            .propose(Persistence::Drop, observation(place, status), |_| {});
    }

    /// Asks the VMs that read the other engines which this VM uses, a few at a time. In a large
    /// fleet that keeps the messages of a VM the same; what a VM does not hear, routing makes up for
    /// with the requests that this VM itself has under way.
    fn ask_peers(&self, view: &View, round: usize) {
        let mut by_vm: BTreeMap<VmName, Vec<UpstreamName>> = BTreeMap::new();
        for engine in self.used_engines() {
            let reader = view.preferred(engine.as_str()).filter(|vm| **vm != self.vm);
            if let Some(vm) = reader {
                by_vm.entry(vm.clone()).or_default().push(engine);
            }
        }
        let skipped = (round * PEERS_A_ROUND) % by_vm.len().max(1);
        let peers = by_vm
            .iter()
            .cycle()
            .skip(skipped)
            .take(PEERS_A_ROUND.min(by_vm.len()));
        for (vm, engines) in peers {
            if let Some(address) = view.peer_address(vm) {
                self.ask_peer(address, engines.clone());
            }
        }
    }

    /// Returns the engines that hold a model which callers of this VM use.
    fn used_engines(&self) -> BTreeSet<UpstreamName> {
        let models = self.demand.recent(self.clock.monotonic_ms());
        self.replayed.read(|state| {
            let replicas = models.iter().flat_map(|model| state.replicas_of(model));
            let loaded = replicas.filter(|replica| replica.stage() == Stage::Loaded);
            loaded.map(|replica| replica.engine.clone()).collect()
        })
    }

    fn ask_peer(&self, address: SocketAddr, engines: Vec<UpstreamName>) {
        let query = PeerRequest::Replicas(ReplicasQuery { engines });
        let Ok(PeerReply::Replicas(loads)) = self.link.ask(address, &query, self.peer_timeout_ms)
        else {
            return;
        };
        for load in loads {
            let (now_ms, unix_ms) = (self.clock.monotonic_ms(), self.clock.unix_ms());
            if let Some(report) = self.table.note_told(now_ms, unix_ms, &load) {
                let event = RoutingEvent::Reported {
                    upstream: load.engine,
                    report,
                };
                self.gateway.learn_routing(event);
            }
        }
    }
}

fn engines(view: &View) -> impl Iterator<Item = &UpstreamView> {
    view.upstreams
        .values()
        .filter(|upstream| upstream.entry.role == VmRole::Engine)
}

/// Returns whether a status differs from the replayed state in a way that its orders' owners will
/// not tell by themselves.
fn says_something_new(
    state: &ControlState,
    name: &UpstreamName,
    status: &EngineStatus,
    unix_ms: u64,
) -> bool {
    let Some(engine) = state.engine(name).filter(|engine| !engine.is_gone()) else {
        return true;
    };
    if engine.boot() != status.boot {
        return engine.boot() < status.boot;
    }
    let is_known = |fence: FencingToken| {
        state
            .replicas_on(name)
            .any(|one| FencingToken::from(one.load) == fence)
            || engine.unmanaged.values().any(|one| one.fence == fence)
    };
    let strange = status
        .residents
        .iter()
        .any(|resident| !is_known(resident.fence));
    let gone = engine.unmanaged.values().any(|one| {
        !status
            .residents
            .iter()
            .any(|resident| resident.fence == one.fence)
    });
    strange
        || gone
        || state
            .replicas_on(name)
            .any(|one| differs(one, status, unix_ms))
}

fn differs(replica: &Replica, status: &EngineStatus, unix_ms: u64) -> bool {
    // An order that has shown its effect can have no other. Without this record, the death of its
    // sender in the middle of a long load would leave its memory reserved at an engine that obeys
    // every order, until that engine restarts.
    let fence = FencingToken::from(replica.load);
    let resident = status
        .residents
        .iter()
        .find(|resident| resident.fence == fence);
    let residency = resident.map(|resident| resident.residency);
    let is_settling = unix_ms.saturating_sub(replica.since_ms) < SETTLING_TIME_MS;
    match (replica.stage(), residency) {
        (Stage::Loaded, Some(Residency::Loaded)) => false,
        (Stage::Loaded, _) => !is_settling,
        (Stage::Unloading, None) => !is_settling,
        (Stage::Unloading, Some(_)) => false,
        (_, Some(Residency::Loaded)) => !is_settling,
        (Stage::Reserved, Some(Residency::Loading)) => !is_settling && !status.checks_fence,
        (_, Some(_) | None) => false,
    }
}
