//! The platform around the VMs, and the troubles.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Ask;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::CrashTrigger;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::OrderFault;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::StoreFault;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::asking::MODELS;
use crate::asking::PATIENCE_MS;
use crate::clock::Clock;
use crate::plan::CRASH_MARKS;
use crate::plan::Trouble;
use crate::proxy::LinkFault;
use crate::proxy::Proxy;
use crate::record::ConfigurationProbe;
use crate::record::Crash;
use crate::record::Disturbance;
use crate::record::Drain;
use crate::record::Place;
use crate::record::Run;
use crate::record::StopSeen;
use crate::vms::StopEnd;
use crate::vms::Vms;

/// How long the entry of a dead engine stays: three of its heartbeats.
const LAPSE_MS: u64 = 1_500;

/// How long an engine goes on after it said that it leaves: long enough that a request which comes too
/// late is served and seen.
const LEAVE_MS: u64 = 5_000;

/// When a changed configuration is asked for: a little after it must be in force.
const PROBE_AFTER_MS: u64 = 2_300;

/// How long a planned stop is waited for.
const STOP_PATIENCE: Duration = Duration::from_millis(10_000);

/// How long the plain service works on a call, so that some are in progress at each trouble.
const WORK_MS: u64 = 40;

/// The time between two events of a stream, for the same reason.
const GAP_MS: u64 = 20;

/// How long a request runs under which an engine ends, before its first event or before the end.
const CRASH_MS: u64 = 60;

/// Events that some of these requests get before.
const CRASH_EVENTS: u64 = 3;

/// How often engines are looked at whether they have ended by themselves.
const MEND_LOOK_MS: u64 = 10;

/// Instances of the plain service.
const INSTANCES: usize = 2;

/// An engine with the proxy through which the VMs reach it.
struct EngineSlot {
    /// Its index in the site.
    index: usize,
    proxy: Arc<Proxy>,
    /// Whether its engine has ended and another is about to take its place.
    is_down: bool,
}

/// Takes a slot whose engine ends now, unless it has ended already.
fn take_down(engines: &mut [EngineSlot], number: usize) -> Option<(usize, Arc<Proxy>)> {
    let slot = engines.get_mut(number).filter(|slot| !slot.is_down)?;
    slot.is_down = true;
    Some((slot.index, slot.proxy.clone()))
}

/// What happened, as the troubles tell it.
#[derive(Default)]
pub(crate) struct Events {
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    pub probes: Vec<ConfigurationProbe>,
    pub probe_ids: Vec<String>,
    pub stops: Vec<StopSeen>,
    pub own_ends: Vec<String>,
}

/// `World` is the platform's stand-ins with proxies in front of them.
pub(crate) struct World {
    clock: Clock,
    pub vms: Arc<Vms>,
    site: Mutex<Site>,
    engines: Mutex<Vec<EngineSlot>>,
    services: Vec<Proxy>,
    stores: Vec<Proxy>,
    /// The version in force and the number of the route that it added.
    version: Mutex<u64>,
    pub events: Mutex<Events>,
}

/// Returns what an engine of the soak is like.
fn engine_options(name: String, models: &[&str]) -> EngineOptions {
    let crash = |mark: &str, after_events| CrashTrigger {
        marker: mark.as_bytes().to_vec(),
        after_events,
        after_ms: CRASH_MS,
    };
    let [at_once, late] = CRASH_MARKS;
    EngineOptions {
        instance: name,
        models: models.iter().map(ToString::to_string).collect(),
        on_disk: MODELS.iter().map(ToString::to_string).collect(),
        gap_ms: GAP_MS,
        // The first that matches counts.
        crashes: vec![crash(late, CRASH_EVENTS), crash(at_once, 0)],
        ..EngineOptions::default()
    }
}

