//! When models that are missing will be there.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;

/// How long a forecast is believed without being told again. The holder of the lease tells every
/// 400 ms.
const FORECAST_GOOD_MS: u64 = 1_500;

/// `LoadForecast` is what the VM that gives orders foresees for a model that no engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadForecast {
    /// When the model can run, or none if its load has no date.
    pub ready_ms: Option<u64>,
}

/// `Forecasts` are the forecasts of all missing models.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    by_model: HashMap<ModelName, (LoadForecast, u64)>,
}

impl Forecasts {
    pub(crate) fn note(&mut self, now_ms: u64, model: ModelName, forecast: LoadForecast) {
        self.by_model.insert(model, (forecast, now_ms));
    }

    pub(crate) fn get(&self, now_ms: u64, model: &ModelName) -> Option<LoadForecast> {
        self.by_model
            .get(model)
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < FORECAST_GOOD_MS)
            .map(|(forecast, _)| *forecast)
    }
}
