//! Which loads `LearnedPlacement` proposes, and in which order.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

use crate::flights::Flight;
use crate::learned::LearnedPlacement;
use crate::record::Record;
use crate::site::Site;
use crate::site::Sites;
use crate::sketch::EngineSketch;
use crate::sketch::Phase;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::store_queue::StoreQueue;
use crate::target_mix::DECISION_MS;
use crate::want::Need;
use crate::want::Want;

/// Requests must have waited at a loaded model for this part of the time that another replica takes
/// to load, and within these bounds, before it gets one. A burst that the replica serves within a
/// moment moves nothing, and a slow load needs a lasting queue.
const SCALE_OUT_PART: f64 = 0.25;
const LEAST_SCALE_OUT_MS: f64 = 1_000.0;
const MOST_SCALE_OUT_MS: f64 = 10_000.0;

/// A load that has taken this many times what was expected, and at least this long, is slow.
const SLOW_FACTOR: f64 = 2.0;
const LEAST_SLOW_MS: f64 = 3_000.0;

/// How soon the same model's waiting requests are not refused again. The view shows a refused
/// request for a moment longer.
const REFUSE_AGAIN_MS: u64 = 500;

/// When callers should come back where nothing tells when memory will be free.
const NO_ROOM_RETRY_MS: u64 = 5_000;

/// The size assumed for a base that the view has never shown, as a share of an engine.
const UNKNOWN_BASE_SHARE: u64 = 4;

impl LearnedPlacement {
    /// Returns the loads, and the unloads that make room for loads, to propose now.
    pub(crate) fn plan_loads(
        &mut self,
        now_ms: u64,
        sketch: &mut Sketch<'_>,
        store: &mut StoreQueue,
    ) -> Vec<PlacementAction> {
        let mut wants = self.wants(now_ms, sketch);
        if wants.is_empty() {
            wants.extend(self.want_restored(now_ms, sketch));
        }
        self.sort(now_ms, sketch, store, &mut wants);
        let mut planned = Vec::new();
        for want in wants {
            // An adapter and its base, or two adapters of one base, may ask for the same load.
            let is_planned = sketch
                .holders(&want.model.model, Phase::Coming)
                .next()
                .is_some();
            if is_planned && !matches!(want.need, Need::Hedge | Need::ScaleOut) {
                continue;
            }
            let site = self.site(now_ms, sketch, store, &want);
            let actions = match site {
                Some(site) => self.load(now_ms, &want, &site, store),
                None => self.refuse_without_room(now_ms, sketch, &want),
            };
            if !want.mine {
                continue;
            }
            sketch.apply(&actions);
            planned.extend(actions);
        }
        planned
    }

    fn wants(&self, now_ms: u64, sketch: &Sketch<'_>) -> Vec<Want> {
        let waiting = sketch
            .models
            .values()
            .filter(|model| model.waiting > 0)
            .filter_map(|model| self.want_for_waiting(now_ms, sketch, model));
        let mut wants: Vec<Want> = waiting.collect();
        for record in self.records.values() {
            let returns = now_ms < record.returns_until_ms;
            if !returns && record.rhythm.next(now_ms).is_none() {
                continue;
            }
            let Some(model) = record.view.as_ref().filter(|model| model.preferred_here) else {
                continue;
            };
            let is_held = |engine: &EngineSketch<'_>| engine.replica(&model.model).is_some();
            if sketch.engines.iter().any(is_held)
                || wants.iter().any(|want| want.asked_by.model == model.model)
            {
                continue;
            }
            wants.extend(match returns {
                true => {
                    let left_ms = (record.returns_until_ms - now_ms) as f64;
                    self.want(sketch, model, Need::Returning, left_ms)
                }
                false => self.want_ahead(now_ms, sketch, model),
            });
        }
        wants
    }

