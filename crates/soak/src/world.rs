//! Platform around the VMs: stand-ins behind proxies, and the injection of faults into them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::OrderFault;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteAdjustments;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteOrganisation;
use apricotdale_standins::platform::StoreFault;
use apricotdale_standins::proxy::LinkFault;
use apricotdale_standins::proxy::Proxy;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::configurations::FIRST_TIMEOUT_MS;
use crate::configurations::WrittenConfiguration;
use crate::engines::DISK_LOAD_MS;
use crate::engines::EngineSlot;
use crate::engines::MEMORY_LOAD_MS;
use crate::engines::engine_options;
use crate::engines::engine_time;
use crate::engines::join_engine;
use crate::fault::Trouble;
use crate::keys::Keys;
use crate::keys::OrganisationChange;
use crate::record::ConfigurationProbe;
use crate::record::Disturbance;
use crate::record::Drain;
use crate::record::EngineTime;
use crate::record::KILL_ALL;
use crate::record::LinkBreak;
use crate::record::PathCutSeen;
use crate::record::Place;
use crate::record::SilenceSeen;
use crate::record::StatedLeaveSeen;
use crate::record::StatedLimitSeen;
use crate::record::StopSeen;
use crate::record::TimeoutSeen;

use crate::vms::StopOutcome;
use crate::vms::Vms;
use crate::workload::MODELS;
use crate::workload::all_models;

/// Time for which the exit of a stopped VM is awaited.
const STOP_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time that the plain service takes for a call, so that some are in progress at each fault.
const SERVICE_WORK_MS: u64 = 40;

/// Number of instances of the plain service.
pub(crate) const SERVICE_INSTANCES: usize = 2;

/// Number of instances of the service that gets calls only if the operators split them.
const SPARE_INSTANCES: usize = 1;

/// Part of the record that is written while faults are injected.
#[derive(Default)]
pub(crate) struct Events {
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    pub engine_times: Vec<EngineTime>,
    pub probes: Vec<ConfigurationProbe>,
    pub probe_ids: Vec<String>,
    pub stops: Vec<StopSeen>,
    pub stated_limits: Vec<StatedLimitSeen>,
    pub stated_leaves: Vec<StatedLeaveSeen>,
    pub path_cuts: Vec<PathCutSeen>,
    pub link_breaks: Vec<LinkBreak>,
    pub silences: Vec<SilenceSeen>,
    pub timeouts: Vec<TimeoutSeen>,
    pub unexpected_exits: Vec<String>,
}

/// Statuses with which upstreams reject requests.
const REJECTIONS: [u16; 2] = [421, 503];

/// Everything around the callers: the VMs, and the platform's stand-ins with the proxies in front
/// of them.
pub(crate) struct World {
    pub(crate) clock: Clock,
    pub vms: Arc<Vms>,
    pub(crate) site: Mutex<Site>,
    pub(crate) engines: Mutex<Vec<EngineSlot>>,
    pub(crate) services: Vec<Proxy>,
    stores: Vec<Proxy>,
    pub keys: Arc<Keys>,
    pub(crate) written: Mutex<WrittenConfiguration>,
    /// Time from which each engine's present rate limit is stated.
    pub limit_starts: Mutex<HashMap<String, u64>>,
    pub events: Mutex<Events>,
}

