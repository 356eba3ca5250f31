//! The signal by which a sequence learns that it may run or must end.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::engine::effects::RequestState;
use crate::http::Caller;

/// How often a sequence that has nothing to send looks whether its caller is still there.
const CALLER_POLL: Duration = Duration::from_millis(50);

/// `Phase` is how far a sequence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Ended(RequestState),
}

/// `Signal` tells one sequence what the others and the orders mean for it.
#[derive(Debug)]
pub(crate) struct Signal {
    phase: Mutex<Phase>,
    changed: Condvar,
}

impl Signal {
    /// Returns the signal of a sequence that has a slot or waits for one.
    pub(crate) fn new(running: bool) -> Self {
        let phase = if running {
            Phase::Running
        } else {
            Phase::Waiting
        };
        Self {
            phase: Mutex::new(phase),
            changed: Condvar::new(),
        }
    }

    /// Gives the sequence a slot.
    pub(crate) fn run(&self) {
        let mut phase = self.phase.lock();
        if *phase == Phase::Waiting {
            *phase = Phase::Running;
            self.changed.notify_all();
        }
    }

    /// Ends the sequence.
    pub(crate) fn end(&self, state: RequestState) {
        *self.phase.lock() = Phase::Ended(state);
        self.changed.notify_all();
    }

    /// Waits until the sequence has a slot.
    ///
    /// # Errors
    ///
    /// How the sequence ended before that.
    pub(crate) fn wait_for_slot(&self, caller: &Caller) -> Result<(), RequestState> {
        let mut phase = self.phase.lock();
        loop {
            match *phase {
                Phase::Running => return Ok(()),
                Phase::Ended(state) => return Err(state),
                Phase::Waiting if caller.is_gone() => return Err(RequestState::Cancelled),
                Phase::Waiting => self.changed.wait_for(&mut phase, CALLER_POLL),
            };
        }
    }

    /// Waits until a time, while the sequence generates.
    ///
    /// # Errors
    ///
    /// How the sequence ended before that.
    pub(crate) fn wait_until(&self, due: Instant, caller: &Caller) -> Result<(), RequestState> {
        let mut phase = self.phase.lock();
        loop {
            match *phase {
                Phase::Ended(state) => return Err(state),
                _ if caller.is_gone() => return Err(RequestState::Cancelled),
                _ if Instant::now() >= due => return Ok(()),
                _ => {}
            }
            let poll = Instant::now() + CALLER_POLL;
            self.changed.wait_until(&mut phase, due.min(poll));
        }
    }
}
