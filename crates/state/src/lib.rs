//! Replicated decision state: deterministic replay of the control and claim streams.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
