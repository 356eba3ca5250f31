//! Finds the intents on which this process has to act.

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
use crate::placing::is_stuck;
use crate::replayed::Replayed;

/// How often the intents are looked at when nothing happens.
const TICK: Duration = Duration::from_millis(200);

/// How long after a takeover was proposed it is proposed again.
const REPROPOSE_MS: u64 = 3_000;

/// Called with a load that this process has carried out, and how long it took.
pub type Loaded = Box<dyn Fn(&IntentView, u64) + Send + Sync>;

/// `RunnerParts` is what the runner and its workers work with.
pub struct RunnerParts {
    /// This VM.
    pub vm: VmName,
    /// This process.
    pub process_id: u64,
    /// Ends this process because others have taken it for over.
    pub give_up: Arc<dyn Fn() + Send + Sync>,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Orders to engines.
    pub orders: Arc<dyn EngineOrders>,
    /// What engines report.
    pub reports: Arc<dyn EngineReports>,
    /// Appends the outcomes.
    pub appender: Appender,
    /// The epoch of this process.
    pub epoch: Arc<EpochCell>,
    /// Whether the process may act on what it believes.
    pub freshness: Freshness,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Called after each load.
    pub loaded: Loaded,
    /// How long an order may take until its outcome counts as unknown.
    pub load_timeout_ms: u64,
    /// Set once this process sends no further orders.
    pub retired: Arc<AtomicBool>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl RunnerParts {
    /// Returns whether replay still counts this process as a member.
    ///
    /// A process that stood still for long, or was wrongly listed as gone, finds that others have
    /// noted its end: its intents are free to be settled, and its records and claims no longer
    /// count. It must send no order from then on.
    pub fn is_member(&self) -> bool {
        self.replayed
            .read(|state| state.epoch_of(&self.vm, self.process_id).is_some())
    }

    /// Returns whether this process sends no further orders.
    pub fn retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Returns whether the daemon stops.
    pub fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// `Standing` is how an intent stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Its owner is expected to settle it.
    Open,
    /// Its owner can't settle it, or not as far as another could now.
    Abandoned,
    /// It is settled as far as it can be for now.
    Settled,
}

/// `IntentRunner` starts a worker for each intent on which this process has to act.
pub struct IntentRunner {
    parts: Arc<RunnerParts>,
    wake: Receiver<()>,
    /// Intents, with the record that made this process their owner, on which a worker was started.
    /// An order is sent at most once because its intent is never taken out of here while it is
    /// unsettled.
    started: BTreeSet<(Offset, Offset)>,
    /// When each intent was first seen with its present owner, by the intent and the record that
    /// made the owner.
    first_seen_ms: BTreeMap<(Offset, Offset), u64>,
    proposed_ms: BTreeMap<Offset, u64>,
}

impl IntentRunner {
    /// Returns a runner that is woken by the given receiver.
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
            // A disconnected sender means that the daemon is going down; the flag tells.
            let _ = self.wake.recv_timeout(TICK);
            self.parts.freshness.tick();
            self.look();
        }
    }

    fn look(&mut self) {
        let Some(epoch) = self.parts.epoch.get() else {
            return;
        };
        if !self.parts.is_member() {
            warn!("replay no longer counts this process as a member");
            return (self.parts.give_up)();
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
                true => self.act(intent),
                false => self.consider_take_over(&intent),
            }
        }
    }

    /// Starts a worker for an intent that this process owns.
    fn act(&mut self, intent: IntentView) {
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
            // The intent stays in `started`: had the thread half started, a second one could send
            // the order again. Others take the intent over.
            warn!("no thread for an intent: {error}");
        }
    }

    /// Takes over an intent that its owner does not settle.
    ///
    /// An owner that is over, or a takeover that came before its sender's end, leaves it at once. An
    /// owner that only stays silent may be paused: what a takeover has begun may be gone on with,
    /// and so may a load at an engine that checks fencing numbers; else the intent is left alone,
    /// because its order could still take effect. What was settled as far as it can be is left alone
    /// as well, or two VMs would take it from each other for ever.
    fn consider_take_over(&mut self, intent: &IntentView) {
        let now_ms = self.parts.clock.monotonic_ms();
        let ownership = (intent.intent, intent.owner.since);
        let first_ms = *self.first_seen_ms.entry(ownership).or_insert(now_ms);
        let waited_ms = now_ms.saturating_sub(first_ms);
        let is_due = match self.standing(intent) {
            Standing::Abandoned => Some(waited_ms),
            Standing::Settled => None,
            Standing::Open if self.may_pass_by_owner(intent) => {
                waited_ms.checked_sub(self.parts.load_timeout_ms)
            }
            Standing::Open => None,
        };
        let view = self.parts.membership.view();
        let may = is_due.is_some_and(|due_ms| view.may_propose(&intent.intent, due_ms));
        let recently = self.proposed_ms.get(&intent.intent);
        let recently = recently.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < REPROPOSE_MS);
        if !may || recently {
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

    /// Returns how an intent stands, as far as others than its owner are concerned.
    fn standing(&self, intent: &IntentView) -> Standing {
        self.parts.replayed.read(|state| {
            let replica = state
                .replica(intent.load)
                .filter(|_| intent.kind == IntentKind::Load);
            let sender_ended_at = replica.and_then(|replica| replica.sender_ended_at);
            match replica {
                _ if !state.is_current(intent.owner.epoch) => Standing::Abandoned,
                _ if sender_ended_at.is_some_and(|since| since > intent.owner.since) => {
                    Standing::Abandoned
                }
                Some(replica) if is_stuck(replica.stage()) => Standing::Settled,
                _ => Standing::Open,
            }
        })
    }

    /// Returns whether the sender came to its end only after the intent was taken over. The takeover
    /// then proves less than one made now.
    fn wants_newer_take_over(&self, intent: &IntentView) -> bool {
        intent.owner.since > intent.intent && self.standing(intent) == Standing::Abandoned
    }

    fn may_pass_by_owner(&self, intent: &IntentView) -> bool {
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
