//! Agreement on whether a request was sent, between its sending and its answering thread.

use std::time::Duration;
use std::time::Instant;

use apricotdale_core::refusal::Ran;
use parking_lot::Condvar;
use parking_lot::Mutex;

/// State of one request that the thread answering the caller shares with the thread sending to
/// the upstream.
///
/// A request that is given up while it is being sent could be reported as not run and still run.
/// Both threads therefore decide under one lock: a request that was given up is not sent, and a
/// request that was sent is no longer reported as not run.
pub(crate) struct SendGate {
    state: Mutex<State>,
    given_up: Condvar,
}

struct State {
    given_up: bool,
    /// Combined outcome of all attempts before the current one.
    earlier: Ran,
    /// Outcome of the current attempt.
    current: Ran,
}

impl SendGate {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                given_up: false,
                earlier: Ran::NotRun,
                current: Ran::NotRun,
            }),
            given_up: Condvar::new(),
        }
    }

    /// Returns whether the request may be sent now. If so, its outcome is unknown from then on.
    pub(crate) fn begin_send(&self) -> bool {
        let mut state = self.state.lock();
        if state.given_up {
            return false;
        }
        state.earlier = combine_outcomes(state.earlier, state.current);
        state.current = Ran::Unknown;
        true
    }

    /// Records the outcome of the current attempt.
    pub(crate) fn record_outcome(&self, ran: Ran) {
        self.state.lock().current = ran;
    }

    /// Returns whether the request ran, over all attempts so far.
    pub(crate) fn ran(&self) -> Ran {
        let state = self.state.lock();
        combine_outcomes(state.earlier, state.current)
    }

    /// Gives the request up, so that it is not sent again, and returns whether it ran.
    pub(crate) fn give_up(&self) -> Ran {
        let mut state = self.state.lock();
        state.given_up = true;
        self.given_up.notify_all();
        combine_outcomes(state.earlier, state.current)
    }

    /// Waits for a duration, or until the request is given up. Returns false if it was given up.
    pub(crate) fn wait_unless_given_up(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        let mut state = self.state.lock();
        while !state.given_up {
            if self.given_up.wait_until(&mut state, deadline).timed_out() {
                break;
            }
        }
        !state.given_up
    }
}

/// Combines the outcomes of two attempts: one that ran outweighs an unknown one, and an unknown
/// one outweighs one that did not run.
fn combine_outcomes(left: Ran, right: Ran) -> Ran {
    match (left, right) {
        (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
    }
}
