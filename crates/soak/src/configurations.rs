//! Configurations that the operators write.

use std::time::Duration;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteAdjustments;
use apricotdale_standins::platform::SiteRequest;

use crate::fault::Adjustment;
use crate::keys::OrganisationChange;
use crate::record::ConfigurationProbe;
use crate::record::TimeoutSeen;
use crate::workload::CALLER_TIMEOUT_MS;
use crate::world::World;

/// Time from the acknowledgement of a configuration to its probes: just after its deadline.
const PROBE_AFTER_MS: u64 = 2_300;

/// Timeout of the routes in the first configuration, in milliseconds.
pub(crate) const FIRST_TIMEOUT_MS: u64 = 2 * CALLER_TIMEOUT_MS;

/// Configuration that the operators wrote last.
pub(crate) struct WrittenConfiguration {
    pub version: u64,
    /// Number of the additional route; each probed configuration replaces it by the next.
    pub route: u64,
    pub adjustments: SiteAdjustments,
}

impl Adjustment {
    fn apply(self, adjustments: &mut SiteAdjustments) {
        match self {
            Self::Timeout(timeout_ms) => adjustments.timeout_ms = Some(timeout_ms),
            Self::Attempts(attempts) => adjustments.attempts = Some(attempts),
            Self::IdleTimeout(timeout_ms) => adjustments.idle_timeout_ms = Some(timeout_ms),
            Self::PlainPercent(percent) => adjustments.plain_percent = Some(percent),
        }
    }
}

impl World {
    /// Writes a configuration with a new route in place of the previous one, and probes both routes
    /// at every VM once the configuration must be in force.
    pub(crate) fn configure(&self) {
        let route = {
            let mut written = self.written.lock();
            written.version += 1;
            written.route += 1;
            let organisations = self.keys.organisations();
            let (version, route) = (written.version, written.route);
            let site = self.site.lock();
            site.configure_organisations(version, route, &organisations);
            route
        };
        let acknowledged_ms = self.clock.now_ms();
        self.clock.wait_until(acknowledged_ms + PROBE_AFTER_MS);
        for vm in 0..self.vms.len() {
            for (probed, exists) in [(route, true), (route - 1, false)] {
                // A newer configuration may have replaced this one meanwhile.
                if self.written.lock().route != route {
                    return;
                }
                let sent_ms = self.clock.now_ms();
                let id = format!("c-{route}-{vm}-{probed}");
                let target = format!("{}x", Site::extra_prefix(probed));
                let request =
                    SiteRequest::new("GET", &target, &id).with_timeout_ms(CALLER_TIMEOUT_MS);
                let (request, _) = self.keys.with_stable_key(&request);
                let status = self.send_probe(vm, &request);
                // Not locked together with the events: `adjust` locks them in the other order.
                let is_newest = self.written.lock().route == route;
                let mut events = self.events.lock();
                events.probe_ids.push(id);
                if status > 0 && is_newest {
                    events.probes.push(ConfigurationProbe {
                        vm,
                        acknowledged_ms,
                        sent_ms,
                        exists,
                        status,
                    });
                }
            }
        }
    }

    /// Writes a configuration with the current route and changed keys or limits.
    pub(crate) fn change_organisations(&self, change: OrganisationChange) {
        let mut written = self.written.lock();
        written.version += 1;
        let (version, route) = (written.version, written.route);
        self.keys.change(change, |organisations| {
            let site = self.site.lock();
            site.configure_organisations(version, route, organisations);
        });
    }

    fn send_probe(&self, vm: usize, request: &SiteRequest) -> u16 {
        let timeout = Duration::from_millis(CALLER_TIMEOUT_MS);
        self.vms
            .caller_address(vm)
            .and_then(|address| Caller::connect(address, timeout).ok())
            .and_then(|mut caller| caller.ask(request).ok())
            .map_or(0, |answer| answer.status())
    }

    /// Writes a configuration with the current route and one changed setting.
    pub(crate) fn adjust(&self, adjustment: Adjustment) {
        let mut written = self.written.lock();
        written.version += 1;
        adjustment.apply(&mut written.adjustments);
        let organisations = self.keys.organisations();
        let written_ms = self.clock.now_ms();
        {
            let site = self.site.lock();
            site.adjust(written.adjustments);
            site.configure_organisations(written.version, written.route, &organisations);
        }
        if let Adjustment::Timeout(timeout_ms) = adjustment {
            self.events.lock().timeouts.push(TimeoutSeen {
                timeout_ms,
                written_ms,
                acknowledged_ms: self.clock.now_ms(),
            });
        }
    }
}
