//! Membership, shared by all threads of the daemon.

use std::sync::Arc;

use parking_lot::Mutex;

use apricotdale_core::serving::Clock;
use apricotdale_membership::Membership;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Moment;
use apricotdale_membership::View;

/// Membership logic, locked for use by several threads.
pub struct SharedMembership {
    membership: Mutex<Membership>,
    clock: Arc<dyn Clock>,
}

impl SharedMembership {
    /// Wraps membership for use by several threads.
    pub fn new(membership: Membership, clock: Arc<dyn Clock>) -> Self {
        Self {
            membership: Mutex::new(membership),
            clock,
        }
    }

    /// Returns the present view of the VMs and upstreams.
    pub fn view(&self) -> Arc<View> {
        self.membership.lock().view()
    }

    /// Handles an event and returns the actions to carry out.
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
