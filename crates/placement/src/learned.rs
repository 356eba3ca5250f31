//! The policy in use: learned gaps, load times and targets decide what is loaded and kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;

use crate::flights::Flight;
use crate::flights::Flights;
use crate::load_times::LoadTimes;
use crate::options::Options;
use crate::pending::Pending;
use crate::record::Record;
use crate::sketch::EngineSketch;
use crate::sketch::ReplicaSketch;
use crate::sketch::Sketch;
use crate::store_queue::StoreQueue;
use crate::watch::Watch;

/// Within how long an evicted replica's next use counts against its eviction.
const EVICTION_HORIZON_MS: u64 = 600_000;

/// A load from the store that has taken this many times what was expected tells that the store is
/// slow before it has ended.
const OVERDUE_FACTOR: f64 = 1.5;

/// `LearnedPlacement` is the policy in use.
///
/// It learns for each model the gaps between its uses, whether they are regular, and the class
/// targets of its requests; and for each cache tier how long loads take. From these it works out
/// what a cold start would cost in missed targets, and weighs that against idle accelerators.
#[derive(Debug)]
pub struct LearnedPlacement {
    pub(crate) options: Options,
    pub(crate) pending: Pending,
    pub(crate) records: BTreeMap<ModelName, Record>,
    pub(crate) times: LoadTimes,
    pub(crate) flights: Flights,
    pub(crate) tightest_target_ms: u64,
    /// When a checkpoint may next be restored.
    pub(crate) restore_ms: u64,
    watch: Watch,
}

impl LearnedPlacement {
    /// Returns a policy that has seen nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            pending: Pending::default(),
            records: BTreeMap::new(),
            times: LoadTimes::default(),
            flights: Flights::default(),
            tightest_target_ms: 0,
            restore_ms: 0,
            watch: Watch::default(),
        }
    }

    fn see(&mut self, now_ms: u64, fleet: &FleetView) {
        self.tightest_target_ms = fleet.tightest_target_ms;
        let used_bases: BTreeSet<&ModelName> = fleet
            .models
            .iter()
            .filter(|model| model.waiting > 0 || model.running > 0)
            .filter_map(|model| model.base.as_ref())
            .collect();
        for model in &fleet.models {
            let adapters_use = used_bases.contains(&model.model);
            let record = self.records.entry(model.model.clone()).or_default();
            record.see(now_ms, model, adapters_use);
        }
    }

    fn see_flights(&mut self, now_ms: u64, sketch: &Sketch<'_>, fleet: &FleetView) {
        let full_speed = f64::from(fleet.store_full_speed_loads.max(1));
        let crowding = (f64::from(fleet.store_active_loads) / full_speed).max(1.0);
        let times = &self.times;
        self.flights.refresh(sketch, |model, tier, bytes| Flight {
            since_ms: now_ms,
            expected_ms: times.alone_ms(model, tier, bytes) * crowding,
            tier,
            crowding,
            bytes,
        });
        for flight in self.flights.remote() {
            let running_ms = now_ms.saturating_sub(flight.since_ms);
            if running_ms as f64 > OVERDUE_FACTOR * flight.expected_ms {
                let crowding = flight.crowding.max(crowding);
                self.times.note_overdue(flight.bytes, running_ms, crowding);
            }
        }
    }

    /// Returns what a cold start of a model costs after which requests have to wait for
    /// `load_ms`, in accelerator milliseconds: the missed targets.
    pub(crate) fn cold_start_ms(&self, record: &Record, load_ms: f64) -> f64 {
        let chance = record.targets.miss_chance(load_ms, self.tightest_target_ms);
        self.options.idle_ms_per_miss * record.burst() * chance
    }

    /// Returns what evicting a replica costs, in accelerator milliseconds.
    pub(crate) fn eviction_ms(
        &self,
        now_ms: u64,
        replica: &ReplicaSketch,
        engine: &EngineSketch<'_>,
    ) -> f64 {
        let Some(record) = self.records.get(&replica.model) else {
            return 0.0;
        };
        let load_ms =
            self.times
                .alone_ms(&replica.model, engine.tier(&replica.model), replica.bytes);
        let idle_ms = record.idle_ms(now_ms, replica.since_ms);
        let chance = record.gaps.chance_within(idle_ms, EVICTION_HORIZON_MS);
        chance * (load_ms + self.cold_start_ms(record, load_ms))
    }

    /// Returns a model as the view shows it, or as it last did.
    pub(crate) fn model(&self, sketch: &Sketch<'_>, model: &ModelName) -> Option<ModelView> {
        let shown = sketch.models.get(model).map(|view| (*view).clone());
        shown.or_else(|| {
            self.records
                .get(model)
                .and_then(|record| record.view.clone())
        })
    }
}

impl PlacementPolicy for LearnedPlacement {
    fn arrived(&mut self, now_ms: u64, model: &ModelName) {
        let record = self.records.entry(model.clone()).or_default();
        record.arrived(now_ms);
        if let Some(base) = record.base() {
            self.records.entry(base).or_default().arrived(now_ms);
        }
    }

    fn loaded(&mut self, _now_ms: u64, model: &ModelName, tier: CacheTier, took_ms: u64) {
        let view = self
            .records
            .get(model)
            .and_then(|record| record.view.as_ref());
        let Some(bytes) = view.map(|view| view.bytes) else {
            return;
        };
        let crowding = self.flights.crowding_of(model);
        self.times.note(model, tier, bytes, took_ms, crowding);
    }

    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction> {
        self.see(now_ms, fleet);
        self.watch.refresh(fleet);
        self.pending
            .refresh(now_ms, self.options.proposal_timeout_ms, fleet);
        let mut sketch = Sketch::new(fleet, &self.pending, &self.watch);
        self.see_flights(now_ms, &sketch, fleet);
        let mut store = StoreQueue::new(now_ms, fleet, &self.flights);
        let mut planned = self.plan_loads(now_ms, &mut sketch, &mut store);
        planned.extend(self.plan_unloads(now_ms, &mut sketch));
        self.pending.note(now_ms, &planned);
        planned
    }
}
