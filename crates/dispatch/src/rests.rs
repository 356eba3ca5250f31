//! Rests that upstreams ask for, as the dispatcher's callers record and read them.

use apricotdale_core::names::UpstreamName;

use crate::dispatcher::Dispatcher;

impl Dispatcher {
    /// Records that an upstream wants no request from this VM for some time. Returns the end of the
    /// rest if it is a new one: of several statements the one that ends last counts.
    pub fn record_rest(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        rest_ms: u64,
    ) -> Option<u64> {
        self.availability.record_rest(now_ms, upstream, rest_ms)
    }

    /// Returns whether an upstream is in the rest that it has asked for.
    pub fn is_resting(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        self.availability.is_resting(now_ms, upstream)
    }

    /// Records that an upstream accepted a request that was sent at `sent_ms`. After a rest it gets
    /// more requests as it accepts them.
    pub fn accepted(&mut self, upstream: &UpstreamName, sent_ms: u64) {
        self.availability.accepted(upstream, sent_ms);
    }

    /// Returns when requests may next be sent that are held back by a rest; `None` if there is no
    /// such time.
    pub fn next_rest_change_ms(&self, now_ms: u64) -> Option<u64> {
        self.availability.next_change_ms(now_ms)
    }

    /// Returns the number of upstreams that are in a rest.
    pub fn resting(&self, now_ms: u64) -> usize {
        self.availability.resting(now_ms)
    }
}
