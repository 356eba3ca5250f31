//! Sends the order of an accepted intent, at most once.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_core::Error;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::SettledAs;
use apricotdale_core::control::TakeOver;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_core::numbers::FencingToken;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;
use apricotdale_telemetry::OrderKind;
use apricotdale_telemetry::OrderOutcome;

use super::outcome;
use super::runner::RunnerParts;
use crate::appender::Persistence;

/// Freshness checks before an unsent order is abandoned.
const MAX_FRESHNESS_CHECKS: u32 = 10;

/// Pause between two freshness checks.
const FRESHNESS_PAUSE: Duration = Duration::from_millis(500);

/// Worker that sends the order of one intent that this process proposed.
pub struct OrderSender {
    /// State and clients shared by all workers.
    pub parts: Arc<RunnerParts>,
    /// Intent whose order is sent.
    pub intent: IntentView,
}

impl OrderSender {
    /// Sends the order and proposes a record of its outcome.
    pub fn run(self) {
        if !self.await_freshness() {
            return self.settle(SettledAs::Abandoned, None);
        }
        let view = self.parts.membership.view();
        let Some(upstream) = view.upstreams.get(&self.intent.engine) else {
            return self.settle(SettledAs::Abandoned, None);
        };
        let began_ms = self.parts.clock.monotonic_ms();
        let outcome = self.send(upstream.entry.address);
        let took_ms = self.parts.clock.monotonic_ms().saturating_sub(began_ms);
        self.count(&outcome);
        match outcome {
            Ok(status) if self.shows_effect(&status) => {
                info!("{} {} in {took_ms} ms", self.intent.model, self.verb());
                self.settle(SettledAs::Done, Some(&status));
                if self.intent.kind == IntentKind::Load {
                    (self.parts.loaded)(&self.intent, took_ms);
                }
            }
            Ok(_) => self.take_over_own_intent("the engine's answer does not show the effect"),
            Err(error @ (Error::Unknown(_) | Error::Malformed(_))) => {
                self.take_over_own_intent(&error.to_string());
            }
            Err(error) => {
                warn!(
                    "order for {} failed without effect: {error}",
                    self.intent.model
                );
                self.settle(SettledAs::Failed(error.to_string()), None);
            }
        }
    }

    /// Waits until the replayed state is current. Returns whether this process still owns the
    /// intent then.
    fn await_freshness(&self) -> bool {
        for _ in 0..MAX_FRESHNESS_CHECKS {
            if self.parts.freshness.confirm() {
                return self.is_still_owned();
            }
            if self.parts.stopped() {
                return false;
            }
            thread::sleep(FRESHNESS_PAUSE);
        }
        false
    }

    fn is_still_owned(&self) -> bool {
        if self.parts.retired() || !self.parts.is_member() {
            return false;
        }
        self.parts.replayed.read(|state| {
            let mut unsettled = state.unsettled_of(self.intent.owner.epoch);
            unsettled.any(|intent| intent == self.intent)
        })
    }

    fn send(&self, address: std::net::SocketAddr) -> Result<EngineStatus, Error> {
        let model = self.intent.model.clone();
        let fence = FencingToken::from(self.intent.intent);
        let timeout_ms = self.parts.load_timeout_ms;
        match self.intent.kind {
            IntentKind::Unload => {
                let order = UnloadOrder { model, fence };
                self.parts.orders.unload(address, &order, timeout_ms)
            }
            IntentKind::Load => {
                let order = self.load_order(fence);
                let order = order.ok_or_else(|| Error::unavailable("the intent was settled"))?;
                self.parts.orders.load(address, &order, timeout_ms)
            }
        }
    }

    fn load_order(&self, fence: FencingToken) -> Option<LoadOrder> {
        self.parts.replayed.read(|state| {
            let replica = state.replica(self.intent.load)?;
            Some(LoadOrder {
                model: replica.model.clone(),
                base: replica.base.clone(),
                bytes: replica.bytes,
                fence,
            })
        })
    }

    fn shows_effect(&self, status: &EngineStatus) -> bool {
        let residency = outcome::residency(status, &self.intent);
        match self.intent.kind {
            IntentKind::Load => residency == Some(Residency::Loaded),
            IntentKind::Unload => residency.is_none(),
        }
    }

    fn settle(&self, settled: SettledAs, status: Option<&EngineStatus>) {
        let record = outcome::settlement(self.intent.kind, self.intent.intent, settled, status);
        self.parts
            .appender
            .propose(Persistence::Keep, record, |_| {});
    }

    /// Takes over this process's own intent after an order of unknown effect. The record states
    /// that the order will not be sent again; its effect is then read from the engine.
    fn take_over_own_intent(&self, reason: &str) {
        warn!(
            "outcome of the order for {} is unknown: {reason}",
            self.intent.model
        );
        let intent = self.intent.intent;
        self.parts.appender.propose(
            Persistence::Keep,
            move |proposer| ControlRecord::TakeOver(TakeOver { proposer, intent }),
            |_| {},
        );
    }

    fn verb(&self) -> &'static str {
        match self.intent.kind {
            IntentKind::Load => "loaded",
            IntentKind::Unload => "unloaded",
        }
    }

    fn count(&self, outcome: &Result<EngineStatus, Error>) {
        let kind = match self.intent.kind {
            IntentKind::Load => OrderKind::Load,
            IntentKind::Unload => OrderKind::Unload,
        };
        let outcome = match outcome {
            Ok(_) => OrderOutcome::Done,
            Err(Error::StaleFence { .. }) => OrderOutcome::StaleFence,
            Err(Error::Unknown(_) | Error::Malformed(_)) => OrderOutcome::Unknown,
            Err(Error::Unavailable(_)) => OrderOutcome::NotReceived,
            Err(_) => OrderOutcome::Refused,
        };
        self.parts.metrics.node().record_order(kind, outcome);
    }
}
