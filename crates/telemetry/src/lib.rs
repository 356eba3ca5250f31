//! Structured logs and metrics.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
