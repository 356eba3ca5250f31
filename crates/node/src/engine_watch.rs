//! Reads the engines for which this VM is preferred, and asks peers about the other engines it
//! uses.

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
use crate::intents::EngineLocation;
use crate::intents::observation;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;

/// Number of engines read concurrently, so that an engine that does not answer delays the others by
/// no more than its timeout.
const MAX_CONCURRENT_READS: usize = 8;

/// Maximum number of peers asked in one round.
const PEERS_PER_ROUND: usize = 8;

/// Number of rounds between two reads of the weight store.
const ROUNDS_PER_WEIGHTS_READ: usize = 5;

/// Interval of rounds until replay has seen all engines that this VM reads.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);

/// Age up to which an unsettled intent's effect is not reported by an observation. Its owner
/// usually settles it earlier, which saves a record.
const SETTLING_TIME_MS: u64 = 5_000;

/// Thread that reads engines, the weight store and peers' load reports.
pub struct EngineWatch {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Client that reads the engines' status and load reports.
    pub reports: Arc<dyn EngineReports>,
    /// Client of the weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Table that the load reports are recorded in.
    pub table: Arc<ReportTable>,
    /// Receives the weight store's status.
    pub weights_status: Arc<Mutex<Option<WeightsStatus>>>,
    /// Demand table, which has the replicas that engines reported as not loaded.
    pub demand: Arc<DemandTable>,
    /// Appends observations of engines.
    pub appender: Appender,
    /// Gateway, whose routing policy learns of the load reports.
    pub gateway: Arc<Gateway>,
    /// Link over which peers are sent requests.
    pub link: Arc<dyn PeerLink>,
    /// Timeout of one request to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Interval of the rounds.
    pub interval: Duration,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl EngineWatch {
    /// Reads the engines in rounds until the daemon stops.
    pub fn run(self) {
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            let engines_to_read = self.engines_to_read(&view);
            for batch in engines_to_read.chunks(MAX_CONCURRENT_READS) {
                thread::scope(|scope| {
                    for engine in batch {
                        scope.spawn(|| self.read(engine));
                    }
                });
            }
            self.ask_peers(&view, round);
            round += 1;
            if (round - 1) % ROUNDS_PER_WEIGHTS_READ == 0 {
                self.read_weights();
            }
            thread::sleep(self.pause(&view));
        }
    }

    fn read_weights(&self) {
        match self.weights.status() {
            Ok(status) => *self.weights_status.lock() = Some(status),
            Err(error) => warn!("reading the weight store's status failed: {error}"),
        }
    }

    /// Returns the pause before the next round. An engine that replay has not seen can load no
    /// model, so a new engine is read soon.
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

    /// Returns the engines to read in this round: those for which this VM is preferred, and those
    /// that rejected a request for a model that replay shows as loaded there.
    fn engines_to_read<'a>(&self, view: &'a View) -> Vec<&'a UpstreamView> {
        let missing: BTreeSet<UpstreamName> = self
            .demand
            .take_missing_replicas()
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
                    .record_read(self.clock.monotonic_ms(), &name, report);
                self.gateway.learn_routing(event);
            }
            Err(error) => warn!("reading the load report of {name} failed: {error}"),
        }
        match self.reports.status(address) {
            Ok(status) => self.propose_if_new(engine, &name, status),
            Err(error) => warn!("reading the status of {name} failed: {error}"),
        }
    }

    /// Proposes an observation if the status shows something that replay does not know.
    fn propose_if_new(&self, engine: &UpstreamView, name: &UpstreamName, status: EngineStatus) {
        let unix_ms = self.clock.unix_ms();
        let is_new = self
            .replayed
            .read(|state| shows_unknown_change(state, name, &status, unix_ms));
        if !is_new {
            return;
        }
        let location = EngineLocation {
            engine: name.clone(),
            group: engine.entry.group.clone(),
            zone: engine.entry.zone.clone(),
        };
        self.appender
            .propose(Persistence::Drop, observation(location, status), |_| {});
    }

    /// Asks the VMs that read the other engines which this VM uses, a few peers in each round. This
    /// bounds the messages of a VM in a large fleet; where a report is missing, routing uses the
    /// requests that this VM itself has in progress.
    fn ask_peers(&self, view: &View, round: usize) {
        let mut by_vm: BTreeMap<VmName, Vec<UpstreamName>> = BTreeMap::new();
        for engine in self.used_engines() {
            let reader = view.preferred(engine.as_str()).filter(|vm| **vm != self.vm);
            if let Some(vm) = reader {
                by_vm.entry(vm.clone()).or_default().push(engine);
            }
        }
        let skipped = (round * PEERS_PER_ROUND) % by_vm.len().max(1);
        let peers = by_vm
            .iter()
            .cycle()
            .skip(skipped)
            .take(PEERS_PER_ROUND.min(by_vm.len()));
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
            if let Some(report) = self.table.record_peer_load(now_ms, unix_ms, &load) {
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

/// Returns whether a status differs from the replayed state in a way that the owners of the
/// engine's intents will not report.
fn shows_unknown_change(
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
    let has_unknown = status
        .residents
        .iter()
        .any(|resident| !is_known(resident.fence));
    let has_lost = engine.unmanaged.values().any(|one| {
        !status
            .residents
            .iter()
            .any(|resident| resident.fence == one.fence)
    });
    has_unknown
        || has_lost
        || state
            .replicas_on(name)
            .any(|one| differs(one, status, unix_ms))
}

fn differs(replica: &Replica, status: &EngineStatus, unix_ms: u64) -> bool {
    // An order that has shown its effect can have no other. Without this record, if the sender
    // ended during a long load, its memory would stay reserved at an engine that doesn't check
    // fencing tokens, until that engine restarts.
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
