//! Shared types and interface traits of apricotdale.
//!
//! Other crates depend on this one and, as far as possible, on no other crate of the workspace. It
//! contains:
//!
//! - names and numbers that are used everywhere ([`names`], [`numbers`]),
//! - what is known about the process that began a stream ([`origin`]),
//! - the records of the control stream and of the claim streams ([`control`], [`claims`],
//!   [`config`]),
//! - the reasons for refusing a request ([`refusal`]),
//! - one trait for each external interface ([`log`], [`engine`], [`service`], [`weights`],
//!   [`vm_list`], [`peer`]), one for each policy ([`policy`]), and those between the gateway and
//!   the rest of the daemon ([`serving`]).
//!
//! This crate starts no threads, opens no sockets and reads no clock.

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
pub mod origin;
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
