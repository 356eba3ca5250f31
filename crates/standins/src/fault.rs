//! Faults that a control call sets and that hold for all calls or for the next few.

use serde::Deserialize;

/// `FaultOrder` is the body of `POST /standin/fault` at a stand-in with modes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct FaultOrder<M> {
    /// How the stand-in behaves from now on.
    pub mode: M,
    /// The number of calls that the mode holds for, or none if it holds until it is changed.
    #[serde(default)]
    pub count: Option<u64>,
    /// The delay of each call in a slow mode, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// `FaultSwitch` holds the mode of a stand-in. The default mode is the one without a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultSwitch<M> {
    order: FaultOrder<M>,
    generation: u64,
}

impl<M: Copy + Default> FaultSwitch<M> {
    /// Returns a switch in the mode without a fault.
    pub fn new() -> Self {
        Self {
            order: Self::healthy(),
            generation: 0,
        }
    }

    /// Replaces the mode.
    pub fn set(&mut self, order: FaultOrder<M>) {
        self.order = if order.count == Some(0) {
            Self::healthy()
        } else {
            order
        };
        self.generation += 1;
    }

    /// Returns the mode that the next call meets.
    pub fn mode(&self) -> M {
        self.order.mode
    }

    /// Returns the delay that belongs to the mode, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.order.delay_ms
    }

    /// Returns a number that changes each time the mode is set, so that a call which is held by
    /// one mode notices the next one.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Counts one call that met the mode. After the last call that the mode holds for, the fault
    /// is over.
    pub fn consume(&mut self) {
        match self.order.count {
            None => {}
            Some(count) if count > 1 => self.order.count = Some(count - 1),
            Some(_) => self.order = Self::healthy(),
        }
    }

    fn healthy() -> FaultOrder<M> {
        FaultOrder {
            mode: M::default(),
            count: None,
            delay_ms: 0,
        }
    }
}

impl<M: Copy + Default> Default for FaultSwitch<M> {
    fn default() -> Self {
        Self::new()
    }
}