impl World {
    /// Starts the stand-ins, the proxies and the VMs.
    pub fn start(
        clock: Clock,
        program: std::path::PathBuf,
        vms: usize,
        engines: usize,
    ) -> io::Result<Self> {
        let keys = Arc::new(Keys::new(clock));
        let mut site = Site::start(SiteOptions {
            tenants: Some(SiteOrganisation::list(&keys.organisations())),
            engines: Vec::new(),
            instances: SERVICE_INSTANCES,
            spare_instances: SPARE_INSTANCES,
            work_ms: SERVICE_WORK_MS,
            models: all_models().map(str::to_owned).collect(),
            disk_load_ms: DISK_LOAD_MS,
            memory_load_ms: MEMORY_LOAD_MS,
            has_ranks: true,
            store_endpoints: vms,
            service_crash: None,
            service_limit: None,
            timeout_ms: FIRST_TIMEOUT_MS,
            announces: false,
        })?;
        let mut slots = Vec::new();
        for number in 0..engines {
            let models = [MODELS[0], MODELS[1 + number % (MODELS.len() - 1)]];
            let options = engine_options(format!("i-{number}"), &models);
            slots.push(join_engine(&mut site, options)?);
        }
        let mut services = Vec::new();
        for (service, address) in site.services.iter().zip(&site.service_addresses) {
            let proxy = Proxy::start(*address)?;
            service.announce(proxy.address());
            services.push(proxy);
        }
        let mut stores = Vec::new();
        for endpoint in &site.store_addresses {
            stores.push(Proxy::start(*endpoint)?);
        }
        let addresses: Vec<SocketAddr> = stores.iter().map(Proxy::address).collect();
        let vms = Arc::new(Vms::start(program, addresses)?);
        let engine_times = site
            .engines
            .iter()
            .map(|it| engine_time(it, clock.now_ms()));
        let events = Events {
            engine_times: engine_times.collect(),
            timeouts: vec![TimeoutSeen {
                timeout_ms: FIRST_TIMEOUT_MS,
                written_ms: 0,
                acknowledged_ms: 0,
            }],
            ..Events::default()
        };
        Ok(Self {
            clock,
            vms,
            site: Mutex::new(site),
            engines: Mutex::new(slots),
            services,
            stores,
            keys,
            written: Mutex::new(WrittenConfiguration {
                version: 1,
                route: 1,
                adjustments: SiteAdjustments::default(),
            }),
            limit_starts: Mutex::default(),
            events: Mutex::new(events),
        })
    }

    /// Returns the number of events of a complete stream.
    pub fn stream_events() -> u64 {
        EngineOptions::default().events
    }

    /// Carries out a fault, waits until it has ended, and records what it disturbed.
    pub fn carry_out(&self, trouble: &Trouble) {
        let from_ms = self.clock.now_ms();
        self.apply(trouble);
        let until_ms = self.clock.now_ms();
        if let Some(place) = trouble.place() {
            self.events.lock().disturbances.push(Disturbance {
                what: trouble.as_str().to_owned(),
                place,
                from_ms,
                until_ms,
            });
        }
    }

