//! Upstreams that state how many requests they may reject, and lose room.

use apricotdale_standins::platform::RoomOptions;
use apricotdale_standins::platform::RoomRejection;

use crate::room_invariants::RejectionSeen;
use crate::room_invariants::RoomFailureSeen;
use crate::world::World;
use crate::world::pause;

/// Slots that the upstreams state.
const STATED_SLOTS: usize = 8;

/// Time after the first statement from which upstreams may have less room.
pub(crate) const ROOM_NOTICE_MS: u64 = 3_000;

/// Time between two updates of engines that have joined meanwhile.
const UPDATE_MS: u64 = 100;

impl World {
    /// Has all upstreams, also those that join, state a limit on rejections for a time, and lose room
    /// after a notice.
    pub(crate) fn shrink_room(&self, slots: usize, max_rejections: usize, for_ms: u64) {
        let room = |slots| RoomOptions {
            stated_slots: STATED_SLOTS,
            slots,
            max_rejections,
            down: None,
        };
        let limit = max_rejections.to_string();
        let mut passed_ms = 0;
        while passed_ms < for_ms {
            let slots = match passed_ms < ROOM_NOTICE_MS {
                true => STATED_SLOTS,
                false => slots,
            };
            let site = self.site.lock();
            for engine in &site.engines {
                engine.set_rejection_limit(Some(&limit));
                engine.set_room(Some(room(slots)));
            }
            for service in &site.services {
                service.set_rejection_limit(Some(&limit));
                service.set_room(Some(room(slots)));
            }
            drop(site);
            pause(UPDATE_MS);
            passed_ms += UPDATE_MS;
        }
        let site = self.site.lock();
        for engine in &site.engines {
            engine.set_rejection_limit(None);
            engine.set_room(None);
        }
        for service in &site.services {
            service.set_rejection_limit(None);
            service.set_room(None);
        }
    }

    /// Has the engines of the start run a number of requests at once, and state that.
    pub(crate) fn limit_slots(&self, slots: usize) {
        for engine in &self.site.lock().engines {
            engine.set_room(Some(RoomOptions {
                stated_slots: slots,
                slots,
                max_rejections: usize::MAX,
                down: None,
            }));
            engine.announce(None);
        }
    }

    /// Returns the failures of upstreams under what they had to reject.
    pub(crate) fn room_failures(&self) -> Vec<RoomFailureSeen> {
        let site = self.site.lock();
        let engines = site.engines.iter();
        let of_engines = engines.map(|it| ("llm", it.name().to_owned(), it.failures()));
        let services = site.services.iter();
        let of_services = services.map(|it| (it.service(), it.name().to_owned(), it.failures()));
        let mut seen = Vec::new();
        for (service, upstream, failures) in of_engines.chain(of_services) {
            seen.extend(failures.into_iter().map(|failure| RoomFailureSeen {
                service: service.to_owned(),
                upstream: upstream.clone(),
                at_ms: self.clock.at_ms(failure.at),
                rejected: self.rejections_seen(failure.rejected),
            }));
        }
        seen
    }

    fn rejections_seen(&self, rejected: Vec<RoomRejection>) -> Vec<RejectionSeen> {
        let rejected = rejected.into_iter().map(|it| RejectionSeen {
            vm: self.vm_at(it.from),
            id: it.id,
        });
        rejected.collect()
    }
}
