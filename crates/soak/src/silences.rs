//! Silences of sound upstreams, and what breaks connections to single upstreams.

use std::time::Duration;

use apricotdale_standins::platform::PlatformEngine;

use crate::record::LinkBreak;
use crate::record::SilenceSeen;
use crate::world::SERVICE_INSTANCES;
use crate::world::World;
use crate::world::pause;

impl World {
    /// Has upstreams send nothing for a time, even if others replace them meanwhile.
    pub(crate) fn fall_silent(&self, upstreams: &[usize], for_ms: u64) {
        let duration = Duration::from_millis(for_ms);
        let from_ms = self.clock.now_ms();
        for upstream in upstreams {
            let name = {
                let engines = self.engines.lock();
                let site = self.site.lock();
                match engines.get(*upstream) {
                    Some(slot) => {
                        site.engines[slot.index].be_silent(duration);
                        site.engines[slot.index].name().to_owned()
                    }
                    None => {
                        let service =
                            &site.services[(upstream - engines.len()) % SERVICE_INSTANCES];
                        service.be_silent(duration);
                        service.name().to_owned()
                    }
                }
            };
            self.events.lock().silences.push(SilenceSeen {
                upstream: name,
                from_ms,
                until_ms: self.clock.now_ms() + for_ms,
            });
        }
        pause(for_ms);
    }

    /// Records that an engine ends, whose connections break.
    pub(crate) fn record_break(&self, engine: &PlatformEngine, at_ms: u64) {
        self.events.lock().link_breaks.push(LinkBreak {
            upstream: engine.name().to_owned(),
            from_ms: at_ms,
            until_ms: at_ms,
        });
    }

    /// Records that the link to an upstream was disturbed from `from_ms` until now.
    pub(crate) fn record_link_break(&self, upstream: usize, from_ms: u64) {
        let name = {
            let engines = self.engines.lock();
            let site = self.site.lock();
            match engines.get(upstream) {
                Some(slot) => site.engines[slot.index].name().to_owned(),
                None => {
                    let number = (upstream - engines.len()) % SERVICE_INSTANCES;
                    site.services[number].name().to_owned()
                }
            }
        };
        self.events.lock().link_breaks.push(LinkBreak {
            upstream: name,
            from_ms,
            until_ms: self.clock.now_ms(),
        });
    }
}
