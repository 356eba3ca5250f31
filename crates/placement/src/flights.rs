//! Loads in progress, as far as this VM sees them.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;

use crate::sketch::Phase;
use crate::sketch::Sketch;

/// `Flight` is one load in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Flight {
    /// When it was first seen.
    pub(crate) since_ms: u64,
    /// How long it was expected to take.
    pub(crate) expected_ms: f64,
    /// Where its checkpoint was.
    pub(crate) tier: CacheTier,
    /// By how much the store's loads slowed each other when it began.
    pub(crate) crowding: f64,
    /// The size of what is loaded.
    pub(crate) bytes: u64,
}

/// `Flights` are the loads in progress by model and engine.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    flights: BTreeMap<(ModelName, UpstreamName), Flight>,
}

impl Flights {
    /// Takes in the view: forgets loads that ended, and notes loads that others proposed.
    pub(crate) fn refresh(
        &mut self,
        sketch: &Sketch<'_>,
        mut describe: impl FnMut(&ModelName, CacheTier, u64) -> Flight,
    ) {
        let known = std::mem::take(&mut self.flights);
        for engine in &sketch.engines {
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Coming)
            {
                let place = (replica.model.clone(), engine.view.engine.clone());
                let flight = known.get(&place).copied().unwrap_or_else(|| {
                    let tier = engine.tier(&replica.model);
                    describe(&replica.model, tier, replica.bytes)
                });
                self.flights.insert(place, flight);
            }
        }
    }

    /// Notes a load that is proposed now.
    pub(crate) fn start(&mut self, model: &ModelName, engine: &UpstreamName, flight: Flight) {
        self.flights.insert((model.clone(), engine.clone()), flight);
    }

    /// Returns the loads in progress.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Flight> {
        self.flights.values()
    }

    /// Returns the loads of one model that are in progress.
    pub(crate) fn of<'f>(&'f self, model: &'f ModelName) -> impl Iterator<Item = &'f Flight> {
        self.flights
            .iter()
            .filter(move |((loading, _), _)| loading == model)
            .map(|(_, flight)| flight)
    }

    /// Returns how long ago a load of the model began and by how much the store was crowded then.
    pub(crate) fn crowding_of(&self, model: &ModelName) -> f64 {
        self.of(model)
            .map(|flight| flight.crowding)
            .fold(1.0, f64::max)
    }

    /// Returns the loads from the store that are in progress.
    pub(crate) fn remote(&self) -> impl Iterator<Item = &Flight> {
        self.all().filter(|flight| flight.tier == CacheTier::Remote)
    }
}
