//! Signal between the engine and the thread that runs a request's sequence in the batch: it gives
//! the sequence a slot or ends it.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::engine::effects::RequestState;
use crate::http::Caller;

/// Interval at which a sequence with nothing to send checks whether its caller is connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Ended(RequestState),
}

/// Signal by which other threads give a sequence a slot or end it.
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

    /// Gives the sequence a slot if it waits for one.
    pub(crate) fn grant_slot(&self) {
        let mut phase = self.phase.lock();
        if *phase == Phase::Waiting {
            *phase = Phase::Running;
            self.changed.notify_all();
        }
    }

    /// Ends the sequence in the given state.
    pub(crate) fn end(&self, state: RequestState) {
        *self.phase.lock() = Phase::Ended(state);
        self.changed.notify_all();
    }

    /// Waits until the sequence has a slot.
    ///
    /// # Errors
    ///
    /// The state in which the sequence ended before that.
    pub(crate) fn wait_for_slot(&self, caller: &Caller) -> Result<(), RequestState> {
        let mut phase = self.phase.lock();
        loop {
            match *phase {
                Phase::Running => return Ok(()),
                Phase::Ended(state) => return Err(state),
                Phase::Waiting if caller.is_disconnected() => return Err(RequestState::Cancelled),
                Phase::Waiting => self.changed.wait_for(&mut phase, CALLER_POLL_INTERVAL),
            };
        }
    }

    /// Waits until a time at which the sequence's next output is due.
    ///
    /// # Errors
    ///
    /// The state in which the sequence ended before that.
    pub(crate) fn wait_until(&self, due: Instant, caller: &Caller) -> Result<(), RequestState> {
        let mut phase = self.phase.lock();
        loop {
            match *phase {
                Phase::Ended(state) => return Err(state),
                _ if caller.is_disconnected() => return Err(RequestState::Cancelled),
                _ if Instant::now() >= due => return Ok(()),
                _ => {}
            }
            let poll = Instant::now() + CALLER_POLL_INTERVAL;
            self.changed.wait_until(&mut phase, due.min(poll));
        }
    }
}
