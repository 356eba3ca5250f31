//! Messages between the system's own processes, over nng.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