    fn want_for_waiting(
        &self,
        now_ms: u64,
        sketch: &Sketch<'_>,
        model: &ModelView,
    ) -> Option<Want> {
        let left_ms = model.tightest_ms.unwrap_or(self.tightest_target_ms) as f64;
        let loaded = sketch.holders(&model.model, Phase::Loaded).count();
        let coming = sketch.holders(&model.model, Phase::Coming).count();
        let need = match (loaded, coming) {
            (0, 0) => Need::Waiting,
            (0, 1) if self.is_slow(now_ms, &model.model) => Need::Hedge,
            (0, _) => return None,
            // The number of replicas at most doubles with each step.
            _ if coming < loaded && self.is_short(now_ms, sketch, model) => Need::ScaleOut,
            _ => return None,
        };
        self.want(sketch, model, need, left_ms)
    }

    /// Returns whether requests have waited for long enough while no replica had a free place.
    fn is_short(&self, now_ms: u64, sketch: &Sketch<'_>, model: &ModelView) -> bool {
        let record = self.records.get(&model.model);
        let Some(since_ms) = record.and_then(|record| record.waiting_since_ms) else {
            return false;
        };
        let waited_ms = now_ms.saturating_sub(since_ms) as f64;
        if waited_ms < LEAST_SCALE_OUT_MS {
            return false;
        }
        let is_full = |engine: &EngineSketch<'_>| !engine.has_free_slot();
        if !sketch.holders(&model.model, Phase::Loaded).all(is_full) {
            return false;
        }
        let takes = |engine: &&EngineSketch<'_>| engine.replica(&model.model).is_none();
        let fastest = sketch
            .open_engines(model)
            .filter(takes)
            .map(|engine| engine.tier(&model.model))
            .min();
        let load_ms = fastest.map_or(f64::INFINITY, |tier| {
            self.times.alone_ms(&model.model, tier, model.bytes)
        });
        waited_ms >= (SCALE_OUT_PART * load_ms).min(MOST_SCALE_OUT_MS)
    }

    fn is_slow(&self, now_ms: u64, model: &ModelName) -> bool {
        self.flights.of(model).all(|flight| {
            let running_ms = now_ms.saturating_sub(flight.since_ms) as f64;
            running_ms > LEAST_SLOW_MS && running_ms > SLOW_FACTOR * flight.expected_ms
        })
    }

    fn want_ahead(&self, now_ms: u64, sketch: &Sketch<'_>, model: &ModelView) -> Option<Want> {
        let record = self.records.get(&model.model)?;
        let next = record.rhythm.next(now_ms)?;
        let load_ms = self.reload_ms(sketch, model);
        // A load that hurts nobody needs no start ahead of time.
        if self.cold_start_ms(record, load_ms) < load_ms {
            return None;
        }
        let left_ms = next.from_ms.saturating_sub(now_ms) as f64;
        let is_time = left_ms <= load_ms + DECISION_MS;
        is_time
            .then(|| self.want(sketch, model, Need::Ahead, left_ms.max(1.0)))
            .flatten()
    }

    /// Returns how long a load of the model would take on the engine where it is fastest.
    pub(crate) fn reload_ms(&self, sketch: &Sketch<'_>, model: &ModelView) -> f64 {
        let fastest = sketch
            .open_engines(model)
            .map(|engine| engine.tier(&model.model))
            .min();
        fastest.map_or(0.0, |tier| {
            self.times.alone_ms(&model.model, tier, model.bytes)
        })
    }

    /// Returns the want for a model, or for its base if that has to be loaded first.
    fn want(
        &self,
        sketch: &Sketch<'_>,
        model: &ModelView,
        need: Need,
        left_ms: f64,
    ) -> Option<Want> {
        let itself = Want {
            model: model.clone(),
            asked_by: model.clone(),
            need,
            left_ms,
            mine: model.preferred_here,
            may_gain_engine: sketch.growing_groups.contains(&model.group),
        };
        let Some(base) = &model.base else {
            return Some(itself);
        };
        let takes = |engine: &EngineSketch<'_>| engine.replica(&model.model).is_none();
        let can_take = sketch
            .holders(base, Phase::Loaded)
            .any(|engine| takes(engine) && (need != Need::ScaleOut || engine.has_free_slot()));
        if can_take {
            return Some(itself);
        }
        if sketch.holders(base, Phase::Coming).next().is_some() {
            return None;
        }
        let adapter_ms = self.reload_ms(sketch, model);
        Some(Want {
            model: self.base_of(sketch, model, base),
            left_ms: (left_ms - adapter_ms).max(1.0),
            ..itself
        })
    }

