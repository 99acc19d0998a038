//! Runs the operators' command line.

fn main() {}
