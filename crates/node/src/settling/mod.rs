//! Carrying out accepted intents and telling their outcome.
//!
//! An order is sent only for an intent that replay accepted, only by the process that proposed it,
//! and only once. Everything else that has to be known of an intent is read from the engine.

mod freshness;
mod outcome;
mod runner;
mod sender;
mod settler;

pub use freshness::Freshness;
pub use outcome::EnginePlace;
pub use outcome::observation;
pub use runner::IntentRunner;
pub use runner::RunnerParts;