    fn apply(&self, trouble: &Trouble) {
        match trouble {
            Trouble::Kill { vm, down_ms } => {
                self.vms.kill(*vm);
                pause(*down_ms);
                self.restart_vm(*vm);
            }
            Trouble::KillAll { down_ms } => self.kill_all(*down_ms),
            Trouble::Pause { vm, for_ms } => {
                if self.vms.signal(*vm, Signal::SIGSTOP).is_some() {
                    pause(*for_ms);
                    self.vms.signal(*vm, Signal::SIGCONT);
                }
            }
            Trouble::Stop { vm } => self.stop(*vm),
            Trouble::Reload { vm } => {
                self.vms.signal(*vm, Signal::SIGHUP);
            }
            Trouble::Store { vm, fault, for_ms } => {
                self.set_store_fault(*vm, *fault);
                pause(*for_ms);
                self.set_store_fault(*vm, StoreFault::None);
            }
            Trouble::Forget => self.drop_history(),
            Trouble::SetBack {
                lost_ms,
                away_ms,
                again_ms,
            } => self.roll_back(*lost_ms, *away_ms, *again_ms),
            Trouble::StoreLink { vm, fault, for_ms } => {
                self.stores[*vm].set_fault(*fault);
                pause(*for_ms);
                self.stores[*vm].set_fault(LinkFault::None);
            }
            Trouble::UpstreamLink {
                upstream,
                fault,
                for_ms,
            } => {
                let from_ms = self.clock.now_ms();
                self.with_proxy(*upstream, |proxy| proxy.set_fault(*fault));
                pause(*for_ms);
                self.with_proxy(*upstream, |proxy| proxy.set_fault(LinkFault::None));
                self.record_link_break(*upstream, from_ms);
            }
            Trouble::PathsCut {
                first_vm,
                vms,
                way,
                for_ms,
            } => self.cut_paths(*first_vm, *vms, *way, *for_ms),
            Trouble::Reset { upstream } => {
                let from_ms = self.clock.now_ms();
                self.with_proxy(*upstream, Proxy::reset_open);
                self.record_link_break(*upstream, from_ms);
            }
            Trouble::Silence { vm } => self.stores[*vm].silence_open(),
            Trouble::Answers {
                upstream,
                fault,
                count,
            } => self.queue_answer_faults(*upstream, *fault, *count),
            Trouble::EnginesAnswer { fault, count } => {
                self.queue_engine_faults(*count, |_| *fault);
                if matches!(fault, AnswerFault::CutThen { .. }) {
                    let site = self.site.lock();
                    (0..*count).for_each(|_| site.push_shared_fault(*fault));
                }
            }
            Trouble::CutBefore {
                engine,
                events,
                then,
                count,
            } => self.queue_engine_faults(*count, |number| match number == *engine {
                true => AnswerFault::CutAfter { events: *events },
                false => *then,
            }),
            Trouble::LargeCuts { count } => {
                let engines = self.engines.lock().len();
                for upstream in engines..engines + SERVICE_INSTANCES {
                    self.queue_answer_faults(upstream, AnswerFault::LargeCut, *count);
                }
            }
            Trouble::Orders {
                engine,
                late_ms,
                count,
            } => self.queue_order_faults(*engine, *late_ms, *count),
            Trouble::EngineDies { engine } => self.engine_dies(*engine),
            Trouble::EngineLeaves { engine, notice } => self.engine_leaves(*engine, *notice),
            Trouble::StatedLimit {
                engine,
                milli_per_s,
                for_ms,
            } => self.state_limit(*engine, *milli_per_s, *for_ms),
            Trouble::Release { .. } => self.release(trouble),
            Trouble::StatedLeave {
                engine,
                calls,
                for_ms,
            } => self.state_leave(*engine, *calls, *for_ms),
            Trouble::Rest {
                engine,
                seconds,
                for_ms,
            } => self.rest(*engine, *seconds, *for_ms),
            Trouble::SmallRoom {
                slots,
                max_rejections,
                for_ms,
            } => self.shrink_room(*slots, *max_rejections, *for_ms),
            Trouble::SilentUpstreams { upstreams, for_ms } => self.fall_silent(upstreams, *for_ms),
            Trouble::Adjust(adjustment) => self.adjust(*adjustment),
            Trouble::Configure => self.configure(),
            Trouble::KeyAdded { organisation } => {
                self.change_organisations(OrganisationChange::Add {
                    organisation: *organisation,
                })
            }
            Trouble::KeyTaken { organisation } => {
                self.change_organisations(OrganisationChange::Take {
                    organisation: *organisation,
                })
            }
            // These consist of requests, which the workload sends.
            Trouble::OverLimit { .. } | Trouble::ModelsInTurn { .. } => {}
            Trouble::Limit { rate_per_s } => self.change_organisations(OrganisationChange::Limit {
                rate_per_s: *rate_per_s,
            }),
        }
    }

    fn restart_vm(&self, vm: usize) {
        if let Err(error) = self.vms.restart(vm) {
            let exit = format!("vm{vm} did not start: {error}");
            self.events.lock().unexpected_exits.push(exit);
        }
    }

