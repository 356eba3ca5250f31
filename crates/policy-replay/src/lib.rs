//! Replays seeded arrival traces against the decision crates in virtual time.
//!
//! The replay measures the decisions of placement, routing and admission at each deployment's
//! size, for the baseline and for the policies in use, with the same seeds in the same run. It is
//! small by intent: one process, one instance of each policy, no network, no second VM.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod case;
pub mod compare;
pub mod deployment;
pub mod draw;
pub mod errors;
pub mod fleet;
pub mod floors;
pub mod hosts;
pub mod measures;
pub mod policies;
pub mod report;
pub mod store;
pub mod trace;
pub mod world;

pub use errors::Error;
pub use errors::Result;
