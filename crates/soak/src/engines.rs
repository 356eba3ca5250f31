//! Engines of the soak: how they join, crash, leave and are replaced.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use apricotdale_standins::platform::CrashMarker;
use apricotdale_standins::platform::CrashTrigger;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::PlatformEngine;
use apricotdale_standins::platform::Site;
use apricotdale_standins::proxy::Proxy;

use crate::plan::CRASH_MARKS;
use crate::plan::CRASH_PARTS;
use crate::record::Crash;
use crate::record::Disturbance;
use crate::record::Drain;
use crate::record::EngineTime;
use crate::record::Place;
use crate::record::StatedLimitSeen;
use crate::workload::all_models;
use crate::world::World;
use crate::world::pause;

/// Time after which the entry of a dead engine expires: three of its heartbeat intervals.
const ENTRY_TTL_MS: u64 = 1_500;

/// Time for which an engine runs on after its leave notice: long enough that a request which comes
/// too late still runs and is recorded.
const LEAVING_ENGINE_MS: u64 = 5_000;

/// Time between two events of a stream: long enough that a request which comes too late is still
/// running when it is recorded.
const EVENT_INTERVAL_MS: u64 = 20;

/// Duration of a load of a model from an engine's disk, and from the memory of its host.
pub(crate) const DISK_LOAD_MS: u64 = 400;
pub(crate) const MEMORY_LOAD_MS: u64 = 250;

/// Number of unloaded models whose weights stay in the memory of an engine's host.
const MEMORY_COPIES: usize = 4;

/// Time for which a request that crashes engines runs before its first event, or before the crash
/// if no event is sent.
const CRASH_DELAY_MS: u64 = 60;

/// Number of events that a request with the late mark gets before the crash.
const EVENTS_BEFORE_CRASH: u64 = 3;

/// Interval of the check whether engines have crashed.
const CRASH_POLL_MS: u64 = 10;

/// One of the soak's engines and the proxy through which VMs reach it. When the engine is replaced,
/// its successor takes over the slot.
pub(crate) struct EngineSlot {
    /// Index of the current engine among all engines that the site has started.
    pub index: usize,
    pub proxy: Arc<Proxy>,
    /// Version of the software with which a successor starts.
    pub software: String,
    /// Whether the engine has ended and its successor has not joined yet.
    pub is_down: bool,
}

/// Marks the engine of a slot as ended and returns its index and its proxy; none if it had been
/// marked already.
pub(crate) fn mark_down(engines: &mut [EngineSlot], number: usize) -> Option<(usize, Arc<Proxy>)> {
    let slot = engines.get_mut(number).filter(|slot| !slot.is_down)?;
    slot.is_down = true;
    Some((slot.index, slot.proxy.clone()))
}

/// Returns the options of an engine of the soak that loads `models` at its start.
pub(crate) fn engine_options(name: String, models: &[&str]) -> EngineOptions {
    let crash = |mark: &str, after_events| CrashTrigger {
        marker: CrashMarker::Body(mark.as_bytes().to_vec()),
        after_events,
        after_ms: CRASH_DELAY_MS,
    };
    let part_crash = |id: &str, after_events| CrashTrigger {
        marker: CrashMarker::PromptPart {
            id: id.to_owned(),
            model: None,
        },
        after_events,
        after_ms: CRASH_DELAY_MS,
    };
    let [at_once, late] = CRASH_MARKS;
    let [part_at_once, part_late] = CRASH_PARTS;
    EngineOptions {
        instance: name,
        models: models.iter().map(ToString::to_string).collect(),
        on_disk: all_models().map(str::to_owned).collect(),
        disk_load_ms: DISK_LOAD_MS,
        memory_load_ms: MEMORY_LOAD_MS,
        memory_copies: MEMORY_COPIES,
        gap_ms: EVENT_INTERVAL_MS,
        // The first mark that matches decides: the late one begins with the other.
        crashes: vec![
            crash(late, EVENTS_BEFORE_CRASH),
            crash(at_once, 0),
            part_crash(part_late, EVENTS_BEFORE_CRASH),
            part_crash(part_at_once, 0),
        ],
        ..EngineOptions::default()
    }
}

