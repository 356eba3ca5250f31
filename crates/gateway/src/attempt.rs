//! Whether a request has been sent, agreed between the thread that sends and the one that answers.

use std::time::Duration;
use std::time::Instant;

use apricotdale_core::refusal::Ran;
use parking_lot::Condvar;
use parking_lot::Mutex;

/// `Attempt` is shared by the thread that answers the caller and the thread that sends to an
/// upstream.
///
/// A request given up at the very moment at which it is sent could be answered "not run" and run
/// all the same. So both sides settle it under one lock: once given up, nothing is sent any more;
/// once sent, the request is no longer reported as not run.
pub(crate) struct Attempt {
    state: Mutex<State>,
    given_up: Condvar,
}

struct State {
    given_up: bool,
    /// The worst outcome of all earlier tries.
    earlier: Ran,
    /// The outcome of the present try.
    current: Ran,
}

impl Attempt {
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

    /// Returns whether the request may be sent now. From then on it counts as possibly run.
    pub(crate) fn begin_send(&self) -> bool {
        let mut state = self.state.lock();
        if state.given_up {
            return false;
        }
        state.earlier = worse(state.earlier, state.current);
        state.current = Ran::Unknown;
        true
    }

    /// Notes how the present try turned out.
    pub(crate) fn settle(&self, ran: Ran) {
        self.state.lock().current = ran;
    }

    /// Returns whether the request ran, over all tries so far.
    pub(crate) fn ran(&self) -> Ran {
        let state = self.state.lock();
        worse(state.earlier, state.current)
    }

    /// Gives the request up and returns whether it ran.
    pub(crate) fn give_up(&self) -> Ran {
        let mut state = self.state.lock();
        state.given_up = true;
        self.given_up.notify_all();
        worse(state.earlier, state.current)
    }

    /// Waits, and returns whether the request may go on.
    pub(crate) fn pause(&self, time: Duration) -> bool {
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

/// Returns the outcome of two tries taken together.
fn worse(left: Ran, right: Ran) -> Ran {
    match (left, right) {
        (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
    }
}
