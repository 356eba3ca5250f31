//! Whether it is known what upstreams state on rejections, on a VM that has started.
//!
//! Until then each upstream has at most one request in progress, whose answer shows what it states:
//! a limit may be in force that others know, and only one VM's requests are counted here.

use std::collections::BTreeSet;

use apricotdale_core::names::UpstreamName;

/// Upstreams whose statements are known to this VM, and those that are being asked.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    /// Whether everything that upstreams have stated is known.
    pub is_complete: bool,
    confirmed: BTreeSet<UpstreamName>,
    /// Upstreams with a request in progress whose answer shows what they state.
    awaited: BTreeSet<UpstreamName>,
}

impl Confirmations {
    /// Returns whether it is known what an upstream states.
    pub fn is_confirmed(&self, upstream: &UpstreamName) -> bool {
        self.is_complete || self.confirmed.contains(upstream)
    }

    /// Returns whether the answer of an upstream is awaited.
    pub fn is_awaited(&self, upstream: &UpstreamName) -> bool {
        self.awaited.contains(upstream)
    }

    /// Records that an upstream is sent a request whose answer shows what it states.
    pub fn begin(&mut self, upstream: &UpstreamName) {
        if !self.is_confirmed(upstream) {
            self.awaited.insert(upstream.clone());
        }
    }

    /// Records that such a request is no longer in progress. Returns whether it was, and nothing is
    /// known.
    pub fn end(&mut self, upstream: &UpstreamName) -> bool {
        self.awaited.remove(upstream)
    }

    /// Records that it is known what an upstream states.
    pub fn confirm(&mut self, upstream: &UpstreamName) {
        self.awaited.remove(upstream);
        if !self.is_complete && !self.confirmed.contains(upstream) {
            self.confirmed.insert(upstream.clone());
        }
    }

    /// Records that everything is known.
    pub fn complete(&mut self) {
        *self = Self {
            is_complete: true,
            ..Self::default()
        };
    }

    /// Drops an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.confirmed.remove(upstream);
        self.awaited.remove(upstream);
    }
}
