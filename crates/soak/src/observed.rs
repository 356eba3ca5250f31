//! What upstreams saw of the VMs.

use std::net::IpAddr;

use apricotdale_standins::platform::EngineEffects;
use apricotdale_standins::platform::SiteRequest;

use crate::keys::KEY_MARK;
use crate::load_invariants::ResidenceSeen;
use crate::record::ArrivalSeen;
use crate::record::Run;
use crate::rest_invariants::RestSeen;
use crate::vms::vm_address;
use crate::workload::LAST_EVENT_HEADER;
use crate::workload::last_event;
use crate::world::World;

impl World {
    /// Returns the executions of requests at all upstreams. `sent` returns the request that callers
    /// sent under an ID.
    pub fn runs(&self, sent: impl Fn(&str) -> Option<SiteRequest>) -> Vec<Run> {
        let site = self.site.lock();
        let engines = site.engines.iter().map(|it| (it.name(), it.runs()));
        let services = site.services.iter().map(|it| (it.name(), it.runs()));
        let mut runs = Vec::new();
        for (upstream, seen) in engines.chain(services) {
            for run in seen {
                let unchanged = sent(&run.id).is_none_or(|ask| {
                    ask.method == run.method && ask.target == run.target && ask.body == run.body
                });
                runs.push(Run {
                    organisations: run.organisations(),
                    shows_key: run.holds(KEY_MARK),
                    at_ms: self.clock.at_ms(run.at),
                    after_event: last_event(run.header(LAST_EVENT_HEADER)),
                    fault: run.fault,
                    id: run.id,
                    upstream: upstream.to_owned(),
                    unchanged,
                });
            }
        }
        runs
    }

    /// Returns the effects of orders on each engine, by the engine's name.
    pub fn effects(&self) -> Vec<(String, EngineEffects)> {
        let site = self.site.lock();
        let engines = site.engines.iter();
        engines
            .map(|engine| (engine.name().to_owned(), engine.effects()))
            .collect()
    }

    /// Returns the times for which engines listed models as loaded.
    pub fn residences(&self) -> Vec<ResidenceSeen> {
        let site = self.site.lock();
        let mut residences = Vec::new();
        for engine in &site.engines {
            residences.extend(engine.residences().into_iter().map(|it| ResidenceSeen {
                upstream: engine.name().to_owned(),
                model: it.model,
                ordered_ms: self.clock.at_ms(it.ordered),
                from_ms: self.clock.at_ms(it.from),
                until_ms: it.until.map(|until| self.clock.at_ms(until)),
            }));
        }
        residences
    }

    /// Returns when engines accepted orders, and from which lease holder, in order of time.
    pub fn order_times(&self) -> Vec<(u64, String)> {
        let site = self.site.lock();
        let orders = site.engines.iter().flat_map(|it| it.order_times());
        let mut orders: Vec<(u64, String)> = orders
            .map(|(at, holder)| (self.clock.at_ms(at), holder))
            .collect();
        orders.sort();
        orders
    }

    /// Returns the requests of callers that reached engines, with the VM that each came from.
    pub fn arrivals(&self) -> Vec<ArrivalSeen> {
        let site = self.site.lock();
        let mut arrivals = Vec::new();
        for engine in &site.engines {
            let requests = engine.arrivals().into_iter().filter(|it| !it.id.is_empty());
            arrivals.extend(requests.map(|it| ArrivalSeen {
                upstream: engine.name().to_owned(),
                vm: self.vm_at(it.from),
                at_ms: self.clock.at_ms(it.at),
                is_misdirected: it.is_misdirected,
                id: it.id,
            }));
        }
        arrivals
    }

    /// Returns the answers by which engines asked for rest, with the VM that each went to.
    pub fn rests(&self) -> Vec<RestSeen> {
        let site = self.site.lock();
        let mut rests = Vec::new();
        for engine in &site.engines {
            rests.extend(engine.rest_answers().into_iter().map(|it| RestSeen {
                upstream: engine.name().to_owned(),
                vm: self.vm_at(it.from),
                at_ms: self.clock.at_ms(it.at),
                rest_ms: it.seconds * 1_000,
                id: it.id,
            }));
        }
        rests
    }

    /// Returns the VM with an address.
    pub(crate) fn vm_at(&self, address: Option<IpAddr>) -> Option<usize> {
        (0..self.vms.len()).find(|vm| Some(vm_address(*vm)) == address)
    }
}
