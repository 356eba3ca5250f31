//! Shared types and interface traits of apricotdale.
//!
//! Every other crate depends on this one and, where it can, on nothing else of the workspace. The
//! crate holds three kinds of things:
//!
//! - names and numbers that travel everywhere ([`names`], [`numbers`]),
//! - the records of the control stream and of the claim streams ([`control`], [`claims`],
//!   [`config`]),
//! - one trait for each outside interface ([`log`], [`engine`], [`service`], [`weights`],
//!   [`vm_list`], [`peer`]) and one for each policy ([`policy`]).
//!
//! Nothing here starts a thread, opens a socket or reads a clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod claims;
pub mod config;
pub mod control;
pub mod engine;
pub mod errors;
pub mod log;
pub mod names;
pub mod numbers;
pub mod peer;
pub mod policy;
pub mod refusal;
pub mod rendezvous;
pub mod service;
pub mod serving;
pub mod vm_list;
pub mod weights;

pub use errors::Error;
pub use errors::Result;
