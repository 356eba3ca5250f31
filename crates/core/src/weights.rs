//! The rate-limited weight store.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;

/// `WeightsStatus` is what the weight store says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// Loads in progress.
    pub active_loads: u32,
    /// Loads that may run at once at full speed.
    pub full_speed_loads: u32,
    /// Loads that may be started in a second.
    pub loads_per_s: u32,
}

/// `WeightStore` is the store from which engines fetch weights. The system never moves weights
/// itself; it asks so as to order its loads and to predict how long one takes.
pub trait WeightStore: Send + Sync {
    /// Returns the store's present use and limits.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the store can't be reached.
    fn status(&self) -> Result<WeightsStatus>;

    /// Returns the size of a model's weights in bytes.
    ///
    /// # Errors
    ///
    /// `Error::Rejected` for a model the store does not hold, `Error::Unavailable` if the store
    /// can't be reached.
    fn size_bytes(&self, model: &ModelName) -> Result<u64>;
}
