//! What nearly every part of a daemon works with.

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

/// The placement policy, which the gateway's arrivals and the placement loop both feed.
pub type SharedPlacement = Arc<Mutex<Box<dyn PlacementPolicy>>>;

/// `Common` is what nearly every part of a daemon works with.
pub struct Common {
    /// The settings.
    pub settings: Settings,
    /// The outside interfaces.
    pub adapters: Adapters,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// This process, chosen at random.
    pub process_id: u64,
    /// The seed of random choices.
    pub seed: u64,
    /// The replayed control state.
    pub replayed: Arc<Replayed>,
    /// How long loads took.
    pub loads: Arc<LoadHistory>,
    /// How often the control stream is read.
    pub control_pace: Pace,
    /// The state of every stream, the control stream's first.
    pub states: Vec<Arc<dyn StreamState>>,
    /// The claim streams.
    pub claim_streams: Vec<Arc<ClaimStream>>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Makes heartbeats.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Whether the log works.
    pub health: Arc<LogHealth>,
    /// The demand.
    pub demand: Arc<DemandTable>,
    /// The last load reports.
    pub reports: Arc<ReportTable>,
    /// What the gateway knows.
    pub directory: Arc<NodeDirectory>,
    /// The placement policy.
    pub placement: SharedPlacement,
    /// The epoch of this process.
    pub epoch: Arc<EpochCell>,
    /// Set once the daemon is stopping.
    pub draining: Arc<AtomicBool>,
    /// Set once this process sends no further orders.
    pub retired: Arc<AtomicBool>,
    /// Set when the daemon's threads are to end.
    pub stop: Arc<AtomicBool>,
    /// Wakes placement.
    pub placement_wake: Signal,
    /// Wakes the reporting of demand.
    pub report_wake: Signal,
    /// Wakes the settling of intents.
    pub settle_wake: Signal,
}

impl Common {
    /// Returns what the parts of one daemon share.
    ///
    /// # Errors
    ///
    /// `Error::UnknownPolicy` for a placement policy that is not there.
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
        let moved = wake_both(&placement_wake, &settle_wake);
        let control = ControlStream::new(
            settings.platform.control_stream.clone(),
            Arc::clone(&replayed),
            Arc::clone(&loads),
            Arc::clone(&metrics),
            moved,
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

    /// Returns this VM's name.
    pub fn vm(&self) -> VmName {
        self.settings.vm.name.clone()
    }

    /// Returns the clock.
    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.adapters.clock)
    }

    /// Returns a function that begins a planned stop.
    pub fn drain(&self) -> Box<dyn Fn() + Send + Sync> {
        let draining = Arc::clone(&self.draining);
        Box::new(move || draining.store(true, Ordering::Release))
    }

    /// Returns a function that ends this process because its state was given up. It decides
    /// nothing from then on, and finishes the requests in progress.
    pub fn give_up(&self) -> Arc<dyn Fn() + Send + Sync> {
        let (epoch, draining) = (Arc::clone(&self.epoch), Arc::clone(&self.draining));
        Arc::new(move || {
            error!("the state of this process was given up; it ends and has to be started anew");
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

/// Returns a function that wakes two loops.
pub fn wake_both(one: &Signal, other: &Signal) -> Box<dyn Fn() + Send + Sync> {
    let (one, other) = (one.clone(), other.clone());
    Box::new(move || {
        one.wake();
        other.wake();
    })
}
