//! Stand-in of a model engine.
//!
//! The types that make decisions use neither threads nor a clock: [`Models`] decides on orders and
//! memory, [`OrderGate`] on which order is carried out next, [`Batch`] on which sequence generates
//! next, [`HostCache`] and [`PrefixCache`] on what is cached. [`EngineStandin`] connects them with
//! threads and the clock.

mod batch;
mod completion;
mod effects;
mod faults;
mod gate;
mod host_cache;
mod models;
mod options;
mod orders;
mod prefix_cache;
mod requests;
mod sequence;
mod server;

pub use batch::Admission;
pub use batch::Batch;
pub use batch::SequenceId;
pub use completion::PREFIX_BYTES;
pub use completion::prefix_hash;
pub use completion::token;
pub use gate::OrderGate;
pub use gate::OrderTicket;
pub use host_cache::HostCache;
pub use models::LoadStep;
pub use models::Models;
pub use models::OrderRefusal;
pub use models::UnloadStep;
pub use options::Options;
pub use options::options;
pub use prefix_cache::PrefixCache;
pub use server::EngineStandin;
