//! Measures how the cost of each part of the system grows with its size, and fits lines through the
//! measurements.
//!
//! Each module measures one part, with its real logic and codecs, at growing sizes; [`catalogue`]
//! lists the parts. A [`Slope`] tells the cost of one more item. Multiplied by the size of a
//! deployment, the slopes give its capacity needs.
//!
//! Processor time is that of the measuring thread, or of the whole process if other threads take
//! part, so that other processes on a busy machine don't count. They still evict data from the
//! processor's caches, so each point is the minimum of several rounds. Memory is the resident set
//! of the process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod adapters;
pub mod canned;
pub mod catalogue;
pub mod claims;
pub mod errors;
pub mod fleet;
pub mod memory;
pub mod meter;
pub mod peers;
pub mod policies;
pub mod records;
pub mod settings;
pub mod slope;

pub use errors::Error;
pub use errors::Result;
pub use slope::Slope;
