//! Loads that are taken as done before a report has confirmed it.
//!
//! A load from an engine's own copies is taken as done when the configured time is over, because a
//! report lags by a third of that time and requests wait. Engines differ in speed, though: one that
//! loads more slowly turns the waiting requests away, and they come again and again while every VM
//! is told that the model is there. So the first such answer takes the claim back and shows how
//! long the engine really takes. Loads from the weight store take seconds, longer still while
//! others run beside them; they are taken as done only when a report says so.

use apricotdale_core::names::ModelName;
use apricotdale_fleet::Tier;

use crate::actions::PlannerAction;
use crate::actions::ResidenceNews;
use crate::ledger::EngineLedger;
use crate::ledger::InProgress;
use crate::ledger::is_load;
use crate::options::PlannerOptions;
use crate::orders::EngineReport;
use crate::orders::OrderKind;
use crate::store_limit::StoreLimit;
use crate::store_limit::is_overdue;

/// The first step by which a load that is not done is expected later, as a part of its configured
/// time. It doubles with each further one: after each wrong estimate all waiting requests are sent
/// in vain.
const LATER_SHARE: f64 = 0.1;

/// The slowest that an engine is taken to be. In a longer load the copy was gone, and the weights
/// come from the weight store.
const MOST_LOAD_FACTOR: f64 = 2.0;

/// How long after its expected end a load may still be taken back. Later the model was there.
const UNCONFIRMED_MS: u64 = 1_000;

/// The time between two reports on a load from the weight store that should be done, as a part of
/// the time it should have taken.
const OVERDUE_LOOK_SHARE: f64 = 0.05;

impl EngineLedger {
    /// Returns whether the order in progress ends by a report only.
    pub(crate) fn awaits_report(&self) -> bool {
        self.in_progress
            .as_ref()
            .is_some_and(|order| is_load(&order.kind) && order.tier == Tier::Store)
    }

    /// Has the report read of an engine whose load from the weight store should be done.
    pub(crate) fn look_for_end_if_due(
        &mut self,
        now_ms: u64,
        options: &PlannerOptions,
        store_limit: &mut StoreLimit,
    ) {
        let is_reached = self.is_reached();
        let Some(order) = self.in_progress.as_mut().filter(|it| it.done_ms <= now_ms) else {
            return;
        };
        let took_ms = now_ms.saturating_sub(order.since_ms);
        // A load that was lost with its engine says nothing of the store.
        if is_reached && !order.overdue && is_overdue(took_ms, order.configured_ms) {
            order.overdue = true;
            store_limit.note_overdue();
        }
        let pause_ms = (took_ms as f64 * OVERDUE_LOOK_SHARE) as u64;
        order.done_ms = now_ms + pause_ms.max(options.report_every_ms);
        self.report_due_ms = Some(now_ms);
    }

    /// Notes that an order is taken as done though no report has said so.
    pub(crate) fn note_unconfirmed(&mut self, order: InProgress) {
        self.unconfirmed = is_load(&order.kind).then_some(order);
    }

    /// Takes in that the engine turned a request for a model away. Returns what to tell the other
    /// VMs if its load had been taken as done.
    pub(crate) fn note_turned_away(
        &mut self,
        now_ms: u64,
        kind: &OrderKind,
        store_load_ms: u64,
    ) -> Option<PlannerAction> {
        let is_fresh =
            |order: &InProgress| order.kind == *kind && now_ms <= order.done_ms + UNCONFIRMED_MS;
        if self.in_progress.is_some() || self.awaiting.is_some() {
            return None;
        }
        let order = self.unconfirmed.take_if(|order| is_fresh(order))?;
        Some(self.take_back(now_ms, order, store_load_ms))
    }

    /// Takes in a report that shows an order in progress. Returns what to tell the other VMs if the
    /// engine is still about a load that had been taken as done.
    pub(crate) fn note_still_busy(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        options: &PlannerOptions,
        report: &EngineReport,
        store_load_ms: impl Fn(&ModelName) -> u64,
    ) -> Option<PlannerAction> {
        let is_late = |order: &InProgress| {
            asked_ms >= order.done_ms + options.report_lag_ms
                && report.residence.model(order.kind.model()).is_none()
        };
        if self.in_progress.is_some() || self.awaiting.is_some() {
            return None;
        }
        let order = self.unconfirmed.take_if(|order| is_late(order))?;
        let store_load_ms = store_load_ms(order.kind.model());
        Some(self.take_back(now_ms, order, store_load_ms))
    }

    fn take_back(&mut self, now_ms: u64, order: InProgress, store_load_ms: u64) -> PlannerAction {
        let model = order.kind.model().clone();
        let configured_ms = order.configured_ms.max(1) as f64;
        let took_ms = now_ms.saturating_sub(order.since_ms) as f64;
        let later_share = LATER_SHARE * f64::from(1_u32 << order.taken_back.min(4));
        let factor = took_ms / configured_ms + later_share;
        self.residence.record_unloaded(&model);
        self.in_progress = Some(match factor <= MOST_LOAD_FACTOR {
            true => {
                self.load_factor = self.load_factor.max(factor);
                InProgress {
                    done_ms: now_ms + (configured_ms * later_share).ceil() as u64,
                    taken_back: order.taken_back + 1,
                    ..order
                }
            }
            false => {
                self.residence.record_uncached(&model);
                InProgress {
                    tier: Tier::Store,
                    configured_ms: store_load_ms,
                    done_ms: order.since_ms + store_load_ms,
                    ..order
                }
            }
        });
        PlannerAction::Tell(ResidenceNews {
            engine: self.name.clone(),
            model,
            adapter: None,
            present: false,
        })
    }
}
