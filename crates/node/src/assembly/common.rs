//! State and channels that most parts of a daemon share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use log::error;
use parking_lot::Mutex;

use apricotdale_adapters::Adapters;
use apricotdale_core::names::VmName;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::serving::Clock;
use apricotdale_membership::Membership;
use apricotdale_settings::Settings;
use apricotdale_telemetry::Metrics;

use crate::appender::EpochCell;
use crate::claims::ClaimState;
use crate::claims::ClaimStream;
use crate::demand::DemandTable;
use crate::directory::NodeDirectory;
use crate::engine_reports::ReportTable;
use crate::errors::Result;
use crate::load_history::LoadHistory;
use crate::log_health::LogHealth;
use crate::membership_view::SharedMembership;
use crate::peer_answers::HeartbeatSource;
use crate::policies;
use crate::replayed::Replayed;
use crate::signal::Signal;
use crate::streams::ControlStream;
use crate::streams::Pace;
use crate::streams::StreamState;

/// Placement policy, which both the gateway's arrivals and the placement loop update.
pub type SharedPlacement = Arc<Mutex<Box<dyn PlacementPolicy>>>;

/// State, clients and wake signals shared by the parts of one daemon.
pub struct Common {
    /// Settings that the daemon was started with.
    pub settings: Settings,
    /// Clients of the platform, of the engines and of the clock.
    pub adapters: Adapters,
    /// Metrics that all parts of the daemon update.
    pub metrics: Arc<Metrics>,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Seed of the random choices of policies and membership.
    pub seed: u64,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Durations of the loads that replay has shown.
    pub loads: Arc<LoadHistory>,
    /// Read pacing of the control stream.
    pub control_pace: Pace,
    /// State of every stream, the control stream's first.
    pub states: Vec<Arc<dyn StreamState>>,
    /// Claim streams, in the order of the settings.
    pub claim_streams: Vec<Arc<ClaimStream>>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Builds this VM's heartbeats and keeps what peers sent in theirs.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Outcomes of recent appends and reads, from which the log counts as up or down.
    pub health: Arc<LogHealth>,
    /// Demand for each model, at this VM and reported by peers.
    pub demand: Arc<DemandTable>,
    /// Last load report of each engine.
    pub reports: Arc<ReportTable>,
    /// Directory from which the gateway resolves models and services.
    pub directory: Arc<NodeDirectory>,
    /// Placement policy, shared with the gateway's arrivals.
    pub placement: SharedPlacement,
    /// Epoch of this process; empty before it has joined.
    pub epoch: Arc<EpochCell>,
    /// Set once a planned stop has begun.
    pub draining: Arc<AtomicBool>,
    /// Set once this process must send no further orders to engines.
    pub retired: Arc<AtomicBool>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
    /// Wakes the placement loop.
    pub placement_wake: Signal,
    /// Wakes the thread that reports demand to peers.
    pub report_wake: Signal,
    /// Wakes the thread that settles intents.
    pub settle_wake: Signal,
}

impl Common {
    /// Creates the shared state from the settings.
    ///
    /// # Errors
    ///
    /// `Error::UnknownPolicy` if the settings name an unknown placement policy.
    pub fn new(settings: Settings, adapters: Adapters, metrics: Arc<Metrics>) -> Result<Self> {
        let process_id = rand::random();
        let clock = Arc::clone(&adapters.clock);
        let seed = settings.policies.seed.unwrap_or_else(rand::random);
        let replayed = Arc::new(Replayed::new());
        let loads = Arc::new(LoadHistory::new());
        let membership = Arc::new(membership(&settings, seed, Arc::clone(&adapters.clock)));
        let draining = Arc::new(AtomicBool::new(false));
        let (health, epoch): (Arc<LogHealth>, Arc<EpochCell>) = Default::default();
        let (placement_wake, settle_wake) = (Signal::new(), Signal::new());
        let changed = wake_both(&placement_wake, &settle_wake);
        let control = ControlStream::new(
            settings.platform.control_stream.clone(),
            Arc::clone(&replayed),
            Arc::clone(&loads),
            Arc::clone(&metrics),
            changed,
        );
        let claim_streams: Vec<Arc<ClaimStream>> = settings
            .platform
            .claim_streams
            .iter()
            .map(|name| {
                Arc::new(ClaimStream::new(
                    name.clone(),
                    Pace::new(Arc::clone(&clock)),
                ))
            })
            .collect();
        let mut states: Vec<Arc<dyn StreamState>> = vec![Arc::new(control)];
        for stream in &claim_streams {
            states.push(Arc::new(ClaimState::new(Arc::clone(stream), process_id)));
        }
        let heartbeats = HeartbeatSource::new(
            settings.vm.name.clone(),
            process_id,
            Arc::clone(&draining),
            Arc::clone(&replayed),
            Arc::clone(&adapters.clock),
        );
        let directory = NodeDirectory {
            replayed: Arc::clone(&replayed),
            claim_streams: claim_streams.clone(),
            membership: Arc::clone(&membership),
            health: Arc::clone(&health),
            epoch: Arc::clone(&epoch),
            clock: Arc::clone(&adapters.clock),
            draining: Arc::clone(&draining),
        };
        let placement = Arc::new(Mutex::new(policies::placement(&settings)?));
        Ok(Self {
            settings,
            adapters,
            metrics,
            process_id,
            seed,
            replayed,
            loads,
            control_pace: Pace::new(Arc::clone(&clock)),
            states,
            claim_streams,
            membership,
            heartbeats: Arc::new(heartbeats),
            health,
            demand: Arc::new(DemandTable::new()),
            reports: Arc::new(ReportTable::new()),
            directory: Arc::new(directory),
            placement,
            epoch,
            draining,
            retired: Arc::default(),
            stop: Arc::default(),
            placement_wake,
            report_wake: Signal::new(),
            settle_wake,
        })
    }

    pub fn vm(&self) -> VmName {
        self.settings.vm.name.clone()
    }

    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.adapters.clock)
    }

    /// Returns a function that begins a planned stop of this daemon.
    pub fn drain(&self) -> Box<dyn Fn() + Send + Sync> {
        let draining = Arc::clone(&self.draining);
        Box::new(move || draining.store(true, Ordering::Release))
    }

    /// Returns a function that ends this process because its replayed state is not valid. It clears
    /// the epoch, so that the process decides nothing more, and starts a drain, which lets requests
    /// in progress finish.
    pub fn end_process(&self) -> Arc<dyn Fn() + Send + Sync> {
        let (epoch, draining) = (Arc::clone(&self.epoch), Arc::clone(&self.draining));
        Arc::new(move || {
            error!(
                "the replayed state of this process is not valid; the process drains and must be restarted"
            );
            epoch.clear();
            draining.store(true, Ordering::Release);
        })
    }
}

fn membership(settings: &Settings, seed: u64, clock: Arc<dyn Clock>) -> SharedMembership {
    let options = apricotdale_membership::Options {
        seed,
        round_ms: settings.peers.heartbeat_interval_ms,
        suspect_after_missed: settings.peers.suspect_after_missed,
        ..Default::default()
    };
    SharedMembership::new(Membership::new(settings.vm.name.clone(), options), clock)
}

/// Returns a function that wakes both signals.
pub fn wake_both(one: &Signal, other: &Signal) -> Box<dyn Fn() + Send + Sync> {
    let (one, other) = (one.clone(), other.clone());
    Box::new(move || {
        one.wake();
        other.wake();
    })
}
