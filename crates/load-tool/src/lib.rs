//! Measures real processes: fleets of growing size, the overhead of a VM, and a whole deployment
//! under load.
//!
//! Every measurement starts its own stand-ins and daemons on loopback through the launcher crate,
//! is bounded in time and in the number of processes, and stops every process that it started.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod errors;
pub mod fleet;
pub mod line_fit;
pub mod load;
pub mod overhead;
pub mod process_cost;

pub use errors::Error;
pub use errors::Result;
