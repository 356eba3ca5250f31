//! The `scenario` program.

fn main() {}
