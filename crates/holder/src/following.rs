//! What orders and reports change in the ledger of an engine.

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
use crate::orders::OrderOutcome;

/// `ReportEffect` is what a report has changed besides the ledger.
#[derive(Debug, Default)]
pub(crate) struct ReportEffect {
    /// A model whose load failed.
    pub failed: Option<ModelName>,
    /// The order that it shows to have ended.
    pub ended: Option<InProgress>,
    /// What to tell the other VMs.
    pub told: Option<PlannerAction>,
}

impl EngineLedger {
    /// Takes in the outcome of an order. Returns what to tell the other VMs.
    pub(crate) fn note_outcome(
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
                self.count_order(now_ms);
                let tier = self.residence.tier(kind.model());
                let configured_ms = expected_ms(&kind, tier);
                let factor = if is_load(&kind) {
                    self.load_factor
                } else {
                    1.0
                };
                self.unconfirmed = None;
                self.in_progress = Some(InProgress {
                    kind,
                    tier,
                    since_ms: now_ms,
                    configured_ms,
                    overdue: false,
                    taken_back: 0,
                    done_ms: now_ms + (configured_ms as f64 * factor) as u64,
                });
                None
            }
            OrderOutcome::DoneAtOnce => {
                self.count_order(now_ms);
                Some(self.note_done(&kind))
            }
            OrderOutcome::AlreadySo => Some(self.note_done(&kind)),
            OrderOutcome::Conflict => {
                self.note_conflict(now_ms, options, kind);
                None
            }
            OrderOutcome::NotSent | OrderOutcome::Unknown | OrderOutcome::Refused => {
                self.next.clear();
                self.ask_again(now_ms + options.report_lag_ms);
                None
            }
            OrderOutcome::StaleFence | OrderOutcome::OtherEngine => {
                self.next.clear();
                self.outranked = true;
                None
            }
        }
    }

    fn count_order(&mut self, now_ms: u64) {
        self.orders_taken = self.orders_taken.map(|taken| taken + 1);
        self.count_since = (self.count_since.0 + 1, now_ms);
    }

    /// An order met another one in progress, or the engine has taken another number of orders. The
    /// first passes, so the order is given again soon; the second is found by a report.
    fn note_conflict(&mut self, now_ms: u64, options: &PlannerOptions, kind: OrderKind) {
        self.conflicts += 1;
        self.hold_until_ms = now_ms + options.conflict_pause_ms;
        self.on_hold = true;
        if self.conflicts >= options.max_conflicts {
            self.conflicts = 0;
            self.next.clear();
            self.ask_again(now_ms);
        } else if kind.is_of_model() {
            self.next.push_front(kind);
        }
    }

    /// Gives no more orders until a report has told what the engine holds.
    fn ask_again(&mut self, at_ms: u64) {
        self.orders_taken = None;
        self.report_due_ms = Some(at_ms);
    }

    /// Takes in a report, or that none could be had.
    ///
    /// What a report shows of the models and adapters lags, its count of orders does not. A report
    /// that was asked for soon after an order was carried out may show the adapters from before
    /// that order with the count from after it. Taken for the truth, it would let the next orders
    /// overcommit the engine, which then crashes. So a report counts only if the count of orders
    /// had been the same for as long as a report can lag; an order that is carried out late changes
    /// the count at a time that nobody knows, and is noticed by that.
    pub(crate) fn note_report(
        &mut self,
        now_ms: u64,
        options: &PlannerOptions,
        report: Option<EngineReport>,
        store_load_ms: impl Fn(&ModelName) -> u64,
    ) -> ReportEffect {
        let asked_ms = self.reading_since_ms.take().unwrap_or(now_ms);
        let Some(report) = report else {
            self.failed_reports += 1;
            let pause_ms = options.report_every_ms << self.failed_reports.min(4);
            self.report_due_ms = Some(now_ms + pause_ms);
            return ReportEffect::default();
        };
        self.failed_reports = 0;
        self.report_due_ms = None;
        if report.orders_taken != self.count_since.0 {
            self.count_since = (report.orders_taken, asked_ms);
        }
        let good_from_ms = self.count_since.1 + options.report_lag_ms;
        let must_know = self.orders_taken.is_none();
        if self.awaiting.is_some() || asked_ms < good_from_ms {
            self.report_due_ms = must_know.then_some(good_from_ms.max(now_ms));
            return ReportEffect::default();
        }
        if report.busy {
            self.orders_taken = None;
            self.report_due_ms = Some(now_ms + options.report_every_ms);
            return ReportEffect {
                told: self.note_still_busy(now_ms, asked_ms, options, &report, store_load_ms),
                ..ReportEffect::default()
            };
        }
        self.orders_taken = Some(report.orders_taken);
        self.unconfirmed = None;
        self.take_residence(&report);
        if !self.coming.is_empty() {
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
            told: None,
        }
    }

    fn take_residence(&mut self, report: &EngineReport) {
        let mut residence = report.residence.clone();
        residence.on_disk.extend(self.residence.on_disk.drain());
        for (model, adapter) in &report.coming {
            residence.record_adapter_loaded(model, adapter);
        }
        self.coming.clone_from(&report.coming);
        self.residence = residence;
    }

    /// Notes that an order is done and returns the news of it.
    pub(crate) fn note_done(&mut self, kind: &OrderKind) -> PlannerAction {
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
                self.note_adapter_use(model, adapter);
                (model, Some(adapter.clone()), true)
            }
            OrderKind::UnloadAdapter { model, adapter } => {
                self.residence.record_adapter_unloaded(model, adapter);
                (model, Some(adapter.clone()), false)
            }
        };
        PlannerAction::Tell(ResidenceNews {
            engine: self.name.clone(),
            model: model.clone(),
            adapter,
            present,
        })
    }
}
