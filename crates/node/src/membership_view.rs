//! The membership, shared by all threads of the daemon.

use std::sync::Arc;

use parking_lot::Mutex;

use apricotdale_core::serving::Clock;
use apricotdale_membership::Membership;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Moment;
use apricotdale_membership::View;

/// `SharedMembership` feeds the membership logic and hands out its present view.
pub struct SharedMembership {
    membership: Mutex<Membership>,
    clock: Arc<dyn Clock>,
}

impl SharedMembership {
    /// Returns shared membership.
    pub fn new(membership: Membership, clock: Arc<dyn Clock>) -> Self {
        Self {
            membership: Mutex::new(membership),
            clock,
        }
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<View> {
        self.membership.lock().view()
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&self, event: MembershipEvent) -> Vec<MembershipAction> {
        let now = moment(&*self.clock);
        self.membership.lock().handle(now, event)
    }
}

/// Returns a reading of both clocks.
pub fn moment(clock: &dyn Clock) -> Moment {
    Moment {
        monotonic_ms: clock.monotonic_ms(),
        unix_ms: clock.unix_ms(),
    }
}
