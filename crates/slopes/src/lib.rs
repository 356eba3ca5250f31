//! Measures how the cost of each part grows, and fits lines through it.
//!
//! Each module measures one part with its real logic and codecs at growing sizes; [`catalogue`]
//! lists them. A [`Slope`] is what one more item costs. `docs/CAPACITY.md` multiplies slopes by the
//! size that the system is designed for.
//!
//! Processor time is that of the measuring thread, or of the process where other threads take part,
//! so that other processes of a busy machine do not count; they still slow caches down, so each
//! point is the least of several rounds. Memory is the growth of the resident set.

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
