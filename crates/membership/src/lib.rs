//! Membership: which VMs and upstreams are there, from the lagging list and from what is seen.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
