//! The stand-in of a model engine.
//!
//! The parts that decide something are pure and know neither time nor threads: [`Models`] decides
//! on orders and memory, [`OrderGate`] on which order acts next, [`Batch`] on which sequence generates next,
//! [`HostCache`] and [`PrefixCache`] on what is cached. [`EngineStandin`] joins them with threads and the clock.

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
mod sequence;
mod server;
mod serving;

pub use batch::Batch;
pub use batch::Entry;
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
