//! Upstreams that broke connections, until it is known whether they have crashed.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;

use crate::reports::Suspect;

/// Pause before the second probe of an upstream that neither answered nor refused the connection: a
/// process that ends resets connections that it had yet to accept. It doubles each time.
const PROBE_PAUSE_MS: u64 = 30;

/// Number of probes of an engine that broke a connection.
const MAX_ENGINE_PROBES: u32 = 5;

/// Number of connection attempts to a plain service's instance that broke a connection.
const MAX_SERVICE_PROBES: u32 = 2;

/// Time after a broken connection in which its upstream's end must be confirmed.
const CONFIRMATION_TIMEOUT_MS: u64 = 10_000;

/// Number of lost requests that are remembered per upstream.
const MAX_SUSPECTS: usize = 256;

/// Probe that is to be sent to an upstream that broke a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamProbe {
    /// Upstream to probe.
    pub upstream: UpstreamName,
    /// Whether it is an engine and can be asked for a load report. Other upstreams are only
    /// connected to.
    pub is_engine: bool,
}

/// Requests that were lost with connections to one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedCrash {
    pub since_ms: u64,
    pub suspects: Vec<Suspect>,
    is_engine: bool,
    probes_sent: u32,
    next_probe_ms: u64,
}

/// Upstreams that broke connections and whose end is not confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedCrashes {
    by_name: BTreeMap<UpstreamName, UnconfirmedCrash>,
}

impl UnconfirmedCrashes {
    pub fn record(&mut self, now_ms: u64, upstream: &UpstreamName, is_engine: bool, it: Suspect) {
        let unconfirmed = self.by_name.entry(upstream.clone());
        let unconfirmed = unconfirmed.or_insert_with(|| UnconfirmedCrash {
            since_ms: now_ms,
            suspects: Vec::new(),
            is_engine,
            probes_sent: 0,
            next_probe_ms: now_ms,
        });
        if unconfirmed.suspects.len() < MAX_SUSPECTS {
            it.add_to(&mut unconfirmed.suspects);
        }
    }

    /// Returns the upstreams to probe now.
    pub fn due(&mut self, now_ms: u64) -> Vec<UpstreamProbe> {
        let unconfirmed = self.by_name.iter_mut();
        unconfirmed
            .filter(|(_, unconfirmed)| unconfirmed.next_probe_ms <= now_ms)
            .map(|(upstream, unconfirmed)| {
                unconfirmed.next_probe_ms = u64::MAX;
                unconfirmed.probes_sent += 1;
                UpstreamProbe {
                    upstream: upstream.clone(),
                    is_engine: unconfirmed.is_engine,
                }
            })
            .collect()
    }

    /// Records that an upstream neither answered nor refused the connection of a probe.
    pub fn record_unanswered(&mut self, now_ms: u64, upstream: &UpstreamName) {
        let Some(unconfirmed) = self.by_name.get_mut(upstream) else {
            return;
        };
        let max_probes = match unconfirmed.is_engine {
            true => MAX_ENGINE_PROBES,
            false => MAX_SERVICE_PROBES,
        };
        if unconfirmed.probes_sent < max_probes {
            let pause_ms = PROBE_PAUSE_MS << unconfirmed.probes_sent.saturating_sub(1);
            unconfirmed.next_probe_ms = now_ms + pause_ms;
        }
    }

    pub fn take(&mut self, upstream: &UpstreamName) -> Option<UnconfirmedCrash> {
        self.by_name.remove(upstream)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.by_name
            .retain(|_, unconfirmed| now_ms < unconfirmed.since_ms + CONFIRMATION_TIMEOUT_MS);
    }

    pub fn next_ms(&self) -> u64 {
        let probes = self
            .by_name
            .values()
            .map(|unconfirmed| unconfirmed.next_probe_ms);
        probes.min().unwrap_or(u64::MAX)
    }
}
