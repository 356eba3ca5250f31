//! Threads that replay streams, make proposals and send orders.

use std::iter;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use parking_lot::Mutex;

use apricotdale_core::weights::WeightsStatus;
use apricotdale_membership::PauseDetector;
use apricotdale_state::view::IntentView;

use super::common::Common;
use super::serving::Serving;
use crate::appender::Appender;
use crate::appender::AppenderParts;
use crate::claims::ClaimSweeper;
use crate::claims::ClaimWriter;
use crate::engine_watch::EngineWatch;
use crate::errors::Error;
use crate::errors::Result;
use crate::gauges::Gauges;
use crate::intents::Freshness;
use crate::intents::IntentRunner;
use crate::intents::RunnerParts;
use crate::join_task::JoinTask;
use crate::membership_loop::MembershipLoop;
use crate::placement::CapacityUpdater;
use crate::placement::DemandReporter;
use crate::placement::FleetSource;
use crate::placement::PlacementLoop;
use crate::placement::PlacementParts;
use crate::streams::CatchUp;
use crate::streams::Pace;
use crate::streams::PeerSnapshots;
use crate::streams::READ_SLACK_MS;
use crate::streams::SnapshotReader;
use crate::streams::SnapshotWriter;
use crate::streams::StreamState;
use crate::streams::StreamTail;

/// Threads of a daemon that replay streams, make proposals and send orders, one for each role.
pub struct ControlThreads<'a> {
    common: &'a Common,
    serving: &'a Serving,
    appender: Appender,
    fleet: Arc<FleetSource>,
    weights: Arc<Mutex<Option<WeightsStatus>>>,
    threads: Vec<JoinHandle<()>>,
}

