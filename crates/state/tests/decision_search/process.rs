//! Model of a daemon process that follows the protocol of the control stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::control::Observation;
use apricotdale_core::control::SettledAs;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;

use apricotdale_state::ControlState;
use apricotdale_state::replicas::Progress;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;

use crate::engine::Order;

/// Outcome of an intent as the process knows it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub kind: IntentKind,
    pub settled_as: SettledAs,
    pub reading: Option<(u64, u64)>,
}

/// One daemon process.
#[derive(Clone, Debug)]
pub struct Process {
    pub vm: String,
    pub process_id: u64,
    pub sequence: u64,
    pub state: ControlState,
    /// Loads that the process has prepared or abandoned, so that it sends none of them twice.
    pub handled_loads: BTreeSet<Offset>,
    /// Orders that are ready to be sent after the last check; a pause may delay them by any time.
    pub ready_to_send: Vec<(usize, Order)>,
    /// Offsets of the intents whose orders were sent and not answered yet.
    pub awaiting_answer: BTreeSet<Offset>,
    /// Outcomes that the process knows and has not seen settled yet.
    pub outcomes: BTreeMap<Offset, Outcome>,
    /// Statuses that the process has read and not appended yet.
    pub statuses: Vec<Observation>,
}

impl Process {
    pub fn new(vm: String, process_id: u64, state: ControlState) -> Self {
        Self {
            vm,
            process_id,
            sequence: 0,
            state,
            handled_loads: BTreeSet::new(),
            ready_to_send: Vec::new(),
            awaiting_answer: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            statuses: Vec::new(),
        }
    }

    pub fn epoch(&self) -> Option<Epoch> {
        self.state
            .epoch_of(&self.vm.as_str().into(), self.process_id)
    }

    /// Returns the process's own accepted loads that it has neither prepared nor abandoned.
    pub fn startable_loads(&self) -> Vec<Offset> {
        let Some(epoch) = self.epoch() else {
            return Vec::new();
        };
        let own = self.state.replicas().filter(|replica| {
            replica.sender == epoch
                && replica.progress == Progress::Ordered
                && !self.handled_loads.contains(&replica.load)
        });
        own.map(|replica| replica.load).collect()
    }

    /// Returns the intents that the process may take over. Its own loads are included only if it
    /// has no order for them that is ready to be sent or awaits an answer.
    pub fn intents_to_take_over(&self) -> Vec<IntentView> {
        let Some(epoch) = self.epoch() else {
            return Vec::new();
        };
        let is_trying = |intent: &IntentView| {
            intent.kind == IntentKind::Load
                && intent.sender == epoch
                && (self.awaiting_answer.contains(&intent.intent)
                    || self
                        .ready_to_send
                        .iter()
                        .any(|(_, order)| order.intent == intent.intent))
        };
        self.state
            .unsettled()
            .filter(|intent| !is_trying(intent))
            .collect()
    }

    /// Returns the intents that the process has taken over and can query the engine about.
    pub fn intents_to_resolve(&self) -> Vec<IntentView> {
        let Some(epoch) = self.epoch() else {
            return Vec::new();
        };
        let owned = self.state.unsettled_of(epoch);
        owned
            .filter(|intent| intent.owner.since != intent.intent)
            .collect()
    }

    /// Returns the unloads that the process owns and may order.
    pub fn intents_to_unload(&self) -> Vec<IntentView> {
        let Some(epoch) = self.epoch() else {
            return Vec::new();
        };
        let owned = self.state.unsettled_of(epoch);
        owned
            .filter(|intent| intent.kind == IntentKind::Unload)
            .collect()
    }

    pub fn boot_of(reading: Option<(u64, u64)>) -> Option<BootId> {
        reading.map(|(boot, _)| BootId(boot))
    }
}
