//! Placeholder until the shell is written.
fn main() {}