    fn kill_all(&self, down_ms: u64) {
        let from_ms = self.clock.now_ms();
        for vm in 0..self.vms.len() {
            self.vms.kill(vm);
        }
        pause(down_ms);
        for vm in 0..self.vms.len() {
            self.restart_vm(vm);
        }
        let until_ms = self.clock.now_ms();
        for vm in 0..self.vms.len() {
            self.events.lock().disturbances.push(Disturbance {
                what: KILL_ALL.to_owned(),
                place: Place::Vm(vm),
                from_ms,
                until_ms,
            });
        }
    }

    fn stop(&self, vm: usize) {
        let at_ms = self.clock.now_ms();
        let Some(start) = self.vms.signal(vm, Signal::SIGTERM) else {
            return;
        };
        let ended = match self.vms.wait_for_exit(vm, start, STOP_TIMEOUT) {
            StopOutcome::Ended(code) => Some((self.clock.now_ms(), code)),
            StopOutcome::StillRuns => None,
            StopOutcome::Replaced => return,
        };
        let stop = StopSeen { vm, at_ms, ended };
        self.events.lock().stops.push(stop);
        self.restart_vm(vm);
    }

    fn set_store_fault(&self, vm: Option<usize>, fault: StoreFault) {
        let site = self.site.lock();
        for (index, endpoint) in site.store_endpoints.iter().enumerate() {
            if vm.is_none_or(|vm| vm == index) {
                endpoint.set_fault(fault);
            }
        }
    }

    fn drop_history(&self) {
        self.site.lock().trim_history();
    }

    fn roll_back(&self, lost_ms: u64, away_ms: u64, again_ms: u64) {
        let copy = self.site.lock().store_endpoints[0].snapshot();
        pause(lost_ms);
        self.set_store_fault(None, StoreFault::Busy);
        pause(away_ms);
        self.site.lock().store_endpoints[0].roll_back(copy);
        self.set_store_fault(None, StoreFault::None);
        pause(again_ms);
        self.site.lock().rewrite_entries();
    }

    fn with_proxy(&self, upstream: usize, apply: impl Fn(&Proxy)) {
        let engines = self.engines.lock();
        match engines.get(upstream) {
            Some(slot) => apply(&slot.proxy),
            None => apply(&self.services[(upstream - engines.len()) % SERVICE_INSTANCES]),
        }
    }

    fn queue_answer_faults(&self, upstream: usize, fault: AnswerFault, count: u32) {
        let engines = self.engines.lock();
        let site = self.site.lock();
        for _ in 0..count {
            match engines.get(upstream) {
                Some(slot) => site.engines[slot.index].push_fault(fault),
                None => {
                    site.services[(upstream - engines.len()) % SERVICE_INSTANCES].push_fault(fault)
                }
            }
        }
    }

    /// Makes all upstreams send each rejection once more, before the next answer on its connection.
    pub fn repeat_rejections(&self) {
        self.site.lock().repeat_answers(&REJECTIONS);
    }

    /// Queues a fault for each of the next `count` answers of every engine; `fault` returns that of
    /// the engine with a number.
    fn queue_engine_faults(&self, count: u32, fault: impl Fn(usize) -> AnswerFault) {
        let engines = self.engines.lock().len();
        for number in 0..engines {
            self.queue_answer_faults(number, fault(number), count);
        }
    }

    /// Drops the faults that have not spoiled a continuation yet.
    pub fn clear_shared_faults(&self) {
        self.site.lock().clear_shared_faults();
    }

    fn queue_order_faults(&self, engine: usize, late_ms: Option<u64>, count: u32) {
        let fault = match late_ms {
            Some(after_ms) => OrderFault::Late { after_ms },
            None => OrderFault::LostAnswer,
        };
        let index = self.engines.lock()[engine].index;
        let site = self.site.lock();
        for _ in 0..count {
            site.engines[index].push_order_fault(fault);
        }
    }
}

pub(crate) fn pause(for_ms: u64) {
    thread::sleep(Duration::from_millis(for_ms));
}
