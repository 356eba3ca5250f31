//! Admission policies: which requests start, wait or are refused, by class target.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
