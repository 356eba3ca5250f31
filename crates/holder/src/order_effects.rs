//! Effects of order outcomes and engine reports on the tracked state of an engine.

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
use crate::orders::OrderOutcome;

/// Effects of a report beyond the state of its engine.
#[derive(Debug, Default)]
pub(crate) struct ReportEffect {
    /// Model whose load has failed.
    pub failed: Option<ModelName>,
    /// Order that the report shows to have ended.
    pub ended: Option<OrderInProgress>,
    /// Update to announce to the other VMs.
    pub update: Option<PlannerAction>,
}

impl EngineLedger {
    /// Applies the outcome of an order. Returns the update to announce to the other VMs.
    pub(crate) fn apply_outcome(
        &mut self,
        now_ms: u64,
        options: &PlannerOptions,
        kind: OrderKind,
        outcome: OrderOutcome,
        expected_ms: impl Fn(&OrderKind, Tier) -> u64,
    ) -> Option<PlannerAction> {
        if outcome != OrderOutcome::Conflict {
            self.conflicts = 0;
        }
        match outcome {
            OrderOutcome::Accepted => {
                self.record_taken_order(now_ms);
                let tier = self.residence.tier(kind.model());
                let configured_ms = expected_ms(&kind, tier);
                let factor = if is_load(&kind) {
                    self.load_factor
                } else {
                    1.0
                };
                self.unconfirmed = None;
                self.in_progress = Some(OrderInProgress {
                    kind,
                    tier,
                    accepted_at_ms: now_ms,
                    configured_ms,
                    overdue: false,
                    times_reverted: 0,
                    expected_done_ms: now_ms + (configured_ms as f64 * factor) as u64,
                });
                None
            }
            OrderOutcome::DoneAtOnce => {
                self.record_taken_order(now_ms);
                Some(self.record_done(&kind))
            }
            OrderOutcome::AlreadySo => Some(self.record_done(&kind)),
            OrderOutcome::Conflict => {
                self.handle_conflict(now_ms, options, kind);
                None
            }
            OrderOutcome::NotSent | OrderOutcome::Unknown | OrderOutcome::Refused => {
                self.next.clear();
                self.require_report(now_ms + options.report_lag_ms);
                None
            }
            OrderOutcome::StaleFence | OrderOutcome::OtherEngine => {
                self.next.clear();
                self.superseded = true;
                None
            }
        }
    }

    fn record_taken_order(&mut self, now_ms: u64) {
        self.orders_taken = self.orders_taken.map(|taken| taken + 1);
        self.order_count_since = (self.order_count_since.0 + 1, now_ms);
    }

    /// Handles a conflict: another order is in progress, or the engine has taken a different number
    /// of orders. The former passes, so the order is retried after a pause; after several conflicts
    /// in a row a report is read, which reveals the latter.
    fn handle_conflict(&mut self, now_ms: u64, options: &PlannerOptions, kind: OrderKind) {
        self.conflicts += 1;
        self.conflict_pause_until_ms = now_ms + options.conflict_pause_ms;
        self.in_conflict_pause = true;
        if self.conflicts >= options.max_conflicts {
            self.conflicts = 0;
            self.next.clear();
            self.require_report(now_ms);
        } else if kind.is_model_order() {
            self.next.push_front(kind);
        }
    }

    /// Blocks further orders until a report has shown what the engine holds.
    fn require_report(&mut self, at_ms: u64) {
        self.orders_taken = None;
        self.report_due_ms = Some(at_ms);
    }

    /// Applies a report; none means that reading the report failed.
    ///
    /// The models and adapters in a report lag behind the engine, but its order count does not. A
    /// report requested soon after an order was carried out may show the adapters from before that
    /// order with the count from after it. Trusting it would let the next orders overcommit the
    /// engine, which then crashes. A report is therefore used only if the order count had been
    /// unchanged for at least the maximum lag. An order that is carried out late changes the count
    /// at an unknown time, and is detected by that change.
    pub(crate) fn apply_report(
        &mut self,
        now_ms: u64,
        options: &PlannerOptions,
        report: Option<EngineReport>,
        store_load_ms: impl Fn(&ModelName) -> u64,
    ) -> ReportEffect {
        let requested_ms = self.report_requested_ms.take().unwrap_or(now_ms);
        let Some(report) = report else {
            self.failed_reports += 1;
            let pause_ms = options.report_interval_ms << self.failed_reports.min(4);
            self.report_due_ms = Some(now_ms + pause_ms);
            return ReportEffect::default();
        };
        self.failed_reports = 0;
        self.report_due_ms = None;
        if report.orders_taken != self.order_count_since.0 {
            self.order_count_since = (report.orders_taken, requested_ms);
        }
        let trusted_from_ms = self.order_count_since.1 + options.report_lag_ms;
        let needs_report = self.orders_taken.is_none();
        if self.unanswered.is_some() || requested_ms < trusted_from_ms {
            self.report_due_ms = needs_report.then_some(trusted_from_ms.max(now_ms));
            return ReportEffect::default();
        }
        if report.busy {
            self.orders_taken = None;
            self.report_due_ms = Some(now_ms + options.report_interval_ms);
            return ReportEffect {
                update: self.handle_busy_report(
                    now_ms,
                    requested_ms,
                    options,
                    &report,
                    store_load_ms,
                ),
                ..ReportEffect::default()
            };
        }
        self.orders_taken = Some(report.orders_taken);
        self.unconfirmed = None;
        self.apply_residence(&report);
        if !self.loading_adapters.is_empty() {
            self.report_due_ms = Some(now_ms + options.report_lag_ms);
        }
        let ended = self.in_progress.take();
        let failed = ended
            .as_ref()
            .map(|order| &order.kind)
            .filter(|kind| is_load(kind) && self.residence.model(kind.model()).is_none())
            .map(|kind| kind.model().clone());
        if failed.is_some() {
            self.next.clear();
        }
        ReportEffect {
            failed,
            ended,
            update: None,
        }
    }

    fn apply_residence(&mut self, report: &EngineReport) {
        let mut residence = report.residence.clone();
        residence.on_disk.extend(self.residence.on_disk.drain());
        for (model, adapter) in &report.coming {
            residence.record_adapter_loaded(model, adapter);
        }
        self.loading_adapters.clone_from(&report.coming);
        self.residence = residence;
    }

    /// Records that an order is done, and returns the update to announce.
    pub(crate) fn record_done(&mut self, kind: &OrderKind) -> PlannerAction {
        let (model, adapter, present) = match kind {
            OrderKind::LoadModel(model) => {
                self.residence.record_loaded(model);
                (model, None, true)
            }
            OrderKind::UnloadModel(model) => {
                self.residence.record_unloaded(model);
                (model, None, false)
            }
            OrderKind::LoadAdapter { model, adapter } => {
                self.residence.record_adapter_loaded(model, adapter);
                self.record_adapter_use(model, adapter);
                (model, Some(adapter.clone()), true)
            }
            OrderKind::UnloadAdapter { model, adapter } => {
                self.residence.record_adapter_unloaded(model, adapter);
                (model, Some(adapter.clone()), false)
            }
        };
        PlannerAction::Announce(ResidenceUpdate {
            engine: self.name.clone(),
            model: model.clone(),
            adapter,
            present,
        })
    }
}
