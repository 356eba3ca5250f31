//! Stand-ins for the platform and the upstreams, for tests and demonstrations.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
