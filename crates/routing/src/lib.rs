//! Routing and retry policies: which upstream takes a request, and whether a failed try is repeated.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
