//! Starts the work on intents that this process owns, and takes over those of other processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use log::info;
use log::warn;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::TakeOver;
use apricotdale_core::engine::EngineOrders;
use apricotdale_core::engine::EngineReports;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::serving::Clock;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;
use apricotdale_telemetry::Metrics;

use super::freshness::Freshness;
use super::sender::OrderSender;
use super::settler::IntentSettler;
use crate::appender::Appender;
use crate::appender::EpochCell;
use crate::appender::Persistence;
use crate::membership_view::SharedMembership;
use crate::placement::is_stuck;
use crate::replayed::Replayed;

/// Interval at which the intents are checked when no wake signal comes.
const TICK: Duration = Duration::from_millis(200);

/// Time after which a proposed takeover is proposed again.
const REPROPOSE_MS: u64 = 3_000;

/// Called with a load that this process has carried out, and its duration in milliseconds.
pub type LoadHandler = Box<dyn Fn(&IntentView, u64) + Send + Sync>;

/// State and clients that the runner and its workers use.
pub struct RunnerParts {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Ends this process when replay no longer counts it as a member.
    pub end_process: Arc<dyn Fn() + Send + Sync>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Client that sends load and unload orders to engines.
    pub orders: Arc<dyn EngineOrders>,
    /// Client that reads the engines' status and load reports.
    pub reports: Arc<dyn EngineReports>,
    /// Appends takeovers, observations and settlements.
    pub appender: Appender,
    /// Epoch of this process; empty before it has joined.
    pub epoch: Arc<EpochCell>,
    /// Check that the replayed state is current.
    pub freshness: Freshness,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Called after each load that this process has carried out.
    pub loaded: LoadHandler,
    /// Timeout of an order, after which its outcome counts as unknown, in milliseconds.
    pub load_timeout_ms: u64,
    /// Set once this process must send no further orders to engines.
    pub retired: Arc<AtomicBool>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl RunnerParts {
    /// Returns whether replay still counts this process as a member.
    ///
    /// A process that was paused for long, or wrongly listed as gone, finds its departure recorded
    /// by another VM: its intents may be settled by others, and its records and claims no longer
    /// count. It must send no order from then on.
    pub fn is_member(&self) -> bool {
        self.replayed
            .read(|state| state.epoch_of(&self.vm, self.process_id).is_some())
    }

    /// Returns whether this process must send no further orders to engines.
    pub fn retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    pub fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// State of an intent as seen by processes that don't own it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IntentState {
    /// Its owner is expected to settle it.
    Open,
    /// The owner can't settle the intent, or knows less than a process that takes it over now.
    Abandoned,
    /// Everything that can be settled for now is settled.
    Settled,
}

/// Starts a worker for each intent that this process has to act on.
pub struct IntentRunner {
    parts: Arc<RunnerParts>,
    wake: Receiver<()>,
    /// Intents for which a worker was started, each with the record that made this process their
    /// owner. An entry stays until its intent is settled, so that an order is sent at most once.
    started: BTreeSet<(Offset, Offset)>,
    /// Time at which each intent was first seen with its present owner. The key is the intent and
    /// the record that made the owner.
    first_seen_ms: BTreeMap<(Offset, Offset), u64>,
    proposed_ms: BTreeMap<Offset, u64>,
}

impl IntentRunner {
    /// Returns a runner that checks the intents whenever `wake` receives a signal.
    pub fn new(parts: RunnerParts, wake: Receiver<()>) -> Self {
        Self {
            parts: Arc::new(parts),
            wake,
            started: BTreeSet::new(),
            first_seen_ms: BTreeMap::new(),
            proposed_ms: BTreeMap::new(),
        }
    }

    /// Runs until the daemon stops.
    pub fn run(mut self) {
        while !self.parts.stopped() {
            // Disconnection means that the daemon is stopping; the loop condition checks that.
            let _ = self.wake.recv_timeout(TICK);
            self.parts.freshness.tick();
            self.check_intents();
        }
    }

    fn check_intents(&mut self) {
        let Some(epoch) = self.parts.epoch.get() else {
            return;
        };
        if !self.parts.is_member() {
            warn!("replay no longer counts this process as a member");
            return (self.parts.end_process)();
        }
        let intents: Vec<IntentView> = self
            .parts
            .replayed
            .read(|state| state.unsettled().collect());
        let unsettled: BTreeSet<Offset> = intents.iter().map(|intent| intent.intent).collect();
        self.started
            .retain(|(intent, _)| unsettled.contains(intent));
        self.first_seen_ms
            .retain(|(intent, _), _| unsettled.contains(intent));
        self.proposed_ms
            .retain(|intent, _| unsettled.contains(intent));
        for intent in intents {
            match intent.owner.epoch == epoch && !self.wants_newer_take_over(&intent) {
                true if self.parts.retired() => {}
                true => self.start_worker(intent),
                false => self.take_over_if_due(&intent),
            }
        }
    }

