//! Client interface of the weight store, which limits the rate of loads.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;

/// Load and limits of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// Number of loads in progress.
    pub active_loads: u32,
    /// Number of loads that may run at full speed at the same time.
    pub full_speed_loads: u32,
    /// Number of loads that may be started per second.
    pub loads_per_s: u32,
}

/// Store from which engines fetch model weights. The daemon does not move weights itself; it
/// queries the store to order its loads and to predict their duration.
pub trait WeightStore: Send + Sync {
    /// Returns the present load and the limits of the store.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the store can't be reached.
    fn status(&self) -> Result<WeightsStatus>;

    /// Returns the size of the weights of a model, in bytes.
    ///
    /// # Errors
    ///
    /// `Error::Rejected` for a model the store does not hold, `Error::Unavailable` if the store
    /// can't be reached.
    fn size_bytes(&self, model: &ModelName) -> Result<u64>;
}
