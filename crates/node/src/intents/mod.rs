//! Carrying out accepted intents and recording their outcomes.
//!
//! An order is sent only for an intent that replay accepted, only by the process that proposed it,
//! and only once. Everything else about the outcome of an intent is read from the engine.

mod freshness;
mod outcome;
mod runner;
mod sender;
mod settler;

pub use freshness::Freshness;
pub use outcome::EngineLocation;
pub use outcome::observation;
pub use runner::IntentRunner;
pub use runner::RunnerParts;