pub(crate) fn join_engine(site: &mut Site, options: EngineOptions) -> io::Result<EngineSlot> {
    let software = options.version.clone();
    let index = site.start_engine(options)?;
    let proxy = Arc::new(Proxy::start(site.engine_addresses[index])?);
    site.engines[index].announce(Some(proxy.address()));
    Ok(EngineSlot {
        index,
        proxy,
        software,
        is_down: false,
    })
}

/// Returns the time of an engine that serves from now on.
pub(crate) fn engine_time(engine: &PlatformEngine, from_ms: u64) -> EngineTime {
    EngineTime {
        upstream: engine.name().to_owned(),
        software: engine.version(),
        from_ms,
        until_ms: None,
    }
}

/// Returns what requests have in common that crash engines: their body, or the part of the prompt
/// with which it begins.
fn cause_of(body: &str) -> String {
    body.split(' ').next().unwrap_or(body).to_owned()
}

impl World {
    /// Replaces engines that crash until `is_finished` is set: their entries expire, and new
    /// incarnations join at their addresses.
    pub fn restart_crashed_engines(self: &Arc<Self>, is_finished: &AtomicBool) {
        let mut handled: Vec<usize> = Vec::new();
        let mut restarts = Vec::new();
        let mut is_last = false;
        while !is_last {
            // One more check after the flag is set finds engines that crashed just before.
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
            // The thread has printed its panic.
            let _ = restart_thread.join();
        }
    }