    /// Returns the base of an adapter. The view may leave out a base without demand of its own.
    /// One that it never showed is taken for a large part of an engine; replay knows its size.
    fn base_of(&self, sketch: &Sketch<'_>, adapter: &ModelView, base: &ModelName) -> ModelView {
        let capacity = sketch
            .open_engines(adapter)
            .map(|engine| engine.view.capacity_bytes);
        let assumed_bytes = capacity.max().unwrap_or(0) / UNKNOWN_BASE_SHARE;
        let known = self.model(sketch, base);
        ModelView {
            model: base.clone(),
            base: None,
            group: adapter.group.clone(),
            bytes: known.map_or(assumed_bytes, |known| known.bytes),
            waiting: adapter.waiting,
            running: 0,
            tightest_ms: adapter.tightest_ms,
            preferred_here: adapter.preferred_here,
        }
    }

    /// Sorts by need, loads that can be ready in time first, the least time to spare first. A load
    /// that will be late anyway must not make another one late.
    fn sort(&self, now_ms: u64, sketch: &Sketch<'_>, store: &StoreQueue, wants: &mut Vec<Want>) {
        if wants.len() < 2 {
            return;
        }
        let mut keyed: Vec<(Need, bool, f64, Want)> = std::mem::take(wants)
            .into_iter()
            .map(|want| {
                let site = self.site(now_ms, sketch, store, &want);
                let spare_ms = site.map_or(f64::MIN, |site| want.left_ms - site.ready_ms);
                (want.need, spare_ms < 0.0, spare_ms, want)
            })
            .collect();
        keyed.sort_by(|left, right| {
            (left.0, left.1)
                .cmp(&(right.0, right.1))
                .then(left.2.total_cmp(&right.2))
        });
        wants.extend(keyed.into_iter().map(|(_, _, _, want)| want));
    }

