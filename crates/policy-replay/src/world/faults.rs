//! Injection of faults into the simulation.

use apricotdale_core::policy::RoutingEvent;

use crate::case::Fault;
use crate::case::SLOW_STORE_FACTOR;
use crate::fleet::Phase;
use crate::world::RequestState;
use crate::world::World;
use crate::world::service_replica;

impl World<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::StoreSlow => self.store_speed(SLOW_STORE_FACTOR),
            Fault::StoreUsual => self.store_speed(1.0),
            Fault::ZoneGone => self.zone_gone(),
            Fault::ZoneUnlisted => self.zone_unlisted(),
            Fault::ZoneBack => self.zone_back(),
            Fault::LogDown => self.log_is_up = false,
            Fault::LogUp => self.log_up(),
            Fault::Restart => self.restart(),
        }
    }

    fn store_speed(&mut self, factor: f64) {
        self.store.slow_down(self.now_ms, factor);
        self.schedule_store_end();
    }

    fn in_lost_zone(&self) -> Vec<usize> {
        let lost = &self.deployment.zones[0];
        (0..self.engines.len())
            .filter(|engine| self.engines[*engine].zone == *lost)
            .collect()
    }

    fn zone_gone(&mut self) {
        for engine in self.in_lost_zone() {
            let lost = self.engines[engine].stop_and_clear();
            for ticket in lost {
                self.handle_lost_engine(ticket);
            }
            for load in self.engines[engine].replicas.iter().map(|held| held.load) {
                self.store.abort(self.now_ms, load);
            }
            self.schedule_store_end();
        }
    }

    fn zone_unlisted(&mut self) {
        for engine in self.in_lost_zone() {
            self.engines[engine].listed = false;
            let gone = std::mem::take(&mut self.engines[engine].replicas);
            self.record_idle_memory(engine);
            let upstream = self.engines[engine].name.clone();
            self.policies.engines.learn(
                self.now_ms,
                RoutingEvent::Removed {
                    upstream: upstream.clone(),
                },
            );
            self.policies
                .instances
                .learn(self.now_ms, RoutingEvent::Removed { upstream });
            for replica in gone {
                self.announce_capacity(replica.model);
            }
        }
        self.plan_no_later_than(self.now_ms);
    }

    fn zone_back(&mut self) {
        let service = self.trace.models.len();
        for engine in self.in_lost_zone() {
            let back = &mut self.engines[engine];
            back.alive = true;
            back.listed = true;
            if engine >= self.deployment.engines.count {
                back.replicas.push(service_replica(service));
            }
            self.record_idle_memory(engine);
        }
        self.announce_capacity(service);
    }

    fn log_up(&mut self) {
        self.log_is_up = true;
        // Loads that ended while the log was down are settled now.
        let ended: Vec<usize> = self.unsettled.drain(..).collect();
        for load in ended {
            self.settle(load);
        }
        self.plan_no_later_than(self.now_ms);
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.policies = self
            .set
            .build()
            .expect("these names were valid at the start");
        self.started.fill(0);
        self.announced.fill(None);
        self.tick_ms = None;
        let waiting: Vec<u64> = self.waiting.iter().flatten().copied().collect();
        for ticket in waiting {
            debug_assert_eq!(self.requests[ticket as usize].state, RequestState::Waiting);
            self.admit(ticket);
        }
        for engine in 0..self.engines.len() {
            let loaded: Vec<usize> = self.engines[engine]
                .replicas
                .iter()
                .filter(|replica| replica.phase == Phase::Loaded)
                .map(|replica| replica.model)
                .collect();
            for model in loaded {
                self.announce_capacity(model);
            }
        }
        self.plan_no_later_than(self.now_ms);
    }
}
