//! Faults of the engine that a control call arms.

use serde::Deserialize;

/// Body of `POST /standin/fault` at the engine stand-in. Faults that it does not name stay as they
/// are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct FaultOrder {
    pub(crate) load: Option<LoadFault>,
    pub(crate) answer_lost: Option<OrderKind>,
    pub(crate) hold_orders: Option<bool>,
    pub(crate) cut_stream_after: Option<u64>,
    pub(crate) crossed: Option<bool>,
    pub(crate) slow_factor: Option<f64>,
    pub(crate) restart: Option<bool>,
}

/// Fault of the next load that begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadFault {
    /// The load fails after its weights were fetched.
    Die,
    /// The load stays in progress.
    Hang,
    /// No fault; loads that hang continue.
    Finish,
}

/// Kind of order whose answer can be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    Load,
    Unload,
}

/// Faults that are armed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Fault of the next load.
    pub(crate) load: Option<LoadFault>,
    /// Number of orders so far that made hanging loads continue.
    pub(crate) finishes: u64,
    /// Kind of order whose next answer is lost.
    pub(crate) answer_lost: Option<OrderKind>,
    /// Number of events after which the next stream breaks.
    pub(crate) cut_stream_after: Option<u64>,
    /// Whether the next answer carries another request's identity.
    pub(crate) crossed: bool,
    /// Factor by which prefill, generation and copies are slower; one is normal speed.
    pub(crate) slow_factor: f64,
}

impl Faults {
    /// Returns a state in which no fault is armed.
    pub(crate) fn new() -> Self {
        Self {
            load: None,
            finishes: 0,
            answer_lost: None,
            cut_stream_after: None,
            crossed: false,
            slow_factor: 1.0,
        }
    }

    /// Arms the faults that an order names.
    pub(crate) fn arm(&mut self, order: &FaultOrder) {
        match order.load {
            Some(LoadFault::Finish) => {
                self.load = None;
                self.finishes += 1;
            }
            Some(fault) => self.load = Some(fault),
            None => {}
        }
        self.answer_lost = order.answer_lost.or(self.answer_lost);
        self.cut_stream_after = order.cut_stream_after.or(self.cut_stream_after);
        self.crossed = order.crossed.unwrap_or(self.crossed);
        self.slow_factor = order
            .slow_factor
            .filter(|factor| *factor > 0.0)
            .unwrap_or(self.slow_factor);
    }

    /// Returns whether the answer to an order of this kind is lost, and disarms the fault if so.
    pub(crate) fn loses_answer(&mut self, kind: OrderKind) -> bool {
        let lost = self.answer_lost == Some(kind);
        if lost {
            self.answer_lost = None;
        }
        lost
    }
}
