//! Replays seeded arrival traces against the decision crates in virtual time.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
