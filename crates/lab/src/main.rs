//! The `threadledge-lab` binary.

fn main() {}
