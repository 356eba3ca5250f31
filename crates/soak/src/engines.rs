//! The soak's engines: how they end, leave and are replaced.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use apricotdale_standins::platform::CrashTrigger;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::Site;

use crate::plan::CRASH_MARKS;
use crate::proxy::Proxy;
use crate::record::Crash;
use crate::record::Disturbance;
use crate::record::Drain;
use crate::record::Place;
use crate::workload::MODELS;
use crate::world::World;
use crate::world::pause;

/// How long the entry of a dead engine stays: three of its heartbeats.
const ENTRY_TTL_MS: u64 = 1_500;

/// How long an engine goes on after it said that it leaves: long enough that a request which comes too
/// late is served and seen.
const LEAVING_ENGINE_MS: u64 = 5_000;

/// The time between two events of a stream, for the same reason.
const EVENT_INTERVAL_MS: u64 = 20;

/// How long a request runs under which an engine ends, before its first event or before the end.
const CRASH_DELAY_MS: u64 = 60;

/// Events that some of these requests get before.
const EVENTS_BEFORE_CRASH: u64 = 3;

/// How often engines are looked at whether they have ended by themselves.
const CRASH_POLL_MS: u64 = 10;

/// `EngineSlot` is an engine with the proxy through which the VMs reach it.
pub(crate) struct EngineSlot {
    /// Its index in the site.
    pub index: usize,
    pub proxy: Arc<Proxy>,
    /// Whether its engine has ended and another is about to take its place.
    is_down: bool,
}

/// Takes a slot whose engine ends now, unless it has ended already.
fn mark_down(engines: &mut [EngineSlot], number: usize) -> Option<(usize, Arc<Proxy>)> {
    let slot = engines.get_mut(number).filter(|slot| !slot.is_down)?;
    slot.is_down = true;
    Some((slot.index, slot.proxy.clone()))
}

/// Returns what an engine of the soak is like.
pub(crate) fn engine_options(name: String, models: &[&str]) -> EngineOptions {
    let crash = |mark: &str, after_events| CrashTrigger {
        marker: mark.as_bytes().to_vec(),
        after_events,
        after_ms: CRASH_DELAY_MS,
    };
    let [at_once, late] = CRASH_MARKS;
    EngineOptions {
        instance: name,
        models: models.iter().map(ToString::to_string).collect(),
        on_disk: MODELS.iter().map(ToString::to_string).collect(),
        gap_ms: EVENT_INTERVAL_MS,
        // The first that matches counts.
        crashes: vec![crash(late, EVENTS_BEFORE_CRASH), crash(at_once, 0)],
        ..EngineOptions::default()
    }
}

pub(crate) fn join_engine(site: &mut Site, options: EngineOptions) -> io::Result<EngineSlot> {
    let index = site.start_engine(options)?;
    let proxy = Arc::new(Proxy::start(site.engine_addresses[index])?);
    site.engines[index].announce(Some(proxy.address()));
    Ok(EngineSlot {
        index,
        proxy,
        is_down: false,
    })
}

impl World {
    /// Starts engines again that ended by themselves, until nothing ends them any more: their
    /// entries lapse, and other runs join at their addresses.
    pub fn restart_crashed_engines(self: &Arc<Self>, is_finished: &AtomicBool) {
        let mut handled: Vec<usize> = Vec::new();
        let mut restarts = Vec::new();
        let mut is_last = false;
        while !is_last {
            // What ended before it was over is seen by the look after.
            is_last = is_finished.load(Ordering::Acquire);
            pause(CRASH_POLL_MS);
            let ended: Vec<(usize, u64)> = {
                let site = self.site.lock();
                let engines = site.engines.iter().enumerate();
                engines
                    .filter(|(index, _)| !handled.contains(index))
                    .filter_map(|(index, it)| Some((index, self.clock.at_ms(it.crashed()?.0))))
                    .collect()
            };
            for (index, from_ms) in ended {
                handled.push(index);
                let world = self.clone();
                restarts.push(thread::spawn(move || {
                    world.restart_crashed_engine(index, from_ms)
                }));
            }
        }
        for restart_thread in restarts {
            // A panic has been printed by its thread.
            let _ = restart_thread.join();
        }
    }

    fn restart_crashed_engine(&self, index: usize, from_ms: u64) {
        let slot = {
            let mut engines = self.engines.lock();
            let number = engines.iter().position(|slot| slot.index == index);
            number.and_then(|number| Some((number, mark_down(&mut engines, number)?.1)))
        };
        // One that leaves or dies as planned is replaced there.
        let Some((number, proxy)) = slot else {
            return;
        };
        proxy.go_down();
        if self.replace(number, index, &proxy).is_err() {
            return;
        }
        self.events.lock().disturbances.push(Disturbance {
            what: "engine crashes".to_owned(),
            place: Place::Upstreams,
            from_ms,
            until_ms: self.clock.now_ms(),
        });
    }

    /// Returns the requests with which engines ended, once for each copy in progress there.
    pub fn crashes(&self) -> Vec<Crash> {
        let site = self.site.lock();
        let engines = site.engines.iter();
        engines
            .filter_map(|engine| Some((engine, engine.crashed()?.0)))
            .flat_map(|(engine, at)| {
                engine
                    .marked_runs()
                    .into_iter()
                    .map(move |(_, body)| Crash {
                        body: String::from_utf8_lossy(&body).into_owned(),
                        upstream: engine.name().to_owned(),
                        at_ms: self.clock.at_ms(at),
                    })
            })
            .collect()
    }

    pub(crate) fn engine_dies(&self, number: usize) {
        let Some((index, proxy)) = mark_down(&mut self.engines.lock(), number) else {
            return;
        };
        proxy.go_down();
        self.site.lock().stop_engine(index);
        // One that can't be replaced stays down.
        let _ = self.replace(number, index, &proxy);
    }

    /// Has the entry of an engine lapse that has ended, and another run join at its address.
    fn replace(&self, number: usize, index: usize, proxy: &Proxy) -> io::Result<()> {
        pause(ENTRY_TTL_MS);
        let mut engines = self.engines.lock();
        let mut site = self.site.lock();
        site.engines[index].withdraw();
        let name = format!("i-{}", site.engines.len());
        let next = site.start_engine(engine_options(name, &[]))?;
        proxy.come_up(site.engine_addresses[next])?;
        site.engines[next].announce(Some(proxy.address()));
        engines[number].index = next;
        engines[number].is_down = false;
        Ok(())
    }

    pub(crate) fn engine_leaves(&self, number: usize, notice: bool) {
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
        pause(LEAVING_ENGINE_MS);
        let mut site = self.site.lock();
        site.engines[old.index].withdraw();
        site.stop_engine(old.index);
    }
}
