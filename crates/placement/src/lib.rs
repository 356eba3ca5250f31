//! Placement policies: where a model is loaded, and when a replica is unloaded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
