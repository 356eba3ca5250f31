//! Upstreams that broke connections, until it is known whether they have crashed.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;

use crate::crashes::Suspect;

/// Pause before the second probe of an upstream that neither answered nor refused the connection: a
/// process that ends resets connections that it had yet to accept. It doubles each time.
const RECHECK_PAUSE_MS: u64 = 30;

/// Number of probes of an engine that broke a connection.
const ENGINE_RECHECKS: u32 = 5;

/// Number of connection attempts to a plain service's instance that broke a connection.
const SERVICE_RECHECKS: u32 = 2;

/// Time after a broken connection in which its upstream's end must be confirmed.
const UNCONFIRMED_MS: u64 = 10_000;

/// Number of lost requests that are remembered per upstream.
const MAX_SUSPECTS: usize = 256;

/// Probe that is to be sent to an upstream that broke a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recheck {
    /// Upstream to probe.
    pub upstream: UpstreamName,
    /// Whether it is an engine and can be asked for a load report. Other upstreams are only
    /// connected to.
    pub is_engine: bool,
}

/// Requests that were lost with connections to one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    pub since_ms: u64,
    pub suspects: Vec<Suspect>,
    is_engine: bool,
    asked: u32,
    recheck_ms: u64,
}

/// Upstreams that broke connections and whose end is not confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenUpstreams {
    by_name: BTreeMap<UpstreamName, Broken>,
}

impl BrokenUpstreams {
    pub fn note(&mut self, now_ms: u64, upstream: &UpstreamName, is_engine: bool, it: Suspect) {
        let broken = self.by_name.entry(upstream.clone());
        let broken = broken.or_insert_with(|| Broken {
            since_ms: now_ms,
            suspects: Vec::new(),
            is_engine,
            asked: 0,
            recheck_ms: now_ms,
        });
        if broken.suspects.len() < MAX_SUSPECTS {
            it.add_to(&mut broken.suspects);
        }
    }

    /// Returns the upstreams to probe now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Recheck> {
        let broken = self.by_name.iter_mut();
        broken
            .filter(|(_, broken)| broken.recheck_ms <= now_ms)
            .map(|(upstream, broken)| {
                broken.recheck_ms = u64::MAX;
                broken.asked += 1;
                Recheck {
                    upstream: upstream.clone(),
                    is_engine: broken.is_engine,
                }
            })
            .collect()
    }

    /// Records that an upstream neither answered nor refused the connection of a probe.
    pub fn unanswered(&mut self, now_ms: u64, upstream: &UpstreamName) {
        let Some(broken) = self.by_name.get_mut(upstream) else {
            return;
        };
        let most = match broken.is_engine {
            true => ENGINE_RECHECKS,
            false => SERVICE_RECHECKS,
        };
        if broken.asked < most {
            let pause_ms = RECHECK_PAUSE_MS << broken.asked.saturating_sub(1);
            broken.recheck_ms = now_ms + pause_ms;
        }
    }

    pub fn take(&mut self, upstream: &UpstreamName) -> Option<Broken> {
        self.by_name.remove(upstream)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.by_name
            .retain(|_, broken| now_ms < broken.since_ms + UNCONFIRMED_MS);
    }

    pub fn next_ms(&self) -> u64 {
        let rechecks = self.by_name.values().map(|broken| broken.recheck_ms);
        rechecks.min().unwrap_or(u64::MAX)
    }
}
