//! Settings of a daemon, read from an INI file and checked as a whole.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
