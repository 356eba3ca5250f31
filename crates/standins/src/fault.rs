//! Faults that a control call sets, for all later calls or for a number of them.

use serde::Deserialize;

/// Body of `POST /standin/fault` at a stand-in whose faults are modes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct FaultOrder<M> {
    /// Mode of the stand-in from now on.
    pub mode: M,
    /// Number of calls that the mode applies to; absent if it applies until the next order.
    #[serde(default)]
    pub count: Option<u64>,
    /// Delay of each call in a slow mode, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// Present mode of a stand-in. The default mode is the one without a fault.
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

    /// Replaces the mode. An order for zero calls sets the mode without a fault.
    pub fn set(&mut self, order: FaultOrder<M>) {
        self.order = if order.count == Some(0) {
            Self::healthy()
        } else {
            order
        };
        self.generation += 1;
    }

    /// Returns the mode that applies to the next call.
    pub fn mode(&self) -> M {
        self.order.mode
    }

    /// Returns the delay of the mode, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.order.delay_ms
    }

    /// Returns a number that increases each time the mode is set. A call that is held in one mode
    /// compares it to notice the next mode.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Counts one call to which the mode applied. After the last call of the order's count, the
    /// fault ends.
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
