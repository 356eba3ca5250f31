//! Forecasts of when missing models will be loaded.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;

/// Age from which a forecast is ignored. The lease holder repeats each forecast every 400 ms.
const FORECAST_TTL_MS: u64 = 1_500;

/// Forecast by the lease holder of when a model that no engine holds will be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadForecast {
    /// Time from which the model can run, or `None` if no load of it is scheduled.
    pub ready_ms: Option<u64>,
}

/// Latest forecast of each missing model, with the time when it arrived.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    by_model: HashMap<ModelName, (LoadForecast, u64)>,
}

impl Forecasts {
    pub(crate) fn record(&mut self, now_ms: u64, model: ModelName, forecast: LoadForecast) {
        self.by_model.insert(model, (forecast, now_ms));
    }

    pub(crate) fn get(&self, now_ms: u64, model: &ModelName) -> Option<LoadForecast> {
        self.by_model
            .get(model)
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < FORECAST_TTL_MS)
            .map(|(forecast, _)| *forecast)
    }
}