impl World {
    /// Starts the stand-ins, the proxies and the VMs.
    pub fn start(
        clock: Clock,
        program: std::path::PathBuf,
        vms: usize,
        engines: usize,
    ) -> io::Result<Self> {
        let mut site = Site::start(SiteOptions {
            engines: Vec::new(),
            instances: INSTANCES,
            work_ms: WORK_MS,
            models: MODELS.iter().map(ToString::to_string).collect(),
            doors: vms,
            service_crash: None,
            timeout_ms: 2 * PATIENCE_MS,
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
        for door in &site.door_addresses {
            stores.push(Proxy::start(*door)?);
        }
        let addresses: Vec<SocketAddr> = stores.iter().map(Proxy::address).collect();
        let vms = Arc::new(Vms::start(program, addresses)?);
        Ok(Self {
            clock,
            vms,
            site: Mutex::new(site),
            engines: Mutex::new(slots),
            services,
            stores,
            version: Mutex::new(1),
            events: Mutex::default(),
        })
    }

    /// Returns how many events a whole stream has.
    pub fn stream_events() -> u64 {
        EngineOptions::default().events
    }

    /// Carries a trouble out and returns when it is over.
    pub fn carry_out(&self, trouble: &Trouble) {
        let from_ms = self.clock.now_ms();
        let place = match trouble {
            Trouble::Kill { vm, .. } | Trouble::Pause { vm, .. } | Trouble::Stop { vm } => {
                Some(Place::Vm(*vm))
            }
            // Told by itself for each VM.
            Trouble::KillAll { .. } => None,
            // A VM that reads its settings again owes everything.
            Trouble::Reload { .. } | Trouble::Configure => None,
            Trouble::Store { .. }
            | Trouble::Forget
            | Trouble::StoreLink { .. }
            | Trouble::Silence { .. } => Some(Place::Store),
            _ => Some(Place::Upstreams),
        };
        self.act(trouble);
        let until_ms = self.clock.now_ms();
        if let Some(place) = place {
            self.events.lock().disturbances.push(Disturbance {
                what: name(trouble).to_owned(),
                place,
                from_ms,
                until_ms,
            });
        }
    }

    fn act(&self, trouble: &Trouble) {
        match trouble {
            Trouble::Kill { vm, down_ms } => {
                self.vms.kill(*vm);
                pause(*down_ms);
                self.start_again(*vm);
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
                self.fault_doors(*vm, *fault);
                pause(*for_ms);
                self.fault_doors(*vm, StoreFault::None);
            }
            Trouble::Forget => self.forget(),
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
                self.with_proxy(*upstream, |proxy| proxy.set_fault(*fault));
                pause(*for_ms);
                self.with_proxy(*upstream, |proxy| proxy.set_fault(LinkFault::None));
            }
            Trouble::Reset { upstream } => self.with_proxy(*upstream, Proxy::reset_open),
            Trouble::Silence { vm } => self.stores[*vm].silence_open(),
            Trouble::Answers {
                upstream,
                fault,
                count,
            } => self.spoil_answers(*upstream, *fault, *count),
            Trouble::Orders {
                engine,
                late_ms,
                count,
            } => self.spoil_orders(*engine, *late_ms, *count),
            Trouble::EngineDies { engine } => self.engine_dies(*engine),
            Trouble::EngineLeaves { engine, notice } => self.engine_leaves(*engine, *notice),
            Trouble::Configure => self.configure(),
        }
    }

    /// Starts engines again that ended by themselves, until the soak ends: their entries lapse, and
    /// other runs join at their addresses.
    pub fn mend_engines(self: &Arc<Self>, stopped: &AtomicBool) {
        let mut mended: Vec<usize> = Vec::new();
        let mut mends = Vec::new();
        while !stopped.load(Ordering::Acquire) {
            pause(MEND_LOOK_MS);
            let ended: Vec<(usize, u64)> = {
                let site = self.site.lock();
                let engines = site.engines.iter().enumerate();
                engines
                    .filter(|(index, _)| !mended.contains(index))
                    .filter_map(|(index, it)| Some((index, self.clock.at_ms(it.crashed()?.0))))
                    .collect()
            };
            for (index, from_ms) in ended {
                mended.push(index);
                let world = self.clone();
                mends.push(thread::spawn(move || world.mend_engine(index, from_ms)));
            }
        }
        for mend in mends {
            // A panic has been printed by its thread.
            let _ = mend.join();
        }
    }

    fn mend_engine(&self, index: usize, from_ms: u64) {
        let slot = {
            let mut engines = self.engines.lock();
            let number = engines.iter().position(|slot| slot.index == index);
            number.and_then(|number| Some((number, take_down(&mut engines, number)?.1)))
        };
        // One that leaves or dies as planned is replaced there.
        let Some((number, proxy)) = slot else {
            return;
        };
        proxy.go_down();
        pause(LAPSE_MS);
        let mut engines = self.engines.lock();
        let mut site = self.site.lock();
        site.engines[index].withdraw();
        let name = format!("i-{}", site.engines.len());
        let Ok(next) = site.start_engine(engine_options(name, &[])) else {
            return;
        };
        if proxy.come_up(site.engine_addresses[next]).is_err() {
            return;
        }
        site.engines[next].announce(Some(proxy.address()));
        engines[number].index = next;
        engines[number].is_down = false;
        self.events.lock().disturbances.push(Disturbance {
            what: "engine crashes".to_owned(),
            place: Place::Upstreams,
            from_ms,
            until_ms: self.clock.now_ms(),
        });
    }

    /// Returns the engines that ended under requests.
    pub fn crashes(&self) -> Vec<Crash> {
        let site = self.site.lock();
        let engines = site.engines.iter();
        engines
            .filter_map(|engine| {
                let (at, body) = engine.crashed()?;
                Some(Crash {
                    body: String::from_utf8_lossy(&body).into_owned(),
                    upstream: engine.name().to_owned(),
                    at_ms: self.clock.at_ms(at),
                })
            })
            .collect()
    }

    /// Returns what the upstreams ran.
    pub fn runs(&self, sent: impl Fn(&str) -> Option<Ask>) -> Vec<Run> {
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
                    at_ms: self.clock.at_ms(run.at),
                    id: run.id,
                    upstream: upstream.to_owned(),
                    unchanged,
                });
            }
        }
        runs
    }

    /// Returns what the engines were told.
    pub fn effects(&self) -> Vec<(String, apricotdale_standins::platform::EngineEffects)> {
        let site = self.site.lock();
        let engines = site.engines.iter();
        engines
            .map(|engine| (engine.name().to_owned(), engine.effects()))
            .collect()
    }

    fn start_again(&self, vm: usize) {
        if let Err(error) = self.vms.restart(vm) {
            let end = format!("vm{vm} does not start: {error}");
            self.events.lock().own_ends.push(end);
        }
    }

    fn kill_all(&self, down_ms: u64) {
        let from_ms = self.clock.now_ms();
        for vm in 0..self.vms.len() {
            self.vms.kill(vm);
        }
        pause(down_ms);
        for vm in 0..self.vms.len() {
            self.start_again(vm);
        }
        let until_ms = self.clock.now_ms();
        for vm in 0..self.vms.len() {
            self.events.lock().disturbances.push(Disturbance {
                what: "kill all".to_owned(),
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
        let ended = match self.vms.wait_end(vm, start, STOP_PATIENCE) {
            StopEnd::Ended(code) => Some((self.clock.now_ms(), code)),
            StopEnd::StillRuns => None,
            StopEnd::Replaced => return,
        };
        let stop = StopSeen { vm, at_ms, ended };
        self.events.lock().stops.push(stop);
        self.start_again(vm);
    }

    fn fault_doors(&self, vm: Option<usize>, fault: StoreFault) {
        let site = self.site.lock();
        for (index, door) in site.doors.iter().enumerate() {
            if vm.is_none_or(|vm| vm == index) {
                door.set_fault(fault);
            }
        }
    }

    fn forget(&self) {
        self.site.lock().forget_history();
    }

    fn with_proxy(&self, upstream: usize, act: impl Fn(&Proxy)) {
        let engines = self.engines.lock();
        match engines.get(upstream) {
            Some(slot) => act(&slot.proxy),
            None => act(&self.services[(upstream - engines.len()) % self.services.len()]),
        }
    }

    fn spoil_answers(
        &self,
        upstream: usize,
        fault: apricotdale_standins::platform::AnswerFault,
        count: u32,
    ) {
        let engines = self.engines.lock();
        let site = self.site.lock();
        for _ in 0..count {
            match engines.get(upstream) {
                Some(slot) => site.engines[slot.index].push_fault(fault),
                None => site.services[(upstream - engines.len()) % INSTANCES].push_fault(fault),
            }
        }
    }

    fn spoil_orders(&self, engine: usize, late_ms: Option<u64>, count: u32) {
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

    fn engine_dies(&self, number: usize) {
        let Some((index, proxy)) = take_down(&mut self.engines.lock(), number) else {
            return;
        };
        proxy.retarget(None);
        proxy.reset_open();
        self.site.lock().stop_engine(index);
        pause(LAPSE_MS);
        let mut engines = self.engines.lock();
        let mut site = self.site.lock();
        site.engines[index].withdraw();
        let name = format!("i-{}", site.engines.len());
        let Ok(next) = site.start_engine(engine_options(name, &[])) else {
            return;
        };
        proxy.retarget(Some(site.engine_addresses[next]));
        site.engines[next].announce(Some(proxy.address()));
        engines[number] = EngineSlot {
            index: next,
            proxy,
            is_down: false,
        };
    }

    fn engine_leaves(&self, number: usize, notice: bool) {
        let old = {
            let mut engines = self.engines.lock();
            if engines[number].is_down {
                return;
            }
            let mut site = self.site.lock();
            let name = format!("i-{}", site.engines.len());
            let Ok(joined) = join_engine(&mut site, engine_options(name, &[])) else {
                return;
            };
            let old = std::mem::replace(&mut engines[number], joined);
            let engine = &site.engines[old.index];
            match notice {
                true => engine.drain(),
                false => engine.withdraw(),
            }
            let drain = Drain {
                upstream: engine.name().to_owned(),
                at_ms: self.clock.now_ms(),
            };
            self.events.lock().drains.push(drain);
            old
        };
        pause(LEAVE_MS);
        let mut site = self.site.lock();
        site.engines[old.index].withdraw();
        site.stop_engine(old.index);
    }

    /// Writes a configuration with a route of its own in place of the one before, and asks every
    /// VM for both once it must be in force.
    fn configure(&self) {
        let version = {
            let mut version = self.version.lock();
            *version += 1;
            self.site.lock().configure_with_extra(*version);
            *version
        };
        let acknowledged_ms = self.clock.now_ms();
        self.clock.wait_until(acknowledged_ms + PROBE_AFTER_MS);
        for vm in 0..self.vms.len() {
            for (of, exists) in [(version, true), (version - 1, false)] {
                // A newer configuration may have replaced this one meanwhile.
                if *self.version.lock() != version {
                    return;
                }
                let sent_ms = self.clock.now_ms();
                let id = format!("c-{version}-{vm}-{of}");
                let target = format!("{}x", Site::extra_prefix(of));
                let request = Ask::new("GET", &target, &id).waiting_ms(PATIENCE_MS);
                let status = self.ask_once(vm, &request);
                let mut events = self.events.lock();
                events.probe_ids.push(id);
                if status > 0 && *self.version.lock() == version {
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

    fn ask_once(&self, vm: usize, request: &Ask) -> u16 {
        let patience = Duration::from_millis(PATIENCE_MS);
        self.vms
            .callers(vm)
            .and_then(|address| Caller::connect(address, patience).ok())
            .and_then(|mut caller| caller.ask(request).ok())
            .map_or(0, |answer| answer.status())
    }
}

fn join_engine(site: &mut Site, options: EngineOptions) -> io::Result<EngineSlot> {
    let index = site.start_engine(options)?;
    let proxy = Arc::new(Proxy::start(site.engine_addresses[index])?);
    site.engines[index].announce(Some(proxy.address()));
    Ok(EngineSlot {
        index,
        proxy,
        is_down: false,
    })
}

fn pause(for_ms: u64) {
    thread::sleep(Duration::from_millis(for_ms));
}

fn name(trouble: &Trouble) -> &'static str {
    match trouble {
        Trouble::Kill { .. } => "kill",
        Trouble::KillAll { .. } => "kill all",
        Trouble::Pause { .. } => "pause",
        Trouble::Stop { .. } => "stop",
        Trouble::Reload { .. } => "reload",
        Trouble::Store { .. } => "store",
        Trouble::Forget => "forget",
        Trouble::StoreLink { .. } => "store link",
        Trouble::UpstreamLink { .. } => "upstream link",
        Trouble::Reset { .. } => "reset",
        Trouble::Silence { .. } => "silence",
        Trouble::Answers { .. } => "answers",
        Trouble::Orders { .. } => "orders",
        Trouble::EngineDies { .. } => "engine dies",
        Trouble::EngineLeaves { .. } => "engine leaves",
        Trouble::Configure => "configure",
    }
}