    fn site(
        &self,
        now_ms: u64,
        sketch: &Sketch<'_>,
        store: &StoreQueue,
        want: &Want,
    ) -> Option<Site> {
        let harm_ms = |held: &ReplicaSketch, engine: &EngineSketch<'_>| {
            self.eviction_ms(now_ms, held, engine)
        };
        let sites = Sites {
            sketch,
            store,
            times: &self.times,
            harm_ms: &harm_ms,
        };
        let record = self.records.get(&want.asked_by.model);
        let burst = record.map_or(1.0, Record::burst);
        let callers = f64::from(want.asked_by.waiting).max(burst);
        let wait_cost_ms = |ready_ms: f64| {
            let lateness = (DECISION_MS + ready_ms) / want.left_ms.max(1.0);
            // An answer twice as late is worse, though not twice as bad.
            let late_ms = match lateness {
                _ if lateness > 1.0 => self.options.idle_ms_per_miss * (1.0 + lateness.log2()),
                _ => 0.0,
            };
            callers * (ready_ms + late_ms)
        };
        let usable = |engine: &EngineSketch<'_>| match want.need {
            Need::ScaleOut => engine.has_free_slot(),
            // What another load from the store would bring is no faster than the one that is slow.
            Need::Hedge => engine.tier(&want.model.model) != CacheTier::Remote,
            Need::Waiting | Need::Returning | Need::Ahead => true,
            Need::Restore => engine.free_bytes >= want.model.bytes,
        };
        sites.best(&want.model, wait_cost_ms, usable)
    }

    /// Returns what brings a model to its site: the load, or first the evictions; nothing while
    /// the load has to wait for its turn. Requests that can't wait that long are refused.
    fn load(
        &mut self,
        now_ms: u64,
        want: &Want,
        site: &Site,
        store: &mut StoreQueue,
    ) -> Vec<PlacementAction> {
        let is_remote = site.tier == CacheTier::Remote;
        if site.store_wait_ms > 0.0 {
            store.defer(site.ready_ms);
            return self.refuse_late(now_ms, want, site);
        }
        if is_remote {
            store.start(site.ready_ms);
        }
        if !site.evict.is_empty() {
            let unload = |victim: &ModelName| PlacementAction::Unload {
                model: victim.clone(),
                engine: site.engine.clone(),
            };
            return site.evict.iter().map(unload).collect();
        }
        if site.waits_for_room {
            return Vec::new();
        }
        if want.mine {
            let flight = Flight {
                since_ms: now_ms,
                expected_ms: site.load_ms,
                tier: site.tier,
                crowding: store.crowding(),
                bytes: want.model.bytes,
            };
            self.flights.start(&want.model.model, &site.engine, flight);
        }
        vec![PlacementAction::Load {
            model: want.model.model.clone(),
            engine: site.engine.clone(),
            ready_at_ms: now_ms + site.ready_ms as u64,
        }]
    }

    /// Returns the refusal of waiting requests that the load, which has not even begun, can't
    /// help in time. A load that begins tells admission when the model will be ready, and
    /// admission refuses each request by its own deadline.
    fn refuse_late(&mut self, now_ms: u64, want: &Want, site: &Site) -> Vec<PlacementAction> {
        let waits = matches!(want.need, Need::Waiting | Need::Hedge);
        if !waits || DECISION_MS + site.ready_ms <= want.left_ms {
            return Vec::new();
        }
        let ready_ms = site.ready_ms as u64;
        let refusal = Refusal::not_run(
            RefusalReason::DeadlineTooShort,
            format!("the model can be loaded in {ready_ms} ms at the earliest"),
        );
        self.refuse(now_ms, want, refusal.retry_after(ready_ms))
    }

    fn refuse_without_room(
        &mut self,
        now_ms: u64,
        sketch: &Sketch<'_>,
        want: &Want,
    ) -> Vec<PlacementAction> {
        if want.need != Need::Waiting {
            return Vec::new();
        }
        if sketch.open_engines(&want.model).next().is_none() {
            let refusal = Refusal::not_run(
                RefusalReason::UpstreamUnavailable,
                "no engine of the model's group takes new work",
            );
            return self.refuse(now_ms, want, refusal.retry_after(NO_ROOM_RETRY_MS));
        }
        // Memory may become free at any moment; the request waits while a load could be in time.
        if self.reload_ms(sketch, &want.model) <= want.left_ms {
            return Vec::new();
        }
        let refusal = Refusal::not_run(
            RefusalReason::NoCapacity,
            "all accelerator memory of the model's group is in use",
        );
        self.refuse(now_ms, want, refusal.retry_after(NO_ROOM_RETRY_MS))
    }

    /// Refuses the requests that wait, unless an engine that the plan can't see yet may serve them
    /// in a moment.
    fn refuse(&mut self, now_ms: u64, want: &Want, refusal: Refusal) -> Vec<PlacementAction> {
        let target_ms = self.tightest_target_ms;
        let record = self.records.entry(want.asked_by.model.clone()).or_default();
        let was_refused = record
            .refused_ms
            .is_some_and(|refused_ms| now_ms < refused_ms + REFUSE_AGAIN_MS);
        if was_refused || want.may_gain_engine || !want.mine {
            return Vec::new();
        }
        record.refused_ms = Some(now_ms);
        let back_ms = now_ms + refusal.retry_after_ms.unwrap_or(0);
        record.returns_until_ms = back_ms + target_ms;
        vec![PlacementAction::NoLoadInTime {
            model: want.asked_by.model.clone(),
            refusal,
        }]
    }
}
