//! The faults that a control call arms.

use serde::Deserialize;

/// `FaultOrder` is the body of `POST /standin/fault` at the engine stand-in. What it does not name
/// stays as it is.
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

/// `LoadFault` is what happens to the next load that begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadFault {
    /// It fails after its weights were fetched.
    Die,
    /// It stays in progress.
    Hang,
    /// Nothing, and the loads that hang go on.
    Finish,
}

/// `OrderKind` is a kind of order whose answer can be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    /// A load.
    Load,
    /// An unload.
    Unload,
}

/// `Faults` are the faults that are armed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// What happens to the next load.
    pub(crate) load: Option<LoadFault>,
    /// Grows each time the loads that hang are let go on.
    pub(crate) finishes: u64,
    /// The kind of order whose next answer is lost.
    pub(crate) answer_lost: Option<OrderKind>,
    /// The events after which the next stream breaks.
    pub(crate) cut_stream_after: Option<u64>,
    /// Whether the next answer carries another request's identity.
    pub(crate) crossed: bool,
    /// By how much everything on the engine is slower.
    pub(crate) slow_factor: f64,
}

impl Faults {
    /// Returns a state without faults.
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

    /// Returns whether the answer to an order of this kind that took effect is lost. Only one is.
    pub(crate) fn loses_answer(&mut self, kind: OrderKind) -> bool {
        let lost = self.answer_lost == Some(kind);
        if lost {
            self.answer_lost = None;
        }
        lost
    }
}
