//! The daemon: feeds the decision crates with events and carries out their actions.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