    /// Starts a worker for an intent that this process owns.
    fn start_worker(&mut self, intent: IntentView) {
        if !self.started.insert((intent.intent, intent.owner.since)) {
            return;
        }
        let parts = Arc::clone(&self.parts);
        let is_own = intent.owner.since == intent.intent;
        let work: Box<dyn FnOnce() + Send> = match is_own {
            true => Box::new(move || OrderSender { parts, intent }.run()),
            false => Box::new(move || IntentSettler { parts, intent }.run()),
        };
        if let Err(error) = thread::Builder::new().name("intent".into()).spawn(work) {
            // The intent stays in `started`: if the thread has started after all, a second one
            // could send the order again. Another process takes the intent over.
            warn!("starting a thread for an intent failed: {error}");
        }
    }

    /// Proposes to take over an intent that its owner does not settle.
    ///
    /// An abandoned intent is taken over without a timeout: its owner has ended, or it was taken
    /// over before its sender ended. An owner that is only silent may be paused. After the load
    /// timeout its intent is taken over only if it is the result of a takeover, or a load at an
    /// engine that checks fencing tokens; otherwise the original order could still take effect. An
    /// intent that is settled as far as possible is left alone, or two VMs would take it from each
    /// other endlessly.
    fn take_over_if_due(&mut self, intent: &IntentView) {
        let now_ms = self.parts.clock.monotonic_ms();
        let ownership = (intent.intent, intent.owner.since);
        let first_ms = *self.first_seen_ms.entry(ownership).or_insert(now_ms);
        let waited_ms = now_ms.saturating_sub(first_ms);
        let overdue_ms = match self.intent_state(intent) {
            IntentState::Abandoned => Some(waited_ms),
            IntentState::Settled => None,
            IntentState::Open if self.may_bypass_owner(intent) => {
                waited_ms.checked_sub(self.parts.load_timeout_ms)
            }
            IntentState::Open => None,
        };
        let view = self.parts.membership.view();
        let may_propose = overdue_ms.is_some_and(|due_ms| view.may_propose(&intent.intent, due_ms));
        let proposed_at_ms = self.proposed_ms.get(&intent.intent);
        let proposed_recently =
            proposed_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < REPROPOSE_MS);
        if !may_propose || proposed_recently {
            return;
        }
        info!(
            "taking over the intent at {} for {}",
            intent.intent, intent.model
        );
        self.proposed_ms.insert(intent.intent, now_ms);
        let offset = intent.intent;
        self.parts.appender.propose(
            Persistence::Drop,
            move |proposer| {
                ControlRecord::TakeOver(TakeOver {
                    proposer,
                    intent: offset,
                })
            },
            |_| {},
        );
    }

    /// Returns the state of an intent as seen by a process that doesn't own it.
    fn intent_state(&self, intent: &IntentView) -> IntentState {
        self.parts.replayed.read(|state| {
            let replica = state
                .replica(intent.load)
                .filter(|_| intent.kind == IntentKind::Load);
            let sender_ended_at = replica.and_then(|replica| replica.sender_ended_at);
            match replica {
                _ if !state.is_current(intent.owner.epoch) => IntentState::Abandoned,
                _ if sender_ended_at.is_some_and(|since| since > intent.owner.since) => {
                    IntentState::Abandoned
                }
                Some(replica) if is_stuck(replica.stage()) => IntentState::Settled,
                _ => IntentState::Open,
            }
        })
    }

    /// Returns whether the sender ended only after the intent was taken over. That takeover then
    /// proves less than one made now.
    fn wants_newer_take_over(&self, intent: &IntentView) -> bool {
        intent.owner.since > intent.intent && self.intent_state(intent) == IntentState::Abandoned
    }

    fn may_bypass_owner(&self, intent: &IntentView) -> bool {
        intent.owner.since > intent.intent || self.checks_fence(intent)
    }

    fn checks_fence(&self, intent: &IntentView) -> bool {
        intent.kind == IntentKind::Load
            && self.parts.replayed.read(|state| {
                state
                    .engine(&intent.engine)
                    .is_some_and(|engine| engine.checks_fence)
            })
    }
}
