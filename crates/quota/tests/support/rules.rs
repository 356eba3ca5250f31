//! Limits of the model's VMs, and how they are counted.

use apricotdale_organisations::Limit;
use apricotdale_quota::Bounds;

/// Limits of organisations, counted in tokens, with a burst of one second.
pub const TOKENS: Rules = Rules {
    bounds: Bounds {
        window_ms: 8_000,
        over: 0.1,
        slack: 110_000.0,
        sustained_share: 0.5,
    },
    burst_s: 1.0,
};

/// Limits that upstreams state, counted in requests, without a burst.
pub const UPSTREAM_REQUESTS: Rules = Rules {
    bounds: Bounds {
        window_ms: 4_000,
        over: 0.5,
        slack: 5.0,
        sustained_share: 0.0,
    },
    burst_s: 0.0,
};

/// How limits are counted and enforced.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub bounds: Bounds,
    /// Burst of each limit, as the time in which its rate yields as much.
    pub burst_s: f64,
}

impl Rules {
    /// Returns the limit of a rate.
    pub fn limit(&self, rate: f64) -> Limit {
        Limit {
            rate_per_s: rate,
            burst: rate * self.burst_s,
        }
    }
}
