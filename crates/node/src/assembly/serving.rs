//! Servers for callers, peers and operators.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotdale_admin::AdminServer;
use apricotdale_core::peer::PeerLink;
use apricotdale_gateway::Gateway;
use apricotdale_http::Server;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;

use super::common::Common;
use super::common::wake_both;
use crate::claims::NodeClaimKeeper;
use crate::demand::DemandRecorder;
use crate::errors::Error;
use crate::errors::Result;
use crate::operations::AdminParts;
use crate::operations::NodeAdmin;
use crate::operations::Publisher;
use crate::peer_answers::PeerAnswers;
use crate::policies;
use crate::streams::SnapshotServer;

/// Servers of a daemon for callers, peers and operators, and what they share.
pub struct Serving {
    /// Gateway that serves callers.
    pub gateway: Arc<Gateway>,
    /// Link over which peers are sent requests.
    pub link: Arc<dyn PeerLink>,
    /// Counts of messages exchanged with peers.
    pub peer_counters: Arc<PeerCounters>,
    /// Server that answers peers.
    pub peers: PeerServer,
    /// Server that answers callers.
    pub callers: Server,
    /// Server that answers operators.
    pub admin: AdminServer,
}

impl Serving {
    /// Starts the servers for callers, peers and operators.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if an address is in use or not local, `Error::UnknownPolicy` if the settings
    /// name an unknown policy, `Error::System` if the cluster key is invalid or the system can't
    /// start a thread.
    pub fn start(common: &Common) -> Result<Self> {
        let gateway = Arc::new(gateway(common)?);
        let peer_counters = Arc::new(PeerCounters::default());
        let key = ClusterKey::new(common.settings.peers.cluster_key.as_bytes());
        let key = key.map_err(Error::system)?;
        let link = NngLink::new(
            common.vm(),
            common.process_id,
            key.clone(),
            LinkOptions::default(),
            Arc::clone(&peer_counters),
        );
        Ok(Self {
            link: Arc::new(link),
            peers: peer_server(common, key, &peer_counters)?,
            callers: caller_server(common, &gateway)?,
            admin: admin_server(common, &gateway)?,
            gateway,
            peer_counters,
        })
    }
}

fn gateway(common: &Common) -> Result<Gateway> {
    let settings = &common.settings;
    let options = apricotdale_gateway::Options {
        default_class: Some(settings.callers.default_class.clone()),
        max_timeout_ms: settings.callers.max_timeout_ms,
        stream_idle_timeout_ms: settings.upstreams.idle_timeout_ms,
        ..Default::default()
    };
    let placement = Arc::clone(&common.placement);
    let demand = DemandRecorder {
        table: Arc::clone(&common.demand),
        wake: wake_both(&common.placement_wake, &common.report_wake),
        arrived: Box::new(move |now_ms, model| placement.lock().arrived(now_ms, model)),
    };
    let claims = NodeClaimKeeper {
        vm: common.vm(),
        process_id: common.process_id,
        streams: common.claim_streams.clone(),
        clock: common.clock(),
        replayed: Arc::clone(&common.replayed),
        epoch: Arc::clone(&common.epoch),
    };
    let parts = apricotdale_gateway::Parts {
        process_id: common.process_id,
        directory: common.directory.clone(),
        demand: Arc::new(demand),
        claims: Arc::new(claims),
        observer: common.metrics.clone(),
        clock: common.clock(),
        serving: Arc::clone(&common.adapters.serving),
        service: Arc::clone(&common.adapters.service),
        routing: policies::routing(settings, common.seed, Arc::clone(&common.membership))?,
        admission: policies::admission(settings)?,
        retry: policies::retry(settings, common.seed)?,
    };
    Gateway::new(options, parts).map_err(Error::system)
}

fn peer_server(
    common: &Common,
    key: ClusterKey,
    counters: &Arc<PeerCounters>,
) -> Result<PeerServer> {
    let placement_wake = common.placement_wake.clone();
    let answers = PeerAnswers {
        heartbeats: Arc::clone(&common.heartbeats),
        membership: Arc::clone(&common.membership),
        demand: Arc::clone(&common.demand),
        wake: Box::new(move || placement_wake.wake()),
        reports: Arc::clone(&common.reports),
        snapshots: SnapshotServer::new(common.states.clone(), common.clock()),
        clock: common.clock(),
    };
    let address = common.settings.listen.peers;
    let options = ServerOptions {
        listen: address,
        ..Default::default()
    };
    PeerServer::start(&options, key, Arc::new(answers), Arc::clone(counters))
        .map_err(|error| Error::listen(address, error))
}

fn caller_server(common: &Common, gateway: &Arc<Gateway>) -> Result<Server> {
    let callers = &common.settings.callers;
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
    let address = common.settings.listen.callers;
    let listener = TcpListener::bind(address).map_err(|error| Error::listen(address, error))?;
    Server::start(listener, options, gateway.clone(), gateway.clone())
        .map_err(|error| Error::listen(address, error))
}

fn admin_server(common: &Common, gateway: &Arc<Gateway>) -> Result<AdminServer> {
    let source = NodeAdmin::new(AdminParts {
        vm: common.vm(),
        region: common.settings.vm.region.clone(),
        zone: common.settings.vm.zone.clone(),
        process_id: common.process_id,
        started_ms: common.adapters.clock.monotonic_ms(),
        grace_ms: common.settings.drain.grace_ms,
        replayed: Arc::clone(&common.replayed),
        membership: Arc::clone(&common.membership),
        reports: Arc::clone(&common.reports),
        demand: Arc::clone(&common.demand),
        directory: Arc::clone(&common.directory),
        gateway: Arc::clone(gateway),
        heartbeats: Arc::clone(&common.heartbeats),
        health: Arc::clone(&common.health),
        publisher: Publisher {
            stream: common.settings.platform.control_stream.clone(),
            log: Arc::clone(&common.adapters.log),
            replayed: Arc::clone(&common.replayed),
            pace: common.control_pace.clone(),
        },
        drain: common.drain(),
        draining: Arc::clone(&common.draining),
        clock: common.clock(),
    });
    let metrics = Arc::clone(&common.metrics);
    let (gateway, draining) = (Arc::clone(gateway), Arc::clone(&common.draining));
    let render = move || {
        metrics.node().set_in_progress(gateway.in_progress() as u64);
        metrics
            .node()
            .set_draining(draining.load(Ordering::Relaxed));
        metrics.render()
    };
    let address = common.settings.listen.admin;
    apricotdale_admin::serve(
        address,
        Arc::new(source),
        Arc::new(render),
        Default::default(),
    )
    .map_err(|error| Error::listen(address, error))
}