impl<'a> ControlThreads<'a> {
    /// Starts all threads. Returns their handles, which finish once the stop flag is set, and the
    /// appender for a last record before that.
    ///
    /// # Errors
    ///
    /// `Error::System` if the system can't start a thread.
    pub fn start(
        common: &'a Common,
        serving: &'a Serving,
    ) -> Result<(Vec<JoinHandle<()>>, Appender)> {
        let (appender, thread) = Appender::start(appender_parts(common));
        let weights = Arc::new(Mutex::new(None));
        let fleet = FleetSource {
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            reports: Arc::clone(&common.reports),
            demand: Arc::clone(&common.demand),
            weights: Arc::clone(&weights),
            ranks: Mutex::default(),
        };
        let mut control_threads = Self {
            common,
            serving,
            appender,
            fleet: Arc::new(fleet),
            weights,
            threads: vec![thread],
        };
        control_threads.start_streams()?;
        control_threads.start_claims()?;
        control_threads.start_membership()?;
        control_threads.start_placement()?;
        control_threads.start_engines()?;
        control_threads.start_gauges()?;
        Ok((control_threads.threads, control_threads.appender))
    }

    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
        let thread = spawn_thread(name, run)?;
        self.threads.push(thread);
        Ok(())
    }

    fn start_streams(&mut self) -> Result<()> {
        let common = self.common;
        let snapshots = Arc::new(SnapshotReader::new(
            common.settings.platform.snapshot_stream.clone(),
            Arc::clone(&common.adapters.log),
        ));
        let peers = Arc::new(PeerSnapshots {
            link: Arc::clone(&self.serving.link),
            timeout_ms: common.settings.peers.timeout_ms,
        });
        let claims = common
            .claim_streams
            .iter()
            .map(|stream| stream.pace.clone());
        let paces = iter::once(common.control_pace.clone()).chain(claims);
        for (state, pace) in common.states.iter().zip(paces) {
            let tail = self.tail(state, pace, &snapshots, &peers);
            // A tail is not joined at the stop: it may be in a read that waits for a record.
            let _ = spawn_thread("stream-tail", move || tail.run())?;
        }
        let writer = SnapshotWriter {
            stream: common.settings.platform.snapshot_stream.clone(),
            log: Arc::clone(&common.adapters.log),
            states: common.states.clone(),
            membership: Arc::clone(&common.membership),
            metrics: Arc::clone(&common.metrics),
            clock: common.clock(),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("snapshots", move || writer.run())?;
        let join_task = JoinTask {
            vm: common.vm(),
            zone: common.settings.vm.zone.clone(),
            process_id: common.process_id,
            stream: common.settings.platform.control_stream.clone(),
            log: Arc::clone(&common.adapters.log),
            replayed: Arc::clone(&common.replayed),
            epoch: Arc::clone(&common.epoch),
            appender: self.appender.clone(),
            pace: common.control_pace.clone(),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("joining", move || join_task.run())
    }

    fn tail(
        &self,
        state: &Arc<dyn StreamState>,
        pace: Pace,
        snapshots: &Arc<SnapshotReader>,
        peers: &Arc<PeerSnapshots>,
    ) -> StreamTail {
        let common = self.common;
        let is_control = state.stream() == &common.settings.platform.control_stream;
        StreamTail {
            state: Arc::clone(state),
            log: Arc::clone(&common.adapters.log),
            wait_ms: common.settings.platform.log_wait_ms,
            catch_up: CatchUp {
                state: Arc::clone(state),
                log: Arc::clone(&common.adapters.log),
                snapshots: Arc::clone(snapshots),
                peers: Arc::clone(peers),
                membership: Arc::clone(&common.membership),
                end_process: common.end_process(),
            },
            pace,
            membership: Arc::clone(&common.membership),
            health: is_control.then(|| Arc::clone(&common.health)),
            clock: common.clock(),
            stop: Arc::clone(&common.stop),
            pauses: PauseDetector::new(common.settings.platform.log_wait_ms + READ_SLACK_MS),
        }
    }

    fn start_claims(&mut self) -> Result<()> {
        let common = self.common;
        for stream in &common.claim_streams {
            let writer = ClaimWriter {
                stream: Arc::clone(stream),
                log: Arc::clone(&common.adapters.log),
                metrics: Arc::clone(&common.metrics),
                stop: Arc::clone(&common.stop),
            };
            self.spawn("claim-writer", move || writer.run())?;
        }
        let sweeper = ClaimSweeper {
            streams: common.claim_streams.clone(),
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("claim-sweeper", move || sweeper.run())
    }

    fn start_membership(&mut self) -> Result<()> {
        let common = self.common;
        let members = MembershipLoop {
            membership: Arc::clone(&common.membership),
            vm_list: Arc::clone(&common.adapters.vm_list),
            list_interval_ms: common.settings.platform.vm_list_interval_ms,
            link: Arc::clone(&self.serving.link),
            peer_timeout_ms: common.settings.peers.timeout_ms,
            heartbeats: Arc::clone(&common.heartbeats),
            replayed: Arc::clone(&common.replayed),
            appender: self.appender.clone(),
            gateway: Arc::clone(&self.serving.gateway),
            leaving: common.drain(),
            started_unix_ms: common.adapters.clock.unix_ms(),
            clock: common.clock(),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("membership", move || members.run())
    }

    fn start_placement(&mut self) -> Result<()> {
        let common = self.common;
        let capacity = CapacityUpdater::new(
            Arc::clone(&common.directory),
            Arc::clone(&common.reports),
            Arc::clone(&common.demand),
            Arc::clone(&self.serving.gateway),
        );
        let placement = PlacementLoop::new(PlacementParts {
            source: Arc::clone(&self.fleet),
            policy: Arc::clone(&common.placement),
            loads: Arc::clone(&common.loads),
            appender: self.appender.clone(),
            health: Arc::clone(&common.health),
            gateway: Arc::clone(&self.serving.gateway),
            capacity,
            pace: common.control_pace.clone(),
            clock: common.clock(),
            wake: common.placement_wake.receiver(),
            stop: Arc::clone(&common.stop),
        });
        self.spawn("placement", move || placement.run())?;
        let reporter = DemandReporter {
            vm: common.vm(),
            demand: Arc::clone(&common.demand),
            membership: Arc::clone(&common.membership),
            link: Arc::clone(&self.serving.link),
            timeout_ms: common.settings.peers.timeout_ms,
            clock: common.clock(),
            wake: common.report_wake.receiver(),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("demand-reporter", move || reporter.run())
    }

    fn start_engines(&mut self) -> Result<()> {
        let common = self.common;
        let runner = IntentRunner::new(self.runner_parts(), common.settle_wake.receiver());
        self.spawn("settling", move || runner.run())?;
        let watch = EngineWatch {
            vm: common.vm(),
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            reports: Arc::clone(&common.adapters.reports),
            weights: Arc::clone(&common.adapters.weights),
            table: Arc::clone(&common.reports),
            weights_status: Arc::clone(&self.weights),
            demand: Arc::clone(&common.demand),
            appender: self.appender.clone(),
            gateway: Arc::clone(&self.serving.gateway),
            link: Arc::clone(&self.serving.link),
            peer_timeout_ms: common.settings.peers.timeout_ms,
            clock: common.clock(),
            interval: Duration::from_millis(common.settings.upstreams.report_interval_ms),
            stop: Arc::clone(&common.stop),
        };
        self.spawn("engine-watch", move || watch.run())
    }

    fn runner_parts(&self) -> RunnerParts {
        let common = self.common;
        let (fleet, metrics) = (Arc::clone(&self.fleet), Arc::clone(&common.metrics));
        let loaded = move |intent: &IntentView, took_ms: u64| {
            metrics
                .node()
                .record_load(fleet.tier(&intent.engine, &intent.model), took_ms);
        };
        RunnerParts {
            vm: common.vm(),
            process_id: common.process_id,
            end_process: common.end_process(),
            replayed: Arc::clone(&common.replayed),
            membership: Arc::clone(&common.membership),
            orders: Arc::clone(&common.adapters.orders),
            reports: Arc::clone(&common.adapters.reports),
            appender: self.appender.clone(),
            epoch: Arc::clone(&common.epoch),
            freshness: Freshness::new(
                Arc::clone(&common.adapters.log),
                common.settings.platform.control_stream.clone(),
                Arc::clone(&common.replayed),
                common.clock(),
            ),
            clock: common.clock(),
            metrics: Arc::clone(&common.metrics),
            loaded: Box::new(loaded),
            load_timeout_ms: common.settings.upstreams.load_timeout_ms,
            retired: Arc::clone(&common.retired),
            stop: Arc::clone(&common.stop),
        }
    }

    fn start_gauges(&mut self) -> Result<()> {
        let common = self.common;
        let gauges = Gauges {
            metrics: Arc::clone(&common.metrics),
            directory: Arc::clone(&common.directory),
            reports: Arc::clone(&common.reports),
            peers: Arc::clone(&self.serving.peer_counters),
            health: Arc::clone(&common.health),
            clock: common.clock(),
            stop: Arc::clone(&common.stop),
            rejected: Default::default(),
        };
        self.spawn("gauges", move || gauges.run())
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .map_err(Error::system)
}

fn appender_parts(common: &Common) -> AppenderParts {
    AppenderParts {
        vm: common.vm(),
        stream: common.settings.platform.control_stream.clone(),
        log: Arc::clone(&common.adapters.log),
        health: Arc::clone(&common.health),
        metrics: Arc::clone(&common.metrics),
        clock: common.clock(),
        stop: Arc::clone(&common.stop),
        epoch: Arc::clone(&common.epoch),
        pace: common.control_pace.clone(),
    }
}
