//! Starts stand-ins and VMs on loopback, for the demonstration and for scenarios.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
