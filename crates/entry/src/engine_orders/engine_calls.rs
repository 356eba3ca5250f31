//! Calls to engines for orders and reports, and the handling of their outcomes.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::Tier;
use apricotdale_fleet::check_start;
use apricotdale_holder::EngineReport;
use apricotdale_holder::Order;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;

use super::ORDER_TIMEOUT_MS;
use super::REPORT_TIMEOUT_MS;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::clock::unix_ms;
use crate::codec::DecodeError;
use crate::daemon::Daemon;
use crate::outbound::Peer;

impl Daemon {
    pub(super) fn send_order(
        &mut self,
        engine: UpstreamName,
        kind: OrderKind,
        orders_before: u64,
        tier: Option<Tier>,
    ) {
        let fence = self.engine_orders.lease.fence(self.now_ms);
        let upstream = self.wakeful(&engine);
        let (Some(fence), Some(upstream)) = (fence, upstream) else {
            self.report_order_outcome(&engine, OrderOutcome::NotSent);
            return;
        };
        let address = upstream.address;
        let instance = upstream.instance.clone();
        self.engine_orders.lease.note_order(self.now_ms);
        log::info!(
            engine = engine.to_string(), order = kind.as_str(), model = kind.model().to_string(),
            source = tier.map_or("", Tier::as_str), fence, orders_before;
            "order sent to engine"
        );
        let order = Order {
            engine: engine.clone(),
            instance,
            address,
            kind: kind.clone(),
            holder: self.settings.vm.clone(),
            fence,
            orders_before,
        };
        let bytes = self.codecs.engines.order(&order);
        let peer = Peer::Upstream(engine.clone());
        self.call_directly(
            peer,
            address,
            CallTag::Order(engine, kind),
            &bytes,
            ORDER_TIMEOUT_MS,
        );
    }

    pub(super) fn read_report(&mut self, engine: UpstreamName) {
        let Some(upstream) = self.wakeful(&engine) else {
            self.report_ended(&engine, CallOutcome::NotSent);
            return;
        };
        let address = upstream.address;
        let bytes = self.codecs.engines.report(&upstream.instance);
        let peer = Peer::Upstream(engine.clone());
        self.call(
            peer,
            address,
            CallTag::Report(engine),
            &bytes,
            REPORT_TIMEOUT_MS,
        );
    }

    /// Handles the outcome of an order.
    pub(crate) fn order_ended(
        &mut self,
        engine: &UpstreamName,
        kind: &OrderKind,
        outcome: CallOutcome,
    ) {
        let outcome = match outcome {
            CallOutcome::Answered { status, body } => {
                self.codecs.engines.order_answer(kind, status, &body)
            }
            CallOutcome::NotSent => OrderOutcome::NotSent,
            CallOutcome::RolledBack | CallOutcome::Unknown => OrderOutcome::Unknown,
        };
        self.metrics.order(kind.as_str(), outcome.as_str());
        log::info!(
            engine = engine.to_string(), order = kind.as_str(), outcome = outcome.as_str();
            "order ended"
        );
        self.report_order_outcome(engine, outcome);
        if outcome == OrderOutcome::StaleFence {
            self.engine_orders.lease.record_superseded(self.now_ms);
            self.update_fence();
        }
    }

    fn report_order_outcome(&mut self, engine: &UpstreamName, outcome: OrderOutcome) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        for planner in self.engine_orders.planners.values_mut() {
            actions.extend(planner.order_ended(now_ms, engine, outcome));
        }
        self.engine_orders.next_plan_ms = now_ms;
        self.execute_actions(actions);
    }

    /// Handles an engine's rejection of a request because it does not hold the model.
    pub(crate) fn handle_missing_model(&mut self, engine: &UpstreamName, model: &ModelName) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        for planner in self.engine_orders.planners.values_mut() {
            actions.extend(planner.record_rejection(now_ms, engine, model));
        }
        if !actions.is_empty() {
            log::info!(
                engine = engine.to_string(), model = model.to_string();
                "load not done when expected"
            );
            self.engine_orders.next_plan_ms = now_ms;
            self.execute_actions(actions);
        }
    }

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the answer is no report, or states a start in the future.
    pub(crate) fn decode_report(
        &self,
        status: u16,
        body: &[u8],
    ) -> Result<EngineReport, DecodeError> {
        let report = self.codecs.engines.report_answer(status, body)?;
        check_start(report.born_ms, unix_ms())
            .map_err(|error| DecodeError::new(error.to_string()))?;
        Ok(report)
    }

    /// Returns whether a report comes from a later incarnation of the engine than the one
    /// addressed.
    fn is_from_later_incarnation(&self, engine: &UpstreamName, report: &EngineReport) -> bool {
        self.directory
            .upstream(engine)
            .is_some_and(|known| known.born_ms > 0 && report.born_ms > known.born_ms)
    }

    /// Handles a restart that an engine's report reveals before the upstream list does. The state
    /// known of the former incarnation would lead to wrong orders, since none of it is loaded any
    /// more.
    fn handle_engine_restart(&mut self, former: &UpstreamName, report: EngineReport) {
        let Some(instance) = self
            .directory
            .upstream(former)
            .map(|it| it.instance.clone())
        else {
            return;
        };
        self.directory.set_read_position(Position::default());
        let change = self
            .directory
            .record_restart(former, report.born_ms, report.residence);
        if matches!(change, DirectoryChange::Restarted { .. }) {
            if let Some(incarnation) = self.directory.current_incarnation(&instance).cloned() {
                self.store_pollers.queue_arrival(incarnation);
            }
            self.stop_sending_to(former, "restarted");
            self.announce_list_read();
            self.engine_orders.next_plan_ms = self.now_ms;
        }
    }

    /// Handles the outcome of reading an engine's report.
    pub(crate) fn report_ended(&mut self, engine: &UpstreamName, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let report = match outcome {
            CallOutcome::Answered { status, body } => match self.decode_report(status, &body) {
                Ok(report) if self.is_from_later_incarnation(engine, &report) => {
                    self.handle_engine_restart(engine, report);
                    return;
                }
                Ok(report) => Some(report),
                Err(error) => {
                    log::warn!(
                        engine = engine.to_string(), reason = error.detail;
                        "engine report can't be decoded"
                    );
                    None
                }
            },
            _ => None,
        };
        let mut actions = Vec::new();
        for planner in self.engine_orders.planners.values_mut() {
            actions.extend(planner.report_ended(now_ms, engine, report.clone()));
        }
        self.engine_orders.next_plan_ms = now_ms;
        self.execute_actions(actions);
    }
}
