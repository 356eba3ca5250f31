//! The `launcher` program.

fn main() {}
