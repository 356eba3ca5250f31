//! Loads that count as done before a report has confirmed them.
//!
//! A load from an engine's cached weights counts as done after its configured duration, because
//! reports lag by a third of that time and requests wait. Some engines load more slowly, though.
//! Such an engine rejects the waiting requests, and they are retried repeatedly while all VMs
//! assume that the model is loaded. The first rejection therefore reverts the load to in progress,
//! and shows how long the engine really takes. Loads from the weight store take seconds, and longer
//! with others in progress; they count as done only when a report says so.

use apricotdale_core::names::ModelName;
use apricotdale_fleet::Tier;

use crate::actions::PlannerAction;
use crate::actions::ResidenceUpdate;
use crate::engine_ledger::EngineLedger;
use crate::engine_ledger::OrderInProgress;
use crate::engine_ledger::is_load;
use crate::options::PlannerOptions;
use crate::orders::EngineReport;
use crate::orders::OrderKind;
use crate::store_load_limit::StoreLoadLimit;
use crate::store_load_limit::is_overdue;

/// First extension of a reverted load, as a share of its configured duration. It doubles with each
/// further one, because after each wrong estimate all waiting requests are sent and rejected.
const EXTENSION_SHARE: f64 = 0.1;

/// Upper limit of an engine's load factor. If a load takes longer, the cached weights are assumed
/// to be gone, and the engine to load from the weight store.
const MAX_LOAD_FACTOR: f64 = 2.0;

/// How long after its expected end a rejection may revert a load. After that, the model was loaded
/// and the rejection has another cause.
const REVERT_WINDOW_MS: u64 = 1_000;

/// Interval between report reads for a load from the weight store that should have ended, as a
/// share of the time since the load began.
const OVERDUE_PROBE_SHARE: f64 = 0.05;

impl EngineLedger {
    /// Returns whether the order in progress counts as done only when a report says so.
    pub(crate) fn awaits_report(&self) -> bool {
        self.in_progress
            .as_ref()
            .is_some_and(|order| is_load(&order.kind) && order.tier == Tier::Store)
    }

    /// Schedules a report read if a load from the weight store should have ended by now.
    pub(crate) fn probe_store_load_if_due(
        &mut self,
        now_ms: u64,
        options: &PlannerOptions,
        store_load_limit: &mut StoreLoadLimit,
    ) {
        let is_reachable = self.is_reachable();
        let Some(order) = self
            .in_progress
            .as_mut()
            .filter(|it| it.expected_done_ms <= now_ms)
        else {
            return;
        };
        let took_ms = now_ms.saturating_sub(order.accepted_at_ms);
        // A load that was lost with its engine says nothing about the speed of the store.
        if is_reachable && !order.overdue && is_overdue(took_ms, order.configured_ms) {
            order.overdue = true;
            store_load_limit.record_overdue_load();
        }
        let pause_ms = (took_ms as f64 * OVERDUE_PROBE_SHARE) as u64;
        order.expected_done_ms = now_ms + pause_ms.max(options.report_interval_ms);
        self.report_due_ms = Some(now_ms);
    }

    /// Records that an order counts as done although no report has confirmed it.
    pub(crate) fn record_unconfirmed(&mut self, order: OrderInProgress) {
        self.unconfirmed = is_load(&order.kind).then_some(order);
    }

    /// Handles the engine's rejection of a request because the model is not loaded. Returns the
    /// update to announce if the load had counted as done.
    pub(crate) fn record_rejection(
        &mut self,
        now_ms: u64,
        kind: &OrderKind,
        store_load_ms: u64,
    ) -> Option<PlannerAction> {
        let is_fresh = |order: &OrderInProgress| {
            order.kind == *kind && now_ms <= order.expected_done_ms + REVERT_WINDOW_MS
        };
        if self.in_progress.is_some() || self.unanswered.is_some() {
            return None;
        }
        let order = self.unconfirmed.take_if(|order| is_fresh(order))?;
        Some(self.revert_load(now_ms, order, store_load_ms))
    }

    /// Handles a report that shows an order in progress. Returns the update to announce if the
    /// engine is still carrying out a load that had counted as done.
    pub(crate) fn handle_busy_report(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        options: &PlannerOptions,
        report: &EngineReport,
        store_load_ms: impl Fn(&ModelName) -> u64,
    ) -> Option<PlannerAction> {
        let is_still_loading = |order: &OrderInProgress| {
            requested_ms >= order.expected_done_ms + options.report_lag_ms
                && report.residence.model(order.kind.model()).is_none()
        };
        if self.in_progress.is_some() || self.unanswered.is_some() {
            return None;
        }
        let order = self.unconfirmed.take_if(|order| is_still_loading(order))?;
        let store_load_ms = store_load_ms(order.kind.model());
        Some(self.revert_load(now_ms, order, store_load_ms))
    }

    /// Returns a load to in progress, with a later expected end.
    fn revert_load(
        &mut self,
        now_ms: u64,
        order: OrderInProgress,
        store_load_ms: u64,
    ) -> PlannerAction {
        let model = order.kind.model().clone();
        let configured_ms = order.configured_ms.max(1) as f64;
        let took_ms = now_ms.saturating_sub(order.accepted_at_ms) as f64;
        let extension_share = EXTENSION_SHARE * f64::from(1_u32 << order.times_reverted.min(4));
        let factor = took_ms / configured_ms + extension_share;
        self.residence.record_unloaded(&model);
        self.in_progress = Some(match factor <= MAX_LOAD_FACTOR {
            true => {
                self.load_factor = self.load_factor.max(factor);
                OrderInProgress {
                    expected_done_ms: now_ms + (configured_ms * extension_share).ceil() as u64,
                    times_reverted: order.times_reverted + 1,
                    ..order
                }
            }
            false => {
                self.residence.record_uncached(&model);
                OrderInProgress {
                    tier: Tier::Store,
                    configured_ms: store_load_ms,
                    expected_done_ms: order.accepted_at_ms + store_load_ms,
                    ..order
                }
            }
        });
        PlannerAction::Announce(ResidenceUpdate {
            engine: self.name.clone(),
            model,
            adapter: None,
            present: false,
        })
    }
}