    fn restart_crashed_engine(&self, index: usize, from_ms: u64) {
        let slot = {
            let mut engines = self.engines.lock();
            let number = engines.iter().position(|slot| slot.index == index);
            number.and_then(|number| Some((number, mark_down(&mut engines, number)?.1)))
        };
        // An engine that leaves or dies as planned is replaced by that fault.
        let Some((number, proxy)) = slot else {
            return;
        };
        proxy.go_down();
        self.record_end(index, from_ms);
        self.record_break(&self.site.lock().engines[index], from_ms);
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

    /// Returns the requests that crashed engines, one for each copy in progress at the crash.
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
                        body: cause_of(&String::from_utf8_lossy(&body)),
                        upstream: engine.name().to_owned(),
                        at_ms: self.clock.at_ms(at),
                    })
            })
            .collect()
    }

    /// Drops the faults of answers that no request has met.
    pub fn drop_queued_faults(&self) {
        let site = self.site.lock();
        site.engines.iter().for_each(|engine| engine.clear_faults());
        site.services
            .iter()
            .for_each(|service| service.clear_faults());
    }

    pub(crate) fn engine_dies(&self, number: usize) {
        let Some((index, proxy)) = mark_down(&mut self.engines.lock(), number) else {
            return;
        };
        let at_ms = self.clock.now_ms();
        self.record_break(&self.site.lock().engines[index], at_ms);
        proxy.go_down();
        self.record_end(index, at_ms);
        self.site.lock().stop_engine(index);
        // An engine that can't be replaced stays down.
        let _ = self.replace(number, index, &proxy);
    }

    /// Removes the entry of an engine that has ended after its TTL, and starts a new incarnation at
    /// its address.
    fn replace(&self, number: usize, index: usize, proxy: &Proxy) -> io::Result<()> {
        pause(ENTRY_TTL_MS);
        self.start_successor(number, index, proxy)
    }

    /// Starts the engine that follows one which has ended, at its address.
    pub(crate) fn start_successor(
        &self,
        number: usize,
        index: usize,
        proxy: &Proxy,
    ) -> io::Result<()> {
        let mut engines = self.engines.lock();
        let mut site = self.site.lock();
        site.engines[index].withdraw();
        let name = format!("i-{}", site.engines.len());
        let options = EngineOptions {
            version: engines[number].software.clone(),
            ..engine_options(name, &[])
        };
        let next = site.start_engine(options)?;
        let engine = site.engines[next].clone();
        proxy.come_up(site.engine_addresses[next])?;
        engine.announce(Some(proxy.address()));
        engines[number].index = next;
        engines[number].is_down = false;
        let time = engine_time(&engine, self.clock.now_ms());
        self.events.lock().engine_times.push(time);
        Ok(())
    }

    /// Records that an engine no longer serves.
    pub(crate) fn record_end(&self, index: usize, at_ms: u64) {
        let name = self.site.lock().engines[index].name().to_owned();
        let mut events = self.events.lock();
        let mut times = events.engine_times.iter_mut();
        if let Some(time) = times.find(|it| it.upstream == name && it.until_ms.is_none()) {
            time.until_ms = Some(at_ms);
        }
    }

    /// Has an engine state a rate limit for a time, even if another engine replaces it meanwhile.
    pub(crate) fn state_limit(&self, number: usize, milli_per_s: u32, for_ms: u64) {
        let per_s = f64::from(milli_per_s) / 1_000.0;
        let engine = {
            let engines = self.engines.lock();
            self.site.lock().engines[engines[number].index].clone()
        };
        let from_ms = self.clock.now_ms();
        let mut starts = self.limit_starts.lock();
        starts.insert(engine.name().to_owned(), from_ms);
        drop(starts);
        engine.set_rate_limit(Some(&per_s.to_string()));
        pause(for_ms);
        // A later statement of the same engine has replaced this one, and ends by itself.
        let mut starts = self.limit_starts.lock();
        let newest_ms = starts.get(engine.name()).copied();
        let until_ms = match newest_ms.filter(|start_ms| *start_ms != from_ms) {
            Some(replaced_ms) => replaced_ms,
            None => {
                engine.set_rate_limit(None);
                starts.remove(engine.name());
                self.clock.now_ms()
            }
        };
        drop(starts);
        self.events.lock().stated_limits.push(StatedLimitSeen {
            upstream: engine.name().to_owned(),
            milli_per_s,
            from_ms,
            until_ms,
        });
    }

    pub(crate) fn engine_leaves(&self, number: usize, notice: bool) {
        let depart = |engine: &PlatformEngine| {
            match notice {
                true => engine.drain(),
                false => engine.withdraw(),
            }
            self.events.lock().drains.push(Drain {
                upstream: engine.name().to_owned(),
                at_ms: self.clock.now_ms(),
            });
        };
        self.leave(number, LEAVING_ENGINE_MS, depart);
    }

    /// Has another engine join, calls `depart` with the one that leaves, and ends that one later.
    pub(crate) fn leave(&self, number: usize, after_ms: u64, depart: impl FnOnce(&PlatformEngine)) {
        let old = {
            let mut engines = self.engines.lock();
            if engines[number].is_down {
                return;
            }
            let mut site = self.site.lock();
            let name = format!("i-{}", site.engines.len());
            let options = EngineOptions {
                version: engines[number].software.clone(),
                ..engine_options(name, &[])
            };
            let Ok(joined) = join_engine(&mut site, options) else {
                return;
            };
            let old = std::mem::replace(&mut engines[number], joined);
            let time = engine_time(&site.engines[engines[number].index], self.clock.now_ms());
            depart(&site.engines[old.index]);
            self.events.lock().engine_times.push(time);
            old
        };
        self.record_end(old.index, self.clock.now_ms());
        pause(after_ms);
        let mut site = self.site.lock();
        site.engines[old.index].withdraw();
        self.record_break(&site.engines[old.index], self.clock.now_ms());
        site.stop_engine(old.index);
    }
}
