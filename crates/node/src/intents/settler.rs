//! Settles an intent that was taken over, by the status of its engine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::warn;

use apricotdale_core::control::SettledAs;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::Residency;
use apricotdale_core::numbers::FencingToken;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;

use super::outcome;
use super::outcome::EngineLocation;
use super::runner::RunnerParts;
use crate::appender::Persistence;

/// Pause between two reads of an engine that is busy with the order or can't be reached.
const READ_PAUSE: Duration = Duration::from_millis(250);

/// Worker that settles one intent that this process took over.
pub struct IntentSettler {
    /// State and clients shared by all workers.
    pub parts: Arc<RunnerParts>,
    /// Intent that is settled.
    pub intent: IntentView,
}

impl IntentSettler {
    /// Reads the engine's status until the intent can be settled, has been settled by another
    /// record, or belongs to another process.
    pub fn run(self) {
        while self.is_still_owned() && !self.parts.stopped() {
            let Some(status) = self.read() else {
                thread::sleep(READ_PAUSE);
                continue;
            };
            let Some(outcome) = self.outcome(&status) else {
                thread::sleep(READ_PAUSE);
                continue;
            };
            return self.settle(outcome, status);
        }
    }

    fn is_still_owned(&self) -> bool {
        self.parts.replayed.read(|state| {
            let mut unsettled = state.unsettled_of(self.intent.owner.epoch);
            unsettled.any(|intent| {
                intent.intent == self.intent.intent && intent.owner.since == self.intent.owner.since
            })
        })
    }

    /// Raises the engine's fence to the takeover's fencing token, so that an engine which checks
    /// tokens refuses an order that is still on its way. Returns the engine's status after that.
    fn read(&self) -> Option<EngineStatus> {
        let view = self.parts.membership.view();
        let address = view.upstreams.get(&self.intent.engine)?.entry.address;
        let fence = FencingToken::from(self.intent.owner.since);
        match self.parts.orders.raise_fence(address, fence) {
            Ok(status) => Some(status),
            Err(error) => {
                warn!(
                    "raising the fence of {} failed: {error}",
                    self.intent.engine
                );
                self.parts.reports.status(address).ok()
            }
        }
    }

    fn outcome(&self, status: &EngineStatus) -> Option<SettledAs> {
        let residency = outcome::residency(status, &self.intent);
        match (self.intent.kind, residency) {
            (IntentKind::Load, Some(Residency::Loaded)) => Some(SettledAs::Done),
            (IntentKind::Load, None) => Some(SettledAs::Failed("the engine lacks it".into())),
            (IntentKind::Unload, None) => Some(SettledAs::Done),
            (IntentKind::Unload, Some(Residency::Loaded)) => {
                Some(SettledAs::Failed("the engine still holds it".into()))
            }
            (_, Some(Residency::Loading | Residency::Unloading)) => None,
        }
    }

    fn settle(&self, outcome: SettledAs, status: EngineStatus) {
        let record =
            outcome::settlement(self.intent.kind, self.intent.intent, outcome, Some(&status));
        // Replay accepts a settlement of an engine's boot only after an observation of that boot.
        if let Some(location) = self.engine_location() {
            let observation = outcome::observation(location, status);
            self.parts
                .appender
                .propose(Persistence::Keep, observation, |_| {});
        }
        self.parts
            .appender
            .propose(Persistence::Keep, record, |_| {});
    }

    fn engine_location(&self) -> Option<EngineLocation> {
        let view = self.parts.membership.view();
        let entry = &view.upstreams.get(&self.intent.engine)?.entry;
        Some(EngineLocation {
            engine: self.intent.engine.clone(),
            group: entry.group.clone(),
            zone: entry.zone.clone(),
        })
    }
}
