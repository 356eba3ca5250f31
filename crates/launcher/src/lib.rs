//! Launcher of stand-ins and VMs as child processes on loopback, with clients for their interfaces.
//!
//! The launcher is a tool for demonstrations and tests. The system itself starts no processes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod caller;
pub mod checks;
pub mod cluster;
pub mod demo;
pub mod entry_demo;
pub mod entry_up;
pub mod errors;
pub mod health;
pub mod interrupts;
pub mod metrics;
pub mod poll;
pub mod process;
pub mod processes;
pub mod programs;
pub mod ready;
pub mod sample;
pub mod standin;

mod http;

pub use errors::Error;
pub use errors::Result;
