//! Replays seeded arrival traces against the policies in virtual time.
//!
//! The replay measures the decisions of placement, routing, retries and admission at the size of
//! each deployment, for the baseline policies and for the default ones, with the same seeds. It
//! simulates one VM, with one instance of each policy, and no network.

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
