//! Stand-in of the rate-limited weight store.

mod bandwidth;
mod models;
mod options;
mod server;

pub use bandwidth::Bandwidth;
pub use bandwidth::LoadId;
pub use models::ModelSizes;
pub use options::Options;
pub use options::options;
pub use server::Mode;
pub use server::WeightsStandin;
